//! How a host of a backend server knows the document, the wanted weights and the other hosts: from
//! entry hosts, so that the store is asked by few; from the store when none of them answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::time::sleep;

use super::events;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::NamingCertainty;
use crate::platform::{StoreClient, TableName};
use crate::sync::{
    AskSpan, EntryRecord, NamingTime, OwnRows, PeerView, SharedBook, VIEW_PATH, ViewBook,
};
use crate::time::{ClockTime, clock_now};
use crate::transport::{PeerClient, ResponseTimeouts};

/// How long an entry host holds the question open. A version is told the moment it is known there;
/// asking four times in a second and a half told it 0.2 s later on average.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// The pause between two questions.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// How an answer has to arrive: a document of 2,000 routes takes half a second of a host's whole link.
const POLL_PACE: ResponseTimeouts = ResponseTimeouts {
    head: Duration::from_millis(1300),
    idle: Duration::from_millis(500),
    total: Duration::from_secs(4),
};
/// The pause after a question without an answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Entry hosts in a row that do not answer, after which the store is read.
const SILENT_MAX: u32 = 3;
const STORE_WITHIN: Duration = Duration::from_millis(1200);
/// How long a host does without a newer document than it has: it needs of it which model its engine is to
/// serve and where the origin is, and an entry host waits for neither.
const DOCUMENT_PAUSE: Duration = Duration::from_secs(2);
/// How long ago a version may have been named that is found in the store.
const NAMED_BEFORE: Duration = Duration::from_secs(5);

/// What the polling works with.
pub(super) struct ViewPoll {
    pub(super) client: Arc<PeerClient>,
    pub(super) store: StoreClient,
    pub(super) book: SharedBook,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) data_centre: ByteString,
    /// When a document last came from an entry host.
    pub(super) document_at: Option<ClockTime>,
}

impl ViewPoll {
    /// Polls for as long as the process lives.
    pub(super) async fn run(mut self) {
        let mut silent = 0_u32;
        loop {
            let mut pause = POLL_PAUSE;
            if self.ask_entry().await {
                silent = 0;
            } else {
                silent += 1;
                pause = FAILURE_PAUSE;
            }
            if silent >= SILENT_MAX {
                log_event!(events::ENTRIES_SILENT);
                if let Err(error) = self.read_store().await {
                    log_event!(events::STORE_UNREAD, "{error}");
                }
                silent = 0;
            }
            let part = rand::rng().random_range(0.8..1.2);
            sleep(pause.mul_f64(part)).await;
        }
    }

    async fn ask_entry(&mut self) -> bool {
        let Some((address, is_near)) = self.choose_entry() else {
            return false;
        };
        let mut ask = self.book.read(ViewBook::ask);
        ask.wait_ms = u64::try_from(POLL_WAIT.as_millis()).unwrap_or(0);
        let asked = clock_now();
        // A document need not cross the link between two regions for a host that has one.
        let is_far_and_known = !is_near && self.document_at.is_some();
        ask.can_wait_for_document = is_far_and_known || self.can_wait_for_document(asked);
        let called = self
            .client
            .call_with_timeouts::<_, PeerView>(address, VIEW_PATH, &ask, POLL_PACE);
        if let Ok(view) = called.await {
            let heard = clock_now();
            if view.document.is_some() {
                self.document_at = Some(heard);
            }
            let span = AskSpan { asked, heard };
            self.book.change(|book| book.merge(view, span));
            return true;
        }
        // A silent connection looks like a silent entry host; the next call opens another.
        self.client.drop_pool(address);
        false
    }

    /// Whether the last document that came will do at `now`.
    pub(super) fn can_wait_for_document(&self, now: ClockTime) -> bool {
        self.document_at
            .is_some_and(|at| now.since(at) < DOCUMENT_PAUSE)
    }

    /// Mostly an entry host of this data centre: bytes between data centres are dear. Tells whether it is one.
    fn choose_entry(&self) -> Option<(SocketAddr, bool)> {
        let (near, all) = self.book.read(|book| {
            let is_near = |entry: &&EntryRecord| entry.data_centre == self.data_centre;
            let near = book.entries().iter().filter(is_near);
            let near: Vec<SocketAddr> = near.map(|entry| entry.control).collect();
            let all = book.entries().iter().map(|entry| entry.control);
            let all: Vec<SocketAddr> = all.chain(self.seeds.iter().copied()).collect();
            (near, all)
        });
        let mut rng = rand::rng();
        let choices = if near.is_empty() || rng.random_bool(0.1) {
            &all
        } else {
            &near
        };
        if choices.is_empty() {
            return None;
        }
        let chosen = choices[rng.random_range(0..choices.len())];
        Some((chosen, near.contains(&chosen)))
    }

    async fn read_store(&self) -> SwitchResult<()> {
        let asked = clock_now();
        let own = self
            .store
            .read_table(TableName::System, STORE_WITHIN)
            .await?;
        let span = AskSpan {
            asked,
            heard: clock_now(),
        };
        let operator = self
            .store
            .read_table(TableName::Operator, STORE_WITHIN)
            .await?;
        let named = NamingTime::guessed(operator.told_at - NAMED_BEFORE, NamingCertainty::Assumed);
        self.book.change(|book| {
            book.note_told(own.revision, own.told_at, span);
            book.take_own_rows(OwnRows::of(&own), named);
            book.read_operator_rows(&operator.rows, named);
        });
        let backends = self
            .store
            .read_table(TableName::Backends, STORE_WITHIN)
            .await?;
        self.book
            .change(|book| book.set_backends(&backends, clock_now()));
        Ok(())
    }
}
