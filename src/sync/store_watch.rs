//! Follows the store's tables and asks neighbours, for as long as the process lives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::control_state::ControlState;
use super::events;
use super::own_rows::OwnRows;
use super::peer_messages::EntryRecord;
use super::shared_control_state::SharedControlState;
use super::store_clock::QuerySpan;
use super::target_update_time::FollowState;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{StoreClient, TableName, TableView, WatchAnswer};
use crate::time::{ClockTime, StoreTime, clock_now};
use crate::transport::PeerClient;

/// How long the store holds a watch of the operator's table open. A connection may go silent for
/// good while it waits, which only the end of this span shows; a document must be in force two
/// seconds after it was accepted. Each call has a price, so the span is not shorter.
const OPERATOR_WAIT: Duration = Duration::from_millis(1400);
/// How long the store holds a watch of the backend servers' table open.
const BACKENDS_WAIT: Duration = Duration::from_secs(1);
/// The pause between two watches of the backend servers' table. Entries change all the time; without
/// it the watch would return for each of them. A leaving backend server may get nothing two seconds
/// after the store's word.
const BACKENDS_PAUSE: Duration = Duration::from_millis(500);
/// How often it is looked whether neighbours still tell the list.
const REPORTED_PAUSE: Duration = Duration::from_millis(100);
/// How long a start waits for a neighbour to tell it, and how often that is looked at.
const START_TIMEOUT: Duration = Duration::from_millis(400);
const START_PAUSE: Duration = Duration::from_millis(20);
/// The pause between two reads of the entry hosts' table.
const ENTRIES_PAUSE: Duration = Duration::from_secs(10);
/// Entry hosts that read it within a pause; with more of them, those that neighbours tell read it less
/// often.
const ENTRIES_READERS: usize = 10;
/// How long the store has for an answer beyond what it was asked to wait. It takes 4 ms usually, and
/// some hundred when it is slow.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// The first pause after a failure; it doubles with each, up to the longest.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// How often it is looked whether the wait for a lapsed entry is over.
const EXPIRE_PAUSE: Duration = Duration::from_millis(100);

/// What the watching works with.
#[derive(Clone)]
pub(crate) struct StoreWatch {
    /// The store.
    pub(crate) store: StoreClient,
    /// The way to neighbours.
    pub(crate) client: Arc<PeerClient>,
    /// The control state.
    pub(crate) state: SharedControlState,
    /// What this entry host enters of itself.
    pub(crate) own_entry: EntryRecord,
    /// Where some entry hosts listen; may be stale.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// What the next question for the operator's table stands behind.
#[derive(Clone, Copy)]
pub(super) struct FollowContext {
    pub(super) follow_state: FollowState,
    /// The one before it failed.
    pub(super) is_after_failure: bool,
    /// The last answer about the table.
    pub(super) answered_at: Option<StoreTime>,
}

impl FollowContext {
    /// The next step behind an answer of `answered_at`.
    pub(super) const fn after_answer(answered_at: StoreTime) -> Self {
        Self {
            follow_state: FollowState::Followed(answered_at),
            is_after_failure: false,
            answered_at: Some(answered_at),
        }
    }

    /// The next step, if this one fails; `contact` tells since when the store has answered other questions,
    /// if it did meanwhile.
    const fn after_failure(self, contact: Option<StoreTime>) -> Self {
        Self {
            follow_state: self.follow_state.after_failure(contact),
            // A start reads all that there is anyway.
            is_after_failure: !matches!(self.follow_state, FollowState::Started),
            ..self
        }
    }
}

impl StoreWatch {
    /// The step behind `context`, which failed and began at `sent_at`.
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

    /// Since when the store has answered without telling of the operator's table.
    fn contact_since(&self, context: FollowContext) -> Option<StoreTime> {
        let since = self.state.read(ControlState::contact_since);
        since.max(context.answered_at)
    }

    /// Whether the store has answered any question since `sent_at`.
    fn has_answered_since(&self, sent_at: ClockTime) -> bool {
        let answered = self.state.read(ControlState::store_answered);
        answered.is_some_and(|at| at >= sent_at)
    }

