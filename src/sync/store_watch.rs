//! The tasks that follow the store's tables until the process ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::deployment_state::DeploymentState;
use super::events;
use super::own_rows::OwnRows;
use super::peer_messages::EntryRecord;
use super::shared_deployment_state::SharedDeploymentState;
use super::store_clock::QuerySpan;
use super::target_update_time::FollowState;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{StoreClient, TableName, TableView, WatchResponse};
use crate::time::{ClockTime, StoreTime, clock_now};
use crate::transport::PeerClient;

/// How long the store holds a watch of the operator's table open. A connection that fails silently
/// meanwhile is noticed only at the end of this time, and a document must be in force two seconds
/// after it was accepted. Calls are charged, so the time is not shorter.
pub(super) const OPERATOR_WAIT: Duration = Duration::from_millis(1400);
/// How long the store holds a watch of the backend servers' table open.
const BACKENDS_WAIT: Duration = Duration::from_secs(1);
/// Pause between two watches of the backend servers' table. Entries change all the time, and
/// without the pause each change would end a watch. A leaving backend server may get no request
/// later than two seconds after the store has its entry.
const BACKENDS_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which it is checked whether readers still report the list.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a start waits until a neighbour reports the list, and the interval of that check.
const START_TIMEOUT: Duration = Duration::from_millis(400);
const START_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two reads of the entry hosts' table.
const ENTRIES_PAUSE: Duration = Duration::from_secs(10);
/// Entry hosts that may read this table within one pause. If there are more, those that don't read
/// the store for their data centre read it less often.
const ENTRIES_READERS: usize = 10;
/// Time limit of an answer of the store, in addition to the time that it holds a call open. Usually
/// it takes 4 ms, and some hundred milliseconds when the store is slow.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// The first pause after a failure. It doubles with each failure, up to `FAILURE_PAUSE_MAX`.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Pause after the store had no history since a revision and reported an older one.
const OLDER_READ_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which expired grace periods of removed entries are handled.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the tasks that follow the store work with.
#[derive(Clone)]
pub(crate) struct StoreWatch {
    /// Client of the store.
    pub(crate) store: StoreClient,
    /// Client for neighbours.
    pub(crate) client: Arc<PeerClient>,
    /// The deployment state.
    pub(crate) state: SharedDeploymentState,
    /// The record of this entry host, which it writes to the store.
    pub(crate) own_entry: EntryRecord,
    /// Addresses of some entry hosts; may be outdated.
    pub(crate) seeds: Vec<SocketAddr>,
    /// When this process started.
    pub(crate) started_at: ClockTime,
}

/// The state in which the next call for the operator's table is made.
#[derive(Clone, Copy)]
pub(super) struct FollowContext {
    pub(super) follow_state: FollowState,
    /// Whether the previous call failed.
    pub(super) is_after_failure: bool,
    /// When the store last answered a call for the table, on its clock.
    pub(super) answered_at: Option<StoreTime>,
}

impl FollowContext {
    /// The state after an answer at `answered_at`.
    pub(super) const fn after_answer(answered_at: StoreTime) -> Self {
        Self {
            follow_state: FollowState::Followed(answered_at),
            is_after_failure: false,
            answered_at: Some(answered_at),
        }
    }

    /// The state after calls failed; the table is known as of an answer at `answered_at`.
    pub(super) const fn after_interruption(answered_at: StoreTime) -> Self {
        Self {
            follow_state: FollowState::Interrupted,
            is_after_failure: true,
            answered_at: Some(answered_at),
        }
    }

    /// The state after a failure. `contact` is the time since when the store has answered other
    /// calls, if it did meanwhile.
    const fn after_failure(self, contact: Option<StoreTime>) -> Self {
        Self {
            follow_state: self.follow_state.after_failure(contact),
            // A starting process reads the full table anyway.
            is_after_failure: !matches!(self.follow_state, FollowState::Started),
            ..self
        }
    }
}

