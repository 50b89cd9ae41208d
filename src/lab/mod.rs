//! Stand-ins and measurements; never deployed.

use std::process::ExitCode;

/// The program's main function.
#[must_use]
pub fn lab_main() -> ExitCode {
    ExitCode::SUCCESS
}
