//! Client of the platform's store, which keeps rows in tables: reads and watches tables, and writes
//! or removes rows, optionally on the condition that a row has an expected revision.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};

use super::engine_calls::exchange_with_timeouts;
use super::store_revision::{KnownEra, era_of, number_in, revision_in};
use super::store_rows::{RowsPage, StoreRow, TableView, read_page};
use crate::derives::{key, plain};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::StoreTime;
use crate::transport::{PeerClient, ResponseTimeouts};

/// The most rows that one call may change.
pub(crate) const CHANGED_ROWS_MAX: usize = 100;
/// The longest key of a row.
const KEY_BYTES_MAX: usize = 200;
/// Time limit for the complete body of a response while its bytes keep arriving. 1 MB, the largest
/// response of the store, takes 4 s over a twelfth of a 25 Mbit/s link.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The tables of the store that this system reads or writes.
#[apply(key!)]
pub(crate) enum TableName {
    /// Written by the operator: the document and the target version of each model.
    Operator,
    /// Written by the backend servers: their entries.
    Backends,
    /// Written by this system: the entries of the entry hosts, and the latest target updates.
    System,
    /// Written by this system: the requests that were running at backend servers that crashed.
    Crashes,
}

impl TableName {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "op",
            Self::Backends => "servers",
            // Named after entry hosts, whose entries were at first the only rows of this table.
            Self::System => "savory-entries",
            Self::Crashes => "savory-crashes",
        }
    }
}

/// The result of a watch.
#[apply(plain!)]
pub(crate) enum WatchResponse {
    /// The rows that changed, in order, and the revision from which to continue.
    Changed(TableView),
    /// The store no longer has the changes since that revision; read the complete table again.
    HistoryExpired,
}

/// The outcome of a conditional write.
#[apply(plain!)]
pub(crate) enum WriteOutcome {
    /// The row was written.
    Done {
        /// The new revision of the row.
        revision: u64,
    },
    /// Nothing was written: the row does not have the expected revision.
    Refused {
        /// The current row; none if it does not exist.
        row: Option<StoreRow>,
    },
}

/// The store's response to a conditional write.
#[apply(plain!)]
pub(crate) struct WriteResponse {
    /// The outcome of the write.
    pub(crate) outcome: WriteOutcome,
    /// The time of the store's clock at its response.
    pub(crate) store_time: StoreTime,
}

#[derive(Serialize)]
struct ChangeText<'a> {
    precondition: Vec<ConditionText<'a>>,
    writes: Vec<WriteText<'a>>,
    remove: Vec<RowName<'a>>,
}

#[derive(Serialize)]
struct RowName<'a> {
    table: &'static str,
    part: &'static str,
    key: &'a str,
}

#[derive(Serialize)]
struct ConditionText<'a> {
    table: &'static str,
    part: &'static str,
    key: &'a str,
    /// The revision that the row must have; 0 if it must not exist.
    ver: u64,
}

#[derive(Deserialize)]
struct DoneText {
    ver: u64,
    now_ms: u64,
}

#[derive(Serialize)]
struct WriteText<'a> {
    table: &'static str,
    part: &'static str,
    key: &'a str,
    value: String,
}

/// A client of the store; clones share its connections.
#[derive(Clone)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
    era: KnownEra,
}