impl StoreWatch {
    /// The state after a call in state `context` failed that was sent at `sent_at`.
    pub(super) fn after_failure(
        &self,
        context: FollowContext,
        sent_at: ClockTime,
    ) -> FollowContext {
        if self.has_answered_since(sent_at) {
            context.after_failure(self.contact_since(context))
        } else {
            context.after_failure(None)
        }
    }

    /// Since when the store has answered, but not for the operator's table.
    fn contact_since(&self, context: FollowContext) -> Option<StoreTime> {
        let since = self.state.read(DeploymentState::contact_since);
        since.max(context.answered_at)
    }

    /// Whether the store has answered any call since `sent_at`.
    fn has_answered_since(&self, sent_at: ClockTime) -> bool {
        let answered = self.state.read(DeploymentState::store_answered);
        answered.is_some_and(|at| at >= sent_at)
    }

    /// Reads the system's own rows. Returns whether this entry host is among them.
    pub(super) async fn read_own_rows(&self) -> SwitchResult<bool> {
        let view = self.read_table(TableName::System).await?;
        let own = OwnRows::of(&view);
        let is_entered = own.entries.contains(&self.own_entry);
        let host = &self.own_entry.host;
        let is_registered = own.entries.iter().any(|entry| entry.host == *host);
        self.take_own_rows(own, view.store_time);
        let now = clock_now();
        self.state
            .change(|state| state.note_entry_table(is_registered, view.store_time, now));
        Ok(is_entered)
    }

    /// Merges own rows of the system that the store reported at `answered_at`.
    pub(super) fn take_own_rows(&self, own: OwnRows, answered_at: StoreTime) {
        let update_time = self
            .own_follow_state()
            .update_time(answered_at, answered_at);
        self.state
            .change(|state| state.take_own_rows(own, update_time));
    }

    /// Reads a full table.
    pub(super) async fn read_table(&self, table: TableName) -> SwitchResult<TableView> {
        let sent_at = clock_now();
        let view = self.store.read_table(table, STORE_TIMEOUT).await?;
        self.note_store_answer(&view, sent_at);
        Ok(view)
    }

    /// Records an answer of the store to a call sent at `sent_at`. Returns the latest time that the
    /// store's clock can have shown when the call was sent.
    pub(super) fn note_store_answer(&self, view: &TableView, sent_at: ClockTime) -> StoreTime {
        let received_at = clock_now();
        let span = QuerySpan {
            sent_at,
            received_at,
        };
        self.state
            .note(|state| state.note_store_answer(view.revision, view.store_time, span));
        self.state.read(|state| state.store_time(sent_at))
    }

    /// Merges one answer of the store about changes of the operator's table after revision `since`;
    /// returns the time of the answer on the store's clock. The store holds a watch open for `wait`.
    pub(super) async fn operator_step(
        &self,
        since: &mut Option<u64>,
        context: FollowContext,
        wait: Duration,
    ) -> SwitchResult<StoreTime> {
        let Some(known) = *since else {
            let (revision, answered_at) = self.read_operator(context).await?;
            *since = Some(revision);
            return Ok(answered_at);
        };
        if context.is_after_failure {
            // A version set meanwhile may have been overwritten by an older one in the operator's
            // row since; the own rows hold the newer one.
            self.read_own_rows().await?;
        }
        let table = TableName::Operator;
        let sent_at = clock_now();
        let watched = self
            .store
            .watch_table(table, known, wait, STORE_TIMEOUT)
            .await;
        if context.is_after_failure && watched.is_err() {
            // The store answers other calls, but the watch fails: its answer contains every
            // document since the last one received, which may be more than the link carries within
            // the time limit, and grows with each retry. The symptom is an entry host that answers
            // 404 for routes that its neighbours have served for seconds. A full read contains only
            // the newest document.
            *since = None;
        }
        let (revision, answered_at) = match watched? {
            WatchResponse::Changed(view) => {
                let sent_by = self.note_store_answer(&view, sent_at);
                if !view.rows.is_empty() {
                    let update_time = context.follow_state.update_time(sent_by, view.store_time);
                    self.state
                        .change(|state| state.change_operator_rows(&view.rows, update_time));
                }
                (view.revision, view.store_time)
            }
            WatchResponse::HistoryExpired => {
                log_event!(events::HISTORY_LOST, "table=operator");
                let contact = self.contact_since(context);
                let read = self.read_operator(context.after_failure(contact)).await?;
                pause_if_older(read.0, known).await;
                read
            }
        };
        *since = Some(known.max(revision));
        Ok(answered_at)
    }

