//! Keeps the engine of this host at the wanted version: fetch, check, order, look.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::time::sleep;

use super::chunk_fetch::{ChunkFetch, FetchEdges, FetchEnd};
use super::chunk_messages::{ChunkAsk, DIGESTS_PATH};
use super::chunk_store::ChunkStore;
use super::events;
use super::load_reports::EngineState;
use crate::catalog::EngineFacts;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{
    ChunkDigests, EngineClient, EngineReport, LoadOrder, OrderOutcome, OriginClient,
};
use crate::sync::{ControlSnapshot, SharedBook};
use crate::transport::PeerClient;
use crate::weights::{LineHost, PlanHost};

/// How often it is looked whether another version is wanted.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
const DIGESTS_WITHIN: Duration = Duration::from_millis(1500);
const PEER_DIGESTS_WITHIN: Duration = Duration::from_millis(400);
/// Other hosts that are asked for digests before the origin is.
const DIGEST_PEERS: usize = 3;
const ORDER_WITHIN: Duration = Duration::from_millis(800);
/// How long an engine may take from an order to the version, the requests that it works on included.
const LOAD_WITHIN: Duration = Duration::from_secs(9);

/// What the loop works with.
pub(super) struct VersionLoop {
    pub(super) service: ByteString,
    pub(super) me: LineHost,
    pub(super) address: SocketAddr,
    pub(super) peer_port: u16,
    pub(super) link_bytes_per_s: f64,
    pub(super) book: SharedBook,
    pub(super) client: Arc<PeerClient>,
    pub(super) engine: EngineClient,
    pub(super) store: ChunkStore,
    pub(super) state: Arc<EngineState>,
}

