//! Asks neighbours what they know beyond this process.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::events;
use super::peer_messages::{EntryRecord, PeerView, VIEW_PATH};
use super::store_clock::AskSpan;
use super::store_watch::{OPERATOR_WAIT, StoreWatch};
use super::view_book::ViewBook;
use crate::events::log_event;
use crate::time::{ClockTime, clock_now};

/// How often a neighbour is asked while the store answers, and while it does not.
const ASK_PAUSE: Duration = Duration::from_secs(1);
const ASK_PAUSE_CUT_OFF: Duration = Duration::from_millis(250);
/// After this long without an answer the store counts as away.
const STORE_AWAY_AFTER: Duration = Duration::from_millis(500);
const NEIGHBOUR_WITHIN: Duration = Duration::from_millis(400);
/// How often a neighbour in the same data centre is asked, out of all times.
const NEAR_PART: f64 = 0.5;

impl StoreWatch {
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

    /// One in the same data centre as often as not: the link to the others may be as full as the one to the
    /// store.
    fn choose_neighbour(&self) -> Option<SocketAddr> {
        let is_near_meant = rand::rng().random_bool(NEAR_PART);
        let near = self.neighbours(|entry| entry.data_centre == self.me.data_centre);
        let mut others = if is_near_meant && !near.is_empty() {
            near
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
        let ask = self.book.read(ViewBook::ask);
        let asked = clock_now();
        let called = self
            .client
            .call::<_, PeerView>(address, VIEW_PATH, &ask, NEIGHBOUR_WITHIN);
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
