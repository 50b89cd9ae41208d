//! Tests of the weights' state machines and checks.

mod checks;
mod dark_hosts;
mod dark_hosts_driver;
mod link;
mod lost_hosts;
mod origin_away;
mod rollout;
mod slow_links;
mod spread;
mod wide_fleet;
