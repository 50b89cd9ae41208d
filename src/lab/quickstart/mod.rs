//! The quickstart: the whole path on real processes, shown to a newcomer.

mod command;
mod report;
mod show;
mod spread_watch;

pub(crate) use command::{quickstart_command, run_quickstart};
pub(crate) use spread_watch::wait_for_spread;
