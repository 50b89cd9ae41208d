//! The quickstart: the whole path on real processes, shown to a newcomer.

mod bad_requests;
mod command;
mod report;
mod show;
mod spread_watch;
mod steps;

pub(crate) use command::{quickstart_command, run_quickstart};
pub(crate) use spread_watch::progress_bar;
pub(crate) use steps::{
    new_call_runner, read_plain_calls, roll_out_first_version, wait_until_served,
};
