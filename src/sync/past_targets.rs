//! Reads from the store's history which versions were set as target in the seconds before a start.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::deployment_state::DeploymentState;
use super::events;
use super::store_watch::{STORE_TIMEOUT, StoreWatch};
use super::target_update_time::FollowState;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{TableName, WatchResponse, is_first, revision_before};
use crate::time::clock_now;

/// How many revisions are read back at a start, in successive reads up to the first that the store
/// no longer has. The store keeps 20 s of history, in which 600 backend servers that write once a
/// second make 10,000 revisions, and three that change nothing make about ten.
const HISTORY_REVISIONS: [u64; 6] = [10, 30, 100, 400, 2_000, 12_000];
/// Bytes of history after which a slow read is the last one.
///
/// The history contains every document of its span. During a burst of large documents, the reads of
/// four entry hosts that started together saturated the link between two regions for two seconds,
/// and no document arrived over it in time. This amount takes 0.1 s at 26 Mbit/s.
const HISTORY_BYTES: usize = 300_000;
/// A read that takes longer came over a narrow link or from a slow store. Entry hosts with a wide
/// link read the full history and report the target versions to their neighbours.
const FAST_READ: Duration = Duration::from_millis(60);
/// How long a start waits for the history. A read takes 8 ms while the store is healthy.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a failed reading is repeated, and the pause before each attempt.
const HISTORY_TRIES: u32 = 5;
const HISTORY_PAUSE: Duration = Duration::from_secs(1);

/// Whether a read that took `took` is the last one, with `bytes` read in total.
pub(super) fn is_final_read(bytes: usize, took: Duration) -> bool {
    took > FAST_READ && bytes >= HISTORY_BYTES
}

impl StoreWatch {
    /// Reads which versions were set as target recently, as far back as the store's history
    /// reaches.
    ///
    /// A version that is set while no process runs is recorded nowhere. If an older update is then
    /// executed late over it, every starting process would load the previous version again. The
    /// symptom is `[1102]` with an older version after a restart.
    async fn read_past_targets(&self) -> SwitchResult<()> {
        if !self.state.read(DeploymentState::has_own_rows) {
            self.read_own_rows().await?;
        }
        let newest = self.state.read(DeploymentState::own_revision);
        let mut bytes = 0;
        for revisions in HISTORY_REVISIONS {
            let since = revision_before(newest, revisions);
            let started_at = clock_now();
            match self.read_history(since).await? {
                Some(read) => bytes += read,
                None => return Ok(()),
            }
            if is_first(since) || is_final_read(bytes, clock_now().since(started_at)) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Reads the history before the first read of the operator's table, which would show only the
    /// older of two versions. If it does not arrive in time, because a link can't carry it, it is
    /// read later in the background, so that this process gets the newest document without it.
    pub(super) async fn read_past_targets_first(&self) {
        match timeout(HISTORY_TIMEOUT, self.read_past_targets()).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => log_event!(events::HISTORY_UNREAD, "{error}"),
            Err(_) => log_event!(events::HISTORY_UNREAD, "not within {HISTORY_TIMEOUT:?}"),
        }
        tokio::spawn(self.clone().read_past_targets_later());
    }

    /// Reads the history in the background, with retries.
    pub(super) async fn read_past_targets_later(self) {
        for _ in 0..HISTORY_TRIES {
            sleep(HISTORY_PAUSE).await;
            match self.read_past_targets().await {
                Ok(()) => return,
                Err(error) => log_event!(events::HISTORY_UNREAD, "{error}"),
            }
        }
    }

    /// Merges the target updates after revision `since`. Returns the number of bytes read, or
    /// `None` if the store no longer has that history.
    async fn read_history(&self, since: u64) -> SwitchResult<Option<usize>> {
        let table = TableName::Operator;
        let sent_at = clock_now();
        let watched = self
            .store
            .watch_table(table, since, Duration::ZERO, STORE_TIMEOUT);
        let WatchResponse::Changed(view) = watched.await? else {
            return Ok(None);
        };
        self.note_store_answer(&view, sent_at);
        let update_time = FollowState::Started.update_time(view.store_time, view.store_time);
        self.state
            .change(|state| state.take_past_targets(&view.rows, update_time));
        let values = view.rows.iter().filter_map(|row| row.value.as_ref());
        Ok(Some(values.map(Bytes::len).sum()))
    }
}