    /// Reads the full operator's table; returns its revision and the time of the answer on the
    /// store's clock.
    ///
    /// The system's own rows are read first. With a document the process is ready, and without
    /// these rows it would trust an operator's row that was overwritten by an older version.
    async fn read_operator(&self, context: FollowContext) -> SwitchResult<(u64, StoreTime)> {
        if !self.state.read(DeploymentState::knows_crashes) {
            self.read_crashes().await?;
        }
        if context.is_after_failure || !self.state.read(DeploymentState::has_own_rows) {
            self.read_own_rows().await?;
        }
        let view = self.read_table(TableName::Operator).await?;
        // A read is not held until a change, so its duration says nothing about the update time.
        let update_time = context
            .follow_state
            .update_time(view.store_time, view.store_time);
        self.state.change(|state| {
            state.set_operator_rows(&view.rows, update_time);
            state.keep_listed_evacuations(&view);
        });
        Ok((view.revision, view.store_time))
    }

    /// Follows the backend servers' table until the process ends.
    pub(crate) async fn follow_backends(self) {
        let mut backoff = RetryBackoff::default();
        self.await_reported_backends().await;
        let mut is_complete = false;
        loop {
            if self.state.read(|state| state.is_list_reported(clock_now())) {
                // A reported list is complete as of its revision.
                is_complete = true;
                sleep(REPORT_CHECK_INTERVAL).await;
                continue;
            }
            let followed = self.backends_step(&mut is_complete).await;
            self.note_outcome(&followed, &mut backoff).await;
            if followed.is_ok() {
                sleep(BACKENDS_PAUSE).await;
            }
        }
    }

    /// Waits at a start for a neighbour to report the list, which makes reading it unnecessary.
    async fn await_reported_backends(&self) {
        let started_at = clock_now();
        let is_settled =
            |state: &DeploymentState| state.operator().is_reader() || state.backends_revision() > 0;
        while !self.state.read(is_settled) && clock_now().since(started_at) < START_TIMEOUT {
            sleep(START_PAUSE).await;
        }
    }

    async fn backends_step(&self, is_complete: &mut bool) -> SwitchResult<()> {
        let since = self.state.read(DeploymentState::backends_revision);
        if *is_complete {
            let sent_at = clock_now();
            let watched =
                self.store
                    .watch_table(TableName::Backends, since, BACKENDS_WAIT, STORE_TIMEOUT);
            match watched.await? {
                WatchResponse::Changed(view) => {
                    self.note_store_answer(&view, sent_at);
                    self.change_backends(&view);
                    return Ok(());
                }
                WatchResponse::HistoryExpired => log_event!(events::HISTORY_LOST, "table=backends"),
            }
        }
        let view = self.read_table(TableName::Backends).await?;
        // If the answer is older than the known list, the table is read again.
        *is_complete = view.revision >= since;
        self.state.change(|state| {
            let now = clock_now();
            state.set_backends(&view, now);
            state.note_backends_answer(view.store_time);
            state.expire(now);
        });
        Ok(())
    }

    fn change_backends(&self, view: &TableView) {
        self.state.change(|state| {
            let now = clock_now();
            state.change_backends(view, now);
            state.note_backends_answer(view.store_time);
            state.expire(now);
        });
    }

    /// Registers this entry host in the store, and reads the other entry hosts.
    pub(crate) async fn follow_entries(self) {
        let mut backoff = RetryBackoff::default();
        let mut is_entered = None;
        loop {
            let followed = self.entries_step(&mut is_entered).await;
            self.note_outcome(&followed, &mut backoff).await;
            if followed.is_ok() {
                let pause = self
                    .state
                    .read(|state| entries_pause(state.reads_store(), state.entries().len()));
                sleep(pause).await;
            }
        }
    }

