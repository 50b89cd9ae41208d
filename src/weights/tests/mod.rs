//! Tests of the weights' state machines and checks.

mod checks;
mod link;
mod rollout;
mod spread;
