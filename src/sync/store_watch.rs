//! Follows the store's tables and asks neighbours, for as long as the process lives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::time::{sleep, timeout};

use super::events;
use super::naming_time::NamingKnowledge;
use super::own_rows::OwnRows;
use super::peer_messages::{EntryRecord, PeerView, VIEW_PATH};
use super::shared_book::SharedBook;
use super::view_book::ViewBook;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{StoreClient, TableName, TableView, WatchAnswer};
use crate::time::{ClockTime, clock_now};
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
/// The pause between two reads of the entry hosts' table.
const ENTRIES_PAUSE: Duration = Duration::from_secs(10);
/// How long the store has for an answer beyond what it was asked to wait. It takes 4 ms usually, and
/// some hundred when it is slow.
pub(super) const STORE_WITHIN: Duration = Duration::from_millis(900);
/// The first pause after a failure; it doubles with each, up to the longest.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// How often a neighbour is asked while the store answers, and while it does not.
const ASK_PAUSE: Duration = Duration::from_secs(1);
const ASK_PAUSE_CUT_OFF: Duration = Duration::from_millis(250);
/// After this long without an answer the store counts as away.
const STORE_AWAY_AFTER: Duration = Duration::from_millis(500);
/// How often it is looked whether the wait for a lapsed entry is over.
const EXPIRE_PAUSE: Duration = Duration::from_millis(100);
/// How many of the store's revisions are looked back at a start, one look behind the other, up to the first
/// that it no longer knows. Backend servers write about once a second each, and the store keeps 20 s: 600 of
/// them make 10,000, three that change nothing some ten.
const PAST_REVISIONS: [u64; 6] = [10, 30, 100, 400, 2_000, 12_000];
/// Bytes of history that are read at a start before no further look is taken.
///
/// The history holds every document of its span. Beside a storm of large documents the looks of four entry
/// hosts that started together took the link between two regions for two seconds, and no document came
/// over it in time. This much takes 0.1 s of 26 Mbit/s.
const PAST_BYTES: usize = 300_000;
/// How long a start waits for the looks. They take 8 ms each while the store is well.
const PAST_WITHIN: Duration = Duration::from_millis(500);
/// How often they are taken again when they fail, and the pause before each.
const PAST_TRIES: u32 = 5;
const PAST_PAUSE: Duration = Duration::from_secs(1);
const NEIGHBOUR_WITHIN: Duration = Duration::from_millis(400);
/// How often a neighbour in the same data centre is asked, out of all times.
const NEAR_PART: f64 = 0.5;

/// What the watching works with.
#[derive(Clone)]
pub(crate) struct StoreWatch {
    /// The store.
    pub(crate) store: StoreClient,
    /// The way to neighbours.
    pub(crate) client: Arc<PeerClient>,
    /// The control state.
    pub(crate) book: SharedBook,
    /// What this entry host enters of itself.
    pub(crate) me: EntryRecord,
    /// Where some entry hosts listen; may be stale.
    pub(crate) seeds: Vec<SocketAddr>,
}

impl StoreWatch {
    /// Follows the operator's table.
    pub(crate) async fn follow_operator(self) {
        self.read_past_namings_first().await;
        let mut pause = FailurePause::default();
        let mut since = None;
        let mut knowledge = NamingKnowledge::Started;
        loop {
            let followed = self.operator_step(&mut since, knowledge).await;
            knowledge = match (&followed, knowledge) {
                (Ok(()), _) => NamingKnowledge::Followed,
                (Err(_), NamingKnowledge::Started) => NamingKnowledge::Started,
                (Err(_), _) => NamingKnowledge::Interrupted,
            };
            if followed.is_ok() {
                self.book.change(|book| book.note_operator(clock_now()));
            }
            self.note_outcome(&followed, &mut pause).await;
        }
    }

    /// Reads which versions were named in the last seconds, as far as the store still knows.
    ///
    /// A version that was named while no process lived is recorded nowhere. When an older naming was
    /// then done late over it, every process that started brought the older weights back. One would
    /// notice `[1102]` with an older version behind the starts.
    async fn read_past_namings(&self) -> SwitchResult<()> {
        if !self.book.read(ViewBook::has_own_rows) {
            self.read_own_rows().await?;
        }
        let newest = self.book.read(ViewBook::own_revision);
        let mut bytes = 0;
        for revisions in PAST_REVISIONS {
            let since = newest.saturating_sub(revisions);
            match self.look_back(since).await? {
                Some(read) => bytes += read,
                None => return Ok(()),
            }
            if since == 0 || bytes >= PAST_BYTES {
                return Ok(());
            }
        }
        Ok(())
    }

    /// The same before the operator's table is first read, which would show an older naming alone. A link
    /// that does not carry the history must not keep this process from the newest document: then the look
    /// goes on beside it.
    async fn read_past_namings_first(&self) {
        let looked = timeout(PAST_WITHIN, self.read_past_namings()).await;
        if !matches!(looked, Ok(Ok(()))) {
            log_event!(events::HISTORY_UNREAD);
            tokio::spawn(self.clone().read_past_namings_later());
        }
    }

