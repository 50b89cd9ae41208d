//! Load on real processes: urgent calls under overload, shares under a flood, retries in an outage,
//! and what a call costs on its way.

mod command;
mod direct_calls;
mod open_loop;
mod parts;

pub(crate) use command::{load_command, run_load};
