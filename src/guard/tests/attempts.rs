//! Tests that reported outcomes of attempts stay true.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use uuid::{ContextV7, Timestamp, Uuid};

use super::fakes::{CountingPlain, TestHost, wake_up};
use crate::delivery::{AttemptId, OutcomeReply, RunPart};
use crate::errors::RunOutcome;
use crate::guard::LocalBackend;
use crate::guard::attempt_ledger::{Arrival, AttemptLedger, AttemptState};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 4096;
const EVENTS: usize = 300;
const ATTEMPTS: usize = 12;

// Guards against a call that runs after it was reported as not run: the order is delayed on its
// way, the entry host queries the outcome, and the order arrives after the reply. A host process
// that does not record its reply would run it.
#[tokio::test]
async fn an_attempt_reported_as_not_run_never_runs() {
    let plain = Arc::new(CountingPlain::default());
    let host = TestHost::start("lima-1", LocalBackend::Plain(plain.clone()));
    let order = wake_up();
    assert_eq!(host.resolve(order.attempt), OutcomeReply::NotRun);
    let answer = host.ask(order).await;
    let is_refused = matches!(
        answer.as_slice(),
        [RunPart::Refused {
            outcome: RunOutcome::NotRun,
            ..
        }]
    );
    assert!(is_refused, "{answer:?}");
    assert_eq!(plain.calls.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_run_attempt_is_reported_as_run_and_its_duplicate_is_refused() {
    let plain = Arc::new(CountingPlain::default());
    let host = TestHost::start("lima-1", LocalBackend::Plain(plain.clone()));
    let order = wake_up();
    let answer = host.ask(order.clone()).await;
    assert!(matches!(answer.last(), Some(RunPart::End { .. })));
    assert_eq!(host.resolve(order.attempt), OutcomeReply::Ran);
    let duplicate = host.ask(order).await;
    assert!(matches!(duplicate.as_slice(), [RunPart::Refused { .. }]));
    assert_eq!(plain.calls.load(Ordering::Relaxed), 1);
}

fn attempt_created_at(now: ClockTime) -> AttemptId {
    let (seconds, nanos) = (now.0 / 1_000_000, (now.0 % 1_000_000) * 1000);
    let context = ContextV7::new();
    let nanos = u32::try_from(nanos).expect("below a second");
    AttemptId(Uuid::new_v7(Timestamp::from_unix(&context, seconds, nanos)))
}

// Guards against "not run" replies for calls that ran or run later. Orders, outcome queries,
// withdrawals and ends come in any sequence, over hours, so that records expire. Without the
// creation time in the id, an attempt whose record has expired would look like one that never
// arrived.
#[test]
fn not_run_replies_stay_true() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut ledger = AttemptLedger::new();
        let mut now = ClockTime::from_millis(1_000_000);
        let mut attempts = Vec::new();
        for _ in 0..EVENTS {
            // Sometimes so long that records expire.
            let pause = if u.ratio(1, 20)? {
                700
            } else {
                u.int_in_range(0..=5)?
            };
            now = now + Duration::from_secs(pause);
            if attempts.len() < ATTEMPTS || u.ratio(1, 4)? {
                attempts.push(TrackedAttempt::new(now));
            }
            let index = u.choose_index(attempts.len())?;
            step(u, &mut ledger, &mut attempts[index], now)?;
        }
        Ok(())
    });
}

struct TrackedAttempt {
    attempt: AttemptId,
    was_started: bool,
    is_reported_not_run: bool,
}

impl TrackedAttempt {
    fn new(now: ClockTime) -> Self {
        Self {
            attempt: attempt_created_at(now),
            was_started: false,
            is_reported_not_run: false,
        }
    }
}

fn step(
    u: &mut Unstructured<'_>,
    ledger: &mut AttemptLedger,
    tracked: &mut TrackedAttempt,
    now: ClockTime,
) -> Result<()> {
    let attempt = tracked.attempt;
    match u.int_in_range(0..=4)? {
        0 => {
            let arrival = ledger.arrive(attempt, now);
            let is_known = tracked.was_started || tracked.is_reported_not_run;
            assert!(
                !is_known || arrival != Arrival::Fresh,
                "a recorded attempt was taken for a new one"
            );
        }
        1 if ledger.start(attempt) => {
            assert!(
                !tracked.is_reported_not_run,
                "an attempt started that was reported as not run"
            );
            assert!(!tracked.was_started, "the attempt started twice");
            tracked.was_started = true;
        }
        2 if ledger.state_of(attempt) == Some(AttemptState::Started) => {
            ledger.end(attempt, AttemptState::Ran);
        }
        3 => {
            let is_not_run = ledger.resolve(attempt, now) == OutcomeReply::NotRun;
            assert!(
                !is_not_run || !tracked.was_started,
                "an attempt that started was reported as not run"
            );
            tracked.is_reported_not_run |= is_not_run;
        }
        _ => {
            let is_not_run = ledger.withdraw(attempt);
            assert!(
                !is_not_run || !tracked.was_started,
                "an attempt that started was reported as not run"
            );
            tracked.is_reported_not_run |= is_not_run;
        }
    }
    Ok(())
}
