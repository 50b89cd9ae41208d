//! The randomised run of several host processes, on fixed cases.

use crate::lab::soak::guard::{GuardCoverage, run_counted};
use crate::test_support::run_cases;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 24576;

// Symptom: a wake-up call rings twice, or one that was told "not run" rings. Events: outages of the
// table, lost answers, writes that take effect late, processes killed, paused past their leases and
// replaced, callers that ask again anywhere, wrong clocks. Cause: told by the commit of each check.
#[test]
fn keys_run_at_most_once() {
    let mut sum = GuardCoverage::default();
    run_cases(CASES, CASE_BYTES, |u| {
        let case = run_counted(u)?;
        sum.claimed += case.claimed;
        sum.unclaimed += case.unclaimed;
        sum.doubted += case.doubted;
        sum.reclaimed += case.reclaimed;
        sum.replayed += case.replayed;
        sum.not_known += case.not_known;
        Ok(())
    });
    // A driver that never comes to what it is for proves nothing.
    let reached = [
        sum.claimed,
        sum.unclaimed,
        sum.doubted,
        sum.reclaimed,
        sum.replayed,
        sum.not_known,
    ];
    assert!(reached.iter().all(|count| *count > 0), "{sum:?}");
    println!("{sum:?}");
}
