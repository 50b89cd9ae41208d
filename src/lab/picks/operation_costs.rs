//! Measures the time that a pick and an admission take on this machine, in nanoseconds.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::fixtures::{account_name, document, entry, snapshot};
use crate::admission::{AdmissionState, DispatchOutcome, QueuedRequest};
use crate::documents::RequestPriority;
use crate::membership::LoadReport;
use crate::routing::{BackendPool, PickCriteria, PickFailure, PickTarget};
use crate::time::ClockTime;

const MEASURED_CALLS: u32 = 200_000;
const WARM_UP_CALLS: u32 = 20_000;
const ENTRY_HOSTS: usize = 52;
const CAPACITY: u32 = 8;
const LONG_DEADLINE: Duration = Duration::from_mins(1);
const SHORT_DEADLINE: Duration = Duration::from_millis(100);
const NOW: ClockTime = ClockTime::from_millis(1_000);

/// Mean time of each operation in nanoseconds.
pub(super) struct OperationCosts {
    /// A pick and the recording of its success, while every backend server has free slots.
    pub(super) pick: u64,
    /// The same, with the hash of the prompt's prefix as a hint.
    pub(super) pick_by_prefix: u64,
    /// A pick that fails because every backend server is full.
    pub(super) pick_when_full: u64,
    /// Admitting, queueing, dispatching and releasing a request, while every account has queued
    /// requests.
    pub(super) admission: u64,
    /// Refusing a request that would miss its deadline in the queue, while every account has queued
    /// requests.
    pub(super) refusal: u64,
}

/// Measures all operations, one after the other.
pub(super) fn measure_operations(backends: usize, accounts: usize) -> OperationCosts {
    let report = LoadReport {
        running: CAPACITY / 2,
        waiting: 0,
        capacity: CAPACITY,
        queue_room: 0,
    };
    let full = LoadReport {
        running: CAPACITY * 2,
        ..report
    };
    OperationCosts {
        pick: nanos_per_pick(backends, report, false),
        pick_by_prefix: nanos_per_pick(backends, report, true),
        pick_when_full: nanos_per_pick(backends, full, false),
        admission: nanos_per_admission(accounts, false),
        refusal: nanos_per_admission(accounts, true),
    }
}

/// Mean time of a pick among `backends` backend servers that all sent `report`.
fn nanos_per_pick(backends: usize, report: LoadReport, by_prefix: bool) -> u64 {
    let mut pool = BackendPool::new(1);
    let snapshot = snapshot(1, ENTRY_HOSTS, &vec![(report, 1); backends]);
    pool.refresh(&snapshot, &document(1), &entry(0), NOW);
    let mut number = 0_u64;
    nanos_per_call(|| {
        number += 1;
        let criteria = PickCriteria {
            target: PickTarget::Any,
            urgent: false,
            prefix: by_prefix.then_some(number),
            avoid: None,
        };
        match black_box(pool.pick(&criteria, NOW)) {
            Ok(picked) => pool.note_success(picked.key, Duration::from_millis(1), 100, None, NOW),
            Err(PickFailure::Full) => {}
            Err(PickFailure::NoneEligible) => panic!("the pool has eligible backend servers"),
        }
    })
}

/// Mean time of an admission, or of a refusal if `measures_refusal`. One request is dispatched per
/// simulated millisecond, so a queue with one request per account takes about a second to drain
/// with 1 000 accounts.
fn nanos_per_admission(accounts: usize, measures_refusal: bool) -> u64 {
    let mut admission = AdmissionState::new();
    let document = document(accounts);
    admission.refresh(&document.accounts, 10, 1, NOW);
    let names: Vec<_> = (0..accounts).map(account_name).collect();
    let mut now = NOW;
    let mut number = 0;
    for name in &names {
        try_enqueue(&mut admission, name, now, LONG_DEADLINE);
    }
    let mut admit_and_dispatch = |admission: &mut AdmissionState<()>| {
        now = now + Duration::from_millis(1);
        number = (number + 1) % names.len();
        try_enqueue(admission, &names[number], now, LONG_DEADLINE);
        dispatch_one(admission, now);
    };
    for _ in 0..WARM_UP_CALLS {
        admit_and_dispatch(&mut admission);
    }
    if !measures_refusal {
        return nanos_per_call(|| admit_and_dispatch(&mut admission));
    }
    let name = names[0].clone();
    nanos_per_call(|| {
        let was_refused = !try_enqueue(&mut admission, &name, now, SHORT_DEADLINE);
        assert!(was_refused, "the queue takes longer than the deadline");
    })
}

/// Admits and enqueues one request. Returns `false`, and releases the request, if it would miss its
/// deadline in the queue.
fn try_enqueue(
    admission: &mut AdmissionState<()>,
    name: &ByteString,
    now: ClockTime,
    time_limit: Duration,
) -> bool {
    let account = admission
        .admit(name, RequestPriority::Normal, now)
        .expect("the account's limits are not reached");
    let request = QueuedRequest {
        account,
        priority: RequestPriority::Normal,
        cost: 100,
        deadline: now + time_limit,
        skips_fair_queue: false,
        target: (),
    };
    let entered = admission.enqueue(request, now).is_ok();
    if !entered {
        admission.release(account);
    }
    entered
}

/// Dispatches one queued request and releases it.
fn dispatch_one(admission: &mut AdmissionState<()>, now: ClockTime) {
    let mut dispatched_account = None;
    admission.dispatch(now, |_, request| {
        if dispatched_account.is_some() {
            return DispatchOutcome::Full;
        }
        dispatched_account = Some(request.account);
        DispatchOutcome::Dispatched
    });
    admission.release(dispatched_account.expect("the queue is never empty"));
}

/// Mean time of `operation` in nanoseconds, after a warm-up.
fn nanos_per_call(mut operation: impl FnMut()) -> u64 {
    for _ in 0..WARM_UP_CALLS {
        operation();
    }
    let started_at = Instant::now();
    for _ in 0..MEASURED_CALLS {
        operation();
    }
    let nanos = started_at.elapsed().as_nanos() / u128::from(MEASURED_CALLS);
    u64::try_from(nanos).unwrap_or(u64::MAX)
}
