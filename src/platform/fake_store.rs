//! A fake of the platform's store for the lab and for tests in other folders. It has rows in
//! tables, one counter of revisions for all tables, conditional transactions, reads and watches.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use http::StatusCode;
use macro_rules_attribute::apply;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use super::store_client::TableName;
use crate::daemon::DrainState;
use crate::derives::key;
use crate::time::clock_now;
use crate::transport::{HttpServer, json_response, read_body};

const STORE_ERA: &str = "store-era";
const BODY_BYTES_MAX: usize = 1024 * 1024;
/// The longest key, in bytes.
const KEY_BYTES_MAX: usize = 200;
/// The most rows in one response to a read.
const PAGE_ROWS: usize = 500;
/// The most overwritten rows that are kept for watches; without a limit, a long run would keep them
/// all.
const PAST_ROWS_MAX: usize = 4096;

/// A fault that is injected into the store.
#[apply(key!)]
#[derive(Default)]
pub(crate) enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// It refuses all calls with status 503.
    Down,
    /// It delays each call by this time.
    Slow(Duration),
    /// It carries out each call, but never responds.
    DropsResponses,
}

#[derive(Clone)]
struct FakeRow {
    table: String,
    key: String,
    revision: u64,
    /// The value as JSON, usually a string of base64; none if the row was removed.
    value: Option<Box<RawValue>>,
}

/// A row in a response.
#[derive(Serialize)]
struct RowText<'a> {
    key: &'a str,
    ver: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

/// A response with rows.
#[derive(Serialize)]
struct PageText<'a> {
    rows: Vec<RowText<'a>>,
    truncated: bool,
    ver: u64,
    now_ms: u64,
}

impl FakeRow {
    /// Whether the row is written by the operator or a backend server.
    fn is_of_others(&self) -> bool {
        [TableName::Operator, TableName::Backends]
            .iter()
            .any(|table| table.as_str() == self.table)
    }
}

/// Rows of other programs that the store lost when it returned from a copy.
pub(crate) struct LostRows {
    /// The revision of the copy.
    since: u64,
    rows: Vec<FakeRow>,
}

#[derive(Clone, Default)]
struct FakeRows {
    revision: u64,
    /// The number of reads and watches.
    read_calls: usize,
    /// The number of transactions, including refused ones.
    change_calls: usize,
    /// The number of transactions that were carried out.
    changes_done: usize,
    /// The oldest revision from which a watch can continue.
    history_from: u64,
    /// The current rows.
    rows: Vec<FakeRow>,
    /// Overwritten rows, as far back as the history goes.
    past: Vec<FakeRow>,
    /// The time by which each row delays the response of a watch.
    row_delay: Duration,
    fault: StoreFault,
    /// The most rows in one response to a read, if it is not the usual number.
    page_rows: Option<usize>,
    /// The number of rows sent of each table, sorted by table.
    sent: Vec<(String, usize)>,
}

impl FakeRows {
    fn put(&mut self, table: &str, key: &str, value: Option<Box<RawValue>>) {
        self.revision += 1;
        let is_same_row = |row: &mut FakeRow| row.table == table && row.key == key;
        self.past.extend(self.rows.extract_if(.., is_same_row));
        if self.past.len() > PAST_ROWS_MAX {
            let dropped = self.past.drain(..PAST_ROWS_MAX / 2);
            let newest = dropped.map(|row| row.revision).max();
            self.history_from = self.history_from.max(newest.unwrap_or(0));
        }
        self.rows.push(FakeRow {
            table: table.to_owned(),
            key: key.to_owned(),
            revision: self.revision,
            value,
        });
    }

    fn add_sent(&mut self, table: &str, count: usize) {
        match self.sent.binary_search_by(|(name, _)| (**name).cmp(table)) {
            Ok(index) => self.sent[index].1 += count,
            Err(index) => self.sent.insert(index, (table.to_owned(), count)),
        }
    }

    /// The revision of a row; 0 if it does not exist.
    fn revision_of(&self, table: &str, key: &str) -> u64 {
        let mut rows = self.rows.iter();
        let found = rows.find(|row| row.table == table && row.key == key && row.value.is_some());
        found.map_or(0, |row| row.revision)
    }

