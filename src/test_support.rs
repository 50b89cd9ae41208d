//! Randomised tests with the same verdict every time.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Runs `property` on `cases` inputs of `size` random bytes each. The inputs are the same in every
/// run; arbtest prints the seed of the one that fails. Its own search is bounded by time, which
/// would let the same tree pass on a slow machine and fail on a fast one.
pub(crate) fn run_cases(
    cases: u32,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for case in 1..=cases {
        // Spreads the case numbers over the whole seed; odd, so that no two cases meet.
        let spread = case.wrapping_mul(0x9e37_79b1);
        let seed = (u64::from(spread) << u32::BITS) | u64::from(size);
        arbtest(&mut property).seed(seed).run();
    }
}
