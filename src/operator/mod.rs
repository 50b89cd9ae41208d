//! Operators: the administration API and the command line on it.

mod admin;

pub(crate) use admin::admin_routes;

use std::process::ExitCode;

/// The program's main function.
#[must_use]
pub fn operator_main() -> ExitCode {
    ExitCode::SUCCESS
}
