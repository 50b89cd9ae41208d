//! Follows in the store which requests crash backend servers, and records there what this process saw.
//!
//! The store is where entry hosts that learn apart meet: each sees only its own requests at a backend
//! server, and may be cut off from the others or start again.

use std::time::Duration;

use tokio::time::sleep;

use super::control_state::ControlState;
use super::crash_rows::{crash_key, crash_value, read_crash};
use super::events;
use super::store_watch::{RetryBackoff, STORE_TIMEOUT, StoreWatch};
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{CHANGED_ROWS_MAX, StoreRow, TableName, TableView, WatchAnswer};
use crate::quarantine::{CRASH_SPAN, CrashRecord};
use crate::time::{ClockTime, StoreTime, clock_now};

/// How long the store holds a watch of the table open. A connection that went silent meanwhile shows only
/// at its end.
const CRASHES_WATCH: Duration = Duration::from_millis(2500);
/// The pause behind rows that changed: a crash is told by several entry hosts within some milliseconds, and
/// each change would else be a call of each reader.
const CHANGES_PAUSE: Duration = Duration::from_millis(150);
/// How often it is looked whether this process reads the store.
const READER_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// For how long crashes are gathered that are written together.
const GATHER_SPAN: Duration = Duration::from_millis(20);
/// How often rows that no longer count are removed.
const REMOVE_PAUSE: Duration = Duration::from_mins(2);

impl StoreWatch {
    /// Follows the table while this process reads the store for its data centre.
    pub(crate) async fn follow_crashes(self) {
        let mut backoff = RetryBackoff::default();
        let mut remove_at = clock_now() + REMOVE_PAUSE;
        loop {
            if !self.state.read(ControlState::reads_store) {
                sleep(READER_CHECK_PAUSE).await;
                continue;
            }
            match self.crashes_step().await {
                Ok(()) => backoff = RetryBackoff::default(),
                Err(error) => {
                    log_event!(events::CRASH_SYNC_FAILED, "{error}");
                    sleep(backoff.next()).await;
                }
            }
            let now = clock_now();
            if now >= remove_at {
                remove_at = now + REMOVE_PAUSE;
                if let Err(error) = self.remove_expired(now).await {
                    log_event!(events::CRASH_SYNC_FAILED, "{error}");
                }
            }
        }
    }

    async fn crashes_step(&self) -> SwitchResult<()> {
        let since = self.state.read(|state| state.crashes.revision());
        if since == 0 {
            return self.read_crashes().await;
        }
        let table = TableName::Crashes;
        let sent_at = clock_now();
        let watched = self
            .store
            .watch_table(table, since, CRASHES_WATCH, STORE_TIMEOUT);
        match watched.await? {
            WatchAnswer::Changed(view) => {
                self.note_store_answer(&view, sent_at);
                self.take_crash_changes(&view);
                if !view.rows.is_empty() {
                    sleep(CHANGES_PAUSE).await;
                }
                Ok(())
            }
            WatchAnswer::HistoryLost => {
                log_event!(events::HISTORY_LOST, "table=crashes");
                self.read_crashes().await
            }
        }
    }

    fn take_crash_changes(&self, view: &TableView) {
        let now = clock_now();
        if view.rows.is_empty() {
            self.state.note(|state| state.change_crashes(view, now));
        } else {
            self.state.change(|state| state.change_crashes(view, now));
        }
    }

    /// Reads the whole table.
    pub(super) async fn read_crashes(&self) -> SwitchResult<()> {
        let view = self.read_table(TableName::Crashes).await?;
        self.state
            .change(|state| state.set_crashes(&view, clock_now()));
        Ok(())
    }

    async fn remove_expired(&self, now: ClockTime) -> SwitchResult<()> {
        let view = self.read_table(TableName::Crashes).await?;
        let moment = self.state.read(|state| state.store_time(now));
        let expired = view.rows.iter().filter(|row| is_expired(row, moment));
        let keys: Vec<&str> = expired.map(|row| &*row.key).collect();
        for keys in keys.chunks(CHANGED_ROWS_MAX) {
            let removed = self
                .store
                .remove_rows(TableName::Crashes, keys, STORE_TIMEOUT);
            removed.await?;
        }
        Ok(())
    }

    /// Writes to the store what this process saw, for as long as it lives.
    pub(crate) async fn record_crashes(self) {
        let mut changes = self.state.changes();
        let mut backoff = RetryBackoff::default();
        loop {
            let unkept = self.state.read(ControlState::unsaved_crashes);
            if unkept.is_empty() {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            sleep(GATHER_SPAN).await;
            let unkept = self.state.read(ControlState::unsaved_crashes);
            let part = &unkept[..unkept.len().min(CHANGED_ROWS_MAX)];
            match self.write_crashes(part).await {
                Ok(()) => backoff = RetryBackoff::default(),
                Err(error) => {
                    log_event!(events::CRASH_SYNC_FAILED, "{error}");
                    sleep(backoff.next()).await;
                }
            }
        }
    }

    async fn write_crashes(&self, records: &[CrashRecord]) -> SwitchResult<()> {
        let texts: SwitchResult<Vec<_>> = records.iter().map(crash_row).collect();
        let texts = texts?;
        let rows: Vec<(&str, &[u8])> = texts.iter().map(|(key, text)| (&**key, &**text)).collect();
        let written = self
            .store
            .write_rows(TableName::Crashes, &rows, STORE_TIMEOUT);
        let revision = written.await?;
        self.state
            .note(|state| state.note_saved_crashes(records, revision));
        Ok(())
    }
}

/// Whether what `row` tells no longer counts at `moment`. A row that does not read never counted.
fn is_expired(row: &StoreRow, moment: StoreTime) -> bool {
    let read = row.value.as_ref().map(|value| read_crash(row, value));
    match read {
        Some(Ok(announcement)) => moment.since(announcement.record.seen) >= CRASH_SPAN,
        Some(Err(_)) | None => true,
    }
}

fn crash_row(record: &CrashRecord) -> SwitchResult<(String, Vec<u8>)> {
    Ok((crash_key(record), crash_value(record)?))
}
