//! A stand-in of the platform's store for the lab and for tests in other folders: rows in tables, one
//! counter of revisions, transactions under a condition, reads and watches.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use http::StatusCode;
use macro_rules_attribute::apply;
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
use crate::transport::{HttpServer, json_reply, read_body};

const BODY_BYTES_MAX: usize = 1024 * 1024;
/// Rows that were written over and are still told to watches; a run of hours would else keep all.
const PAST_MAX: usize = 4096;

/// What is wrong with the store.
#[apply(key!)]
#[derive(Default)]
pub(crate) enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses all calls.
    Down,
    /// Each answer takes so much longer.
    Slow(Duration),
    /// It does what it is asked to and never answers.
    DropsResponses,
}

#[derive(Clone)]
struct FakeRow {
    table: String,
    key: String,
    revision: u64,
    /// None once it was removed.
    value: Option<String>,
}

#[derive(Default)]
struct FakeRows {
    revision: u64,
    /// Calls that asked for a change, whatever became of them.
    change_calls: usize,
    /// Those of them that were done.
    changes_done: usize,
    /// The revision from which on the history is known.
    history_from: u64,
    /// The rows as they stand.
    rows: Vec<FakeRow>,
    /// What stood before, for as long as the history is known.
    past: Vec<FakeRow>,
    /// How long each row of a watch's answer takes on its way.
    row_delay: Duration,
    trouble: StoreFault,
    /// How many rows of each table answers have told, sorted by table.
    told: Vec<(String, usize)>,
}

impl FakeRows {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.revision += 1;
        let is_former = |row: &mut FakeRow| row.table == table && row.key == key;
        self.past.extend(self.rows.extract_if(.., is_former));
        if self.past.len() > PAST_MAX {
            let dropped = self.past.drain(..PAST_MAX / 2);
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

    fn note_told(&mut self, table: &str, count: usize) {
        match self.told.binary_search_by(|(name, _)| (**name).cmp(table)) {
            Ok(at) => self.told[at].1 += count,
            Err(at) => self.told.insert(at, (table.to_owned(), count)),
        }
    }

    fn revision_of(&self, table: &str, key: &str) -> u64 {
        let mut rows = self.rows.iter();
        let found = rows.find(|row| row.table == table && row.key == key && row.value.is_some());
        found.map_or(0, |row| row.revision)
    }

    /// Every change behind `since`, also those that others have followed.
    fn behind(&self, table: &str, since: u64) -> Vec<&FakeRow> {
        let rows = self.rows.iter().chain(&self.past);
        let mut found: Vec<&FakeRow> = rows
            .filter(|row| row.table == table && row.revision > since)
            .collect();
        found.sort_by_key(|row| row.revision);
        found
    }

    fn has_news(&self, table: &str, since: u64) -> bool {
        since < self.history_from || !self.behind(table, since).is_empty()
    }

    fn live(&self, table: &str) -> Vec<&FakeRow> {
        let rows = self.rows.iter();
        let mut found: Vec<&FakeRow> = rows
            .filter(|row| row.table == table && row.value.is_some())
            .collect();
        found.sort_by(|left, right| left.key.cmp(&right.key));
        found
    }
}

/// The store; its clones share the rows.
#[derive(Clone)]
pub(crate) struct FakeStore {
    /// Where it answers.
    pub(crate) address: SocketAddr,
    rows: Arc<Mutex<FakeRows>>,
    changes: Arc<watch::Sender<u64>>,
}

impl FakeStore {
    /// Starts a store without rows.
    pub(crate) async fn start() -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = crate::transport::bind_listener(local).await;
        let listener = listener.expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("it is bound"),
            rows: Arc::default(),
            changes: Arc::default(),
        };
        let answering = store.clone();
        let router = Router::new().fallback(move |request: Request| {
            let store = answering.clone();
            async move { store.answer(request).await }
        });
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        tokio::spawn(HttpServer::on(listener, router).run(drain));
        store
    }

    /// Somebody else writes a row, whatever stands there.
    pub(crate) fn put(&self, table: TableName, key: &str, value: &str) {
        self.change(table, key, Some(BASE64.encode(value)));
    }

    /// Somebody else removes a row.
    pub(crate) fn remove(&self, table: TableName, key: &str) {
        self.change(table, key, None);
    }

    /// What is wrong with it from now on.
    pub(crate) fn set_fault(&self, trouble: StoreFault) {
        self.lock().trouble = trouble;
    }

    fn change(&self, table: TableName, key: &str, value: Option<String>) {
        self.lock().put(table.as_str(), key, value);
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn lock(&self) -> MutexGuard<'_, FakeRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request) -> Response {
        let trouble = self.lock().trouble;
        match trouble {
            StoreFault::None => self.carry_out(request).await,
            StoreFault::Down => json_reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            StoreFault::Slow(delay) => {
                sleep(delay).await;
                self.carry_out(request).await
            }
            StoreFault::DropsResponses => {
                self.carry_out(request).await;
                pending().await
            }
        }
    }

    async fn carry_out(&self, request: Request) -> Response {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let found = fields.find(|(field, _)| *field == name);
            found.map_or("", |(_, value)| value).to_owned()
        };
        let table = field("table");
        let (status, body) = match request.uri().path() {
            "/v1/rows-get" => (StatusCode::OK, self.read(&table)),
            "/v1/rows-feed" => {
                let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(&table, number("since_rev"), wait).await
            }
            "/v1/rows-tx" => {
                let body = read_body(request.into_body(), BODY_BYTES_MAX).await;
                let body = body.expect("the call has a body");
                self.transact(&serde_json::from_slice(&body).expect("the call is JSON"))
            }
            _ => (StatusCode::NOT_FOUND, json!({})),
        };
        json_reply(status, &body)
    }

    fn read(&self, table: &str) -> Value {
        let mut rows = self.lock();
        let found: Vec<Value> = rows.live(table).into_iter().map(row_text).collect();
        rows.note_told(table, found.len());
        json!({ "rows": found, "truncated": false, "ver": rows.revision, "now_ms": now_ms() })
    }

    async fn watch(&self, table: &str, since: u64, wait: Duration) -> (StatusCode, Value) {
        let mut changes = self.changes.subscribe();
        let news = async {
            while !self.lock().has_news(table, since) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without a change the answer has no rows.
        let _ = timeout(wait, news).await;
        let (body, on_way) = {
            let mut rows = self.lock();
            if since < rows.history_from {
                return (StatusCode::GONE, json!({}));
            }
            let found = rows.behind(table, since);
            let found: Vec<Value> = found.into_iter().map(row_text).collect();
            let count = u32::try_from(found.len()).unwrap_or(u32::MAX);
            rows.note_told(table, found.len());
            let body = json!({ "rows": found, "ver": rows.revision, "now_ms": now_ms() });
            (body, rows.row_delay * count)
        };
        sleep(on_way).await;
        (StatusCode::OK, body)
    }

    fn transact(&self, call: &Value) -> (StatusCode, Value) {
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
            let named = |row: &&FakeRow| {
                let mut conditions = conditions.iter();
                conditions.any(|entry| text(entry, "key") == row.key && row.value.is_some())
            };
            let found: Vec<Value> = rows.rows.iter().filter(named).map(row_text).collect();
            let body = json!({ "rows": found, "ver": rows.revision, "now_ms": now_ms() });
            return (StatusCode::PRECONDITION_FAILED, body);
        }
        for entry in entries("writes") {
            let value = Some(text(&entry, "value"));
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
            json!({ "ver": revision, "now_ms": now_ms() }),
        )
    }
}

