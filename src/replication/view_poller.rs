//! Polls entry hosts for the document, the target versions and the other hosts, so that few
//! processes query the store. Reads the store if no entry host answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::time::sleep;

use super::events;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::TargetTimeCertainty;
use crate::platform::{StoreClient, TableName};
use crate::sync::{
    DeploymentState, EntryRecord, OwnRows, PeerView, QuerySpan, SharedDeploymentState,
    TargetUpdateTime, VIEW_PATH,
};
use crate::time::{ClockTime, clock_now};
use crate::transport::{PeerClient, ResponseTimeouts};

/// How long an entry host holds a query open. It answers as soon as it knows of a new version. Four
/// queries in a second and a half reported a version 0.2 s later on average.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// Pause between two queries.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Time limits for a response: a document with 2,000 routes takes half a second of a host's entire
/// link.
const POLL_PACE: ResponseTimeouts = ResponseTimeouts {
    head: Duration::from_millis(1300),
    idle: Duration::from_millis(500),
    total: Duration::from_secs(4),
};
/// Pause after a query without a response.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Failed queries in a row after which the store is read.
const FAILED_QUERIES_MAX: u32 = 3;
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long a host accepts that its document may be outdated. It needs the document only for the
/// model of its engine and the origin's address, neither of which entry hosts wait for.
const DOCUMENT_PAUSE: Duration = Duration::from_secs(2);
/// Assumed time since the target update for a version that is read from the store.
const TARGET_SET_BEFORE: Duration = Duration::from_secs(5);

/// Polls entry hosts and the store.
pub(super) struct ViewPoller {
    pub(super) client: Arc<PeerClient>,
    pub(super) store: StoreClient,
    pub(super) deployment_state: SharedDeploymentState,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) data_centre: ByteString,
    /// When an entry host last sent a document.
    pub(super) document_at: Option<ClockTime>,
}

impl ViewPoller {
    /// Polls for the lifetime of the process.
    pub(super) async fn run(mut self) {
        let mut failed_queries = 0_u32;
        loop {
            let mut pause = POLL_PAUSE;
            if self.query_entry().await {
                failed_queries = 0;
            } else {
                failed_queries += 1;
                pause = FAILURE_PAUSE;
            }
            if failed_queries >= FAILED_QUERIES_MAX {
                log_event!(events::ENTRIES_UNRESPONSIVE);
                if let Err(error) = self.read_store().await {
                    log_event!(events::STORE_READ_FAILED, "{error}");
                }
                failed_queries = 0;
            }
            let jitter = rand::rng().random_range(0.8..1.2);
            sleep(pause.mul_f64(jitter)).await;
        }
    }

    async fn query_entry(&mut self) -> bool {
        let Some((address, is_near)) = self.choose_entry() else {
            return false;
        };
        let mut query = self.deployment_state.read(DeploymentState::query);
        query.wait_ms = u64::try_from(POLL_WAIT.as_millis()).unwrap_or(0);
        let sent_at = clock_now();
        // A host that has a document does not need another over the link between two regions.
        let is_far_and_known = !is_near && self.document_at.is_some();
        query.can_wait_for_document = is_far_and_known || self.can_wait_for_document(sent_at);
        let called = self
            .client
            .call_with_timeouts::<_, PeerView>(address, VIEW_PATH, &query, POLL_PACE);
        if let Ok(view) = called.await {
            let received_at = clock_now();
            if view.document.is_some() {
                self.document_at = Some(received_at);
            }
            let span = QuerySpan {
                sent_at,
                received_at,
            };
            self.deployment_state
                .change(|deployment_state| deployment_state.merge(view, span));
            return true;
        }
        // The connection may be broken rather than the entry host; the next call opens a new one.
        self.client.drop_pool(address);
        false
    }

    /// Whether the last document is recent enough at `now`.
    pub(super) fn can_wait_for_document(&self, now: ClockTime) -> bool {
        self.document_at
            .is_some_and(|at| now.since(at) < DOCUMENT_PAUSE)
    }

    /// Chooses an entry host, mostly of this data centre because traffic between data centres is
    /// expensive. Returns whether it is in this data centre.
    fn choose_entry(&self) -> Option<(SocketAddr, bool)> {
        let (near, all) = self.deployment_state.read(|deployment_state| {
            let is_near = |entry: &&EntryRecord| entry.data_centre == self.data_centre;
            let near = deployment_state.entries().iter().filter(is_near);
            let near: Vec<SocketAddr> = near.map(|entry| entry.control).collect();
            let all = deployment_state.entries().iter().map(|entry| entry.control);
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
        let sent_at = clock_now();
        let own = self
            .store
            .read_table(TableName::System, STORE_TIMEOUT)
            .await?;
        let span = QuerySpan {
            sent_at,
            received_at: clock_now(),
        };
        let operator = self
            .store
            .read_table(TableName::Operator, STORE_TIMEOUT)
            .await?;
        let target_time = TargetUpdateTime::guessed(
            operator.store_time - TARGET_SET_BEFORE,
            TargetTimeCertainty::Assumed,
        );
        self.deployment_state.change(|deployment_state| {
            deployment_state.note_store_answer(own.revision, own.store_time, span);
            deployment_state.take_own_rows(OwnRows::of(&own), target_time);
            deployment_state.set_operator_rows(&operator.rows, target_time);
        });
        let backends = self
            .store
            .read_table(TableName::Backends, STORE_TIMEOUT)
            .await?;
        self.deployment_state
            .change(|deployment_state| deployment_state.set_backends(&backends, clock_now()));
        Ok(())
    }
}
