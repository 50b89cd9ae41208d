//! Fetches the target version of the engine's model: its digests first, then its chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::chunk_fetch::{ChunkFetch, FetchContext, FetchOutcome};
use super::chunk_messages::{ChunkQuery, DIGESTS_PATH};
use super::chunk_store::ChunkStore;
use super::digest_sources::DigestSources;
use super::engine_monitor::EngineMonitor;
use super::events;
use super::host_wait::{HostWait, WaitPublisher};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{ChunkDigests, OriginClient};
use crate::sync::{DeploymentSnapshot, SharedDeploymentState};
use crate::time::clock_now;
use crate::transport::PeerClient;
use crate::weights::{HostLocation, LinkPacer, PeerHost};

/// How often to check for another target version.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(1500);
const PEER_DIGESTS_TIMEOUT: Duration = Duration::from_millis(400);
/// Mean pause between two queries for digests.
const DIGEST_PAUSE: Duration = Duration::from_millis(60);
/// Attempts of a process to read the digests of a version that the engine has loaded and that is
/// not the target version. The origin no longer has those of a version two back.
const SERVED_ATTEMPTS_MAX: u32 = 4;
/// A fetch is finished although there is a newer target if at least this part of the chunks has
/// left the origin. The older target has a deadline of its own, and without it no engine could
/// serve requests between the two deadlines. If more is left, both fetches would share the origin's
/// link and both might miss their deadlines.
const FINISH_FETCHED_PART: f64 = 0.9;

/// Identity of this host and of its engine.
#[derive(Clone, Debug)]
pub(super) struct BackendHostIdentity {
    pub(super) service: ByteString,
    pub(super) local: HostLocation,
    pub(super) address: SocketAddr,
    /// The port on which all hosts answer each other.
    pub(super) peer_port: u16,
}

impl BackendHostIdentity {
    /// The model of this host's engine, and its number of layers.
    pub(super) fn model_of(&self, snapshot: &DeploymentSnapshot) -> Option<(ByteString, u32)> {
        let catalog = snapshot.catalog.as_ref()?;
        let engine = catalog.service(&self.service)?.engine.as_ref()?;
        Some((engine.models.first()?.clone(), engine.layers))
    }
}

/// The other hosts of the service, for the fetch plan. They form one group regardless of their
/// region, so that the origin sends each chunk once.
pub(super) fn plan_hosts(
    snapshot: &DeploymentSnapshot,
    identity: &BackendHostIdentity,
) -> Vec<PeerHost> {
    let backends = snapshot.fleet.backends.iter();
    let others = backends.filter(|facts| {
        facts.service == identity.service && facts.address.ip() != identity.address.ip()
    });
    let mut hosts: Vec<PeerHost> = others
        .map(|facts| PeerHost {
            location: HostLocation {
                host: facts.address.ip().to_string().into(),
                data_centre: facts.data_centre.clone(),
                region: identity.local.region.clone(),
            },
            address: SocketAddr::new(facts.address.ip(), identity.peer_port),
        })
        .collect();
    hosts.sort_by(|left, right| left.location.host.cmp(&right.location.host));
    hosts.dedup_by(|left, right| left.location.host == right.location.host);
    hosts
}

/// Fetches target versions.
pub(super) struct VersionFetcher {
    pub(super) identity: BackendHostIdentity,
    /// Transfer time of a chunk on this host's idle link.
    pub(super) chunk_span: Duration,
    pub(super) pacer: LinkPacer,
    pub(super) deployment_state: SharedDeploymentState,
    pub(super) client: Arc<PeerClient>,
    pub(super) store: ChunkStore,
    pub(super) monitor: Arc<EngineMonitor>,
    pub(super) waits: Arc<WaitPublisher>,
}

