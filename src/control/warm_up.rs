//! The first moments of a process, in which it does not act on documents yet.

use std::time::Duration;

use crate::time::ClockTime;

/// How long a new process waits at most for what it asked.
const WARM_WITHIN: Duration = Duration::from_secs(2);

/// Holds back the documents of a process that has just started until it has asked the table and its
/// neighbours.
///
/// A new process knows nothing, and the first answer may be old: a stale read of the table, or a
/// neighbour that was cut off. Acting on it would undo an accepted change for a while, most of all
/// when every entry host restarts at once and only the backend servers' processes still know. One
/// would notice a version going back after a restart. So a process waits until the table and every
/// neighbour has answered or failed, takes the greatest, and only then acts; after two seconds it
/// acts on what it has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUp {
    ends: Option<ClockTime>,
    table_settled: bool,
    list_settled: bool,
    done: bool,
}

impl WarmUp {
    /// A process that knows nothing.
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

    /// The table answered or failed for the first time.
    pub(crate) const fn on_table(&mut self) {
        self.table_settled = true;
    }

    /// The list of hosts was read: from now on the neighbours are known.
    pub(crate) const fn on_list(&mut self) {
        self.list_settled = true;
    }

    /// Time has passed; `asked` when every neighbour has answered or failed. Returns whether this
    /// ended the waiting.
    pub(crate) fn on_tick(&mut self, asked: bool, now: ClockTime) -> bool {
        let ends = *self.ends.get_or_insert(now + WARM_WITHIN);
        let all = self.table_settled && self.list_settled && asked;
        let ended = !self.done && (all || now >= ends);
        self.done |= ended;
        ended
    }
}