    /// All changes after `since`, including overwritten ones.
    fn changes_after(&self, table: &str, since: u64) -> Vec<&FakeRow> {
        let rows = self.rows.iter().chain(&self.past);
        let mut found: Vec<&FakeRow> = rows
            .filter(|row| row.table == table && row.revision > since)
            .collect();
        found.sort_by_key(|row| row.revision);
        found
    }

    /// Whether the store has the changes after `since`.
    fn has_history(&self, since: u64) -> bool {
        (self.history_from..=self.revision).contains(&since)
    }

    fn has_changes(&self, table: &str, since: u64) -> bool {
        !self.has_history(since) || !self.changes_after(table, since).is_empty()
    }

    /// A complete response with `rows`.
    fn page_of(&self, rows: Vec<&FakeRow>) -> Box<RawValue> {
        json_text(&PageText {
            rows: rows.into_iter().map(row_text).collect(),
            truncated: false,
            ver: self.revision,
            now_ms: now_ms(),
        })
    }

    /// The existing rows, sorted by key.
    fn existing(&self, table: &str) -> Vec<&FakeRow> {
        let rows = self.rows.iter();
        let mut found: Vec<&FakeRow> = rows
            .filter(|row| row.table == table && row.value.is_some())
            .collect();
        found.sort_by(|left, right| left.key.cmp(&right.key));
        found
    }
}

/// A fake store; clones share the rows.
#[derive(Clone)]
pub(crate) struct FakeStore {
    /// The address on which it serves.
    pub(crate) address: SocketAddr,
    rows: Arc<Mutex<FakeRows>>,
    /// A copy of the rows from which it can return.
    copy: Arc<Mutex<FakeRows>>,
    /// The number of times that it has returned from a copy, plus one.
    era: Arc<AtomicU64>,
    /// Whether its responses do not report the era.
    hides_era: Arc<AtomicBool>,
    /// Wakes watches on each change.
    changes: Arc<watch::Sender<u64>>,
}

