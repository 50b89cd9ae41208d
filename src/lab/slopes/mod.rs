//! `savory-lab slopes`: what control costs a daemon, against the size of the system, the number of
//! documents and the number of accounts.

mod command;
mod machine;
mod run;
mod sample;
mod transports;

pub(crate) use command::{run_slopes, slopes_command};
