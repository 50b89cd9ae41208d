//! Accepting document changes while the table fails in various ways.

use crate::lab::soak;
use crate::test_support::run_cases;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 4096;

// Guards against a change that is reported as refused but takes effect, a change that is accepted
// twice, and a process that returns to a previous version. Operators make concurrent changes while
// the table is unavailable, loses responses and applies writes late. The failures occur if a lost
// response is treated as a refusal, or if a row counts as newer because it arrived later.
#[test]
fn changes_are_accepted_once_and_never_revert() {
    run_cases(CASES, CASE_BYTES, soak::documents::run_case);
}
