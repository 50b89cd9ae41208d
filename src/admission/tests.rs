//! Tests of admission control.

use std::time::Duration;

use super::account_lookup::find_account;
use super::retry_budget::{RetryBudget, RetryCause, spend_both};
use super::token_bucket::TokenBucket;
use super::{AdmissionState, DispatchOutcome, QueuedRequest};
use crate::documents::{AccountSpec, RequestPriority};
use crate::errors::{ErrorKind, SwitchError};
use crate::lab::soak::admission::{run_case, run_fair_case};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const START: ClockTime = ClockTime::from_millis(1);

fn account(name: &'static str) -> AccountSpec {
    AccountSpec {
        name: name.into(),
        key_digest: blake3::hash(b"secret").to_hex().to_string().into(),
        requests_per_second: 100,
        concurrency: 100,
        weight: 1,
        urgent_percent: 10,
    }
}

fn admission_of(specs: &[AccountSpec], entries: u32) -> AdmissionState<()> {
    let mut admission = AdmissionState::new();
    admission.refresh(specs, 10, entries, START);
    admission
}

fn wait(
    admission: &mut AdmissionState<()>,
    name: &'static str,
    limit: Duration,
) -> Result<(), SwitchError> {
    let account = admission.admit(&name.into(), RequestPriority::Normal, START)?;
    let request = QueuedRequest {
        account,
        priority: RequestPriority::Normal,
        cost: 100,
        deadline: START + limit,
        skips_fair_queue: false,
        target: (),
    };
    admission.enqueue(request, START).map(|_| ())
}

#[test]
fn invariants_hold_under_random_traffic() {
    run_cases(200, 4096, run_case);
}

#[test]
fn accounts_share_by_weight_under_random_arrivals() {
    run_cases(60, 16384, run_fair_case);
}

#[test]
fn wrong_keys_and_names_are_refused() {
    let specs = [account("guide")];
    assert!(find_account(&specs, "guide", "secret").is_ok());
    for (name, secret) in [("guide", "other"), ("guide", ""), ("lodge", "secret")] {
        let refused = find_account(&specs, name, secret).map(|_| ());
        assert_eq!(refused.unwrap_err().kind, ErrorKind::AccountUnknown);
    }
}

#[test]
fn bucket_never_exceeds_its_rate() {
    run_cases(100, 1024, |u| {
        let rate = u.int_in_range(1..=50_000_000)?;
        let mut bucket = TokenBucket::full(rate, START);
        let mut now = START;
        let mut passed = 0_u64;
        while !u.is_empty() {
            now = now + Duration::from_micros(u.int_in_range(0..=300_000)?);
            if bucket.has_one(rate, now) {
                bucket.take_one();
                passed += 1;
            }
            let elapsed = u64::try_from(now.since(START).as_micros()).expect("short");
            let allowed = rate.max(1_000_000) + elapsed * rate / 1_000_000;
            assert!(passed * 1_000_000 <= allowed, "more passed than the rate");
        }
        Ok(())
    });
}

#[test]
fn entry_hosts_share_the_limits() {
    let mut admission = admission_of(&[account("guide")], 4);
    let name = "guide".into();
    let mut passed = 0;
    while admission
        .admit(&name, RequestPriority::Normal, START)
        .is_ok()
    {
        passed += 1;
    }
    assert_eq!(passed, 25);
}

#[test]
fn urgent_requests_have_their_own_limit() {
    let mut admission = admission_of(&[account("guide")], 1);
    let name = "guide".into();
    let mut passed = 0;
    let refused = loop {
        match admission.admit(&name, RequestPriority::Urgent, START) {
            Ok(_) => passed += 1,
            Err(error) => break error,
        }
    };
    assert_eq!(passed, 10);
    assert_eq!(refused.kind, ErrorKind::UrgentShareSpent);
    assert_eq!(refused.retry_wait(), Some(Duration::from_millis(100)));
    assert!(
        admission
            .admit(&name, RequestPriority::Normal, START)
            .is_ok()
    );
}

/// The queue was limited by its length only. Under overload its waiting time exceeded the
/// deadlines, so that callers were refused only after waiting for their full deadline.
#[test]
fn requests_that_would_miss_their_deadline_are_refused_at_once() {
    let mut admission = admission_of(&[account("guide")], 1);
    let far = Duration::from_mins(1);
    for _ in 0..60 {
        wait(&mut admission, "guide", far).expect("no rate was measured yet");
    }
    // Dispatches ten requests of cost 100 in one second.
    for step in 1..=10_u32 {
        let mut capacity = 1;
        admission.dispatch(START + Duration::from_millis(100) * step, |_, _| {
            capacity -= 1;
            if capacity < 0 {
                DispatchOutcome::Full
            } else {
                DispatchOutcome::Dispatched
            }
        });
    }
    let refused = wait(&mut admission, "guide", Duration::from_secs(1))
        .expect_err("the backlog takes five seconds");
    assert_eq!(refused.kind, ErrorKind::DeadlineUnreachable);
    assert!(refused.retry_wait() > Some(Duration::from_secs(1)));
    assert!(wait(&mut admission, "guide", far).is_ok());
}

/// During an outage the measured rate fell to almost zero. It was applied to an empty queue too, so
/// that all requests were refused after the outage and the rate was never measured again.
#[test]
fn an_empty_queue_accepts_requests_at_any_measured_rate() {
    let mut admission = admission_of(&[account("guide")], 1);
    wait(&mut admission, "guide", Duration::from_mins(1)).expect("the queue is empty");
    admission.dispatch(START + Duration::from_secs(50), |_, _| {
        DispatchOutcome::Dispatched
    });
    assert!(admission.is_empty());
    assert!(wait(&mut admission, "guide", Duration::from_millis(10)).is_ok());
}

/// Only the attempts per request were limited, not the total of retries. When all attempts failed,
/// three attempts per request overloaded the entry hosts after an outage of the engines.
#[test]
fn retries_are_limited_to_a_tenth_of_the_requests() {
    let mut service = RetryBudget::default();
    let mut account = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        service.credit(10);
        account.credit(10);
        for cause in [
            RetryCause::Refused,
            RetryCause::Interrupted,
            RetryCause::Refused,
        ] {
            retries += u32::from(spend_both(&mut service, &mut account, cause));
        }
    }
    // A tenth of the requests plus the initial balances, minus what full budgets could not add at
    // first.
    assert_eq!(retries, 1_000 + 2 + 16 - 2);
}

/// Retries of refused requests used up the budget during an outage, so that streams of a host that
/// failed meanwhile could not be resumed.
#[test]
fn refused_requests_do_not_spend_the_retries_of_interrupted_ones() {
    let mut service = RetryBudget::default();
    let mut account = RetryBudget::default();
    while spend_both(&mut service, &mut account, RetryCause::Refused) {}
    assert!(spend_both(
        &mut service,
        &mut account,
        RetryCause::Interrupted
    ));
}
