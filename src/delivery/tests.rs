//! Tests of request delivery.

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
fn reported_outcomes_are_correct_under_host_and_frame_faults() {
    run_cases(3000, 512, run_case);
}

/// Guards against an answer that mixes the tokens of two versions. An attempt starts on one version
/// and is truncated. The next attempt runs on another version, but its `Started` frame is lost. Its
/// tokens were counted under the last reported version, so the third attempt resumed on the first
/// version.
#[test]
fn a_token_before_its_started_frame_is_rejected() {
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
fn backoff_spreads_over_its_full_range() {
    assert_eq!(retry_wait(1, 0, None), Duration::ZERO);
    assert_eq!(retry_wait(1, u32::MAX, None), Duration::from_millis(20));
    assert_eq!(retry_wait(3, u32::MAX, None), Duration::from_millis(80));
    assert_eq!(retry_wait(90, u32::MAX, None), Duration::from_secs(1));
    let asked = Some(Duration::from_millis(300));
    assert_eq!(retry_wait(1, 0, asked), Duration::from_millis(300));
}

/// Guards against waking a guest who has cancelled: an urgent cancellation overtook the queued
/// wake-up call, because priority took precedence over the order of calls with the same key.
#[test]
fn calls_with_the_same_order_key_are_sent_one_at_a_time() {
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

fn unresponsive() -> SwitchError {
    SwitchError::new(ErrorKind::PeerSilent, "silent")
}

const NOW: ClockTime = ClockTime::from_millis(1);

/// Guards against reporting an unknown outcome for an unrepeatable call that never ran: the
/// connection died before the order reached the host, and the host was not queried for the outcome.
#[test]
fn an_unanswered_attempt_that_never_ran_is_retried() {
    let mut plan = plan_of(false);
    plan.begin_attempt();
    assert_eq!(
        plan.after_failure(unresponsive(), NOW, 0),
        NextStep::QueryOutcome
    );
    let step = plan.after_outcome_reply(unresponsive(), Some(&OutcomeReply::NotRun), NOW, 0);
    assert!(matches!(step, NextStep::Retry { .. }), "{step:?}");
}

/// Guards against waking a guest twice: an unrepeatable call ran, its answer was lost, the host
/// replied that it ran or was running, and the call was sent again all the same.
#[test]
fn an_unrepeatable_call_that_may_have_run_is_not_sent_again() {
    for reply in [
        OutcomeReply::Ran,
        OutcomeReply::Running,
        OutcomeReply::NotKnown,
    ] {
        let mut plan = plan_of(false);
        plan.begin_attempt();
        assert_eq!(
            plan.after_failure(unresponsive(), NOW, 0),
            NextStep::QueryOutcome
        );
        let step = plan.after_outcome_reply(unresponsive(), Some(&reply), NOW, 0);
        let NextStep::GiveUp(error) = step else {
            panic!("{step:?}");
        };
        assert_eq!(error.run_outcome(), RunOutcome::NotKnown, "{reply:?}");
    }
}

/// Guards against long answers that fail whenever a host dies. An engine died after some hundred
/// tokens, and the caller got an error and had to start again: the delivered tokens were not
/// counted, so no other host could resume the answer after them.
#[test]
fn a_stream_resumes_after_the_delivered_tokens() {
    let version = WeightsDigest::of(b"v1");
    let mut plan = plan_of(true);
    plan.begin_attempt();
    plan.note_version(Some(version));
    plan.note_token();
    plan.note_token();
    let step = plan.after_failure(unresponsive(), NOW, 0);
    assert!(matches!(step, NextStep::Retry { .. }));
    assert_eq!(plan.tokens(), 2);
    assert_eq!(plan.resume_version(), Some(version));
}
