//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryswitch::operator_main()
}
