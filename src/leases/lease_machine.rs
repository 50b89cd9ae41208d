//! One process's side of one lease.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::lease_record::{LeaseHolder, LeaseRecord};
use crate::derives::plain;
use crate::stores::RowRevision;
use crate::time::{ClockTime, WallTime};

/// The part of a lease's length that its holder does not use, and that a taker adds, so that two
/// clocks that differ in speed never both see the lease as their own.
const MARGIN_DIVISOR: u32 = 5;
const RENEW_DIVISOR: u32 = 3;

/// What to do next about a lease.
#[apply(plain!)]
pub(crate) enum LeaseStep {
    /// Nothing until then.
    WaitUntil(ClockTime),
    /// Read the row, then tell [`LeaseMachine::on_read`].
    Read,
    /// Write the row, then tell [`LeaseMachine::on_written`], [`LeaseMachine::on_read`] with the
    /// row that stands instead, or, when it is not known whether the write took effect,
    /// [`LeaseMachine::on_doubt`].
    Write {
        /// The revision that is expected.
        expected: RowRevision,
        /// The record.
        record: LeaseRecord,
    },
}

/// One process's side of one lease: wants it, holds it, or watches another hold it.
///
/// A holder that was paused past its lease would go on acting beside its successor. One would
/// notice two holders in the same moment's log. The machine therefore counts the lease from the
/// moment *before* the write was sent, by the monotonic clock, ends it a fifth early, and answers
/// [`LeaseMachine::fence_at`] only while it holds; a taker waits until it has seen the row
/// unchanged for the whole length and a fifth more.
#[derive(Clone, Debug)]
pub(crate) struct LeaseMachine {
    holder: LeaseHolder,
    length: Duration,
    /// Whether this holder may act without a trace in the table while the table is away.
    acts_untraced: bool,
    view: LeaseView,
    /// When the write under way was sent.
    sent_at: ClockTime,
    /// The record of the write under way, or of one whose answer was lost.
    sent: Option<LeaseRecord>,
}

#[derive(Clone, Debug)]
enum LeaseView {
    /// Nothing is known; the row has to be read.
    Unknown,
    /// The row has no holder.
    Free {
        revision: RowRevision,
        record: Option<LeaseRecord>,
    },
    /// Another holds it; `since` is when this process first saw this revision.
    Foreign {
        revision: RowRevision,
        record: LeaseRecord,
        since: ClockTime,
    },
    /// This process holds it until `ends`.
    Held {
        revision: RowRevision,
        record: LeaseRecord,
        begun: ClockTime,
        ends: ClockTime,
    },
}

impl LeaseMachine {
    /// The side of `holder`, which holds the lease for `length` from each renewal.
    pub(crate) const fn new(holder: LeaseHolder, length: Duration) -> Self {
        let view = LeaseView::Unknown;
        Self {
            holder,
            length,
            acts_untraced: false,
            view,
            sent_at: ClockTime(0),
            sent: None,
        }
    }

    /// Says whether this holder may act without a trace in the table while the table is away. Holds
    /// from the next write on.
    pub(crate) const fn set_acts_untraced(&mut self, acts_untraced: bool) {
        self.acts_untraced = acts_untraced;
    }

    /// What to do next, for a process that wants the lease.
    pub(crate) fn next_step(&mut self, now: ClockTime, wall: WallTime) -> LeaseStep {
        match self.view.clone() {
            LeaseView::Unknown => LeaseStep::Read,
            LeaseView::Free { revision, record } => {
                let taken = self.taken_record(record.as_ref(), wall);
                self.write(now, revision, taken)
            }
            LeaseView::Foreign {
                revision,
                record,
                since,
            } => {
                let lapses = since + foreign_wait(&record);
                if now < lapses {
                    return LeaseStep::WaitUntil(lapses);
                }
                let taken = self.taken_record(Some(&record), wall);
                self.write(now, revision, taken)
            }
            LeaseView::Held {
                revision,
                record,
                begun,
                ..
            } => {
                let renew_at = begun + self.length / RENEW_DIVISOR;
                if now < renew_at {
                    return LeaseStep::WaitUntil(renew_at);
                }
                let next = LeaseRecord {
                    renewals: record.renewals + 1,
                    renewed_wall_ms: wall.0,
                    acts_untraced: self.acts_untraced,
                    ..record
                };
                self.write(now, revision, next)
            }
        }
    }

    /// The write that gives the lease back; `None` when this process does not hold it.
    pub(crate) fn release(&mut self) -> Option<(RowRevision, LeaseRecord)> {
        let LeaseView::Held {
            revision, record, ..
        } = std::mem::replace(&mut self.view, LeaseView::Unknown)
        else {
            return None;
        };
        Some((
            revision,
            LeaseRecord {
                holder: None,
                ..record
            },
        ))
    }

