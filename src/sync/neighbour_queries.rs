//! Queries neighbours for state that this process does not have.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::deployment_state::DeploymentState;
use super::events;
use super::peer_messages::{EntryRecord, PeerView, VIEW_PATH};
use super::store_clock::QuerySpan;
use super::store_watch::StoreWatch;
use crate::events::log_event;
use crate::time::{ClockTime, clock_now};
use crate::transport::ResponseTimeouts;

/// Pause between queries while the store answers (`QUERY_PAUSE`) and while it does not, or others do
/// not count this entry host yet.
const QUERY_PAUSE: Duration = Duration::from_secs(1);
const QUERY_PAUSE_SHORT: Duration = Duration::from_millis(250);
/// The store counts as unavailable after this time without an answer.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(500);
const NEIGHBOUR_PACE: ResponseTimeouts = ResponseTimeouts {
    head: Duration::from_millis(400),
    idle: Duration::from_millis(400),
    total: Duration::from_millis(2500),
};
/// How long after its start an entry host names itself in its queries. Those that started before it
/// would otherwise share rates and engines without it until they read the entry hosts again.
const INTRODUCTION_SPAN: Duration = Duration::from_secs(10);
/// Share of the queries that go to a neighbour in the same data centre.
const NEAR_SHARE: f64 = 0.5;

/// Where a neighbour is.
#[derive(Clone, Copy, Debug)]
enum NeighbourLocation {
    /// In the same data centre.
    Near,
    /// In another data centre, or unknown.
    Elsewhere,
}

impl StoreWatch {
    /// Queries neighbours for state that this process does not have: rarely while the store
    /// answers, often while it does not.
    ///
    /// The store may refuse this process and serve its neighbours; a revoked key would then stay
    /// valid here. Documents have versions, so a neighbour's document never replaces a newer one.
    pub(crate) async fn query_neighbours(self) {
        loop {
            if let Some((address, location)) = self.choose_neighbour() {
                self.query(address, location).await;
            }
            let now = clock_now();
            let pause = if self.is_cut_off(now) || self.is_introducing_itself(now) {
                QUERY_PAUSE_SHORT
            } else {
                QUERY_PAUSE
            };
            let jitter = rand::rng().random_range(0.75..1.25);
            sleep(pause.mul_f64(jitter)).await;
        }
    }

    /// Whether the store's state may be unknown to this process.
    ///
    /// Tables are followed separately. A small one may get through a link that does not carry the
    /// operator's table; the store then counts as available while the document in force is
    /// outdated.
    fn is_cut_off(&self, now: ClockTime) -> bool {
        self.state.read(|state| {
            state.store_outage(now) >= STORE_UNAVAILABLE_AFTER || state.operator().is_overdue(now)
        })
    }

    /// Whether others may not count this entry host yet, because it has just started.
    fn is_introducing_itself(&self, now: ClockTime) -> bool {
        now.since(self.started_at) < INTRODUCTION_SPAN
            && !self.state.read(DeploymentState::is_counted)
    }

    /// Chooses a neighbour at random, half of the time in the same data centre: the links to the
    /// others may be as saturated as the one to the store.
    fn choose_neighbour(&self) -> Option<(SocketAddr, NeighbourLocation)> {
        let prefers_near = rand::rng().random_bool(NEAR_SHARE);
        let near = self.neighbours(|entry| entry.data_centre == self.own_entry.data_centre);
        let mut others = if prefers_near && !near.is_empty() {
            near.clone()
        } else {
            let mut others = self.neighbours(|_| true);
            let seeds = self.seeds.iter().copied();
            others.extend(seeds.filter(|address| *address != self.own_entry.control));
            others
        };
        others.sort_unstable();
        others.dedup();
        if others.is_empty() {
            return None;
        }
        let at = rand::rng().random_range(0..others.len());
        let location = if near.contains(&others[at]) {
            NeighbourLocation::Near
        } else {
            NeighbourLocation::Elsewhere
        };
        Some((others[at], location))
    }

    /// Whether a document should be requested from a neighbour at `location`.
    ///
    /// Entry hosts that read the operator's table transfer each document between regions once; the
    /// others get it from them. Another transfer is needed only if the store does not answer those
    /// readers.
    fn wants_document(&self, location: NeighbourLocation, now: ClockTime) -> bool {
        match location {
            NeighbourLocation::Near => true,
            NeighbourLocation::Elsewhere => self.state.read(|state| {
                let operator = state.operator();
                operator.is_cut_off()
                    || (operator.is_reader() && operator.is_overdue(now))
                    || operator.announcement().is_none()
            }),
        }
    }

    fn neighbours(&self, is_selected: impl Fn(&EntryRecord) -> bool) -> Vec<SocketAddr> {
        self.state.read(|state| {
            let entries = state.entries().iter();
            let selected = entries
                .filter(|entry| entry.control != self.own_entry.control && is_selected(entry));
            selected.map(|entry| entry.control).collect()
        })
    }

    async fn query(&self, address: SocketAddr, location: NeighbourLocation) {
        let mut query = self.state.read(DeploymentState::entry_query);
        let sent_at = clock_now();
        query.can_wait_for_document = !self.wants_document(location, sent_at);
        if sent_at.since(self.started_at) < INTRODUCTION_SPAN {
            query.sender = Some(self.own_entry.clone());
        }
        let called = self.client.call_with_timeouts::<_, PeerView>(
            address,
            VIEW_PATH,
            &query,
            NEIGHBOUR_PACE,
        );
        match called.await {
            Ok(view) => {
                let received_at = clock_now();
                let span = QuerySpan {
                    sent_at,
                    received_at,
                };
                self.state.change(|state| state.merge(view, span));
            }
            Err(error) => {
                log_event!(events::NEIGHBOUR_UNRESPONSIVE, "{error}");
                self.client.drop_pool(address);
            }
        }
    }
}
