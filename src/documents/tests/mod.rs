//! Tests of documents.

mod acceptance;
mod check;
mod read_scheduler;
mod unknown_fields;
