//! Keeps this host at the wanted version of its engine's model: reads the digests, fetches the chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::chunk_fetch::{ChunkFetch, FetchEdges, FetchEnd};
use super::chunk_messages::{ChunkAsk, DIGESTS_PATH};
use super::chunk_store::ChunkStore;
use super::digest_line::DigestLine;
use super::engine_watch::EngineWatch;
use super::events;
use super::host_wait::{HostWait, WaitBoard};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{ChunkDigests, OriginClient};
use crate::sync::{ControlSnapshot, SharedControlState};
use crate::time::clock_now;
use crate::transport::PeerClient;
use crate::weights::{LineHost, LinkPacer, PlanHost};

/// How often it is looked whether another version is wanted.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
const DIGESTS_WITHIN: Duration = Duration::from_millis(1500);
const PEER_DIGESTS_WITHIN: Duration = Duration::from_millis(400);
/// The mean pause between two questions for digests.
const DIGEST_PAUSE: Duration = Duration::from_millis(60);
/// A fetch of which this part of the chunks has left the origin is ended although a newer version is
/// wanted: the older one binds from its own naming, and without it no engine could serve between the
/// two. Where more is left, both share the origin's link and neither may come before its bound.
const FINISH_PART: f64 = 0.9;

/// Where this host stands, and beside what.
#[derive(Clone, Debug)]
pub(super) struct HostPlace {
    pub(super) service: ByteString,
    pub(super) me: LineHost,
    pub(super) address: SocketAddr,
    /// The port on which all hosts answer each other.
    pub(super) peer_port: u16,
}

impl HostPlace {
    /// The model of this host's engine, with its number of layers.
    pub(super) fn model_of(&self, snapshot: &ControlSnapshot) -> Option<(ByteString, u32)> {
        let catalog = snapshot.catalog.as_ref()?;
        let engine = catalog.service(&self.service)?.engine.as_ref()?;
        Some((engine.models.first()?.clone(), engine.layers))
    }
}

/// The other hosts of the service, as the fetch plan sees them. All stand in one line to the origin,
/// in whatever region they are, so that it gives each chunk once.
pub(super) fn plan_hosts(snapshot: &ControlSnapshot, place: &HostPlace) -> Vec<PlanHost> {
    let backends = snapshot.fleet.backends.iter();
    let others = backends
        .filter(|facts| facts.service == place.service && facts.address.ip() != place.address.ip());
    let mut hosts: Vec<PlanHost> = others
        .map(|facts| PlanHost {
            line: LineHost {
                host: facts.address.ip().to_string().into(),
                data_centre: facts.data_centre.clone(),
                region: place.me.region.clone(),
            },
            address: SocketAddr::new(facts.address.ip(), place.peer_port),
        })
        .collect();
    hosts.sort_by(|left, right| left.line.host.cmp(&right.line.host));
    hosts.dedup_by(|left, right| left.line.host == right.line.host);
    hosts
}

/// What the loop works with.
pub(super) struct VersionLoop {
    pub(super) place: HostPlace,
    /// How long a chunk takes on this host's idle link.
    pub(super) chunk_span: Duration,
    pub(super) pacer: LinkPacer,
    pub(super) book: SharedControlState,
    pub(super) client: Arc<PeerClient>,
    pub(super) store: ChunkStore,
    pub(super) watch: Arc<EngineWatch>,
    pub(super) waits: Arc<WaitBoard>,
}

