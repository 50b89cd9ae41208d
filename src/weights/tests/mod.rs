//! Tests of the state machines and checks for weights.

mod link_pacing;
mod origin_outage;
mod replaced_hosts;
mod rollout;
mod slow_links;
mod spread;
mod unresponsive_hosts;
mod unresponsive_hosts_driver;
mod verification;
mod wide_fleet;
