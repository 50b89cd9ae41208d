//! Looks at a start which versions of weights were named in the last seconds.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::control_state::ControlState;
use super::events;
use super::store_watch::{STORE_TIMEOUT, StoreWatch};
use super::target_update_time::FollowState;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{TableName, WatchAnswer};
use crate::time::clock_now;

/// How many of the store's revisions are looked back at a start, one look behind the other, up to the first
/// that it no longer knows. Backend servers write about once a second each, and the store keeps 20 s: 600 of
/// them make 10,000, three that change nothing some ten.
const HISTORY_REVISIONS: [u64; 6] = [10, 30, 100, 400, 2_000, 12_000];
/// Bytes of history that are read at a start before a slow look is the last one.
///
/// The history holds every document of its span. Beside a storm of large documents the looks of four entry
/// hosts that started together took the link between two regions for two seconds, and no document came
/// over it in time. This much takes 0.1 s of 26 Mbit/s.
const HISTORY_BYTES: usize = 300_000;
/// A look that takes longer came over a narrow way, or from a store that is slow. Entry hosts that have a wide
/// one look back as far as the store knows, and tell their neighbours what was named.
const FAST_READ: Duration = Duration::from_millis(60);
/// How long a start waits for the looks. They take 8 ms each while the store is well.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(500);
/// How often they are taken again when they fail, and the pause before each.
const HISTORY_TRIES: u32 = 5;
const HISTORY_PAUSE: Duration = Duration::from_secs(1);

/// Whether no look follows one that took `took`, when `bytes` were read in all.
pub(super) fn is_final_read(bytes: usize, took: Duration) -> bool {
    took > FAST_READ && bytes >= HISTORY_BYTES
}

impl StoreWatch {
    /// Reads which versions were named in the last seconds, as far as the store still knows.
    ///
    /// A version that was named while no process lived is recorded nowhere. When an older naming was
    /// then done late over it, every process that started brought the older weights back. One would
    /// notice `[1102]` with an older version behind the starts.
    async fn read_past_targets(&self) -> SwitchResult<()> {
        if !self.state.read(ControlState::has_own_rows) {
            self.read_own_rows().await?;
        }
        let newest = self.state.read(ControlState::own_revision);
        let mut bytes = 0;
        for revisions in HISTORY_REVISIONS {
            let since = newest.saturating_sub(revisions);
            let begun = clock_now();
            match self.read_history(since).await? {
                Some(read) => bytes += read,
                None => return Ok(()),
            }
            if since == 0 || is_final_read(bytes, clock_now().since(begun)) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// The same before the operator's table is first read, which would show an older naming alone. A link
    /// that does not carry the history must not keep this process from the newest document: then the look
    /// goes on beside it.
    pub(super) async fn read_past_targets_first(&self) {
        match timeout(HISTORY_TIMEOUT, self.read_past_targets()).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => log_event!(events::HISTORY_UNREAD, "{error}"),
            Err(_) => log_event!(events::HISTORY_UNREAD, "not within {HISTORY_TIMEOUT:?}"),
        }
        tokio::spawn(self.clone().read_past_targets_later());
    }

    /// The same beside the operator's table.
    pub(super) async fn read_past_targets_later(self) {
        for _ in 0..HISTORY_TRIES {
            sleep(HISTORY_PAUSE).await;
            match self.read_past_targets().await {
                Ok(()) => return,
                Err(error) => log_event!(events::HISTORY_UNREAD, "{error}"),
            }
        }
    }

    /// Takes in the namings behind revision `since`; returns how many bytes were read, none when the store
    /// no longer has that history.
    async fn read_history(&self, since: u64) -> SwitchResult<Option<usize>> {
        let table = TableName::Operator;
        let sent_at = clock_now();
        let watched = self
            .store
            .watch_table(table, since, Duration::ZERO, STORE_TIMEOUT);
        let WatchAnswer::Changed(view) = watched.await? else {
            return Ok(None);
        };
        self.note_store_answer(&view, sent_at);
        let update_time = FollowState::Started.update_time(view.told_at, view.told_at);
        self.state
            .change(|state| state.take_past_targets(&view.rows, update_time));
        let values = view.rows.iter().filter_map(|row| row.value.as_ref());
        Ok(Some(values.map(Bytes::len).sum()))
    }
}