impl FakeStore {
    /// Starts a store without rows.
    pub(crate) async fn start() -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = crate::transport::bind_listener(local).await;
        let listener = listener.expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("the listener is bound"),
            rows: Arc::default(),
            copy: Arc::default(),
            era: Arc::new(AtomicU64::new(1)),
            hides_era: Arc::default(),
            changes: Arc::default(),
        };
        let served = store.clone();
        let router = Router::new().fallback(move |request: Request| {
            let store = served.clone();
            async move { store.respond(request).await }
        });
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        tokio::spawn(HttpServer::on(listener, router).run(drain));
        store
    }

    /// Writes a row unconditionally, as another program would.
    pub(crate) fn put(&self, table: TableName, key: &str, value: &str) {
        self.change(table, key, Some(json_text(&BASE64.encode(value))));
    }

    /// Removes a row, as another program would.
    pub(crate) fn remove(&self, table: TableName, key: &str) {
        self.change(table, key, None);
    }

    /// Takes a copy of the rows.
    pub(crate) fn take_copy(&self) {
        *self.lock_copy() = self.lock().clone();
    }

    /// Replaces the rows by the last copy, as a store that lost its newest writes does, and begins
    /// the next era. Revisions are assigned again. Returns the rows that other programs wrote since.
    pub(crate) fn return_from_copy(&self) -> LostRows {
        let lost = {
            let mut rows = self.lock();
            let copy = self.lock_copy().clone();
            let is_lost = |row: &FakeRow| row.revision > copy.revision && row.is_of_others();
            let lost = rows
                .rows
                .iter()
                .filter(|row| is_lost(row))
                .cloned()
                .collect();
            rows.revision = copy.revision;
            rows.history_from = copy.history_from;
            rows.rows = copy.rows;
            rows.past = copy.past;
            LostRows {
                since: copy.revision,
                rows: lost,
            }
        };
        self.era.fetch_add(1, Ordering::Relaxed);
        self.changes.send_modify(|changes| *changes += 1);
        lost
    }

    /// Writes rows again that were lost, as their writers do, unless they were written meanwhile.
    pub(crate) fn write_again(&self, lost: LostRows) {
        let mut rows = self.lock();
        for row in lost.rows {
            let is_newer = |known: &FakeRow| {
                known.table == row.table && known.key == row.key && known.revision > lost.since
            };
            if !rows.rows.iter().any(is_newer) {
                rows.put(&row.table, &row.key, row.value);
            }
        }
        drop(rows);
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn lock_copy(&self) -> MutexGuard<'_, FakeRows> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Injects `fault`, which replaces the current one.
    pub(crate) fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    fn change(&self, table: TableName, key: &str, value: Option<Box<RawValue>>) {
        self.lock().put(table.as_str(), key, value);
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn lock(&self) -> MutexGuard<'_, FakeRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn respond(&self, request: Request) -> Response {
        let fault = self.lock().fault;
        let mut response = match fault {
            StoreFault::None => self.carry_out(request).await,
            StoreFault::Down => json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            StoreFault::Slow(delay) => {
                sleep(delay).await;
                self.carry_out(request).await
            }
            StoreFault::DropsResponses => {
                self.carry_out(request).await;
                pending().await
            }
        };
        let era = self.era.load(Ordering::Relaxed);
        if !self.hides_era.load(Ordering::Relaxed) {
            response.headers_mut().insert(STORE_ERA, era.into());
        }
        response
    }

    async fn carry_out(&self, request: Request) -> Response {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let found = fields.find(|(field, _)| *field == name);
            found.map_or("", |(_, value)| value).to_owned()
        };
        let table = field("table");
        let path = request.uri().path();
        self.lock().read_calls += usize::from(path != "/v1/rows-tx");
        let (status, body) = match path {
            "/v1/rows-get" => self.read(&table, &field("from")),
            "/v1/rows-feed" => {
                let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(&table, number("since_rev"), wait).await
            }
            "/v1/rows-tx" => {
                let body = read_body(request.into_body(), BODY_BYTES_MAX).await;
                let body = body.expect("the body can be read");
                self.transact(&serde_json::from_slice(&body).expect("the call is JSON"))
            }
            _ => (StatusCode::NOT_FOUND, json_text(&json!({}))),
        };
        json_response(status, &body)
    }

    /// Reads a page of the rows whose keys are not before `from`, which is percent-encoded.
    fn read(&self, table: &str, from: &str) -> (StatusCode, Box<RawValue>) {
        let from: Vec<u8> = percent_decode_str(from).collect();
        if from.len() > KEY_BYTES_MAX {
            return (StatusCode::BAD_REQUEST, json_text(&json!({})));
        }
        let mut rows = self.lock();
        let mut found = rows.existing(table);
        found.retain(|row| row.key.as_bytes() >= &*from);
        let count = found.len().min(rows.page_rows.unwrap_or(PAGE_ROWS));
        let page = PageText {
            truncated: count < found.len(),
            rows: found.into_iter().take(count).map(row_text).collect(),
            ver: rows.revision,
            now_ms: now_ms(),
        };
        let body = json_text(&page);
        rows.add_sent(table, count);
        (StatusCode::OK, body)
    }

    async fn watch(&self, table: &str, since: u64, wait: Duration) -> (StatusCode, Box<RawValue>) {
        let mut changes = self.changes.subscribe();
        let await_change = async {
            while !self.lock().has_changes(table, since) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // After a timeout without a change, the response has no rows.
        let _ = timeout(wait, await_change).await;
        let (body, delay) = {
            let mut rows = self.lock();
            if !rows.has_history(since) {
                return (StatusCode::GONE, json_text(&json!({})));
            }
            let found = rows.changes_after(table, since);
            let sent = found.len();
            let body = rows.page_of(found);
            rows.add_sent(table, sent);
            let count = u32::try_from(sent).unwrap_or(u32::MAX);
            (body, rows.row_delay * count)
        };
        sleep(delay).await;
        (StatusCode::OK, body)
    }

    fn transact(&self, call: &Value) -> (StatusCode, Box<RawValue>) {
        let mut rows = self.lock();
        rows.change_calls += 1;
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or("").to_owned();
        let is_met = |entry: &Value| {
            let found = rows.revision_of(&text(entry, "table"), &text(entry, "key"));
            Some(found) == entry["ver"].as_u64()
        };
        let conditions = entries("precondition");
        if !conditions.iter().all(is_met) {
            let is_conditional = |row: &&FakeRow| {
                let mut conditions = conditions.iter();
                conditions.any(|entry| text(entry, "key") == row.key && row.value.is_some())
            };
            let found = rows.rows.iter().filter(is_conditional).collect();
            return (StatusCode::PRECONDITION_FAILED, rows.page_of(found));
        }
        for entry in entries("writes") {
            let value = Some(json_text(&text(&entry, "value")));
            rows.put(&text(&entry, "table"), &text(&entry, "key"), value);
        }
        for entry in entries("remove") {
            rows.put(&text(&entry, "table"), &text(&entry, "key"), None);
        }
        rows.changes_done += 1;
        let revision = rows.revision;
        drop(rows);
        self.changes.send_modify(|changes| *changes += 1);
        (
            StatusCode::OK,
            json_text(&json!({ "ver": revision, "now_ms": now_ms() })),
        )
    }
}

