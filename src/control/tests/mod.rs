//! Tests of the control state.

use crate::lab::soak;
use crate::test_support::run_cases;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 4096;

// Symptom: an accepted change is undone for a while. Events: processes are cut off, joined and
// started anew; the table shows old rows. Cause, without the comparison of versions: what came last
// wins; without the warm-up: a new process acts on the first thing that it reads.
#[test]
fn what_is_acted_on_never_goes_back_and_converges() {
    run_cases(CASES, CASE_BYTES, soak::spread::run_case);
}
