//! Tests of the weights' state machines and checks.

mod checks;
mod rollout;
mod spread;
