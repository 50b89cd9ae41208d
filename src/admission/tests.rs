//! Tests of admission.

use std::time::Duration;

use super::account_key::find_account;
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

fn book_of(specs: &[AccountSpec], entries: u32) -> AdmissionState<()> {
    let mut book = AdmissionState::new();
    book.refresh(specs, 10, entries, START);
    book
}

fn wait(
    book: &mut AdmissionState<()>,
    name: &'static str,
    limit: Duration,
) -> Result<(), SwitchError> {
    let account = book.admit(&name.into(), RequestPriority::Normal, START)?;
    let wish = QueuedRequest {
        account,
        priority: RequestPriority::Normal,
        cost: 100,
        deadline: START + limit,
        skips_fair_queue: false,
        target: (),
    };
    book.enqueue(wish, START).map(|_| ())
}

#[test]
fn holds_through_random_traffic() {
    run_cases(200, 4096, run_case);
}

#[test]
fn shares_by_weight_whatever_arrives() {
    run_cases(60, 16384, run_fair_case);
}

#[test]
fn key_has_to_fit() {
    let specs = [account("guide")];
    assert!(find_account(&specs, "guide", "secret").is_ok());
    for (name, secret) in [("guide", "other"), ("guide", ""), ("lodge", "secret")] {
        let refused = find_account(&specs, name, secret).map(|_| ());
        assert_eq!(refused.unwrap_err().kind, ErrorKind::AccountUnknown);
    }
}

#[test]
fn bucket_never_gives_more_than_its_rate() {
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
            let span = u64::try_from(now.since(START).as_micros()).expect("short");
            let allowed = rate.max(1_000_000) + span * rate / 1_000_000;
            assert!(passed * 1_000_000 <= allowed, "more passed than the rate");
        }
        Ok(())
    });
}

#[test]
fn limits_are_shared_by_the_entry_hosts() {
    let mut book = book_of(&[account("guide")], 4);
    let name = "guide".into();
    let mut passed = 0;
    while book.admit(&name, RequestPriority::Normal, START).is_ok() {
        passed += 1;
    }
    assert_eq!(passed, 25);
}

#[test]
fn urgent_requests_have_their_own_bound() {
    let mut book = book_of(&[account("guide")], 1);
    let name = "guide".into();
    let mut passed = 0;
    let refused = loop {
        match book.admit(&name, RequestPriority::Urgent, START) {
            Ok(_) => passed += 1,
            Err(error) => break error,
        }
    };
    assert_eq!(passed, 10);
    assert_eq!(refused.kind, ErrorKind::UrgentShareSpent);
    assert_eq!(refused.retry_wait(), Some(Duration::from_millis(100)));
    assert!(book.admit(&name, RequestPriority::Normal, START).is_ok());
}

/// Symptom: callers waited out their whole deadline to be told that there was no room. Events: more
/// came than was done; the line grew longer than the deadline. Cause: the line was bounded by its
/// length only.
#[test]
fn what_cannot_make_it_is_told_at_once() {
    let mut book = book_of(&[account("guide")], 1);
    let far = Duration::from_mins(1);
    for _ in 0..60 {
        wait(&mut book, "guide", far).expect("nothing is known of the rate");
    }
    // Ten of cost 100 go in a second.
    for step in 1..=10_u32 {
        let mut room = 1;
        book.dispatch(START + Duration::from_millis(100) * step, |_, _| {
            room -= 1;
            if room < 0 {
                DispatchOutcome::Full
            } else {
                DispatchOutcome::Placed
            }
        });
    }
    let refused = wait(&mut book, "guide", Duration::from_secs(1)).expect_err("five seconds wait");
    assert_eq!(refused.kind, ErrorKind::DeadlineUnreachable);
    assert!(refused.retry_wait() > Some(Duration::from_secs(1)));
    assert!(wait(&mut book, "guide", far).is_ok());
}

/// Symptom: after an outage every request went on being refused. Events: nothing was done for a
/// while; the rate came out as next to nothing; nothing more was let in, so no better rate was ever
/// measured. Cause: the rate was believed also when nothing waited.
#[test]
fn an_empty_line_lets_in_whatever_the_rate_was() {
    let mut book = book_of(&[account("guide")], 1);
    wait(&mut book, "guide", Duration::from_mins(1)).expect("let in");
    book.dispatch(START + Duration::from_secs(50), |_, _| {
        DispatchOutcome::Placed
    });
    assert!(book.is_empty());
    assert!(wait(&mut book, "guide", Duration::from_millis(10)).is_ok());
}

/// Symptom: an outage of the engines was followed by one of the entry hosts. Events: every attempt
/// fails, each request is tried three times. Cause: the attempts were bounded, not the retries.
#[test]
fn retries_stay_under_a_tenth() {
    let mut service = RetryBudget::default();
    let mut account = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        service.earn(10);
        account.earn(10);
        for cause in [
            RetryCause::Refused,
            RetryCause::Interrupted,
            RetryCause::Refused,
        ] {
            retries += u32::from(spend_both(&mut service, &mut account, cause));
        }
    }
    // A tenth and what was saved up, less what the full budgets could not take at first.
    assert_eq!(retries, 1_000 + 2 + 16 - 2);
}

/// Symptom: streams broke off for good when a host died during an outage of others. Cause: requests
/// that were refused had used up the retries that cut streams need.
#[test]
fn refused_requests_leave_the_retries_of_cut_ones() {
    let mut service = RetryBudget::default();
    let mut account = RetryBudget::default();
    while spend_both(&mut service, &mut account, RetryCause::Refused) {}
    assert!(spend_both(
        &mut service,
        &mut account,
        RetryCause::Interrupted
    ));
}
