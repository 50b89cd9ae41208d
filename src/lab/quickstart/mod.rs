//! The quickstart: demonstrates how requests, documents and weights pass through a small system of
//! real processes. Its setup steps are shared with the other measurements.

mod bad_requests;
mod command;
mod quickstart_run;
mod report;
mod rollout_watch;
mod steps;

pub(crate) use command::{quickstart_command, run_quickstart};
pub(crate) use rollout_watch::progress_bar;
pub(crate) use steps::{
    new_call_runner, read_plain_calls, roll_out_first_version, wait_until_served,
};
