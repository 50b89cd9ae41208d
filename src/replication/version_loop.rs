//! Keeps this host at the wanted version of its engine's model: reads the digests, fetches the chunks.

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
use super::load_reports::EngineWatch;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{ChunkDigests, OriginClient};
use crate::sync::{ControlSnapshot, SharedBook};
use crate::transport::PeerClient;
use crate::weights::{LineHost, LinkPacer, PlanHost};

/// How often it is looked whether another version is wanted.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
const DIGESTS_WITHIN: Duration = Duration::from_millis(1500);
const PEER_DIGESTS_WITHIN: Duration = Duration::from_millis(400);
/// Other hosts that are asked for digests before the origin is.
const DIGEST_PEERS: usize = 3;
/// A fetch that has this part of its chunks is ended although a newer version is wanted: the older
/// one binds from its own naming, and without it no engine could serve between the two.
const FINISH_PART: f64 = 0.5;

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
    pub(super) book: SharedBook,
    pub(super) client: Arc<PeerClient>,
    pub(super) store: ChunkStore,
    pub(super) watch: Arc<EngineWatch>,
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

    /// One look: whether the wanted version is here, and what brings it.
    async fn step(&self) -> SwitchResult<()> {
        let snapshot = self.book.snapshot().load();
        let Some((model, layers)) = self.place.model_of(&snapshot) else {
            return Ok(());
        };
        let Some(report) = self.watch.report() else {
            return Ok(());
        };
        let target = wanted(&snapshot, model);
        let served = report.holdings.whole_version(&target.model, layers);
        if !self.store.knows(&target) {
            let digests = Arc::new(self.read_digests(&snapshot, &target).await?);
            if served == Some(target.version) {
                return self.store.begin_served(&target, digests).await;
            }
            self.store.begin_fetch(&target, digests).await?;
        }
        if served == Some(target.version) {
            return Ok(());
        }
        self.fetch(&target).await
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
        let hosts = plan_hosts(snapshot, &self.place);
        let mut addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.address).collect();
        let mut rng = rand::rng();
        let mut chosen = Vec::new();
        while chosen.len() < DIGEST_PEERS && !addresses.is_empty() {
            chosen.push(addresses.swap_remove(rng.random_range(0..addresses.len())));
        }
        chosen
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
        };
        let mut fetch = ChunkFetch::new(edges, target.clone(), held);
        loop {
            let snapshot = self.book.snapshot().load();
            if wanted(&snapshot, target.model.clone()) != *target && !self.is_worth_ending(target) {
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

    fn is_worth_ending(&self, target: &ModelVersion) -> bool {
        let held = self.store.held(target);
        held.is_some_and(|held| f64::from(held.len()) >= f64::from(held.count()) * FINISH_PART)
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
        self.store.begin_fetch(target, Arc::new(digests)).await
    }
}

/// The version that the engine should serve; the first, where none was named yet.
fn wanted(snapshot: &ControlSnapshot, model: ByteString) -> ModelVersion {
    match snapshot.newest_version(&model) {
        Some(wanted) => wanted.target.clone(),
        None => ModelVersion {
            model,
            version: WeightsVersion(1),
        },
    }
}
