//! `savory-lab weights`: how fast new weights reach N hosts, what it costs the origin, and what
//! live requests feel of it. Real host processes over loopback; the platform, the origin and the
//! engines stand in the lab's own process.

mod baseline;
mod burst;
mod command;
mod live;
mod machine;
mod plot;
mod report;
mod shape;
mod spoiling_host;
mod swarm;

pub(crate) use command::{run_weights, weights_command};
pub(crate) use spoiling_host::{run_spoiling_host, spoiling_host_command};
