//! Entry hosts: callers' requests in, answers out.

use std::process::ExitCode;

/// The program's main function.
#[must_use]
pub fn entry_main() -> ExitCode {
    ExitCode::SUCCESS
}
