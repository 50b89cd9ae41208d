//! Tests of delivery.

use std::time::Duration;

use super::backoff::retry_wait;
use super::order_tracker::OrderTracker;
use super::{
    AnswerCheck, AttemptId, AttemptPlan, AttemptPolicy, NextStep, OutcomeReply, RunFrame, RunPart,
};
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::lab::soak::delivery::run_case;
use crate::test_support::run_cases;
use crate::time::ClockTime;
use crate::weights::WeightsDigest;

#[test]
fn tells_the_truth_whatever_hosts_and_frames_do() {
    run_cases(3000, 512, run_case);
}

/// Symptom: an answer mixed the tokens of two versions. Events: an attempt starts on one version and
/// is cut; the next runs on another, and the frame that says so is lost; the third goes on with the
/// first version. Cause: tokens were counted under whatever version was named last.
#[test]
fn tokens_count_only_behind_the_word_which_version_makes_them() {
    let attempt = AttemptId::fresh();
    let mut check = AnswerCheck::new(attempt, 0);
    let token = RunPart::Token {
        index: 0,
        text: "t".into(),
    };
    let outcome = check.take(RunFrame {
        attempt,
        part: token,
    });
    assert_eq!(outcome.unwrap_err().kind, ErrorKind::AnswerDamaged);
}

#[test]
fn backoff_spreads_over_its_whole_span() {
    assert_eq!(retry_wait(1, 0, None), Duration::ZERO);
    assert_eq!(retry_wait(1, u32::MAX, None), Duration::from_millis(20));
    assert_eq!(retry_wait(3, u32::MAX, None), Duration::from_millis(80));
    assert_eq!(retry_wait(90, u32::MAX, None), Duration::from_secs(1));
    let asked = Some(Duration::from_millis(300));
    assert_eq!(retry_wait(1, 0, asked), Duration::from_millis(300));
}

/// Symptom: a guest who had cancelled was woken. Events: a wake-up call waits in its line; its
/// cancel, which is urgent, goes past it. Cause: priority was put before the order of the key.
#[test]
fn calls_of_one_order_key_go_one_after_the_other() {
    let mut tracker = OrderTracker::default();
    let wake_up = tracker.enter(7);
    let other = tracker.enter(9);
    let cancel = tracker.enter(7);
    assert!(tracker.is_next(wake_up) && tracker.is_next(other));
    assert!(!tracker.is_next(cancel));
    assert!(tracker.leave(wake_up));
    assert!(tracker.is_next(cancel));
    assert!(!tracker.leave(wake_up));
}

fn plan_of(repeatable: bool) -> AttemptPlan {
    AttemptPlan::new(AttemptPolicy {
        repeatable,
        attempts_max: 3,
        deadline: ClockTime::from_millis(5_000),
        stream_end: ClockTime::from_millis(60_000),
    })
}

fn silent() -> SwitchError {
    SwitchError::new(ErrorKind::PeerSilent, "silent")
}

const NOW: ClockTime = ClockTime::from_millis(1);

/// Symptom: wake-up calls were answered "not known" after each connection that went silent. Events:
/// the order is sent, nothing comes back, the host has never seen it. Cause: nobody asked the host.
#[test]
fn a_silent_attempt_that_never_ran_is_tried_elsewhere() {
    let mut plan = plan_of(false);
    plan.begin_attempt();
    assert_eq!(plan.after_failure(silent(), NOW, 0), NextStep::QueryOutcome);
    let step = plan.after_outcome_reply(silent(), Some(&OutcomeReply::NotRun), NOW, 0);
    assert!(matches!(step, NextStep::Retry { .. }), "{step:?}");
}

/// Symptom: a guest was woken twice. Events: an unrepeatable call ran, its answer is lost, the host says
/// that it ran or runs. Cause: it was sent once more.
#[test]
fn an_unrepeatable_call_that_ran_is_sent_to_nobody_else() {
    for reply in [
        OutcomeReply::Ran,
        OutcomeReply::Running,
        OutcomeReply::NotKnown,
    ] {
        let mut plan = plan_of(false);
        plan.begin_attempt();
        assert_eq!(plan.after_failure(silent(), NOW, 0), NextStep::QueryOutcome);
        let step = plan.after_outcome_reply(silent(), Some(&reply), NOW, 0);
        let NextStep::GiveUp(error) = step else {
            panic!("{step:?}");
        };
        assert_eq!(error.run_outcome(), RunOutcome::NotKnown, "{reply:?}");
    }
}

/// Symptom: long sky briefings broke off whenever a host died. Events: an engine dies after some
/// hundred tokens; the caller gets an error and starts from the beginning. Cause: the tokens that
/// were passed on were not counted, so nobody could go on behind them.
#[test]
fn a_stream_goes_on_behind_what_the_caller_has() {
    let version = WeightsDigest::of(b"v1");
    let mut plan = plan_of(true);
    plan.begin_attempt();
    plan.note_version(Some(version));
    plan.note_token();
    plan.note_token();
    let step = plan.after_failure(silent(), NOW, 0);
    assert!(matches!(step, NextStep::Retry { .. }));
    assert_eq!(plan.tokens(), 2);
    assert_eq!(plan.resume_version(), Some(version));
}
