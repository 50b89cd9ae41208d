//! Which fault strikes with a change.

use macro_rules_attribute::apply;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::derives::key;

/// A fault that strikes with a change.
#[apply(key!)]
pub(super) enum ChangeFault {
    /// None.
    Quiet,
    /// The table is down for three seconds from the acceptance on.
    TableDownAfter,
    /// The table's connections that are open go silent at the acceptance.
    TableSilentAfter,
    /// Half of the table's answers to writes are lost while the change is put.
    AnswersLost,
    /// The entry host that accepted is killed right after its answer.
    AcceptorKilledAfter,
    /// The same, and the table is down for three seconds from then on.
    AcceptorAndTableLost,
    /// The entry host that is asked is killed while it works on the change.
    AcceptorKilledAmid,
    /// Every entry host is killed at the acceptance and started again.
    EntriesRestarted,
    /// A backend server's process is killed at the acceptance and started again.
    BackendRestarted,
    /// An entry host is frozen for two seconds from before the change.
    EntryFrozen,
    /// A whole data centre is frozen for four seconds from before the change.
    CentreFrozen,
    /// Two operators put different changes at the same moment.
    Race,
}

const FAULTS: [ChangeFault; 11] = [
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
const QUIET_PERCENT: u32 = 20;

impl ChangeFault {
    /// The next fault that `random` makes.
    pub(super) fn draw(random: &mut StdRng) -> Self {
        if random.random_range(0..100) < QUIET_PERCENT {
            return Self::Quiet;
        }
        FAULTS[random.random_range(0..FAULTS.len())]
    }
}
