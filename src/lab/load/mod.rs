//! `savory-lab load` measures live requests on real processes: the latency of urgent calls under
//! overload, the shares of client accounts while one of them sends far too much, the retries while
//! all engines refuse, and the latency that entry host and host process add to a call.

mod command;
mod direct_calls;
mod measurement;
mod open_loop;

pub(crate) use command::{load_command, run_load};
