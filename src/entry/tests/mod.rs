//! Tests of the entry host's edges, over loopback, against a fake host process.

mod answers;
mod fake_host;
mod refusals;
