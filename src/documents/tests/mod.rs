//! Tests of service documents.

mod acceptance;
mod check;
mod read_scheduler;
mod unknown_fields;