impl VersionFetcher {
    /// Runs for the lifetime of the process. A nearly complete older target is finished while a
    /// newer one is being fetched: its remaining chunks are at other hosts, so that the origin's
    /// link is free.
    pub(super) async fn run(self) {
        let shared = Arc::new(self);
        let mut fetches: Vec<(ModelVersion, JoinHandle<()>)> = Vec::new();
        let mut served_attempts = 0;
        loop {
            fetches.retain(|(_, fetch)| !fetch.is_finished());
            match shared.step().await {
                Ok(Some(target)) if !fetches.iter().any(|(known, _)| *known == target) => {
                    let fetch = fetch_logged(shared.clone(), target.clone());
                    fetches.push((target, tokio::spawn(fetch)));
                }
                Ok(_) => {}
                Err(error) => log_event!(events::CHUNK_FETCH_FAILED, "{error}"),
            }
            if served_attempts < SERVED_ATTEMPTS_MAX
                && let Some(served) = shared.unknown_served()
            {
                served_attempts += 1;
                if let Err(error) = shared.read_served_digests(&served).await {
                    log_event!(events::CHUNK_FETCH_FAILED, "{error}");
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Checks once which version has to be fetched, if any.
    async fn step(&self) -> SwitchResult<Option<ModelVersion>> {
        let snapshot = self.deployment_state.snapshot().load();
        let Some((model, layers)) = self.identity.model_of(&snapshot) else {
            self.waits.set_fetch(HostWait::Document);
            return Ok(None);
        };
        let Some(state) = self.monitor.state() else {
            self.waits.set_fetch(HostWait::Engine);
            return Ok(None);
        };
        let target = target_version(&snapshot, model);
        let served = state
            .report
            .holdings
            .complete_version(&target.model, layers);
        if !self.store.knows(&target) {
            self.waits.set_fetch(HostWait::Digests);
            let digests = self.read_digests(&snapshot, &target).await?;
            self.store.begin(&target, Arc::new(digests));
        }
        let is_verified = self.monitor.unverified(&state).is_none();
        if served == Some(target.version) && is_verified {
            self.waits.set_fetch(HostWait::Nothing);
            self.store.adopt_served(&target).await?;
            return Ok(None);
        }
        self.check_unserved(target).await
    }

    /// The version that the engine has loaded, if its load is not verified and its digests are not
    /// known.
    fn unknown_served(&self) -> Option<ModelVersion> {
        let state = self.monitor.state()?;
        self.monitor.unverified(&state)?;
        let snapshot = self.deployment_state.snapshot().load();
        let (model, layers) = self.identity.model_of(&snapshot)?;
        let version = state.report.holdings.complete_version(&model, layers)?;
        let served = ModelVersion { model, version };
        (!self.store.knows(&served)).then_some(served)
    }

    /// Reads the digests of a version that the engine has loaded, so that its load can be verified
    /// although it is not the target version any more.
    async fn read_served_digests(&self, served: &ModelVersion) -> SwitchResult<()> {
        let snapshot = self.deployment_state.snapshot().load();
        let digests = self.read_digests(&snapshot, served).await?;
        self.store.begin(served, Arc::new(digests));
        Ok(())
    }

    /// Checks whether chunks of `target`, which the engine does not serve, have to be fetched.
    async fn check_unserved(&self, target: ModelVersion) -> SwitchResult<Option<ModelVersion>> {
        self.store.note_unserved(&target);
        if !self.store.is_staging_checked(&target) {
            self.waits.set_fetch(HostWait::Chunks);
            self.store.recover_staged(&target).await?;
        }
        if self.store.held(&target).is_some_and(|held| held.is_full()) {
            self.waits.set_fetch(HostWait::Schedule);
            return Ok(None);
        }
        self.waits.set_fetch(HostWait::Chunks);
        Ok(Some(target))
    }

    fn origin(&self, snapshot: &DeploymentSnapshot) -> Option<OriginClient> {
        let origin = snapshot.catalog.as_ref()?.weights_origin()?.address;
        Some(OriginClient::new(origin, self.client.clone()))
    }

    /// Gets the digests of `target` from higher-ranked hosts or from the origin.
    ///
    /// If each of hundreds of hosts read them from the origin, the digests would occupy its link
    /// for as long as the chunks do, and all of its connections.
    async fn read_digests(
        &self,
        snapshot: &DeploymentSnapshot,
        target: &ModelVersion,
    ) -> SwitchResult<ChunkDigests> {
        let sources = DigestSources::new(
            &plan_hosts(snapshot, &self.identity),
            &self.identity.local,
            target,
        );
        let until = clock_now() + sources.wait_limit();
        while clock_now() < until {
            let Some(host) = sources.choose(rand::random()) else {
                break;
            };
            if let Some(digests) = self.query_digests(host, target).await {
                return Ok(digests);
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            sleep(DIGEST_PAUSE.mul_f64(jitter)).await;
        }
        let Some(origin) = self.origin(snapshot) else {
            let detail = "the document has no origin of weights";
            return Err(SwitchError::new(ErrorKind::OriginUnavailable, detail));
        };
        let read = origin.read_digests(target, DIGESTS_TIMEOUT).await;
        if let Err(error) = &read {
            log_event!(events::DIGESTS_FAILED, "{error}");
        }
        self.close_origin_connections(snapshot);
        read
    }

    async fn query_digests(&self, host: SocketAddr, target: &ModelVersion) -> Option<ChunkDigests> {
        let query = ChunkQuery {
            target: target.clone(),
            index: None,
        };
        let called = self
            .client
            .call(host, DIGESTS_PATH, &query, PEER_DIGESTS_TIMEOUT);
        called.await.ok()
    }

    /// Closes the connections to the origin. Their number is limited, and hosts that fetch the next
    /// version need them.
    fn close_origin_connections(&self, snapshot: &DeploymentSnapshot) {
        let catalog = snapshot.catalog.as_ref();
        if let Some(origin) = catalog.and_then(|catalog| catalog.weights_origin()) {
            self.client.drop_pool(origin.address);
        }
    }

    /// Fetches until the version is complete, or another one is the target.
    async fn fetch(&self, target: &ModelVersion) -> SwitchResult<()> {
        let snapshot = self.deployment_state.snapshot().load();
        let Some(held) = self.store.held(target) else {
            return Ok(());
        };
        if held.is_full() {
            return Ok(());
        }
        log_event!(
            events::FETCH_STARTED,
            "model={} version={} held={}/{}",
            target.model,
            target.version.0,
            held.len(),
            held.count()
        );
        let context = FetchContext {
            store: self.store.clone(),
            client: self.client.clone(),
            origin: self.origin(&snapshot),
            local: self.identity.local.clone(),
            chunk_span: self.chunk_span,
            pacer: self.pacer.clone(),
            slow_host: Arc::default(),
        };
        let layers = self
            .identity
            .model_of(&snapshot)
            .map_or(1, |(_, layers)| layers);
        let mut fetch = ChunkFetch::new(context, target.clone(), (held, layers));
        let ended = self.fetch_with(&mut fetch, target).await;
        self.close_origin_connections(&snapshot);
        ended
    }

    async fn fetch_with(&self, fetch: &mut ChunkFetch, target: &ModelVersion) -> SwitchResult<()> {
        loop {
            let snapshot = self.deployment_state.snapshot().load();
            let is_target = target_version(&snapshot, target.model.clone()) == *target;
            if !is_target && fetch.known_part() < FINISH_FETCHED_PART {
                log_event!(events::FETCH_ABANDONED, "version={}", target.version.0);
                self.store.forget(target);
                return Ok(());
            }
            fetch.set_hosts(&plan_hosts(&snapshot, &self.identity));
            match fetch.run(CHECK_INTERVAL).await {
                FetchOutcome::Complete => return Ok(()),
                FetchOutcome::Recheck => {}
                FetchOutcome::DigestsSuspect => {
                    log_event!(events::DIGESTS_SUSPECT, "version={}", target.version.0);
                    // The origin's digests replace those that may be wrong.
                    self.store.forget(target);
                    return self.renew_digests(&snapshot, target).await;
                }
            }
        }
    }

    async fn renew_digests(
        &self,
        snapshot: &DeploymentSnapshot,
        target: &ModelVersion,
    ) -> SwitchResult<()> {
        let Some(origin) = self.origin(snapshot) else {
            return Ok(());
        };
        let digests = origin.read_digests(target, DIGESTS_TIMEOUT).await?;
        self.store.begin(target, Arc::new(digests));
        Ok(())
    }
}

async fn fetch_logged(fetcher: Arc<VersionFetcher>, target: ModelVersion) {
    if let Err(error) = fetcher.fetch(&target).await {
        log_event!(events::CHUNK_FETCH_FAILED, "{error}");
    }
}

/// The version that the engine should serve; version 1 if no target was set.
pub(super) fn target_version(snapshot: &DeploymentSnapshot, model: ByteString) -> ModelVersion {
    match snapshot.newest_version(&model) {
        Some(newest) => newest.target.clone(),
        None => ModelVersion {
            model,
            version: WeightsVersion(1),
        },
    }
}
