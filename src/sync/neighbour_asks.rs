//! Asks neighbours what they know beyond this process.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::events;
use super::peer_messages::{EntryRecord, PeerView, VIEW_PATH};
use super::store_clock::AskSpan;
use super::store_watch::StoreWatch;
use super::view_book::ViewBook;
use crate::events::log_event;
use crate::time::{ClockTime, clock_now};
use crate::transport::ResponseTimeouts;

/// How often a neighbour is asked while the store answers, and while it does not.
const ASK_PAUSE: Duration = Duration::from_secs(1);
const ASK_PAUSE_CUT_OFF: Duration = Duration::from_millis(250);
/// After this long without an answer the store counts as away.
const STORE_AWAY_AFTER: Duration = Duration::from_millis(500);
const NEIGHBOUR_PACE: ResponseTimeouts = ResponseTimeouts {
    head: Duration::from_millis(400),
    idle: Duration::from_millis(400),
    total: Duration::from_millis(2500),
};
/// How often a neighbour in the same data centre is asked, out of all times.
const NEAR_PART: f64 = 0.5;

/// Where a neighbour stands.
#[derive(Clone, Copy, Debug)]
enum NeighbourPlace {
    /// In the same data centre.
    Near,
    /// Somewhere else, or nobody knows where.
    Elsewhere,
}

impl StoreWatch {
    /// Asks a neighbour what it knows beyond this process: seldom while the store answers, often
    /// while it does not.
    ///
    /// The store may turn this process away and serve its neighbours. A key that was taken away
    /// would then go on being served here. The neighbour's document has a version, so that nothing
    /// older replaces something newer.
    pub(crate) async fn ask_neighbours(self) {
        loop {
            if let Some((address, place)) = self.choose_neighbour() {
                self.ask(address, place).await;
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
        self.book.read(|book| {
            book.store_silence(now) >= STORE_AWAY_AFTER || book.operator().is_overdue(now)
        })
    }

    /// One in the same data centre as often as not: the link to the others may be as full as the one to the
    /// store.
    fn choose_neighbour(&self) -> Option<(SocketAddr, NeighbourPlace)> {
        let is_near_meant = rand::rng().random_bool(NEAR_PART);
        let near = self.neighbours(|entry| entry.data_centre == self.me.data_centre);
        let mut others = if is_near_meant && !near.is_empty() {
            near.clone()
        } else {
            let mut others = self.neighbours(|_| true);
            let seeds = self.seeds.iter().copied();
            others.extend(seeds.filter(|address| *address != self.me.control));
            others
        };
        others.sort_unstable();
        others.dedup();
        if others.is_empty() {
            return None;
        }
        let at = rand::rng().random_range(0..others.len());
        let place = if near.contains(&others[at]) {
            NeighbourPlace::Near
        } else {
            NeighbourPlace::Elsewhere
        };
        Some((others[at], place))
    }

    /// Whether a document is worth its way from a neighbour at `place`.
    ///
    /// Entry hosts that read the operator's table bring each document over the links between regions; the
    /// others have it from them. Only where the store does not tell it to those does it come another way.
    fn wants_document(&self, place: NeighbourPlace, now: ClockTime) -> bool {
        match place {
            NeighbourPlace::Near => true,
            NeighbourPlace::Elsewhere => self.book.read(|book| {
                let operator = book.operator();
                operator.is_cut_off()
                    || (operator.is_own() && operator.is_overdue(now))
                    || operator.word().is_none()
            }),
        }
    }

    fn neighbours(&self, is_meant: impl Fn(&EntryRecord) -> bool) -> Vec<SocketAddr> {
        self.book.read(|book| {
            let entries = book.entries().iter();
            let meant = entries.filter(|entry| entry.control != self.me.control && is_meant(entry));
            meant.map(|entry| entry.control).collect()
        })
    }

    async fn ask(&self, address: SocketAddr, place: NeighbourPlace) {
        let mut ask = self.book.read(ViewBook::entry_ask);
        let asked = clock_now();
        ask.can_wait_for_document = !self.wants_document(place, asked);
        let called =
            self.client
                .call_with_timeouts::<_, PeerView>(address, VIEW_PATH, &ask, NEIGHBOUR_PACE);
        match called.await {
            Ok(view) => {
                let heard = clock_now();
                let span = AskSpan { asked, heard };
                self.book.change(|book| book.merge(view, span));
            }
            Err(error) => {
                log_event!(events::NEIGHBOUR_SILENT, "{error}");
                self.client.drop_pool(address);
            }
        }
    }
}
