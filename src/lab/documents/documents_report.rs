//! The report of a run, and the limits that it is checked against.

use macro_rules_attribute::apply;

use crate::derives::message;

/// Limit, in seconds, until a change is in force in the last process.
const IN_FORCE_LIMIT_S: f64 = 4.0;
/// Limit, in seconds, until every entry host knows that a backend server is leaving.
const LEAVING_KNOWN_LIMIT_S: f64 = 2.0;

/// The results of a run. The field names are the keys of the printed JSON.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct DocumentsReport {
    /// The seed, which reproduces the same changes and faults.
    pub(crate) seed: u64,
    /// Number of processes in which each document has to be in force.
    pub(crate) processes: usize,
    /// Changes that operators submitted.
    pub(crate) changes: u64,
    /// Changes that were accepted.
    pub(crate) accepted: u64,
    /// Changes refused because of a concurrent change or an outage.
    pub(crate) refused: u64,
    /// Changes whose outcome remained unknown after all attempts.
    pub(crate) in_doubt: u64,
    /// Median time, in seconds, from the acceptance of a change until the last process had it in
    /// force. For a process that was restarted or paused, the time counts from its return if that
    /// was later than the acceptance.
    pub(crate) in_force_p50_s: f64,
    /// 99th percentile of the same time.
    pub(crate) in_force_p99_s: f64,
    /// Maximum of the same time.
    pub(crate) in_force_max_s: f64,
    /// Changes that were not in force in every process within the timeout.
    pub(crate) not_in_force: u64,
    /// Number of times that a process had an older version in force than before, also across
    /// restarts.
    pub(crate) reverted: u64,
    /// Changes reported as accepted that the table does not contain.
    pub(crate) accepted_lost: u64,
    /// Changes stored as more than one version.
    pub(crate) accepted_twice: u64,
    /// Changes reported as refused that the table contains.
    pub(crate) refused_but_stand: u64,
    /// Table reads for documents per second, all processes together, while no document changes.
    pub(crate) table_reads_per_s: f64,
    /// The longest time, in seconds, from the stop signal to a backend server until every entry
    /// host listed it as leaving.
    pub(crate) leaving_known_max_s: f64,
    /// One entry per fault that was injected.
    pub(crate) faults: Vec<FaultCount>,
    /// The slowest changes, slowest first, for diagnosis.
    pub(crate) slowest: Vec<ChangeTiming>,
}

/// The changes during which one fault was injected.
#[apply(message!)]
pub(crate) struct FaultCount {
    /// Name of the fault.
    pub(crate) fault: String,
    /// Number of changes.
    pub(crate) count: u64,
    /// The longest time, in seconds, until such a change was in force everywhere.
    pub(crate) in_force_max_s: f64,
}

/// Time that one change took until it was in force in every process.
#[apply(message!)]
pub(crate) struct ChangeTiming {
    /// Index of the change in the run.
    pub(crate) change: u64,
    /// Name of the injected fault.
    pub(crate) fault: String,
    /// Host of the slowest process.
    pub(crate) last: String,
    /// Time, in seconds, until the change was in force there.
    pub(crate) seconds: f64,
}

impl DocumentsReport {
    /// Returns whether no change was lost, duplicated, reverted, late or without a known outcome.
    pub(crate) fn held(&self) -> bool {
        self.reverted == 0
            && self.accepted_lost == 0
            && self.accepted_twice == 0
            && self.refused_but_stand == 0
            && self.not_in_force == 0
            && self.in_doubt == 0
            && self.in_force_max_s <= IN_FORCE_LIMIT_S
            && self.leaving_known_max_s <= LEAVING_KNOWN_LIMIT_S
    }

    /// Prints the report to standard output, as JSON if `is_json` is set, and as text otherwise.
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
