//! The platform's table: rows under one revision counter, written by compare-and-set.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use serde::Serialize;
use volo_http::response::Response;

use super::stand_in::{LabCall, refusal, unknown};
use crate::derives::{message, plain};
use crate::transport::json_response;

const ROWS_MAX: u64 = 500;

/// The table.
#[derive(Debug, Default)]
pub(crate) struct TableStandIn {
    rows: Mutex<TableRows>,
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Debug, Default)]
struct TableRows {
    /// Ordered by key, because readers ask for ranges.
    rows: BTreeMap<String, KeptRow>,
    last_revision: u64,
}

#[apply(plain!)]
struct KeptRow {
    revision: u64,
    value: Bytes,
}

/// How often the table was used.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct TableCounts {
    /// Reads of a row or of a range.
    pub(crate) reads: u64,
    /// Writes and removals, those that met a conflict included.
    pub(crate) writes: u64,
}

#[apply(plain!)]
#[derive(Serialize)]
struct RowText<'a> {
    key: &'a str,
    revision: u64,
    value: String,
}

#[derive(Serialize)]
struct WrittenText {
    revision: u64,
}

impl TableStandIn {
    /// How often it was used.
    pub(crate) fn counts(&self) -> TableCounts {
        TableCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }

    pub(super) fn answer(&self, call: &LabCall) -> Response {
        let key = call.parameter("key").unwrap_or_default();
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/table/v1/row") => self.read(key),
            (&Method::GET, "/table/v1/rows") => self.list(call),
            (&Method::PUT, "/table/v1/row") => self.write(key, call),
            (&Method::GET, "/lab/counts") => json_response(StatusCode::OK, &self.counts()),
            _ => unknown(call),
        }
    }

    fn read(&self, key: &str) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        match rows.rows.get(key) {
            Some(row) => json_response(StatusCode::OK, &row_text(key, row)),
            None => refusal(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    fn list(&self, call: &LabCall) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let prefix = call.parameter("prefix").unwrap_or_default();
        let after = call.parameter("after").unwrap_or_default();
        let limit = call.number("limit", ROWS_MAX).min(ROWS_MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let wanted = rows
            .rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after);
        let page: Vec<RowText<'_>> = wanted
            .take(limit)
            .map(|(key, row)| row_text(key, row))
            .collect();
        json_response(StatusCode::OK, &page)
    }

    fn write(&self, key: &str, call: &LabCall) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let Some(expected) = call
            .parameter("if_revision")
            .and_then(|text| text.parse::<u64>().ok())
        else {
            return refusal(StatusCode::BAD_REQUEST, "if_revision is missing");
        };
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let standing = rows.rows.get(key);
        let revision: u64 = standing.map_or(0, |row| row.revision);
        if revision != expected {
            let standing = standing.map(|row| row_text(key, row));
            return json_response(StatusCode::CONFLICT, &standing);
        }
        rows.last_revision += 1;
        let revision = rows.last_revision;
        let row = KeptRow {
            revision,
            value: call.body.clone(),
        };
        rows.rows.insert(key.to_owned(), row);
        json_response(StatusCode::OK, &WrittenText { revision })
    }
}

fn row_text<'a>(key: &'a str, row: &KeptRow) -> RowText<'a> {
    RowText {
        key,
        revision: row.revision,
        value: BASE64.encode(&row.value),
    }
}
