//! Accepting changes while the table fails in every way that it can.

use crate::lab::soak;
use crate::test_support::run_cases;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 4096;

// Symptom: an operator is told "refused" and the change stands, or a change is accepted twice, or
// a process falls back to an older version. Events: operators race; the table is away, loses
// answers, and lets writes arrive late. Cause, without the protections: an answer that was lost is
// taken for a refusal, or a row is taken for newer because it came later.
#[test]
fn changes_are_accepted_once_and_never_revert() {
    run_cases(CASES, CASE_BYTES, soak::documents::run_case);
}
