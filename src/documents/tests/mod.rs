//! Tests of documents.

mod acceptance;
mod check;
mod table_reader;
mod unknown_fields;
