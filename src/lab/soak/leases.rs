//! Several processes, one row, clocks that stand still for one of them: at no moment do two of
//! them hold the lease.

use std::time::Duration;

use arbitrary::{Result, Unstructured};

use crate::leases::{LeaseHolder, LeaseMachine, LeaseRecord, LeaseStep};
use crate::stores::RowRevision;
use crate::time::{ClockTime, WallTime};

const LENGTH: Duration = Duration::from_secs(10);
const PROCESSES: usize = 3;
const EVENTS: usize = 400;

/// The lease's row.
#[derive(Default)]
pub(crate) struct FakeRow {
    /// Grows with each write.
    pub(crate) revision: u64,
    record: Option<LeaseRecord>,
}

impl FakeRow {
    /// Reads it.
    pub(crate) fn read(&self) -> Option<(RowRevision, LeaseRecord)> {
        self.record
            .clone()
            .map(|record| (RowRevision(self.revision), record))
    }

    /// Writes it if it stands at `expected`; returns whether it did.
    pub(crate) fn write(&mut self, expected: RowRevision, record: LeaseRecord) -> bool {
        let fits = self.revision == expected.0;
        if fits {
            self.revision += 1;
            self.record = Some(record);
        }
        fits
    }
}

/// The side of one process.
pub(crate) fn machine(index: usize) -> LeaseMachine {
    let host = format!("host-{index}").into();
    LeaseMachine::new(
        LeaseHolder {
            host,
            incarnation: 1,
        },
        LENGTH,
    )
}

/// One step of one process: the table may be away, or lose the answer after the write took effect.
fn step(
    u: &mut Unstructured<'_>,
    side: &mut LeaseMachine,
    row: &mut FakeRow,
    now: ClockTime,
) -> Result<()> {
    let wall = WallTime(now.0 / 1000);
    let is_away = u.ratio(1, 5)?;
    let step = if side.is_in_doubt() {
        LeaseStep::Read
    } else {
        side.next_step(now, wall)
    };
    match step {
        LeaseStep::WaitUntil(_) => {}
        LeaseStep::Read if is_away => {}
        LeaseStep::Read => side.on_read(row.read(), now),
        LeaseStep::Write { .. } if is_away => side.on_doubt(),
        LeaseStep::Write { expected, record } => {
            let written = row.write(expected, record);
            if u.ratio(1, 4)? {
                side.on_doubt();
            } else if written {
                side.on_written(RowRevision(row.revision));
            } else {
                side.on_read(row.read(), now);
            }
        }
    }
    Ok(())
}

/// Runs one case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut row = FakeRow::default();
    let mut sides: Vec<_> = (0..PROCESSES).map(machine).collect();
    let mut now = ClockTime::from_millis(1000);
    let mut greatest_fence = 0;
    for _ in 0..EVENTS {
        now = now + Duration::from_millis(u.int_in_range(1..=4000)?);
        let index = u.choose_index(PROCESSES)?;
        step(u, &mut sides[index], &mut row, now)?;
        let fences: Vec<_> = sides.iter().filter_map(|side| side.fence_at(now)).collect();
        assert!(fences.len() <= 1, "two holders: {fences:?}");
        let fence = fences.first().copied().unwrap_or(greatest_fence);
        assert!(fence >= greatest_fence, "the fencing number went back");
        greatest_fence = fence;
    }
    Ok(())
}
