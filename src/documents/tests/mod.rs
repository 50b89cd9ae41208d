//! Tests of documents.
