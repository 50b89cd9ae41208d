//! Daemon of an entry host: accepts client requests and forwards them to backend servers.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryswitch::entry_main()
}
