//! Tests of the guard.

mod attempts;
mod fakes;
mod forward;
mod queue;
mod streams;