    /// Reads the system's own rows.
    pub(super) async fn read_own_rows(&self) -> SwitchResult<()> {
        let view = self.read_table(TableName::Own).await?;
        self.take_own_rows(OwnRows::of(&view), view.told_at);
        Ok(())
    }

    /// Takes in rows of the system's own that the store told of at `answered_at`.
    pub(super) fn take_own_rows(&self, own: OwnRows, answered_at: StoreTime) {
        let update_time = self
            .own_follow_state()
            .update_time(answered_at, answered_at);
        self.state
            .change(|state| state.take_own_rows(own, update_time));
    }

    /// Reads a whole table.
    pub(super) async fn read_table(&self, table: TableName) -> SwitchResult<TableView> {
        let sent_at = clock_now();
        let view = self.store.read_table(table, STORE_TIMEOUT).await?;
        self.note_store_answer(&view, sent_at);
        Ok(view)
    }

    /// The store was asked at `sent_at` and has just answered with `view`. Returns what its clock showed at
    /// the question, at the latest.
    pub(super) fn note_store_answer(&self, view: &TableView, sent_at: ClockTime) -> StoreTime {
        let received_at = clock_now();
        let span = QuerySpan {
            sent_at,
            received_at,
        };
        self.state
            .note(|state| state.note_store_answer(view.revision, view.told_at, span));
        self.state.read(|state| state.store_time(sent_at))
    }

    /// Follows the operator's table by one answer of the store, behind revision `since`; returns when the
    /// store gave it.
    pub(super) async fn operator_step(
        &self,
        since: &mut Option<u64>,
        context: FollowContext,
    ) -> SwitchResult<StoreTime> {
        let Some(known) = *since else {
            let (revision, answered_at) = self.read_operator(context).await?;
            *since = Some(revision);
            return Ok(answered_at);
        };
        if context.is_after_failure {
            // The operator's row of a version that was named meanwhile may have gone back since.
            self.read_own_rows().await?;
        }
        let table = TableName::Operator;
        let sent_at = clock_now();
        let watched = self
            .store
            .watch_table(table, known, OPERATOR_WAIT, STORE_TIMEOUT)
            .await;
        if context.is_after_failure && watched.is_err() {
            // The store answers, and the watch brings nothing: its answer holds every document since it last
            // succeeded, and a link may not carry that in the time that the store is given; each try asks
            // for more. One would notice an entry host that answers 404 for routes that were added seconds
            // before while its neighbours serve them. A read holds the newest document alone.
            *since = None;
        }
        let (revision, answered_at) = match watched? {
            WatchAnswer::Changed(view) => {
                let sent_by = self.note_store_answer(&view, sent_at);
                if !view.rows.is_empty() {
                    let update_time = context.follow_state.update_time(sent_by, view.told_at);
                    self.state
                        .change(|state| state.change_operator_rows(&view.rows, update_time));
                }
                (view.revision, view.told_at)
            }
            WatchAnswer::HistoryLost => {
                log_event!(events::HISTORY_LOST, "table=operator");
                let contact = self.contact_since(context);
                self.read_operator(context.after_failure(contact)).await?
            }
        };
        *since = Some(known.max(revision));
        Ok(answered_at)
    }

    /// Reads the operator's table as a whole; returns its revision, and when the store told it.
    ///
    /// A process reads the system's own rows first: with a document it is ready, and would otherwise
    /// believe an operator's row that has gone back.
    async fn read_operator(&self, context: FollowContext) -> SwitchResult<(u64, StoreTime)> {
        if !self.state.read(ControlState::knows_crashes) {
            self.read_crashes().await?;
        }
        if context.is_after_failure || !self.state.read(ControlState::has_own_rows) {
            self.read_own_rows().await?;
        }
        let view = self.read_table(TableName::Operator).await?;
        // A read does not wait for a change.
        let update_time = context.follow_state.update_time(view.told_at, view.told_at);
        self.state
            .change(|state| state.set_operator_rows(&view.rows, update_time));
        Ok((view.revision, view.told_at))
    }

