//! Daemon that runs next to each backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryswitch::host_main()
}
