//! The entry host's daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryswitch::entry_main()
}
