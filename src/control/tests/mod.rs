//! Tests of the control state.

use crate::lab::soak;
use crate::test_support::run_cases;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 4096;

// Guards against an accepted change that is temporarily undone. Processes are partitioned,
// reconnected and restarted, and the table returns stale rows. Without the comparison of versions,
// the last row to arrive would win; without the warm-up, a new process would act on the first row
// that it reads.
#[test]
fn effective_versions_never_decrease_and_converge() {
    run_cases(CASES, CASE_BYTES, soak::spread::run_case);
}
