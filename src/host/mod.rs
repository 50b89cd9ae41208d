//! The host process: one small process beside each backend server.

use std::process::ExitCode;

/// The program's main function.
#[must_use]
pub fn host_main() -> ExitCode {
    ExitCode::SUCCESS
}