    /// Reads the entry hosts, and registers this one if it is not among them. `is_entered` tells
    /// whether it was at the last read, if there was one.
    async fn entries_step(&self, is_entered: &mut Option<bool>) -> SwitchResult<()> {
        if is_entered.is_none() {
            *is_entered = Some(self.read_own_rows().await?);
            if *is_entered == Some(true) {
                return Ok(());
            }
        }
        if *is_entered == Some(false) {
            let text = serde_json::to_vec(&self.own_entry).unwrap_or_default();
            let written = self.store.write_row(
                TableName::System,
                &self.own_entry.host,
                &text,
                STORE_TIMEOUT,
            );
            written.await?;
        }
        // The store loses the row if it returns from a copy that was taken before.
        *is_entered = Some(self.read_own_rows().await?);
        Ok(())
    }

    /// The state for dating the versions that the system's own rows record.
    fn own_follow_state(&self) -> FollowState {
        if let Some(answered_at) = self.state.read(DeploymentState::followed) {
            // A host close to the store may record a version before the watch reports it here.
            FollowState::Followed(answered_at)
        } else if self.state.read(DeploymentState::has_own_rows) {
            // A version that is new to a running process was set while it was cut off.
            FollowState::Interrupted
        } else {
            FollowState::Started
        }
    }

    /// Removes backend servers whose entries did not return, as soon as the grace period is over.
    pub(crate) async fn expire_backends(self) {
        loop {
            sleep(EXPIRY_CHECK_INTERVAL).await;
            let now = clock_now();
            if self.state.read(|state| state.has_expired(now)) {
                self.state.change(|state| state.expire(now));
            }
        }
    }

    pub(super) async fn note_outcome(
        &self,
        outcome: &SwitchResult<()>,
        backoff: &mut RetryBackoff,
    ) {
        match outcome {
            Ok(()) => {
                *backoff = RetryBackoff::default();
                self.state.change(|state| state.note_store(clock_now()));
            }
            Err(error) => {
                let detail = error.to_string();
                self.state.change(|state| state.note_store_failure(&detail));
                sleep(backoff.next()).await;
            }
        }
    }
}

/// Pauses if the store reported only `revision` after it had no history since `known`. The next watch
/// would fail in the same way.
pub(super) async fn pause_if_older(revision: u64, known: u64) {
    if revision < known {
        sleep(OLDER_READ_PAUSE).await;
    }
}

/// How long a watch that begins at `now` is held open: `longest`, or less by a process that reads
/// the store only until `until`. Otherwise one process more would receive each change until the end
/// of the watch, over a link that may be narrow.
pub(super) fn watch_span(longest: Duration, until: Option<ClockTime>, now: ClockTime) -> Duration {
    until.map_or(longest, |until| longest.min(until.since(now)))
}

/// Pause until this process reads the entry hosts again, depending on whether it reads the store
/// for its data centre, and on the number of known entry hosts, `count`.
///
/// Calls to the store must not grow with the number of entry hosts. Neighbours report new ones in
/// between.
pub(super) fn entries_pause(reads_store: bool, count: usize) -> Duration {
    if reads_store {
        return ENTRIES_PAUSE;
    }
    let parts = u32::try_from(count.div_ceil(ENTRIES_READERS)).unwrap_or(u32::MAX);
    ENTRIES_PAUSE.saturating_mul(parts.max(1))
}

/// Pause after a failure, with jitter over its upper half, so that processes that failed together
/// don't retry together.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBackoff {
    span: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self {
            span: FAILURE_PAUSE,
        }
    }
}

impl RetryBackoff {
    pub(super) fn next(&mut self) -> Duration {
        let span = self.span;
        self.span = (span * 2).min(FAILURE_PAUSE_MAX);
        span.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
