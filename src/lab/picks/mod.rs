//! `savory-lab picks` measures how long it takes to pick a backend server and to admit a request.
//! It also compares the request latency under the product's picks with that under three simpler
//! strategies, in a small queueing simulation of backend servers that differ in capacity and
//! speed and whose load reports arrive late.

mod command;
pub(crate) mod fixtures;
mod operation_costs;
mod simulation;

pub(crate) use command::{picks_command, run_picks};