/// A complete response of the store.
struct StoreResponse {
    status: StatusCode,
    era: u64,
    body: Bytes,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub(crate) fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self {
            address,
            client,
            era: KnownEra::default(),
        }
    }

    /// Reads all rows of a table, in as many pages as the store needs.
    ///
    /// `timeout` limits the wait for the response head of each page and for each further part of
    /// it.
    ///
    /// # Errors
    ///
    /// `TableUnavailable` if the store refuses, pauses for longer than `timeout`, or needs more
    /// than 5 s for the body of a page.
    pub(crate) async fn read_table(
        &self,
        table: TableName,
        timeout: Duration,
    ) -> SwitchResult<TableView> {
        let mut rows: Vec<StoreRow> = Vec::new();
        let mut first = None;
        let mut from = String::new();
        loop {
            let name = table.as_str();
            let range = if from.is_empty() {
                String::new()
            } else {
                format!("&from={}", encode(&from))
            };
            let path = format!("/v1/rows-get?table={name}&part={range}");
            let response = self.get(&path, timeout).await?;
            let page = parse_page(&response)?;
            // Pages may have different revisions. A watch from the first one reports what changed
            // between them.
            let (revision, store_time) =
                *first.get_or_insert((page.view.revision, page.view.store_time));
            rows.extend(page.view.rows);
            if !page.is_truncated {
                return Ok(TableView {
                    rows,
                    revision,
                    store_time,
                });
            }
            // Rows after the last valid key are read again with the next page. If there are no others,
            // the next request would be the same, so the loop would never end.
            let next = page.last_key.and_then(key_after);
            let next = next.filter(|next| *next > from);
            from = next.ok_or_else(|| {
                unavailable("a truncated response has no further rows".to_owned())
            })?;
        }
    }

    /// Waits up to `wait` for changes of a table after revision `since`.
    ///
    /// The history has also expired if the store is in another era than that of `since`: its
    /// numbers do not continue the known ones, even if it has that number again.
    ///
    /// # Errors
    ///
    /// `TableUnavailable` if the store refuses or does not respond within `wait` plus `timeout`.
    pub(crate) async fn watch_table(
        &self,
        table: TableName,
        since: u64,
        wait: Duration,
        timeout: Duration,
    ) -> SwitchResult<WatchResponse> {
        self.era.note(era_of(since));
        let name = table.as_str();
        let wait_ms = wait.as_millis();
        let number = number_in(since);
        let path = format!("/v1/rows-feed?table={name}&since_rev={number}&wait_ms={wait_ms}");
        let response = self
            .call(Method::GET, &path, Bytes::new(), wait + timeout)
            .await?;
        match response.status {
            StatusCode::GONE => Ok(WatchResponse::HistoryExpired),
            StatusCode::OK if response.era != era_of(since) => Ok(WatchResponse::HistoryExpired),
            StatusCode::OK => {
                let page = parse_page(&response)?;
                Ok(WatchResponse::Changed(page.view))
            }
            status => Err(refused(status)),
        }
    }

    /// Writes a row unconditionally.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; the store may have carried out the write nevertheless.
    pub(crate) async fn write_row(
        &self,
        table: TableName,
        key: &str,
        value: &[u8],
        timeout: Duration,
    ) -> SwitchResult<()> {
        let change = change_text(Vec::new(), table, &[(key, value)]);
        self.change_rows(&change, timeout).await.map(drop)
    }

    /// Writes up to [`CHANGED_ROWS_MAX`] rows unconditionally; returns their common revision.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; the store may have carried out the write nevertheless.
    pub(crate) async fn write_rows(
        &self,
        table: TableName,
        rows: &[(&str, &[u8])],
        timeout: Duration,
    ) -> SwitchResult<u64> {
        let change = change_text(Vec::new(), table, rows);
        self.change_rows(&change, timeout).await
    }

    /// Removes up to [`CHANGED_ROWS_MAX`] rows.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; the store may have removed the rows nevertheless.
    pub(crate) async fn remove_rows(
        &self,
        table: TableName,
        keys: &[&str],
        timeout: Duration,
    ) -> SwitchResult<()> {
        let names = keys.iter().map(|key| RowName {
            table: table.as_str(),
            part: "",
            key,
        });
        let change = ChangeText {
            precondition: Vec::new(),
            writes: Vec::new(),
            remove: names.collect(),
        };
        self.change_rows(&change, timeout).await.map(drop)
    }

    async fn change_rows(&self, change: &ChangeText<'_>, timeout: Duration) -> SwitchResult<u64> {
        let response = self.transact(change, timeout).await?;
        match response.status {
            StatusCode::OK => Ok(revision_in(response.era, read_done(&response.body)?.ver)),
            status => Err(refused(status)),
        }
    }

    /// Writes a row on the condition that it has revision `expected`; 0 if it must not exist.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; the store may have carried out the write nevertheless, or may do so
    /// later if the row still has that revision.
    pub(crate) async fn write_row_at(
        &self,
        table: TableName,
        (key, expected): (&str, u64),
        value: &[u8],
        timeout: Duration,
    ) -> SwitchResult<WriteResponse> {
        let condition = ConditionText {
            table: table.as_str(),
            part: "",
            key,
            ver: number_in(expected),
        };
        let change = change_text(vec![condition], table, &[(key, value)]);
        let response = self.transact(&change, timeout).await?;
        match response.status {
            StatusCode::OK => {
                let done = read_done(&response.body)?;
                Ok(WriteResponse {
                    outcome: WriteOutcome::Done {
                        revision: revision_in(response.era, done.ver),
                    },
                    store_time: StoreTime::from_millis(done.now_ms),
                })
            }
            StatusCode::PRECONDITION_FAILED => {
                let TableView {
                    mut rows,
                    store_time,
                    ..
                } = parse_page(&response)?.view;
                rows.retain(|row| row.key == key && row.value.is_some());
                Ok(WriteResponse {
                    outcome: WriteOutcome::Refused { row: rows.pop() },
                    store_time,
                })
            }
            status => Err(refused(status)),
        }
    }

    async fn transact(
        &self,
        change: &ChangeText<'_>,
        timeout: Duration,
    ) -> SwitchResult<StoreResponse> {
        let body = serde_json::to_vec(change)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let called = self.call(Method::POST, "/v1/rows-tx", body.into(), timeout);
        called.await
    }

    async fn get(&self, path: &str, timeout: Duration) -> SwitchResult<StoreResponse> {
        let response = self.call(Method::GET, path, Bytes::new(), timeout).await?;
        match response.status {
            StatusCode::OK => Ok(response),
            status => Err(refused(status)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> SwitchResult<StoreResponse> {
        let pace = ResponseTimeouts {
            head: timeout,
            idle: timeout,
            total: BODY_TIMEOUT,
        };
        // After an error the connections are dropped, since one that lost a response delivers no
        // other. The next call opens a new one.
        let called =
            exchange_with_timeouts(&self.client, self.address, (method, path, body), pace).await;
        let (parts, body) = called
            .map_err(|error| unavailable(error.to_string()))?
            .into_parts();
        Ok(StoreResponse {
            status: parts.status,
            era: self.era.of_answer(&parts.headers),
            body,
        })
    }
}

/// The least key after `key`; none if there is none.
fn key_after(mut key: String) -> Option<String> {
    if key.len() < KEY_BYTES_MAX {
        key.push('\0');
        return Some(key);
    }
    // A key that begins with this one would be too long, and the store may refuse it.
    while let Some(end) = key.pop() {
        let following = (end..=char::MAX).nth(1);
        if let Some(following) = following
            && key.len() + following.len_utf8() <= KEY_BYTES_MAX
        {
            key.push(following);
            return Some(key);
        }
    }
    None
}

fn change_text<'a>(
    precondition: Vec<ConditionText<'a>>,
    table: TableName,
    rows: &[(&'a str, &[u8])],
) -> ChangeText<'a> {
    let writes = rows.iter().map(|(key, value)| WriteText {
        table: table.as_str(),
        part: "",
        key,
        value: BASE64.encode(value),
    });
    ChangeText {
        precondition,
        writes: writes.collect(),
        remove: Vec::new(),
    }
}

fn read_done(body: &[u8]) -> SwitchResult<DoneText> {
    serde_json::from_slice(body).map_err(|fault| unreadable(&fault))
}

fn parse_page(response: &StoreResponse) -> SwitchResult<RowsPage> {
    read_page(&response.body, response.era).map_err(|fault| unreadable(&fault))
}

fn unreadable(fault: &serde_json::Error) -> SwitchError {
    unavailable(format!("cannot decode a response: {fault}"))
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn refused(status: StatusCode) -> SwitchError {
    unavailable(format!("responded with {status}"))
}

fn unavailable(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::TableUnavailable, detail)
}
