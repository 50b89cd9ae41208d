//! Rollouts over fake engines and a fake table.

use crate::lab::soak::rollout;
use crate::test_support::run_cases;

/// Symptom: more hosts than allowed out of service, requests let in for a version that the engine
/// does not serve, or a host that never serves again. Events: answers of the table and of engines
/// lost, reports late, processes and engines restarted, documents changed on the way, versions that
/// do not load. Cause: acting on what is believed in place of what was written or read back.
#[test]
fn rollouts_keep_their_bound_and_end() {
    run_cases(300, 8 * 1024, rollout::run_case);
}
