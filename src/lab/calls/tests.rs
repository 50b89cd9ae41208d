//! Tests that `CallJudge` detects each kind of fault.

use std::time::Duration;

use super::call_run::CallAttempt;
use super::*;
use crate::errors::RunOutcome;
use crate::lab::stand_ins::{PlainCall, answer_text, token_text};
use crate::time::WallTime;
use crate::weights::WeightsDigest;

fn versions() -> Vec<WeightsDigest> {
    vec![WeightsDigest::of(b"one"), WeightsDigest::of(b"two")]
}

fn judge(runs: Vec<PlainCall>) -> CallJudge {
    CallJudge {
        versions: versions(),
        runs,
        balancer: EntryBalancer::default(),
    }
}

fn call(class: CallClass, outcomes: Vec<CallOutcome>) -> FinishedCall {
    let attempt = |outcome| CallAttempt {
        sent: WallTime(100),
        answered: WallTime(200),
        entry: 0,
        text: "p".to_owned(),
        max_tokens: 4,
        outcome,
        request_id: String::new(),
    };
    FinishedCall {
        class,
        attempts: outcomes.into_iter().map(attempt).collect(),
        total_time: Duration::ZERO,
    }
}

fn run(order: u64, at_ms: u64) -> PlainCall {
    PlainCall {
        order,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        body: "p".to_owned(),
        at_ms,
    }
}

fn complete(text: impl Into<String>) -> CallOutcome {
    CallOutcome::Complete {
        text: text.into(),
        parts: 0,
    }
}

fn refused(run: RunOutcome) -> CallOutcome {
    CallOutcome::Refused {
        status: 503,
        code: "no_backend".to_owned(),
        run,
        retry_after: None,
        message: String::new(),
    }
}

#[test]
fn complete_answer_of_one_version_is_accepted() {
    let text = answer_text(&versions()[1], "p", 4);
    let counts = judge(vec![]).judge(&[call(CallClass::Normal, vec![complete(text)])]);
    assert!(counts.all_held(), "{:?}", counts.findings);
    assert_eq!(counts.answered, 1);
}

#[test]
fn mixed_foreign_and_short_answers_are_detected() {
    let versions = versions();
    let mixed = token_text(&versions[0], "p", 0) + &token_text(&versions[1], "p", 1);
    let foreign = answer_text(&versions[0], "other", 4);
    let short = answer_text(&versions[0], "p", 3);
    let calls = [mixed, foreign, short].map(|text| call(CallClass::Normal, vec![complete(text)]));
    let counts = judge(vec![]).judge(&calls);
    assert_eq!(
        (counts.mixed_versions, counts.crossed, counts.cut),
        (1, 1, 1)
    );
}

#[test]
fn second_run_is_detected() {
    let answer = complete(r#"{"order":1,"body":"p"}"#);
    let runs = vec![run(1, 150), run(1, 160)];
    let counts = judge(runs).judge(&[call(CallClass::Once, vec![answer])]);
    assert_eq!(counts.doubled, 1);
}

#[test]
fn not_run_answer_to_a_call_that_ran_is_detected() {
    for ran_at in [150, 250] {
        let calls = [call(CallClass::Once, vec![refused(RunOutcome::NotRun)])];
        let counts = judge(vec![run(1, ran_at)]).judge(&calls);
        assert_eq!(counts.false_not_run, 1);
        let calls = [call(CallClass::Once, vec![refused(RunOutcome::NotKnown)])];
        assert!(judge(vec![run(1, ran_at)]).judge(&calls).all_held());
    }
}

#[test]
fn answer_without_a_run_and_missing_answer_count_as_lost() {
    let answer = complete(r#"{"order":1,"body":"p"}"#);
    let calls = [
        call(CallClass::Once, vec![answer]),
        call(CallClass::Once, vec![CallOutcome::NoAnswer]),
    ];
    assert_eq!(judge(vec![]).judge(&calls).lost, 2);
}

#[test]
fn broken_connection_counts_unless_the_entry_host_was_disturbed() {
    let lost = || CallOutcome::ConnectionLost("reset".to_owned());
    let calls = [call(CallClass::Normal, vec![lost()])];
    assert_eq!(judge(vec![]).judge(&calls).cut, 1);
    let mut disturbed = judge(vec![]);
    disturbed.balancer = EntryBalancer::new(["127.0.0.1:1".parse().expect("an address")]);
    disturbed.balancer.begin_disturbance(0);
    let mut late = call(CallClass::Normal, vec![lost()]);
    late.attempts[0].answered = WallTime(u64::MAX);
    assert_eq!(disturbed.judge(&[late]).cut, 0);
}