impl VersionLoop {
    /// Works for as long as the process lives. An older version that is nearly here is ended beside the
    /// fetch of a newer one: what is left of it is on other hosts, and the origin's link is free.
    pub(super) async fn run(self) {
        let shared = Arc::new(self);
        let mut fetches: Vec<(ModelVersion, JoinHandle<()>)> = Vec::new();
        loop {
            fetches.retain(|(_, fetch)| !fetch.is_finished());
            match shared.step().await {
                Ok(Some(target)) if !fetches.iter().any(|(known, _)| *known == target) => {
                    let fetch = fetch_logged(shared.clone(), target.clone());
                    fetches.push((target, tokio::spawn(fetch)));
                }
                Ok(_) => {}
                Err(error) => log_event!(events::SOURCE_FAILED, "{error}"),
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    /// One look: which version is to be fetched, if any.
    async fn step(&self) -> SwitchResult<Option<ModelVersion>> {
        let snapshot = self.book.snapshot().load();
        let Some((model, layers)) = self.place.model_of(&snapshot) else {
            self.waits.set_fetch(HostWait::Document);
            return Ok(None);
        };
        let Some(state) = self.watch.state() else {
            self.waits.set_fetch(HostWait::Engine);
            return Ok(None);
        };
        let target = targets(&snapshot, model);
        let served = state.report.holdings.whole_version(&target.model, layers);
        if !self.store.knows(&target) {
            self.waits.set_fetch(HostWait::Digests);
            let digests = self.read_digests(&snapshot, &target).await?;
            self.store.begin(&target, Arc::new(digests));
        }
        if served == Some(target.version) {
            self.waits.set_fetch(HostWait::Nothing);
            self.store.adopt_served(&target).await?;
            return Ok(None);
        }
        self.look_at_unserved(target).await
    }

    /// What is to be fetched of `target`, which the engine does not serve.
    async fn look_at_unserved(&self, target: ModelVersion) -> SwitchResult<Option<ModelVersion>> {
        self.store.note_unserved(&target);
        if !self.store.is_looked_at(&target) {
            self.waits.set_fetch(HostWait::Chunks);
            self.store.look(&target).await?;
        }
        if self.store.held(&target).is_some_and(|held| held.is_full()) {
            self.waits.set_fetch(HostWait::Turn);
            return Ok(None);
        }
        self.waits.set_fetch(HostWait::Chunks);
        Ok(Some(target))
    }

    fn origin(&self, snapshot: &ControlSnapshot) -> Option<OriginClient> {
        let origin = snapshot.catalog.as_ref()?.weights_origin()?.address;
        Some(OriginClient::new(origin, self.client.clone()))
    }

    /// The digests of `target`, from the origin or from hosts that stand before this one.
    ///
    /// Read by each of hundreds of hosts, the digests would take the origin's link for as long as the
    /// chunks do, and all its connections.
    async fn read_digests(
        &self,
        snapshot: &ControlSnapshot,
        target: &ModelVersion,
    ) -> SwitchResult<ChunkDigests> {
        let line = DigestLine::new(&plan_hosts(snapshot, &self.place), &self.place.me, target);
        let until = clock_now() + line.patience();
        while clock_now() < until {
            let Some(host) = line.choose(rand::random()) else {
                break;
            };
            if let Some(digests) = self.ask_digests(host, target).await {
                return Ok(digests);
            }
            let part = rand::rng().random_range(0.5..1.5);
            sleep(DIGEST_PAUSE.mul_f64(part)).await;
        }
        let Some(origin) = self.origin(snapshot) else {
            let detail = "the document names no origin of weights";
            return Err(SwitchError::new(ErrorKind::OriginUnavailable, detail));
        };
        let read = origin.read_digests(target, DIGESTS_WITHIN).await;
        if let Err(error) = &read {
            log_event!(events::DIGESTS_FAILED, "{error}");
        }
        self.leave_origin(snapshot);
        read
    }

    async fn ask_digests(&self, host: SocketAddr, target: &ModelVersion) -> Option<ChunkDigests> {
        let ask = ChunkAsk {
            target: target.clone(),
            index: None,
        };
        let called = self
            .client
            .call(host, DIGESTS_PATH, &ask, PEER_DIGESTS_WITHIN);
        called.await.ok()
    }

    /// Closes the connections to the origin. It takes a limited number of them, and hosts that read
    /// the next version need them.
    fn leave_origin(&self, snapshot: &ControlSnapshot) {
        let catalog = snapshot.catalog.as_ref();
        if let Some(origin) = catalog.and_then(|catalog| catalog.weights_origin()) {
            self.client.drop_pool(origin.address);
        }
    }

    /// Fetches until the version is whole, or another is wanted.
    async fn fetch(&self, target: &ModelVersion) -> SwitchResult<()> {
        let snapshot = self.book.snapshot().load();
        let Some(held) = self.store.held(target) else {
            return Ok(());
        };
        if held.is_full() {
            return Ok(());
        }
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
            me: self.place.me.clone(),
            chunk_span: self.chunk_span,
            pacer: self.pacer.clone(),
            slow_host: Arc::default(),
        };
        let layers = self
            .place
            .model_of(&snapshot)
            .map_or(1, |(_, layers)| layers);
        let mut fetch = ChunkFetch::new(edges, target.clone(), (held, layers));
        let ended = self.fetch_with(&mut fetch, target).await;
        self.leave_origin(&snapshot);
        ended
    }

    async fn fetch_with(&self, fetch: &mut ChunkFetch, target: &ModelVersion) -> SwitchResult<()> {
        loop {
            let snapshot = self.book.snapshot().load();
            let is_wanted = targets(&snapshot, target.model.clone()) == *target;
            if !is_wanted && fetch.known_part() < FINISH_PART {
                log_event!(events::VERSION_GIVEN_UP, "version={}", target.version.0);
                self.store.forget(target);
                return Ok(());
            }
            fetch.set_hosts(&plan_hosts(&snapshot, &self.place));
            match fetch.run(LOOK_PAUSE).await {
                FetchEnd::Whole => return Ok(()),
                FetchEnd::LookAgain => {}
                FetchEnd::DigestsDoubted => {
                    log_event!(events::DIGESTS_DOUBTED, "version={}", target.version.0);
                    // The next look reads them again, from the origin.
                    self.store.forget(target);
                    return self.renew_digests(&snapshot, target).await;
                }
            }
        }
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
        self.store.begin(target, Arc::new(digests));
        Ok(())
    }
}

async fn fetch_logged(fetcher: Arc<VersionLoop>, target: ModelVersion) {
    if let Err(error) = fetcher.fetch(&target).await {
        log_event!(events::SOURCE_FAILED, "{error}");
    }
}

/// The version that the engine should serve; the first, where none was named yet.
pub(super) fn targets(snapshot: &ControlSnapshot, model: ByteString) -> ModelVersion {
    match snapshot.newest_version(&model) {
        Some(targets) => targets.target.clone(),
        None => ModelVersion {
            model,
            version: WeightsVersion(1),
        },
    }
}
