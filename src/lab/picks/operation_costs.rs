//! What a pick and an admission cost, in nanoseconds of this machine.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::fixtures::{account_name, document, entry, snapshot};
use crate::admission::{AdmissionState, DispatchOutcome, QueuedRequest};
use crate::documents::RequestPriority;
use crate::membership::LoadReport;
use crate::routing::{BackendPool, PickCriteria, PickFailure, PickTarget};
use crate::time::ClockTime;

const ROUNDS: u32 = 200_000;
const WARM_UP: u32 = 20_000;
const ENTRIES: usize = 52;
const CAPACITY: u32 = 8;
const LONG: Duration = Duration::from_mins(1);
const SHORT: Duration = Duration::from_millis(100);
const NOW: ClockTime = ClockTime::from_millis(1_000);

/// Nanoseconds of one step each.
pub(super) struct StepCosts {
    /// A pick and the note of its end, with room everywhere.
    pub(super) pick: u64,
    /// The same with the prompt's beginning as a hint.
    pub(super) pick_by_prefix: u64,
    /// A pick that finds every backend server full.
    pub(super) pick_when_full: u64,
    /// Letting in, queueing, leaving the queue and ending, with every account waiting.
    pub(super) admission: u64,
    /// Refusing one whose deadline the line does not allow, with every account waiting.
    pub(super) refusal: u64,
}

/// Measures all of them.
pub(super) fn measure_steps(backends: usize, accounts: usize) -> StepCosts {
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
    StepCosts {
        pick: time_picks(backends, report, false),
        pick_by_prefix: time_picks(backends, report, true),
        pick_when_full: time_picks(backends, full, false),
        admission: time_admission(accounts, false),
        refusal: time_admission(accounts, true),
    }
}

fn time_picks(backends: usize, report: LoadReport, by_prefix: bool) -> u64 {
    let mut pool = BackendPool::new(1);
    let snapshot = snapshot(1, ENTRIES, &vec![(report, 1); backends]);
    pool.refresh(&snapshot, &document(1), &entry(0), NOW);
    let mut number = 0_u64;
    time_steps(|| {
        number += 1;
        let wish = PickCriteria {
            target: PickTarget::Any,
            urgent: false,
            prefix: by_prefix.then_some(number),
            avoid: None,
        };
        match black_box(pool.pick(&wish, NOW)) {
            Ok(picked) => pool.note_success(picked.key, Duration::from_millis(1), 100, None, NOW),
            Err(PickFailure::Full) => {}
            Err(PickFailure::NoneEligible) => panic!("there are backend servers"),
        }
    })
}

/// One a millisecond goes, so that a line of all accounts takes about a second.
fn time_admission(accounts: usize, refuses: bool) -> u64 {
    let mut book = AdmissionState::new();
    let document = document(accounts);
    book.refresh(&document.accounts, 10, 1, NOW);
    let names: Vec<_> = (0..accounts).map(account_name).collect();
    let mut now = NOW;
    let mut number = 0;
    for name in &names {
        enter(&mut book, name, now, LONG);
    }
    let mut go_one = |book: &mut AdmissionState<()>| {
        now = now + Duration::from_millis(1);
        number = (number + 1) % names.len();
        enter(book, &names[number], now, LONG);
        leave_one(book, now);
    };
    for _ in 0..WARM_UP {
        go_one(&mut book);
    }
    if !refuses {
        return time_steps(|| go_one(&mut book));
    }
    let name = names[0].clone();
    time_steps(|| {
        let is_refused = !enter(&mut book, &name, now, SHORT);
        assert!(is_refused, "the line is longer than that");
    })
}

/// Lets one request in, if it can make it; one that cannot leaves at once.
fn enter(
    book: &mut AdmissionState<()>,
    name: &ByteString,
    now: ClockTime,
    limit: Duration,
) -> bool {
    let account = book
        .admit(name, RequestPriority::Normal, now)
        .expect("the limits are wide");
    let wish = QueuedRequest {
        account,
        priority: RequestPriority::Normal,
        cost: 100,
        deadline: now + limit,
        skips_fair_queue: false,
        target: (),
    };
    let entered = book.enqueue(wish, now).is_ok();
    if !entered {
        book.release(account);
    }
    entered
}

fn leave_one(book: &mut AdmissionState<()>, now: ClockTime) {
    let mut gone = None;
    book.dispatch(now, |_, wish| {
        if gone.is_some() {
            return DispatchOutcome::Full;
        }
        gone = Some(wish.account);
        DispatchOutcome::Placed
    });
    book.release(gone.expect("the line is never empty"));
}

fn time_steps(mut step: impl FnMut()) -> u64 {
    for _ in 0..WARM_UP {
        step();
    }
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        step();
    }
    let nanos = begun.elapsed().as_nanos() / u128::from(ROUNDS);
    u64::try_from(nanos).unwrap_or(u64::MAX)
}
