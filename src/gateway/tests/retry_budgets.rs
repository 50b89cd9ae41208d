//! The retry budgets of an entry host, and what an operator sees of them.

use std::time::Duration;

use bytestring::ByteString;

use crate::fleet::RetryShareLimits;
use crate::gateway::retry_budgets::{ResendReason, RetryBudgets, SharedLimits};
use crate::metrics::render_text;
use crate::time::ClockTime;

const START: ClockTime = ClockTime::from_millis(60_000);
const WINDOW: Duration = Duration::from_secs(10);
const LIMITS: RetryShareLimits = RetryShareLimits {
    ratio: 0.0,
    extra: 40.0,
    window: WINDOW,
    entries: 4,
    counted_since: Some(ClockTime(0)),
};

/// How many retries an entry host gets at `now`, if the others count it since `counted_since`.
fn granted(counted_since: Option<ClockTime>, now: ClockTime) -> usize {
    let budgets = RetryBudgets::default();
    let shared = SharedLimits {
        limits: RetryShareLimits {
            counted_since,
            ..LIMITS
        },
        list_digest: 0,
    };
    let service = ByteString::from_static("desk");
    let charge = |_: &usize| {
        let charge = budgets.try_charge(&service, ResendReason::NotRun, shared, now);
        charge.is_some()
    };
    (0..100).filter(charge).count()
}

/// Guards against a fixed number of retries that is spent again by each process of an entry host, or
/// by an entry host that the others do not count.
#[test]
fn an_entry_host_gets_its_part_of_the_fixed_number_a_window_after_it_is_counted() {
    let soon = START + Duration::from_secs(1);
    assert_eq!(granted(Some(START - WINDOW * 2), soon), 9);
    assert_eq!(granted(Some(START), soon), 0);
    assert_eq!(granted(Some(START), START + WINDOW * 11 / 10), 9);
    assert_eq!(granted(None, START + WINDOW * 11 / 10), 0);
}

/// Guards against a budget of which an operator cannot see how it is used.
#[test]
fn retries_are_counted_by_action_and_reason() {
    let budgets = RetryBudgets::default();
    let shared = SharedLimits {
        limits: RetryShareLimits {
            extra: 4.2,
            ..LIMITS
        },
        list_digest: 7,
    };
    let service = ByteString::from_static("counted");
    let reason = ResendReason::StreamPaused;
    let charge = budgets.try_charge(&service, reason, shared, START);
    let charge = charge.expect("one retry is left");
    assert!(
        budgets
            .try_charge(&service, reason, shared, START)
            .is_none()
    );
    budgets.refund(&service, charge, shared, START);
    budgets.note_free(&service, ResendReason::NotSent, shared, START);
    let text = render_text();
    for (action, reason) in [
        ("charged", "stream_paused"),
        ("denied", "stream_paused"),
        ("refunded", "stream_paused"),
        ("free", "not_sent"),
    ] {
        let labels = format!("action=\"{action}\"");
        let reason = format!("reason=\"{reason}\"");
        let mut lines = text.lines();
        let is_counted = |line: &str| {
            line.starts_with("savory_retry_budget")
                && line.contains(&labels)
                && line.contains(&reason)
        };
        assert!(lines.any(is_counted), "{action}: {text}");
    }
    let mut lines = text.lines();
    assert!(
        lines.any(|line| line.contains("retry_budget_entry_hosts")
            && line.contains("of=\"counted\"")
            && line.ends_with(" 4")),
        "{text}"
    );
}
