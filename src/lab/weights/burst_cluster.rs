//! The system under test of a burst: host processes with stand-in engines, an entry host, and
//! stand-ins for the platform and the origin. Also sums up the hosts' counters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;

use super::burst_config::BurstConfig;
use crate::documents::{RolloutSpec, ServiceDocument, SpreadObjective, WeightsSpec};
use crate::errors::SwitchResult;
use crate::lab::launch::{
    ChildProcess, CompanyNames, DataCentre, LabClient, LaunchSpec, OPERATOR_KEY, SampleCompany,
    put_document,
};
use crate::lab::stand_ins::{
    ANY_PORT, EngineShape, EngineStandIn, FaultSettings, HostListStandIn, LabDialect,
    PublishRequest, PublishedManifest, StandIn, StandInKind, WeightsStandIn,
};
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::time::clock_now;
use crate::weights::WeightsDigest;

const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
const CONCURRENT_STARTS: usize = 8;
/// The origin asks hosts to slow down while its link needs longer than this for the responses that
/// it has accepted to send.
const ORIGIN_BACKLOG: Duration = Duration::from_secs(1);
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the processes to read the host list and exchange their states before the burst.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Memory of a host for weights, in versions of the burst's size.
const MEMORY_IN_VERSIONS: u64 = 3;
/// The rollout may take one of this many hosts out of service at a time, but at least one.
const HOSTS_PER_OUT_OF_SERVICE: usize = 8;

/// A host process and its stand-in engine.
pub(super) struct ClusterHost {
    /// The host process.
    pub(super) process: ChildProcess,
    /// The stand-in engine.
    pub(super) engine: Arc<EngineStandIn>,
    /// Whether the burst has killed the process.
    pub(super) is_killed: bool,
    host: String,
    data_centre: DataCentre,
}

/// The processes and stand-ins of a burst. Its processes end when it is dropped.
pub(super) struct BurstCluster {
    /// Hosts, the killed ones included.
    pub(super) hosts: Vec<ClusterHost>,
    /// Stand-in of the origin.
    pub(super) origin: Arc<WeightsStandIn>,
    /// The entry host's process.
    pub(super) entry: ChildProcess,
    names: CompanyNames,
    config: BurstConfig,
    list: Arc<HostListStandIn>,
}

#[derive(Clone, Copy)]
struct PlatformAddresses {
    table: SocketAddr,
    list: SocketAddr,
    origin: SocketAddr,
}

impl BurstCluster {
    /// Starts all processes and stand-ins, publishes the host list and gives the processes
    /// `SETTLE_TIME` to read it.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in cannot be started, or a process does not report its peer
    /// address.
    pub(super) async fn start(config: &BurstConfig) -> SwitchResult<Self> {
        let company = match config.objective {
            SpreadObjective::Time => SampleCompany::Auroras,
            SpreadObjective::OriginBytes => SampleCompany::Skupno,
        };
        let names = company.names();
        let list: Arc<HostListStandIn> = Arc::default();
        let origin = Arc::new(WeightsStandIn::new(config.origin_rate(), ORIGIN_BACKLOG));
        let origin_server = StandIn::start(ANY_PORT, StandInKind::Weights(origin.clone())).await?;
        origin_server.set_faults(FaultSettings {
            corrupt_percent: config.corrupt_percent,
            ..FaultSettings::default()
        });
        let platform = PlatformAddresses {
            table: start_stand_in(StandInKind::Table(Arc::default())).await?,
            list: start_stand_in(StandInKind::Hosts(list.clone())).await?,
            origin: origin_server.address(),
        };
        let entry = start_entry(names.data_centres[0], platform).await?;
        let host_starts =
            (0..config.hosts).map(|index| start_host(index, config, &names, platform));
        let started: Vec<SwitchResult<ClusterHost>> = stream::iter(host_starts)
            .buffered(CONCURRENT_STARTS)
            .collect()
            .await;
        let hosts = started
            .into_iter()
            .collect::<SwitchResult<Vec<ClusterHost>>>()?;
        let cluster = Self {
            hosts,
            origin,
            entry,
            names,
            config: config.clone(),
            list,
        };
        cluster.publish_host_list()?;
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(cluster)
    }

