//! `savory-lab weights`: how fast new weights reach N hosts, what it costs the origin, and what
//! live requests feel of it. Real host processes over loopback; the platform, the origin and the
//! engines stand in the lab's own process.

mod baseline;
mod burst;
mod command;
mod corrupting_host;
mod live;
mod machine;
mod plot;
mod report;
mod shape;
mod swarm;

pub(crate) use command::{run_weights, weights_command};
pub(crate) use corrupting_host::{corrupting_host_command, run_corrupting_host};
