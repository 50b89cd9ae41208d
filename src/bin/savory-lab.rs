//! Stand-ins and measurements.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryswitch::lab_main()
}