    /// Number of regions that have hosts.
    pub(super) fn regions(&self) -> usize {
        let mut regions: Vec<&str> = self
            .hosts
            .iter()
            .map(|host| host.data_centre.region)
            .collect();
        regions.sort_unstable();
        regions.dedup();
        regions.len()
    }

    /// Name of the model service that the hosts serve.
    pub(super) const fn service(&self) -> &'static str {
        self.names.model
    }

    /// Client account that may call the service.
    pub(super) const fn account(&self) -> &'static str {
        self.names.accounts[0]
    }

    /// Publishes weights of the configured size at the origin under `name`; `seed` determines their
    /// content.
    pub(super) fn publish(&self, name: &str, seed: u64) -> PublishedManifest {
        self.origin.publish(&PublishRequest {
            name: name.to_owned(),
            size: usize::try_from(self.config.size).unwrap_or(usize::MAX),
            chunk_size: usize::try_from(self.config.chunk_size).unwrap_or(usize::MAX),
            seed,
        })
    }

    /// Stores a document that sets `manifest` as the target weights, as `version`. `replaces` is
    /// the version number of the document that it replaces, or 0 if there is none.
    ///
    /// # Errors
    ///
    /// `DocumentNotAccepted` if the entry host does not accept the document within
    /// `DOCUMENT_TIMEOUT`.
    pub(super) async fn set_target(
        &self,
        version: &str,
        manifest: &PublishedManifest,
        replaces: u64,
    ) -> SwitchResult<()> {
        let base_document = self
            .names
            .model_document(version, &manifest.name, &manifest.digest);
        let hosts = u32::try_from(self.hosts.len() / HOSTS_PER_OUT_OF_SERVICE).unwrap_or(1);
        let document = ServiceDocument {
            weights: base_document.weights.clone().map(|weights| WeightsSpec {
                objective: self.config.objective,
                ..weights
            }),
            rollout: RolloutSpec {
                max_out_of_service: hosts.max(1),
                ..base_document.rollout.clone()
            },
            ..base_document
        };
        let admin = self.entry.address("admin")?;
        put_document(admin, &document, replaces, DOCUMENT_TIMEOUT).await
    }

    /// Number of live hosts whose engine serves `digest`, and number of live hosts.
    pub(super) fn count_serving(&self, digest: &WeightsDigest) -> (usize, usize) {
        let live: Vec<&ClusterHost> = self.hosts.iter().filter(|host| !host.is_killed).collect();
        let serves = |host: &&&ClusterHost| {
            host.engine
                .loaded()
                .is_some_and(|loaded| loaded.digest == *digest)
        };
        (live.iter().filter(serves).count(), live.len())
    }

    /// Sum over the live hosts of their counts of event `name`. Hosts whose metrics cannot be read
    /// count as 0.
    pub(super) async fn sum_event(&self, name: &str) -> u64 {
        self.sum_metric("savory_events", &format!("event=\"{name}\""))
            .await
    }

    /// Sum over the live hosts of their retries for `reason`. Hosts whose metrics cannot be read
    /// count as 0.
    pub(super) async fn sum_retries(&self, reason: &str) -> u64 {
        self.sum_metric("savory_retries", &format!("reason=\"{reason}\""))
            .await
    }

    async fn sum_metric(&self, metric: &str, label: &str) -> u64 {
        let client = LabClient::default();
        let mut total = 0;
        for host in self.hosts.iter().filter(|host| !host.is_killed) {
            let Ok(address) = host.process.address("peer") else {
                continue;
            };
            let text = client.text(address, "/metrics").await.unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| line.starts_with(metric) && line.contains(label));
            let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            total += counts.map(counter_value).sum::<u64>();
        }
        total
    }

    /// The most recent log lines of every host, for diagnosis.
    pub(super) fn logs(&self) -> String {
        let logs = self
            .hosts
            .iter()
            .map(|host| format!("== {}\n{}\n", host.host, host.process.log_text()));
        logs.collect()
    }

    fn publish_host_list(&self) -> SwitchResult<()> {
        let first = self.names.data_centres[0];
        let mut entries = vec![HostEntry {
            host: "entry-1".into(),
            data_centre: first.name.into(),
            region: first.region.into(),
            role: HostRole::Entry,
            service: None,
            peer_address: self.entry.address("peer")?,
            state: ListedState::Live,
        }];
        for host in &self.hosts {
            entries.push(HostEntry {
                host: host.host.as_str().into(),
                data_centre: host.data_centre.name.into(),
                region: host.data_centre.region.into(),
                role: HostRole::Backend,
                service: Some(self.names.model.into()),
                peer_address: host.process.address("peer")?,
                state: ListedState::Live,
            });
        }
        self.list.replace(entries, clock_now());
        Ok(())
    }
}

