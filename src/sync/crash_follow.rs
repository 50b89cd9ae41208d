//! Follows the store's table of requests that crash backend servers, and writes to it what this
//! process saw.
//!
//! Entry hosts share this knowledge through the store because each sees only its own requests to a
//! backend server, and may be cut off from the others or restart.

use std::time::Duration;

use tokio::time::sleep;

use super::crash_rows::{crash_key, crash_value, read_crash};
use super::events;
use super::store_watch::{RetryBackoff, STORE_TIMEOUT, StoreWatch, pause_if_older, watch_span};
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{CHANGED_ROWS_MAX, StoreRow, TableName, TableView, WatchResponse};
use crate::quarantine::{CRASH_RETENTION, CrashRecord};
use crate::time::{ClockTime, StoreTime, clock_now};

/// How long the store holds a watch of the table open. A connection that fails silently meanwhile
/// is noticed only at the end.
const CRASHES_WATCH: Duration = Duration::from_millis(2500);
/// Pause after a change. Several entry hosts record the same crash within milliseconds, and without
/// the pause each record would cost every reader one call.
const CHANGES_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which a process that does not read the store checks whether it has become a reader.
const READER_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// How long crashes are collected before they are written together.
const GATHER_SPAN: Duration = Duration::from_millis(20);
/// Interval at which expired rows are removed.
const REMOVE_PAUSE: Duration = Duration::from_mins(2);

impl StoreWatch {
    /// Follows the table while this process reads the store for its data centre.
    pub(crate) async fn follow_crashes(self) {
        let mut backoff = RetryBackoff::default();
        let mut remove_at = clock_now() + REMOVE_PAUSE;
        loop {
            let now = clock_now();
            if !self.state.read(|state| state.operator().is_reader_at(now)) {
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
            return self.read_crashes().await.map(drop);
        }
        let table = TableName::Crashes;
        let sent_at = clock_now();
        let until = self.state.read(|state| state.operator().reads_until());
        let wait = watch_span(CRASHES_WATCH, until, sent_at);
        let watched = self.store.watch_table(table, since, wait, STORE_TIMEOUT);
        match watched.await? {
            WatchResponse::Changed(view) => {
                self.note_store_answer(&view, sent_at);
                self.take_crash_changes(&view);
                if !view.rows.is_empty() {
                    sleep(CHANGES_PAUSE).await;
                }
                Ok(())
            }
            WatchResponse::HistoryExpired => {
                log_event!(events::HISTORY_LOST, "table=crashes");
                let revision = self.read_crashes().await?;
                pause_if_older(revision, since).await;
                Ok(())
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

    /// Reads the full table; returns its revision.
    pub(super) async fn read_crashes(&self) -> SwitchResult<u64> {
        let view = self.read_table(TableName::Crashes).await?;
        self.state
            .change(|state| state.set_crashes(&view, clock_now()));
        Ok(view.revision)
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

    /// Writes the crashes that this process saw to the store, until the process ends.
    pub(crate) async fn record_crashes(self) {
        let mut changes = self.state.changes();
        let mut backoff = RetryBackoff::default();
        loop {
            let unstored = self.unsaved_crashes();
            if unstored.is_empty() {
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            }
            sleep(GATHER_SPAN).await;
            let unstored = self.unsaved_crashes();
            let batch = &unstored[..unstored.len().min(CHANGED_ROWS_MAX)];
            match self.write_crashes(batch).await {
                Ok(()) => backoff = RetryBackoff::default(),
                Err(error) => {
                    log_event!(events::CRASH_SYNC_FAILED, "{error}");
                    sleep(backoff.next()).await;
                }
            }
        }
    }

    fn unsaved_crashes(&self) -> Vec<CrashRecord> {
        self.state.read(|state| state.unsaved_crashes(clock_now()))
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

/// Whether the crash in `row` has expired at `moment`. Unreadable rows had no effect, so they count
/// as expired.
fn is_expired(row: &StoreRow, moment: StoreTime) -> bool {
    let read = row.value.as_ref().map(|value| read_crash(row, value));
    match read {
        Some(Ok(announcement)) => moment.since(announcement.record.seen) >= CRASH_RETENTION,
        Some(Err(_)) | None => true,
    }
}

fn crash_row(record: &CrashRecord) -> SwitchResult<(String, Vec<u8>)> {
    Ok((crash_key(record), crash_value(record)?))
}
