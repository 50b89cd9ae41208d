//! Keeps this host at the wanted version of its engine's model: reads the digests, fetches the chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::chunk_fetch::{ChunkFetch, FetchEdges, FetchEnd};
use super::chunk_messages::{ChunkAsk, DIGESTS_PATH};
use super::chunk_store::ChunkStore;
use super::engine_watch::EngineWatch;
use super::events;
use super::host_wait::{HostWait, WaitBoard};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{ChunkDigests, OriginClient};
use crate::routing::name_hash;
use crate::sync::{ControlSnapshot, SharedBook};
use crate::time::clock_now;
use crate::transport::PeerClient;
use crate::weights::{LineHost, LinkPacer, PlanHost};

/// How often it is looked whether another version is wanted.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
const DIGESTS_WITHIN: Duration = Duration::from_millis(1500);
const PEER_DIGESTS_WITHIN: Duration = Duration::from_millis(400);
/// Hosts that read the digests from the origin, so that one of them may be down.
const DIGEST_LEADERS: usize = 2;
/// How long these are asked before the origin is, and the pause between two questions. The origin
/// hands the digests out in 10 ms.
const LEADERS_WITHIN: Duration = Duration::from_millis(500);
const LEADER_PAUSE: Duration = Duration::from_millis(30);
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
        let target = wanted(&snapshot, model);
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

    /// The digests of `target`. Two hosts, by rendezvous hashing, read them from the origin; the
    /// others ask these two. Read by each of 24 hosts, the digests took the origin's link for as long
    /// as six chunks.
    async fn read_digests(
        &self,
        snapshot: &ControlSnapshot,
        target: &ModelVersion,
    ) -> SwitchResult<ChunkDigests> {
        let leaders = self.digest_leaders(snapshot, target);
        if !leaders.is_empty() {
            let until = clock_now() + LEADERS_WITHIN;
            while clock_now() < until {
                if let Some(digests) = self.ask_digests(&leaders, target).await {
                    return Ok(digests);
                }
                sleep(LEADER_PAUSE).await;
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

    async fn ask_digests(
        &self,
        hosts: &[SocketAddr],
        target: &ModelVersion,
    ) -> Option<ChunkDigests> {
        let ask = ChunkAsk {
            target: target.clone(),
            index: None,
        };
        for host in hosts {
            let called = self
                .client
                .call(*host, DIGESTS_PATH, &ask, PEER_DIGESTS_WITHIN);
            if let Ok(digests) = called.await {
                return Some(digests);
            }
        }
        None
    }

    /// The hosts that read the digests; empty if this is one of them.
    fn digest_leaders(&self, snapshot: &ControlSnapshot, target: &ModelVersion) -> Vec<SocketAddr> {
        let weight = |host: &str| {
            let name = format!("{host}/{}/{}", target.model, target.version.0);
            name_hash(&name)
        };
        let me = weight(&self.place.me.host);
        let mut ahead: Vec<(u64, SocketAddr)> = plan_hosts(snapshot, &self.place)
            .iter()
            .map(|host| (weight(&host.line.host), host.address))
            .filter(|(other, _)| *other > me)
            .collect();
        if ahead.len() < DIGEST_LEADERS {
            return Vec::new();
        }
        ahead.sort_unstable();
        let leaders = ahead.iter().rev().take(DIGEST_LEADERS);
        leaders.map(|(_, address)| *address).collect()
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
fn wanted(snapshot: &ControlSnapshot, model: ByteString) -> ModelVersion {
    match snapshot.newest_version(&model) {
        Some(wanted) => wanted.target.clone(),
        None => ModelVersion {
            model,
            version: WeightsVersion(1),
        },
    }
}
