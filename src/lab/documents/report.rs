//! What a run found.

use macro_rules_attribute::apply;

use crate::derives::message;

/// How long a change may take until it is in force in the last process.
const IN_FORCE_WITHIN_S: f64 = 4.0;
/// How long senders may take to learn that a backend server is leaving.
const LEAVING_KNOWN_WITHIN_S: f64 = 2.0;

/// What a run found.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct DocumentsReport {
    /// Makes the same run again.
    pub(crate) seed: u64,
    /// Processes that have to have each document in force.
    pub(crate) processes: usize,
    /// Changes that were tried.
    pub(crate) changes: u64,
    /// Changes that were accepted.
    pub(crate) accepted: u64,
    /// Changes that lost a race or met an outage, and were told so.
    pub(crate) refused: u64,
    /// Changes that were never settled, over all repetitions.
    pub(crate) in_doubt: u64,
    /// Seconds from acceptance, or from when a process was there again if that came later, until
    /// the last process had the change in force: half of the changes took less.
    pub(crate) in_force_p50_s: f64,
    /// 99 in 100 took less.
    pub(crate) in_force_p99_s: f64,
    /// The longest.
    pub(crate) in_force_max_s: f64,
    /// Changes that were not in force everywhere when the wait was given up.
    pub(crate) not_in_force: u64,
    /// Times that a process had an older version in force than before, restarts included.
    pub(crate) reverted: u64,
    /// Changes told as accepted that the table does not hold.
    pub(crate) accepted_lost: u64,
    /// Changes that made two versions.
    pub(crate) accepted_twice: u64,
    /// Changes told as refused that the table holds.
    pub(crate) refused_but_stand: u64,
    /// The table's reads a second for documents, by all processes together, while nothing changes.
    pub(crate) table_reads_per_s: f64,
    /// The longest time, in seconds, from a backend server's signal to stop until every entry host
    /// counted it as leaving.
    pub(crate) leaving_known_max_s: f64,
    /// How often each fault struck.
    pub(crate) faults: Vec<FaultCount>,
    /// The worst changes, for finding a cause.
    pub(crate) slowest: Vec<SlowChange>,
}

/// How often a fault struck.
#[apply(message!)]
pub(crate) struct FaultCount {
    /// The fault.
    pub(crate) fault: String,
    /// How often.
    pub(crate) count: u64,
    /// The longest that a change took with it.
    pub(crate) in_force_max_s: f64,
}

/// One change.
#[apply(message!)]
pub(crate) struct SlowChange {
    /// Its place in the run.
    pub(crate) change: u64,
    /// The fault that struck.
    pub(crate) fault: String,
    /// The process that was last.
    pub(crate) last: String,
    /// How long it took there.
    pub(crate) seconds: f64,
}

impl DocumentsReport {
    /// Whether nothing was lost, doubled, reverted or late.
    pub(crate) fn held(&self) -> bool {
        self.reverted == 0
            && self.accepted_lost == 0
            && self.accepted_twice == 0
            && self.refused_but_stand == 0
            && self.not_in_force == 0
            && self.in_doubt == 0
            && self.in_force_max_s <= IN_FORCE_WITHIN_S
            && self.leaving_known_max_s <= LEAVING_KNOWN_WITHIN_S
    }

    /// Prints it, as JSON or for people.
    pub(crate) fn print(&self, is_json: bool) {
        if is_json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
            return;
        }
        println!(
            "{} changes over {} processes: {} accepted, {} refused, {} in doubt",
            self.changes, self.processes, self.accepted, self.refused, self.in_doubt
        );
        println!(
            "in force everywhere: p50 {:.3} s, p99 {:.3} s, max {:.3} s; not in force {}",
            self.in_force_p50_s, self.in_force_p99_s, self.in_force_max_s, self.not_in_force
        );
        println!(
            "reverted {}, accepted and lost {}, accepted twice {}, refused but standing {}",
            self.reverted, self.accepted_lost, self.accepted_twice, self.refused_but_stand
        );
        println!("table reads a second: {:.2}", self.table_reads_per_s);
        println!(
            "leaving known everywhere: max {:.3} s",
            self.leaving_known_max_s
        );
        for fault in &self.faults {
            println!(
                "  {:28} {:3} times, longest {:.3} s",
                fault.fault, fault.count, fault.in_force_max_s
            );
        }
    }
}
