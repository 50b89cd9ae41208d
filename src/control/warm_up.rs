//! The warm-up of a process, during which it does not act on documents yet.

use std::time::Duration;

use crate::time::ClockTime;

/// Maximum duration of the warm-up.
const WARM_UP_MAX: Duration = Duration::from_secs(2);

/// Withholds the documents of a process that has just started until it has queried the table and
/// its neighbours.
///
/// A new process has no documents, and the first response may be out of date: a stale read of the
/// table, or a neighbour that was partitioned. Acting on it would temporarily undo an accepted
/// change, and a version would decrease after a restart. The risk is greatest when every entry host
/// restarts at once and only the processes next to backend servers still have the change. Therefore
/// a process waits until the table and every neighbour have responded or failed, keeps the greatest
/// version of each document, and acts only then. After [`WARM_UP_MAX`] it acts on what it has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUp {
    ends: Option<ClockTime>,
    table_settled: bool,
    list_settled: bool,
    done: bool,
}

impl WarmUp {
    /// Starts the warm-up.
    pub(crate) const fn new() -> Self {
        Self {
            ends: None,
            table_settled: false,
            list_settled: false,
            done: false,
        }
    }

    /// Whether the process may act on documents.
    pub(crate) const fn is_done(&self) -> bool {
        self.done
    }

    /// The table responded or failed.
    pub(crate) const fn on_table(&mut self) {
        self.table_settled = true;
    }

    /// The host list was read, so the neighbours are known.
    pub(crate) const fn on_list(&mut self) {
        self.list_settled = true;
    }

    /// Handles the passing of time. `neighbours_settled` says whether every neighbour has responded
    /// or failed. Returns whether the warm-up ended with this call.
    pub(crate) fn on_tick(&mut self, neighbours_settled: bool, now: ClockTime) -> bool {
        let ends = *self.ends.get_or_insert(now + WARM_UP_MAX);
        let all_settled = self.table_settled && self.list_settled && neighbours_settled;
        let ended = !self.done && (all_settled || now >= ends);
        self.done |= ended;
        ended
    }
}