impl VersionLoop {
    /// Works for as long as the process lives.
    pub(super) async fn run(self) {
        loop {
            if let Err(error) = self.step().await {
                log_event!(events::SOURCE_FAILED, "{error}");
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    /// One look: whether the engine is where it should be, and what brings it there.
    async fn step(&self) -> SwitchResult<()> {
        let snapshot = self.book.snapshot().load();
        let Some((target, engine)) = self.wanted(&snapshot) else {
            return Ok(());
        };
        let Some(report) = self.state.borrow().clone() else {
            return Ok(());
        };
        let layers = engine.layers;
        let is_served =
            report.holdings.whole_version(&target.model, layers) == Some(target.version);
        if self.store.is_at(&target) && is_served {
            return Ok(());
        }
        if !self.store.is_at(&target) {
            let digests = self.read_digests(&snapshot, &target).await?;
            // What a served version was loaded from is still staged, and other hosts may need it.
            let begun =
                self.store
                    .begin(&target, Arc::new(digests), is_served || is_first(&target));
            begun.await?;
            if is_served {
                return Ok(());
            }
        }
        if self.fetch(&target).await? {
            self.load(&target, layers).await?;
        }
        Ok(())
    }

    /// The version that this host's engine should serve.
    fn wanted(&self, snapshot: &ControlSnapshot) -> Option<(ModelVersion, EngineFacts)> {
        let catalog = snapshot.catalog.as_ref()?;
        let engine = catalog.service(&self.service)?.engine.clone()?;
        let model = engine.models.first()?.clone();
        let target = match snapshot.newest_version(&model) {
            Some(wanted) => wanted.target.clone(),
            None => ModelVersion {
                model,
                version: WeightsVersion(1),
            },
        };
        Some((target, engine))
    }

    fn origin(&self, snapshot: &ControlSnapshot) -> Option<OriginClient> {
        let origin = snapshot.catalog.as_ref()?.weights_origin()?.address;
        Some(OriginClient::new(origin, self.client.clone()))
    }

    /// The digests of `target`, from another host if one has them: the origin's link is needed for
    /// the chunks.
    async fn read_digests(
        &self,
        snapshot: &ControlSnapshot,
        target: &ModelVersion,
    ) -> SwitchResult<ChunkDigests> {
        let ask = ChunkAsk {
            target: target.clone(),
            index: None,
        };
        for host in self.some_hosts(snapshot) {
            let called = self
                .client
                .call(host, DIGESTS_PATH, &ask, PEER_DIGESTS_WITHIN);
            if let Ok(digests) = called.await {
                return Ok(digests);
            }
        }
        let Some(origin) = self.origin(snapshot) else {
            let detail = "the document names no origin of weights";
            return Err(SwitchError::new(ErrorKind::OriginUnavailable, detail));
        };
        let read = origin.read_digests(target, DIGESTS_WITHIN).await;
        if let Err(error) = &read {
            log_event!(events::DIGESTS_FAILED, "{error}");
        }
        read
    }

    fn some_hosts(&self, snapshot: &ControlSnapshot) -> Vec<SocketAddr> {
        let hosts = self.plan_hosts(snapshot);
        let mut addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.address).collect();
        let mut rng = rand::rng();
        let mut chosen = Vec::new();
        while chosen.len() < DIGEST_PEERS && !addresses.is_empty() {
            chosen.push(addresses.swap_remove(rng.random_range(0..addresses.len())));
        }
        chosen
    }

    /// The other hosts of the service, as the fetch plan sees them. All stand in one line to the
    /// origin, in whatever region they are, so that it gives each chunk once.
    fn plan_hosts(&self, snapshot: &ControlSnapshot) -> Vec<PlanHost> {
        let backends = snapshot.fleet.backends.iter();
        let others = backends.filter(|facts| {
            *facts.service == *self.service && facts.address.ip() != self.address.ip()
        });
        let mut hosts: Vec<PlanHost> = others
            .map(|facts| PlanHost {
                line: LineHost {
                    host: facts.address.ip().to_string().into(),
                    data_centre: facts.data_centre.clone(),
                    region: self.me.region.clone(),
                },
                address: SocketAddr::new(facts.address.ip(), self.peer_port),
            })
            .collect();
        hosts.sort_by(|left, right| left.line.host.cmp(&right.line.host));
        hosts.dedup_by(|left, right| left.line.host == right.line.host);
        hosts
    }

    /// Fetches until the version is staged whole; false when it is not wanted any more.
    async fn fetch(&self, target: &ModelVersion) -> SwitchResult<bool> {
        let snapshot = self.book.snapshot().load();
        let Some(held) = self.store.held(target) else {
            return Ok(false);
        };
        let chunk_span = Duration::from_secs_f64(24_576.0 / self.link_bytes_per_s.max(1.0));
        log_event!(
            events::FETCH_BEGUN,
            "model={} version={} held={}/{}",
            target.model,
            target.version.0,
            held.len(),
            held.count()
        );
        let edges = FetchEdges {
            store: self.store.clone(),
            client: self.client.clone(),
            origin: self.origin(&snapshot),
            me: self.me.clone(),
            chunk_span,
        };
        let mut fetch = ChunkFetch::new(edges, target.clone(), held);
        loop {
            let snapshot = self.book.snapshot().load();
            if self
                .wanted(&snapshot)
                .is_none_or(|(wanted, _)| wanted != *target)
            {
                log_event!(events::VERSION_GIVEN_UP, "version={}", target.version.0);
                return Ok(false);
            }
            fetch.set_hosts(&self.plan_hosts(&snapshot));
            match fetch.run(LOOK_PAUSE).await {
                FetchEnd::Whole => break,
                FetchEnd::LookAgain => {}
                FetchEnd::DigestsDoubted => {
                    log_event!(events::DIGESTS_DOUBTED, "version={}", target.version.0);
                    self.renew_digests(&snapshot, target).await?;
                    return Ok(false);
                }
            }
        }
        // Staged chunks go bad; they are checked where the engine is about to take them.
        let is_whole = self.store.check_all(target).await?;
        if is_whole {
            log_event!(events::VERSION_STAGED, "version={}", target.version.0);
        }
        Ok(is_whole)
    }

    async fn renew_digests(
        &self,
        snapshot: &ControlSnapshot,
        target: &ModelVersion,
    ) -> SwitchResult<()> {
        let Some(origin) = self.origin(snapshot) else {
            return Ok(());
        };
        let digests = origin.read_digests(target, DIGESTS_WITHIN).await?;
        self.store.begin(target, Arc::new(digests), true).await?;
        self.store.check_all(target).await?;
        Ok(())
    }

    /// Orders the engine to load what is staged, and waits until it serves it.
    async fn load(&self, target: &ModelVersion, layers: u32) -> SwitchResult<()> {
        let report = self.engine.report(ORDER_WITHIN).await?;
        if report.holdings.whole_version(&target.model, layers) == Some(target.version) {
            return Ok(());
        }
        if !report.is_busy {
            let order = LoadOrder {
                target: target.clone(),
                orders_taken: report.orders_taken,
            };
            let ordered = self.engine.order_load(&order, ORDER_WITHIN).await;
            match ordered {
                Ok(OrderOutcome::Begun | OrderOutcome::InForce) => {
                    log_event!(events::LOAD_ORDERED, "version={}", target.version.0);
                }
                Ok(OrderOutcome::Refused) => {
                    log_event!(events::LOAD_REFUSED, "version={}", target.version.0);
                    return Ok(());
                }
                // It may have been taken; the report shows it before another is given.
                Err(error) => log_event!(events::LOAD_REFUSED, "{error}"),
            }
        }
        self.await_version(target, layers).await;
        Ok(())
    }

    async fn await_version(&self, target: &ModelVersion, layers: u32) {
        let mut state = self.state.subscribe();
        let is_served = |report: &Option<EngineReport>| {
            report.as_ref().is_some_and(|report| {
                report.holdings.whole_version(&target.model, layers) == Some(target.version)
            })
        };
        let has_failed = |report: &Option<EngineReport>| report.is_none();
        let waiting = state.wait_for(|report| is_served(report) || has_failed(report));
        if let Ok(Ok(report)) = tokio::time::timeout(LOAD_WITHIN, waiting).await
            && is_served(&report)
        {
            log_event!(events::VERSION_SERVED, "version={}", target.version.0);
        }
    }
}

/// What is staged when a process starts can only be the first version or one that is checked chunk
/// by chunk; reading it back costs less than fetching it.
const fn is_first(target: &ModelVersion) -> bool {
    target.version.0 <= 1
}
