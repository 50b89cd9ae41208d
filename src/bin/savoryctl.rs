//! Command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryswitch::operator_main()
}