/// What only tests ask of it.
#[cfg(test)]
impl FakeStore {
    /// Somebody else writes a row whose bytes need not decode.
    pub(crate) fn put_raw(&self, table: TableName, key: &str, value: &str) {
        self.change(table, key, Some(value.to_owned()));
    }

    /// How many calls asked for a change, refused ones included.
    pub(crate) fn change_calls(&self) -> usize {
        self.lock().change_calls
    }

    /// How many of them were done.
    pub(crate) fn changes_done(&self) -> usize {
        self.lock().changes_done
    }

    /// How many rows of `table` answers have told so far.
    pub(crate) fn rows_sent(&self, table: TableName) -> usize {
        let rows = self.lock();
        let mut told = rows.told.iter();
        let found = told.find(|(name, _)| *name == table.as_str());
        found.map_or(0, |(_, count)| *count)
    }

    /// The text of a row, if there is one.
    pub(crate) fn text_of(&self, table: TableName, key: &str) -> Option<String> {
        let rows = self.lock();
        let mut rows = rows.rows.iter();
        let row = rows.find(|row| row.table == table.as_str() && row.key == key)?;
        let bytes = BASE64.decode(row.value.as_ref()?).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// It forgets what changed before; watches of before have to read the tables anew.
    pub(crate) fn forget_history(&self) {
        let mut rows = self.lock();
        rows.revision += 1;
        rows.history_from = rows.revision;
        rows.past.clear();
        drop(rows);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// From now on it refuses all calls, or no more.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.set_fault(if is_down {
            StoreFault::Down
        } else {
            StoreFault::None
        });
    }

    /// Answers to watches take `row_delay` for each of their rows, as over a link that is full.
    pub(crate) fn slow_watches(&self, row_delay: Duration) {
        self.lock().row_delay = row_delay;
    }
}

/// The store's clock: another one than that of the processes, and steady like theirs.
fn now_ms() -> u64 {
    let ahead = Duration::from_secs(1_234);
    let now = clock_now() + ahead;
    now.0 / 1000
}

fn row_text(row: &FakeRow) -> Value {
    match &row.value {
        Some(value) => json!({ "key": row.key, "ver": row.revision, "value": value }),
        None => json!({ "key": row.key, "ver": row.revision, "deleted": true }),
    }
}