    /// Follows the backend servers' table.
    pub(crate) async fn follow_backends(self) {
        let mut backoff = RetryBackoff::default();
        self.await_reported_backends().await;
        let mut is_complete = false;
        loop {
            if self.state.read(|state| state.is_list_reported(clock_now())) {
                // What is told is whole as of its revision.
                is_complete = true;
                sleep(REPORTED_PAUSE).await;
                continue;
            }
            let followed = self.backends_step(&mut is_complete).await;
            self.note_outcome(&followed, &mut backoff).await;
            if followed.is_ok() {
                sleep(BACKENDS_PAUSE).await;
            }
        }
    }

    /// A start need not read the list if a neighbour tells it.
    async fn await_reported_backends(&self) {
        let begun = clock_now();
        let is_settled =
            |state: &ControlState| state.operator().is_reader() || state.backends_revision() > 0;
        while !self.state.read(is_settled) && clock_now().since(begun) < START_TIMEOUT {
            sleep(START_PAUSE).await;
        }
    }

    async fn backends_step(&self, is_complete: &mut bool) -> SwitchResult<()> {
        let since = self.state.read(ControlState::backends_revision);
        if *is_complete {
            let sent_at = clock_now();
            let watched =
                self.store
                    .watch_table(TableName::Backends, since, BACKENDS_WAIT, STORE_TIMEOUT);
            match watched.await? {
                WatchAnswer::Changed(view) => {
                    self.note_store_answer(&view, sent_at);
                    self.change_backends(&view);
                    return Ok(());
                }
                WatchAnswer::HistoryLost => log_event!(events::HISTORY_LOST, "table=backends"),
            }
        }
        let view = self.read_table(TableName::Backends).await?;
        // A read that is older than what is known is tried again.
        *is_complete = view.revision >= since;
        self.state.change(|state| {
            let now = clock_now();
            state.set_backends(&view, now);
            state.note_backends_answer(view.told_at);
            state.expire(now);
        });
        Ok(())
    }

    fn change_backends(&self, view: &TableView) {
        self.state.change(|state| {
            let now = clock_now();
            state.change_backends(view, now);
            state.note_backends_answer(view.told_at);
            state.expire(now);
        });
    }

    /// Enters this entry host in the store, and reads who else is there.
    pub(crate) async fn follow_entries(self) {
        let mut backoff = RetryBackoff::default();
        let mut is_entered = false;
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

    async fn entries_step(&self, is_entered: &mut bool) -> SwitchResult<()> {
        if !*is_entered {
            let text = serde_json::to_vec(&self.own_entry).unwrap_or_default();
            let written =
                self.store
                    .write_row(TableName::Own, &self.own_entry.host, &text, STORE_TIMEOUT);
            written.await?;
            *is_entered = true;
        }
        self.read_own_rows().await
    }

    /// What is known of when versions were named that the system's own rows record.
    fn own_follow_state(&self) -> FollowState {
        if let Some(answered_at) = self.state.read(ControlState::followed) {
            // A host near the store records a version before the watch tells it here.
            FollowState::Followed(answered_at)
        } else if self.state.read(ControlState::has_own_rows) {
            // What is new to a process that has lived was named while it was cut off.
            FollowState::Interrupted
        } else {
            FollowState::Started
        }
    }

    /// Gives up backend servers whose entries did not come back, as soon as their time is over.
    pub(crate) async fn expire_backends(self) {
        loop {
            sleep(EXPIRE_PAUSE).await;
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

/// How long until the entry hosts are read again by a process that reads the store itself or not, if it
/// knows `count` of them.
///
/// Calls to the store must not grow with the number of entry hosts; those that come are told by
/// neighbours meanwhile.
pub(super) fn entries_pause(reads_store: bool, count: usize) -> Duration {
    if reads_store {
        return ENTRIES_PAUSE;
    }
    let parts = u32::try_from(count.div_ceil(ENTRIES_READERS)).unwrap_or(u32::MAX);
    ENTRIES_PAUSE.saturating_mul(parts.max(1))
}

/// The pause after a failure, with full jitter over its upper half: processes that failed together
/// do not come back together.
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