async fn start_stand_in(kind: StandInKind) -> SwitchResult<SocketAddr> {
    Ok(StandIn::start(ANY_PORT, kind).await?.address())
}

async fn start_host(
    index: usize,
    config: &BurstConfig,
    names: &CompanyNames,
    platform: PlatformAddresses,
) -> SwitchResult<ClusterHost> {
    let data_centre = names.data_centres[index % names.data_centres.len()];
    let dialect = [LabDialect::MetricsText, LabDialect::JsonState][index % 2];
    let engine = Arc::new(EngineStandIn::new(EngineShape {
        dialect,
        ..EngineShape::default()
    }));
    let engine_address = start_stand_in(StandInKind::Engine(engine.clone())).await?;
    let host = format!("{}-{}-{}", names.model, data_centre.name, index + 1);
    let order = with_common_settings(
        host_launch_order(&host, config),
        &host,
        data_centre,
        platform,
    )
    .setting("service", names.model)
    .setting(
        "engine-dialect",
        match dialect {
            LabDialect::MetricsText => "metrics_text",
            LabDialect::JsonState => "json_state",
        },
    )
    .setting("engine-address", engine_address)
    .setting("origin-address", platform.origin)
    .setting("link-bytes-per-second", config.host_rate())
    .setting("memory-bytes", config.size * MEMORY_IN_VERSIONS)
    .setting("traffic-threads", 1);
    Ok(ClusterHost {
        process: ChildProcess::start(&order).await?,
        engine,
        is_killed: false,
        host,
        data_centre,
    })
}

/// How to launch a host process: as `savory-lab spoiling-host` if chunks are to be corrupted.
fn host_launch_order(host: &str, config: &BurstConfig) -> LaunchSpec {
    if config.corrupt_percent == 0 {
        return LaunchSpec::new("savory-host", host);
    }
    LaunchSpec::new("savory-lab", host)
        .argument("spoiling-host")
        .setting("spoilt-percent", config.corrupt_percent)
        .argument("--")
}

async fn start_entry(
    data_centre: DataCentre,
    platform: PlatformAddresses,
) -> SwitchResult<ChildProcess> {
    let host = "entry-1";
    let operator_digest = WeightsDigest::of(OPERATOR_KEY.as_bytes());
    let order = with_common_settings(
        LaunchSpec::new("savory-entry", host),
        host,
        data_centre,
        platform,
    )
    .setting("caller-address", LOOPBACK_ANY_PORT)
    .setting("admin-address", LOOPBACK_ANY_PORT)
    .setting("operator-key-digest", operator_digest);
    ChildProcess::start(&order).await
}

fn with_common_settings(
    order: LaunchSpec,
    host: &str,
    data_centre: DataCentre,
    platform: PlatformAddresses,
) -> LaunchSpec {
    order
        .setting("host-name", host)
        .setting("data-centre", data_centre.name)
        .setting("region", data_centre.region)
        .setting("peer-address", LOOPBACK_ANY_PORT)
        .setting("table-address", platform.table)
        .setting("list-address", platform.list)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are non-negative integers"
)]
const fn counter_value(count: f64) -> u64 {
    count as u64
}
