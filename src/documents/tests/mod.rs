//! Tests of documents.

mod acceptance;
mod check;
mod unknown_fields;
