//! Randomised long runs of the state machines. Each slice drives one state machine through a
//! random case and checks its invariants. Unit tests run the same cases from fixed seeds;
//! `savory-lab soak` runs new ones until its time limit.

pub(crate) mod admission;
mod command;
pub(crate) mod delivery;
pub(crate) mod documents;
pub(crate) mod membership;
pub(crate) mod rollout;
pub(crate) mod routing;
pub(crate) mod spread;
pub(crate) mod weights;

use arbitrary::Unstructured;

pub(crate) use command::{run_soak, soak_command};

/// Runs one case, which takes its random choices from the given bytes.
///
/// # Panics
///
/// If the state machine violates an invariant.
///
/// # Errors
///
/// If the bytes are used up, which ends the case early and is not a failure.
type CaseRunner = fn(&mut Unstructured<'_>) -> arbitrary::Result<()>;

/// A state machine that the soak test can run on its own.
pub(crate) struct SoakSlice {
    /// The name for `--slice` and in the printed report.
    pub(crate) name: &'static str,
    /// Number of random bytes for one case.
    pub(crate) case_bytes: usize,
    /// Runs one case.
    pub(crate) run_case: CaseRunner,
}

/// All slices, in the order in which the soak test runs them.
pub(crate) const SLICES: &[SoakSlice] = &[
    slice("admission", 4096, admission::run_case),
    slice("delivery", 512, delivery::run_case),
    slice("documents", 4096, documents::run_case),
    slice("fairness", 16384, admission::run_fair_case),
    slice("membership", 8192, membership::run_case),
    slice("rollout", 8192, rollout::run_case),
    slice("spread", 4096, spread::run_case),
    slice("weights", 16384, weights::run_case),
    slice("routing", 4096, routing::run_case),
];

const fn slice(name: &'static str, case_bytes: usize, run_case: CaseRunner) -> SoakSlice {
    SoakSlice {
        name,
        case_bytes,
        run_case,
    }
}
