//! Tests of the entry host's HTTP interface over loopback, with fake host processes.

mod answers;
mod fake_host;
mod refusals;