    async fn read_past_namings_later(self) {
        for _ in 0..PAST_TRIES {
            sleep(PAST_PAUSE).await;
            if self.read_past_namings().await.is_ok() {
                return;
            }
        }
    }

    /// Takes in the namings behind revision `since`; returns how many bytes were read, none when the store
    /// no longer has that history.
    async fn look_back(&self, since: u64) -> SwitchResult<Option<usize>> {
        let table = TableName::Operator;
        let watched = self
            .store
            .watch_table(table, since, Duration::ZERO, STORE_WITHIN);
        let WatchAnswer::Changed(view) = watched.await? else {
            return Ok(None);
        };
        let named = NamingKnowledge::Started.naming_time(clock_now());
        self.book
            .change(|book| book.take_past_namings(&view.rows, named));
        let values = view.rows.iter().filter_map(|row| row.value.as_ref());
        Ok(Some(values.map(Bytes::len).sum()))
    }

    /// Reads the system's own rows.
    async fn read_own_rows(&self) -> SwitchResult<()> {
        let read = self.store.read_table(TableName::Own, STORE_WITHIN);
        self.take_own_rows(OwnRows::of(&read.await?));
        Ok(())
    }

    pub(super) fn take_own_rows(&self, own: OwnRows) {
        let named = self.own_knowledge().naming_time(clock_now());
        self.book.change(|book| book.take_own_rows(own, named));
    }

    async fn operator_step(
        &self,
        since: &mut Option<u64>,
        knowledge: NamingKnowledge,
    ) -> SwitchResult<()> {
        let Some(known) = *since else {
            *since = Some(self.read_operator(knowledge).await?);
            return Ok(());
        };
        let is_behind_cut = matches!(knowledge, NamingKnowledge::Interrupted);
        if is_behind_cut {
            // The operator's row of a version that was named meanwhile may have gone back since.
            self.read_own_rows().await?;
        }
        let table = TableName::Operator;
        let watched = self
            .store
            .watch_table(table, known, OPERATOR_WAIT, STORE_WITHIN)
            .await;
        if is_behind_cut && watched.is_err() {
            // The store answers, and the watch brings nothing: its answer holds every document since it last
            // succeeded, and a link may not carry that in the time that the store is given; each try asks
            // for more. One would notice an entry host that answers 404 for routes that were added seconds
            // before while its neighbours serve them. A read holds the newest document alone.
            *since = None;
        }
        let revision = match watched? {
            WatchAnswer::Changed(view) => {
                if !view.rows.is_empty() {
                    let named = knowledge.naming_time(clock_now());
                    self.book
                        .change(|book| book.take_operator_rows(&view.rows, named));
                }
                view.revision
            }
            WatchAnswer::HistoryLost => {
                log_event!(events::HISTORY_LOST, "table=operator");
                // Nothing was heard for a while before.
                self.read_operator(NamingKnowledge::Interrupted).await?
            }
        };
        *since = Some(known.max(revision));
        Ok(())
    }

    /// Reads the operator's table as a whole; returns its revision.
    ///
    /// A process reads the system's own rows first: with a document it is ready, and would otherwise
    /// believe an operator's row that has gone back.
    async fn read_operator(&self, knowledge: NamingKnowledge) -> SwitchResult<u64> {
        let is_behind_cut = matches!(knowledge, NamingKnowledge::Interrupted);
        if is_behind_cut || !self.book.read(ViewBook::has_own_rows) {
            self.read_own_rows().await?;
        }
        let read = self.store.read_table(TableName::Operator, STORE_WITHIN);
        let view = read.await?;
        let named = knowledge.naming_time(clock_now());
        self.book
            .change(|book| book.read_operator_rows(&view.rows, named));
        Ok(view.revision)
    }

    /// Follows the backend servers' table.
    pub(crate) async fn follow_backends(self) {
        let mut pause = FailurePause::default();
        let mut is_whole = false;
        loop {
            let followed = self.backends_step(&mut is_whole).await;
            self.note_outcome(&followed, &mut pause).await;
            if followed.is_ok() {
                sleep(BACKENDS_PAUSE).await;
            }
        }
    }

    async fn backends_step(&self, is_whole: &mut bool) -> SwitchResult<()> {
        let since = self.book.read(ViewBook::backends_revision);
        if *is_whole {
            let watched =
                self.store
                    .watch_table(TableName::Backends, since, BACKENDS_WAIT, STORE_WITHIN);
            match watched.await? {
                WatchAnswer::Changed(view) => {
                    self.change_backends(&view);
                    return Ok(());
                }
                WatchAnswer::HistoryLost => log_event!(events::HISTORY_LOST, "table=backends"),
            }
        }
        let read = self.store.read_table(TableName::Backends, STORE_WITHIN);
        let view = read.await?;
        // A read that is older than what is known is tried again.
        *is_whole = view.revision >= since;
        self.book.change(|book| {
            let now = clock_now();
            book.set_backends(&view, now);
            book.expire(now);
        });
        Ok(())
    }

    fn change_backends(&self, view: &TableView) {
        self.book.change(|book| {
            let now = clock_now();
            book.change_backends(view, now);
            book.expire(now);
        });
    }

