//! Tests of the host process's traffic.

mod attempts;
mod fakes;
mod forward;
mod keyed;
mod keys;
mod queue;
mod soak;
mod streams;
