//! The platform's store: rows in tables, read as a whole or followed by what changes.

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

use super::engine_calls::exchange_arriving;
use super::store_rows::{RowsPage, StoreRow, TableView, read_page};
use crate::derives::{key, plain};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::StoreTime;
use crate::transport::{AnswerPace, PeerClient};

/// Rows that one call may change.
pub(crate) const CHANGED_ROWS_MAX: usize = 100;
/// How long the whole body of an answer may take while bytes of it arrive. A megabyte, the most that the store
/// sends at once, takes 4 s over a twelfth of a link of 25 Mbit/s.
const ANSWER_WHOLE: Duration = Duration::from_secs(5);

/// The tables that the system reads or writes.
#[apply(key!)]
pub(crate) enum TableName {
    /// The operator's: the document and the versions of weights that are wanted.
    Operator,
    /// The backend servers' own entries.
    Backends,
    /// The system's own: the entry hosts, and which versions of weights were named last.
    System,
    /// The system's own: which requests were under way at backend servers that crashed.
    Crashes,
}

impl TableName {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "op",
            Self::Backends => "servers",
            // The name is from the rows that stood there first.
            Self::System => "savory-entries",
            Self::Crashes => "savory-crashes",
        }
    }
}

/// What a watch of a table found.
#[apply(plain!)]
pub(crate) enum WatchResponse {
    /// The rows that changed since, in order, and where to go on.
    Changed(TableView),
    /// The store no longer has the history since; the table has to be read as a whole.
    HistoryExpired,
}

/// What became of a write under a condition.
#[apply(plain!)]
pub(crate) enum WriteOutcome {
    /// It was done.
    Done {
        /// The row's revision now.
        revision: u64,
    },
    /// The row has another revision than was expected.
    Refused {
        /// The row as it stands; none when there is none.
        row: Option<StoreRow>,
    },
}

/// The store's answer to a write under a condition.
#[apply(plain!)]
pub(crate) struct WriteResponse {
    /// What became of it.
    pub(crate) outcome: WriteOutcome,
    /// What the store's clock showed as it answered.
    pub(crate) told_at: StoreTime,
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
    /// The revision that the row must have; 0 while there is none.
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

/// The client of the store.
#[derive(Clone)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

impl StoreClient {
    /// A client of the store at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// `TableUnavailable` when the store gave no answer within `within` or refused.
    pub(crate) async fn read_table(
        &self,
        table: TableName,
        within: Duration,
    ) -> SwitchResult<TableView> {
        let mut rows: Vec<StoreRow> = Vec::new();
        let mut first = None;
        loop {
            let name = table.as_str();
            let from = rows.last().map(|row| format!("{}\0", row.key));
            let from = from.map_or_else(String::new, |from| format!("&from={}", encode(&from)));
            let path = format!("/v1/rows-get?table={name}&part={from}");
            let answer = self.get(&path, within).await?;
            let page = parse_page(&answer)?;
            // Each page is of its own moment: what changes between two of them is told behind the first.
            let (revision, told_at) = *first.get_or_insert((page.view.revision, page.view.told_at));
            let read = rows.len();
            rows.extend(page.view.rows);
            if !page.is_truncated {
                return Ok(TableView {
                    rows,
                    revision,
                    told_at,
                });
            }
            // The same page would be asked for again, and again without a pause.
            if rows.len() == read {
                return Err(unavailable("an answer has no rows and goes on".to_owned()));
            }
        }
    }

    /// Waits up to `wait` for a change of a table behind `since`.
    ///
    /// # Errors
    ///
    /// `TableUnavailable` when the store gave no answer within `wait` and `within`, or refused.
    pub(crate) async fn watch_table(
        &self,
        table: TableName,
        since: u64,
        wait: Duration,
        within: Duration,
    ) -> SwitchResult<WatchResponse> {
        let name = table.as_str();
        let wait_ms = wait.as_millis();
        let path = format!("/v1/rows-feed?table={name}&since_rev={since}&wait_ms={wait_ms}");
        let (status, body) = self
            .call(Method::GET, &path, Bytes::new(), wait + within)
            .await?;
        match status {
            StatusCode::GONE => Ok(WatchResponse::HistoryExpired),
            StatusCode::OK => {
                let page = parse_page(&body)?;
                Ok(WatchResponse::Changed(page.view))
            }
            status => Err(refused(status)),
        }
    }