    /// The row stands as read at `now`; `None` when it is absent.
    pub(crate) fn on_read(&mut self, row: Option<(RowRevision, LeaseRecord)>, now: ClockTime) {
        let Some((revision, record)) = row else {
            self.sent = None;
            self.view = LeaseView::Free {
                revision: RowRevision::ABSENT,
                record: None,
            };
            return;
        };
        if self.sent.as_ref() == Some(&record) {
            // The answer to our own write was lost, but it took effect: the lease counts from when
            // that write was sent, not from now.
            self.hold(revision, record);
            return;
        }
        self.sent = None;
        self.view = match record.holder.as_ref() {
            None => LeaseView::Free {
                revision,
                record: Some(record),
            },
            Some(holder) if *holder == self.holder && self.holds_revision(revision) => {
                // The write that was in doubt did not take effect; what was held is still held.
                return;
            }
            Some(holder) if *holder == self.holder => {
                // A write of ours that we no longer know the time of; its lease cannot be counted,
                // but nobody else has it: renew it at once.
                LeaseView::Held {
                    revision,
                    record,
                    begun: ClockTime(0),
                    ends: ClockTime(0),
                }
            }
            Some(_) => self.foreign(revision, record, now),
        };
    }

    /// The write of the last step took effect.
    pub(crate) fn on_written(&mut self, revision: RowRevision) {
        if let Some(record) = self.sent.take() {
            self.hold(revision, record);
        }
    }

    /// It is not known whether the write of the last step took effect. What is held stays held
    /// until its end; the row is read before the next write.
    pub(crate) fn on_doubt(&mut self) {
        if !matches!(self.view, LeaseView::Held { .. }) {
            self.view = LeaseView::Unknown;
        }
    }

    /// Whether the last write's outcome is open, so that the row must be read first.
    pub(crate) const fn is_in_doubt(&self) -> bool {
        self.sent.is_some()
    }

    /// The fencing number, while this process holds the lease.
    pub(crate) fn fence_at(&self, now: ClockTime) -> Option<u64> {
        match &self.view {
            LeaseView::Held { record, ends, .. } if now < *ends => Some(record.fence),
            _ => None,
        }
    }

    /// Whether this holder may act now without a trace in the table. Not while a write is in doubt
    /// that took the permission back: the row may say so already, and a taker would have no doubt.
    pub(crate) fn may_act_untraced(&self, now: ClockTime) -> bool {
        let stands = self
            .held_record(now)
            .is_some_and(|record| record.acts_untraced);
        let sent = self.sent.as_ref();
        stands && self.acts_untraced && sent.is_none_or(|record| record.acts_untraced)
    }

    /// The record under which this process holds the lease.
    pub(crate) fn held_record(&self, now: ClockTime) -> Option<&LeaseRecord> {
        match &self.view {
            LeaseView::Held { record, ends, .. } if now < *ends => Some(record),
            _ => None,
        }
    }

    const fn holds_revision(&self, read: RowRevision) -> bool {
        matches!(&self.view, LeaseView::Held { revision, .. } if revision.0 == read.0)
    }

    fn write(&mut self, now: ClockTime, expected: RowRevision, record: LeaseRecord) -> LeaseStep {
        if self.sent.is_some() {
            return LeaseStep::Read;
        }
        self.sent_at = now;
        self.sent = Some(record.clone());
        LeaseStep::Write { expected, record }
    }

    /// The record of this process as the next holder after `earlier`.
    fn taken_record(&self, earlier: Option<&LeaseRecord>, wall: WallTime) -> LeaseRecord {
        LeaseRecord {
            holder: Some(self.holder.clone()),
            fence: earlier.map_or(0, |record| record.fence) + 1,
            length_ms: u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX),
            renewals: 0,
            renewed_wall_ms: wall.0,
            taken_wall_ms: wall.0,
            acts_untraced: self.acts_untraced,
            doubts: earlier.map_or_else(Vec::new, |record| record.doubts_for_taker(wall)),
        }
    }

    fn hold(&mut self, revision: RowRevision, record: LeaseRecord) {
        self.sent = None;
        let begun = self.sent_at;
        let ends = begun + self.length - self.length / MARGIN_DIVISOR;
        self.view = LeaseView::Held {
            revision,
            record,
            begun,
            ends,
        };
    }

    fn foreign(&self, revision: RowRevision, record: LeaseRecord, now: ClockTime) -> LeaseView {
        let since = match &self.view {
            LeaseView::Foreign {
                revision: known,
                since,
                ..
            } if *known == revision => *since,
            _ => now,
        };
        LeaseView::Foreign {
            revision,
            record,
            since,
        }
    }
}

/// How long a foreign lease must be seen unchanged before it may be taken.
fn foreign_wait(record: &LeaseRecord) -> Duration {
    let length = Duration::from_millis(record.length_ms);
    length + length / MARGIN_DIVISOR
}
