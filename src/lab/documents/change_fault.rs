//! The faults that a run injects around a document change, and how one is drawn.

use macro_rules_attribute::apply;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::derives::key;

/// A fault injected around one change. The report contains the variant names.
#[apply(key!)]
pub(super) enum ChangeFault {
    /// No fault.
    Quiet,
    /// The table is down from the outcome of the change until three seconds after the change is in
    /// force everywhere.
    TableDownAfter,
    /// The table's open connections stop responding after the outcome of the change.
    TableSilentAfter,
    /// Half of the table's responses to writes are lost while the change is submitted.
    AnswersLost,
    /// The entry host that received the change first is killed right after the response and
    /// restarted.
    AcceptorKilledAfter,
    /// As `AcceptorKilledAfter`, with a table outage as in `TableDownAfter`.
    AcceptorAndTableLost,
    /// The entry host that receives the change first is killed while it processes the change.
    AcceptorKilledAmid,
    /// Every entry host is killed after the outcome and restarted.
    EntriesRestarted,
    /// The host process of a backend server is killed after the outcome and restarted.
    BackendRestarted,
    /// An entry host is paused before the change is submitted, until two seconds after the outcome.
    EntryFrozen,
    /// All processes of a data centre are paused before the change is submitted, until four seconds
    /// after the outcome.
    CentreFrozen,
    /// Two operators submit different changes to the same document at the same time.
    Race,
}

/// The faults drawn when a change gets one, all with equal probability.
const INJECTED_FAULTS: [ChangeFault; 11] = [
    ChangeFault::TableDownAfter,
    ChangeFault::TableSilentAfter,
    ChangeFault::AnswersLost,
    ChangeFault::AcceptorKilledAfter,
    ChangeFault::AcceptorAndTableLost,
    ChangeFault::AcceptorKilledAmid,
    ChangeFault::EntriesRestarted,
    ChangeFault::BackendRestarted,
    ChangeFault::EntryFrozen,
    ChangeFault::CentreFrozen,
    ChangeFault::Race,
];
/// Share of the changes that get no fault.
const NO_FAULT_PERCENT: u32 = 20;

impl ChangeFault {
    /// Draws the fault for the next change.
    pub(super) fn draw(random: &mut StdRng) -> Self {
        if random.random_range(0..100) < NO_FAULT_PERCENT {
            return Self::Quiet;
        }
        INJECTED_FAULTS[random.random_range(0..INJECTED_FAULTS.len())]
    }
}