/// Methods for tests only.
#[cfg(test)]
impl FakeStore {
    /// Writes a row whose value is `value` as is, which may be invalid base64.
    pub(crate) fn put_raw(&self, table: TableName, key: &str, value: &str) {
        self.change(table, key, Some(json_text(value)));
    }

    /// Writes a row whose value in responses is the JSON `value` as is, which need not be a string.
    pub(crate) fn put_json(&self, table: TableName, key: &str, value: &str) {
        let value = RawValue::from_string(value.to_owned());
        self.change(table, key, Some(value.expect("the value is JSON")));
    }

    /// Sets the most rows in one response to a read.
    pub(crate) fn set_page_rows(&self, count: usize) {
        self.lock().page_rows = Some(count);
    }

    /// The number of transactions, including refused ones.
    pub(crate) fn change_calls(&self) -> usize {
        self.lock().change_calls
    }

    /// The number of transactions that were carried out.
    pub(crate) fn changes_done(&self) -> usize {
        self.lock().changes_done
    }

    /// The number of rows of `table` that responses have contained so far.
    pub(crate) fn rows_sent(&self, table: TableName) -> usize {
        let rows = self.lock();
        let mut sent = rows.sent.iter();
        let found = sent.find(|(name, _)| *name == table.as_str());
        found.map_or(0, |(_, count)| *count)
    }

    /// The value of a row as text; none if it does not exist or its value does not decode.
    pub(crate) fn text_of(&self, table: TableName, key: &str) -> Option<String> {
        let rows = self.lock();
        let mut rows = rows.rows.iter();
        let row = rows.find(|row| row.table == table.as_str() && row.key == key)?;
        let text: String = serde_json::from_str(row.value.as_ref()?.get()).ok()?;
        let bytes = BASE64.decode(text).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// The number of reads and watches.
    pub(crate) fn read_calls(&self) -> usize {
        self.lock().read_calls
    }

    /// Sets whether its responses report the era.
    pub(crate) fn set_reports_era(&self, reports_era: bool) {
        self.hides_era.store(!reports_era, Ordering::Relaxed);
    }

    /// Discards the history of changes, so that existing watches must read their tables again.
    pub(crate) fn forget_history(&self) {
        let mut rows = self.lock();
        rows.revision += 1;
        rows.history_from = rows.revision;
        rows.past.clear();
        drop(rows);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Makes it refuse all calls, or removes the current fault.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.set_fault(if is_down {
            StoreFault::Down
        } else {
            StoreFault::None
        });
    }

    /// Delays responses of watches by `row_delay` per row, as a congested link would.
    pub(crate) fn slow_watches(&self, row_delay: Duration) {
        self.lock().row_delay = row_delay;
    }
}

/// The store's clock: monotonic, with another origin than the clocks of the processes.
fn now_ms() -> u64 {
    let offset = Duration::from_secs(1_234);
    let now = clock_now() + offset;
    now.0 / 1000
}

fn row_text(row: &FakeRow) -> RowText<'_> {
    RowText {
        key: &row.key,
        ver: row.revision,
        value: row.value.as_deref(),
        deleted: row.value.is_none(),
    }
}

fn json_text<T: Serialize + ?Sized>(value: &T) -> Box<RawValue> {
    to_raw_value(value).expect("the value can be encoded as JSON")
}