    /// Enters this entry host in the store, and reads who else is there.
    pub(crate) async fn follow_entries(self) {
        let mut pause = FailurePause::default();
        let mut is_entered = false;
        loop {
            let followed = self.entries_step(&mut is_entered).await;
            self.note_outcome(&followed, &mut pause).await;
            if followed.is_ok() {
                sleep(ENTRIES_PAUSE).await;
            }
        }
    }

    async fn entries_step(&self, is_entered: &mut bool) -> SwitchResult<()> {
        if !*is_entered {
            let text = serde_json::to_vec(&self.me).unwrap_or_default();
            let written = self
                .store
                .write_row(TableName::Own, &self.me.host, &text, STORE_WITHIN);
            written.await?;
            *is_entered = true;
        }
        self.read_own_rows().await
    }

    /// What is known of when versions were named that the system's own rows record.
    fn own_knowledge(&self) -> NamingKnowledge {
        if self.book.read(ViewBook::has_own_rows) {
            // What is new to a process that has lived was named while it was cut off.
            NamingKnowledge::Interrupted
        } else {
            NamingKnowledge::Started
        }
    }

    /// Asks a neighbour what it knows beyond this process: seldom while the store answers, often
    /// while it does not.
    ///
    /// The store may turn this process away and serve its neighbours. A key that was taken away
    /// would then go on being served here. The neighbour's document has a version, so that nothing
    /// older replaces something newer.
    pub(crate) async fn ask_neighbours(self) {
        loop {
            if let Some(address) = self.choose_neighbour() {
                self.ask(address).await;
            }
            let now = clock_now();
            let pause = if self.is_cut_off(now) {
                ASK_PAUSE_CUT_OFF
            } else {
                ASK_PAUSE
            };
            let part = rand::rng().random_range(0.75..1.25);
            sleep(pause.mul_f64(part)).await;
        }
    }

    /// Whether this process may not know what the store says.
    ///
    /// Each table is followed by itself, and a small one may be read over a link that does not carry the
    /// operator's: then the store counts as there, and the document in force is old.
    fn is_cut_off(&self, now: ClockTime) -> bool {
        let (silence, unread) = self
            .book
            .read(|book| (book.store_silence(now), book.operator_silence(now)));
        silence >= STORE_AWAY_AFTER || unread >= OPERATOR_WAIT + STORE_AWAY_AFTER
    }

    /// Gives up backend servers whose entries did not come back, as soon as their time is over.
    pub(crate) async fn expire_backends(self) {
        loop {
            sleep(EXPIRE_PAUSE).await;
            let now = clock_now();
            if self.book.read(|book| book.has_expired(now)) {
                self.book.change(|book| book.expire(now));
            }
        }
    }

    /// One in the same data centre as often as not: the link to the others may be as full as the one to the
    /// store.
    fn choose_neighbour(&self) -> Option<SocketAddr> {
        let is_near_meant = rand::rng().random_bool(NEAR_PART);
        let near = self.neighbours(|entry| entry.data_centre == self.me.data_centre);
        let mut others = if is_near_meant && !near.is_empty() {
            near
        } else {
            let mut others = self.neighbours(|_| true);
            others.extend(&self.seeds);
            others
        };
        others.retain(|address| *address != self.me.control);
        others.sort_unstable();
        others.dedup();
        if others.is_empty() {
            return None;
        }
        let at = rand::rng().random_range(0..others.len());
        Some(others[at])
    }

    fn neighbours(&self, is_meant: impl Fn(&EntryRecord) -> bool) -> Vec<SocketAddr> {
        self.book.read(|book| {
            let entries = book.entries().iter();
            let meant = entries.filter(|entry| entry.control != self.me.control && is_meant(entry));
            meant.map(|entry| entry.control).collect()
        })
    }

    async fn ask(&self, address: SocketAddr) {
        let ask = self.book.read(|book| book.ask(clock_now()));
        let called = self
            .client
            .call::<_, PeerView>(address, VIEW_PATH, &ask, NEIGHBOUR_WITHIN);
        match called.await {
            Ok(view) => self.book.change(|book| book.merge(view, clock_now())),
            Err(error) => {
                log_event!(events::NEIGHBOUR_SILENT, "{error}");
                self.client.drop_pool(address);
            }
        }
    }

    async fn note_outcome(&self, outcome: &SwitchResult<()>, pause: &mut FailurePause) {
        match outcome {
            Ok(()) => {
                *pause = FailurePause::default();
                self.book.change(|book| book.note_store(clock_now()));
            }
            Err(error) => {
                let detail = error.to_string();
                self.book.change(|book| book.note_store_failure(&detail));
                sleep(pause.next()).await;
            }
        }
    }
}

/// The pause after a failure, with full jitter over its upper half: processes that failed together
/// do not come back together.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailurePause {
    span: Duration,
}

impl Default for FailurePause {
    fn default() -> Self {
        Self {
            span: FAILURE_PAUSE,
        }
    }
}

impl FailurePause {
    pub(super) fn next(&mut self) -> Duration {
        let span = self.span;
        self.span = (span * 2).min(FAILURE_PAUSE_MAX);
        span.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
