//! Stand-in for the platform's table: rows written by compare-and-set, with one revision counter
//! for all rows.

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

use super::stand_in::{StandInRequest, refusal, unknown_path_reply};
use crate::derives::{message, plain};
use crate::transport::json_response;

/// Rows per response to a list request.
const ROWS_MAX: u64 = 500;

/// The table, held in memory.
#[derive(Debug, Default)]
pub(crate) struct TableStandIn {
    rows: Mutex<TableRows>,
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Debug, Default)]
struct TableRows {
    /// Ordered by key, because clients list ranges of keys.
    rows: BTreeMap<String, StoredRow>,
    last_revision: u64,
}

#[apply(plain!)]
struct StoredRow {
    revision: u64,
    value: Bytes,
}

/// Number of requests to the table.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct TableCounts {
    /// Reads of a row or of a range of rows.
    pub(crate) reads: u64,
    /// Writes and removals, including those rejected because of a conflict.
    pub(crate) writes: u64,
}

#[apply(plain!)]
#[derive(Serialize)]
struct RowReply<'a> {
    key: &'a str,
    revision: u64,
    value: String,
}

#[derive(Serialize)]
struct WriteReply {
    revision: u64,
}

impl TableStandIn {
    /// Returns the number of reads and writes so far.
    pub(crate) fn counts(&self) -> TableCounts {
        TableCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }

    pub(super) fn answer(&self, request: &StandInRequest) -> Response {
        let key = request.parameter("key").unwrap_or_default();
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/table/v1/row") => self.read(key),
            (&Method::GET, "/table/v1/rows") => self.list(request),
            (&Method::PUT, "/table/v1/row") => self.write(key, request),
            (&Method::GET, "/lab/counts") => json_response(StatusCode::OK, &self.counts()),
            _ => unknown_path_reply(request),
        }
    }

    fn read(&self, key: &str) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        match rows.rows.get(key) {
            Some(row) => json_response(StatusCode::OK, &row_reply(key, row)),
            None => refusal(StatusCode::NOT_FOUND, "the row does not exist"),
        }
    }

    fn list(&self, request: &StandInRequest) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let limit = request.number("limit", ROWS_MAX).min(ROWS_MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let matching = rows
            .rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after);
        let page: Vec<RowReply<'_>> = matching
            .take(limit)
            .map(|(key, row)| row_reply(key, row))
            .collect();
        json_response(StatusCode::OK, &page)
    }

    fn write(&self, key: &str, request: &StandInRequest) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let Some(expected) = request
            .parameter("if_revision")
            .and_then(|text| text.parse::<u64>().ok())
        else {
            return refusal(
                StatusCode::BAD_REQUEST,
                "query parameter if_revision is missing or no number",
            );
        };
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let current = rows.rows.get(key);
        let revision: u64 = current.map_or(0, |row| row.revision);
        if revision != expected {
            let current = current.map(|row| row_reply(key, row));
            return json_response(StatusCode::CONFLICT, &current);
        }
        rows.last_revision += 1;
        let revision = rows.last_revision;
        let row = StoredRow {
            revision,
            value: request.body.clone(),
        };
        rows.rows.insert(key.to_owned(), row);
        json_response(StatusCode::OK, &WriteReply { revision })
    }
}

fn row_reply<'a>(key: &'a str, row: &StoredRow) -> RowReply<'a> {
    RowReply {
        key,
        revision: row.revision,
        value: BASE64.encode(&row.value),
    }
}
