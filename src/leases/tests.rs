//! Several processes, one row, clocks that stand still for one of them: at no moment do two of
//! them hold the lease.

use super::{LeaseMachine, LeaseStep};
use crate::lab::soak::leases::{FakeRow, machine, run_case};
use crate::stores::RowRevision;
use crate::test_support::run_cases;
use crate::time::{ClockTime, WallTime};

const CASES: u32 = 300;
const CASE_BYTES: u32 = 8192;

// Symptom: two processes act under one lease. Events: outages, answers lost after the write took
// effect, a holder that is not scheduled for longer than its lease. Cause, without the margins and
// the count from before the write: the holder's end lies behind the taker's beginning.
#[test]
fn one_holder_at_a_time() {
    run_cases(CASES, CASE_BYTES, run_case);
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let mut row = FakeRow::default();
    let mut first = machine(0);
    let mut second = machine(1);
    let now = ClockTime::from_millis(1000);
    take(&mut first, &mut row, now);
    assert_eq!(first.fence_at(now), Some(1));
    let (expected, record) = first.release().expect("the first holds it");
    assert!(row.write(expected, record));
    take(&mut second, &mut row, now);
    assert_eq!(first.fence_at(now), None);
    assert_eq!(second.fence_at(now), Some(2));
}

fn take(side: &mut LeaseMachine, row: &mut FakeRow, now: ClockTime) {
    side.on_read(row.read(), now);
    let LeaseStep::Write { expected, record } = side.next_step(now, WallTime(0)) else {
        panic!("the lease is free");
    };
    assert!(row.write(expected, record));
    side.on_written(RowRevision(row.revision));
}
