//! `savory-lab picks`: what a pick and an admission cost, and how long requests take under the
//! product's picks against three simpler ways, in a small queueing model of backend servers that
//! differ in size and speed and report late.

mod command;
pub(crate) mod fixtures;
mod model;
mod timing;

pub(crate) use command::{picks_command, run_picks};