    /// Writes a row, whatever stands there.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; the write may have been done all the same.
    pub(crate) async fn write_row(
        &self,
        table: TableName,
        key: &str,
        value: &[u8],
        within: Duration,
    ) -> SwitchResult<()> {
        let change = change_text(Vec::new(), table, &[(key, value)]);
        self.change_rows(&change, within).await.map(drop)
    }

    /// Writes up to [`CHANGED_ROWS_MAX`] rows, whatever stands there; returns their revision.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; the write may have been done all the same.
    pub(crate) async fn write_rows(
        &self,
        table: TableName,
        rows: &[(&str, &[u8])],
        within: Duration,
    ) -> SwitchResult<u64> {
        let change = change_text(Vec::new(), table, rows);
        self.change_rows(&change, within).await
    }

    /// Removes up to [`CHANGED_ROWS_MAX`] rows.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; they may have been removed all the same.
    pub(crate) async fn remove_rows(
        &self,
        table: TableName,
        keys: &[&str],
        within: Duration,
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
        self.change_rows(&change, within).await.map(drop)
    }

    async fn change_rows(&self, change: &ChangeText<'_>, within: Duration) -> SwitchResult<u64> {
        match self.transact(change, within).await? {
            (StatusCode::OK, body) => Ok(read_done(&body)?.ver),
            (status, _) => Err(refused(status)),
        }
    }

    /// Writes a row that must have revision `expected`, 0 while there must be none.
    ///
    /// # Errors
    ///
    /// `TableUnavailable`; the write may have been done all the same, or be done later if the row
    /// still has that revision then.
    pub(crate) async fn write_row_at(
        &self,
        table: TableName,
        (key, expected): (&str, u64),
        value: &[u8],
        within: Duration,
    ) -> SwitchResult<WriteResponse> {
        let condition = ConditionText {
            table: table.as_str(),
            part: "",
            key,
            ver: expected,
        };
        let change = change_text(vec![condition], table, &[(key, value)]);
        let (status, body) = self.transact(&change, within).await?;
        match status {
            StatusCode::OK => {
                let done = read_done(&body)?;
                Ok(WriteResponse {
                    outcome: WriteOutcome::Done { revision: done.ver },
                    told_at: StoreTime::from_millis(done.now_ms),
                })
            }
            StatusCode::PRECONDITION_FAILED => {
                let TableView {
                    mut rows, told_at, ..
                } = parse_page(&body)?.view;
                rows.retain(|row| row.key == key && row.value.is_some());
                Ok(WriteResponse {
                    outcome: WriteOutcome::Refused { row: rows.pop() },
                    told_at,
                })
            }
            status => Err(refused(status)),
        }
    }

    async fn transact(
        &self,
        change: &ChangeText<'_>,
        within: Duration,
    ) -> SwitchResult<(StatusCode, Bytes)> {
        let body = serde_json::to_vec(change)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let called = self.call(Method::POST, "/v1/rows-tx", body.into(), within);
        called.await
    }

    async fn get(&self, path: &str, within: Duration) -> SwitchResult<Bytes> {
        match self.call(Method::GET, path, Bytes::new(), within).await? {
            (StatusCode::OK, body) => Ok(body),
            (status, _) => Err(refused(status)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> SwitchResult<(StatusCode, Bytes)> {
        let pace = AnswerPace {
            head: within,
            idle: within,
            whole: ANSWER_WHOLE,
        };
        // A connection on which an answer was lost delivers nothing further. The next call opens a new one.
        let called =
            exchange_arriving(&self.client, self.address, (method, path, body), pace).await;
        called.map_err(|error| unavailable(error.to_string()))
    }
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

fn parse_page(body: &[u8]) -> SwitchResult<RowsPage> {
    read_page(body).map_err(|fault| unreadable(&fault))
}

fn unreadable(fault: &serde_json::Error) -> SwitchError {
    unavailable(format!("an answer does not read: {fault}"))
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn refused(status: StatusCode) -> SwitchError {
    unavailable(format!("answered {status}"))
}

fn unavailable(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::TableUnavailable, detail)
}
