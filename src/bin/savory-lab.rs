//! Test bench: stand-ins for engines and the platform, fault injection, load and measurements.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryswitch::lab_main()
}
