//! Tests of rollouts with fake engines and a fake table.

use crate::lab::soak::rollout;
use crate::test_support::run_cases;

/// Guards against more hosts out of service than allowed, requests admitted for a version that the
/// engine does not serve, and hosts that never serve again. Responses of the table and of engines
/// are lost, reports are late, processes and engines restart, documents change during a rollout,
/// and some versions fail to load. Such faults come from acting on assumptions instead of on what
/// was written or read back.
#[test]
fn rollouts_respect_their_limit_and_finish() {
    run_cases(300, 8 * 1024, rollout::run_case);
}
