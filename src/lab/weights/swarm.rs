//! The hosts of a burst with their engines and the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;

use super::shape::BurstShape;
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

const LOOPBACK_ANY: &str = "127.0.0.1:0";
const STARTED_AT_ONCE: usize = 8;
/// What the origin promises to send before it asks to slow down.
const ORIGIN_BACKLOG: Duration = Duration::from_secs(1);
const ACCEPTED_WITHIN: Duration = Duration::from_secs(20);
/// How long the processes get to know each other before the burst.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
const VERSIONS_HELD: u64 = 3;
/// Out of this many hosts, one may be out of service.
const OUT_OF_SERVICE_PART: usize = 8;

/// One host.
pub(super) struct SwarmHost {
    /// Its process.
    pub(super) process: ChildProcess,
    /// Its engine.
    pub(super) engine: Arc<EngineStandIn>,
    /// Whether its process was killed.
    pub(super) is_killed: bool,
    host: String,
    data_centre: DataCentre,
}

/// Everything that a burst needs. Ends with all its processes when it is dropped.
pub(super) struct Swarm {
    /// The hosts.
    pub(super) hosts: Vec<SwarmHost>,
    /// The origin.
    pub(super) origin: Arc<WeightsStandIn>,
    /// The entry host.
    pub(super) entry: ChildProcess,
    names: CompanyNames,
    shape: BurstShape,
    list: Arc<HostListStandIn>,
}

#[derive(Clone, Copy)]
struct PlatformAddresses {
    table: SocketAddr,
    list: SocketAddr,
    origin: SocketAddr,
}

impl Swarm {
    /// Starts all and waits until the processes know each other.
    pub(super) async fn start(shape: &BurstShape) -> SwitchResult<Self> {
        let company = match shape.objective {
            SpreadObjective::Time => SampleCompany::Auroras,
            SpreadObjective::OriginBytes => SampleCompany::Skupno,
        };
        let names = company.names();
        let list: Arc<HostListStandIn> = Arc::default();
        let origin = Arc::new(WeightsStandIn::new(shape.origin_rate(), ORIGIN_BACKLOG));
        let source = StandIn::start(ANY_PORT, StandInKind::Weights(origin.clone())).await?;
        source.set_faults(FaultSettings {
            corrupt_percent: shape.corrupt_percent,
            ..FaultSettings::default()
        });
        let platform = PlatformAddresses {
            table: listen(StandInKind::Table(Arc::default())).await?,
            list: listen(StandInKind::Hosts(list.clone())).await?,
            origin: source.address(),
        };
        let entry = start_entry(names.data_centres[0], platform).await?;
        let starts = (0..shape.hosts).map(|index| start_host(index, shape, &names, platform));
        let started: Vec<SwitchResult<SwarmHost>> = stream::iter(starts)
            .buffered(STARTED_AT_ONCE)
            .collect()
            .await;
        let hosts = started
            .into_iter()
            .collect::<SwitchResult<Vec<SwarmHost>>>()?;
        let swarm = Self {
            hosts,
            origin,
            entry,
            names,
            shape: shape.clone(),
            list,
        };
        swarm.publish_host_list()?;
        tokio::time::sleep(SETTLED_AFTER).await;
        Ok(swarm)
    }

    /// Regions that have hosts.
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

    /// The service that the hosts serve.
    pub(super) const fn service(&self) -> &'static str {
        self.names.model
    }

    /// An account that may call it.
    pub(super) const fn account(&self) -> &'static str {
        self.names.accounts[0]
    }

    /// Publishes weights `name` at the origin.
    pub(super) fn publish(&self, name: &str, seed: u64) -> PublishedManifest {
        self.origin.publish(&PublishRequest {
            name: name.to_owned(),
            size: usize::try_from(self.shape.size).unwrap_or(usize::MAX),
            chunk_size: usize::try_from(self.shape.chunk_size).unwrap_or(usize::MAX),
            seed,
        })
    }

    /// Puts the document that wants `manifest`, in place of version `replaces`.
    pub(super) async fn want(
        &self,
        version: &str,
        manifest: &PublishedManifest,
        replaces: u64,
    ) -> SwitchResult<()> {
        let plain = self
            .names
            .model_document(version, &manifest.name, &manifest.digest);
        let hosts = u32::try_from(self.hosts.len() / OUT_OF_SERVICE_PART).unwrap_or(1);
        let document = ServiceDocument {
            weights: plain.weights.clone().map(|weights| WeightsSpec {
                objective: self.shape.objective,
                ..weights
            }),
            rollout: RolloutSpec {
                max_out_of_service: hosts.max(1),
                ..plain.rollout.clone()
            },
            ..plain
        };
        let admin = self.entry.address("admin")?;
        put_document(admin, &document, replaces, ACCEPTED_WITHIN).await
    }

    /// How many of the hosts that live serve `digest`, and how many live.
    pub(super) fn count_serving(&self, digest: &WeightsDigest) -> (usize, usize) {
        let live: Vec<&SwarmHost> = self.hosts.iter().filter(|host| !host.is_killed).collect();
        let serves = |host: &&&SwarmHost| {
            host.engine
                .loaded()
                .is_some_and(|loaded| loaded.digest == *digest)
        };
        (live.iter().filter(serves).count(), live.len())
    }

    /// The sum over the live hosts of what they counted as event `name`.
    pub(super) async fn sum_event(&self, name: &str) -> u64 {
        self.sum("savory_events", &format!("event=\"{name}\""))
            .await
    }

    /// The sum over the live hosts of their retries because of `reason`.
    pub(super) async fn sum_retries(&self, reason: &str) -> u64 {
        self.sum("savory_retries", &format!("reason=\"{reason}\""))
            .await
    }

    async fn sum(&self, metric: &str, label: &str) -> u64 {
        let client = LabClient::default();
        let mut sum = 0;
        for host in self.hosts.iter().filter(|host| !host.is_killed) {
            let Ok(address) = host.process.address("peer") else {
                continue;
            };
            let text = client.text(address, "/metrics").await.unwrap_or_default();
            let lines = text
                .lines()
                .filter(|line| line.starts_with(metric) && line.contains(label));
            let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            sum += counts.map(whole).sum::<u64>();
        }
        sum
    }

    /// The newest log lines of every host, for finding a cause.
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

async fn listen(kind: StandInKind) -> SwitchResult<SocketAddr> {
    Ok(StandIn::start(ANY_PORT, kind).await?.address())
}

async fn start_host(
    index: usize,
    shape: &BurstShape,
    names: &CompanyNames,
    platform: PlatformAddresses,
) -> SwitchResult<SwarmHost> {
    let data_centre = names.data_centres[index % names.data_centres.len()];
    let dialect = [LabDialect::MetricsText, LabDialect::JsonState][index % 2];
    let engine = Arc::new(EngineStandIn::new(EngineShape {
        dialect,
        ..EngineShape::default()
    }));
    let engine_address = listen(StandInKind::Engine(engine.clone())).await?;
    let host = format!("{}-{}-{}", names.model, data_centre.name, index + 1);
    let order = common(launch_host(&host, shape), &host, data_centre, platform)
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
        .setting("link-bytes-per-second", shape.host_rate())
        .setting("memory-bytes", shape.size * VERSIONS_HELD)
        .setting("traffic-threads", 1);
    Ok(SwarmHost {
        process: ChildProcess::start(&order).await?,
        engine,
        is_killed: false,
        host,
        data_centre,
    })
}

/// The host process; one that spoils what it sends where chunks are to arrive corrupted.
fn launch_host(host: &str, shape: &BurstShape) -> LaunchSpec {
    if shape.corrupt_percent == 0 {
        return LaunchSpec::new("savory-host", host);
    }
    LaunchSpec::new("savory-lab", host)
        .argument("spoiling-host")
        .setting("spoilt-percent", shape.corrupt_percent)
        .argument("--")
}

async fn start_entry(
    data_centre: DataCentre,
    platform: PlatformAddresses,
) -> SwitchResult<ChildProcess> {
    let host = "entry-1";
    let operator_digest = WeightsDigest::of(OPERATOR_KEY.as_bytes());
    let order = common(
        LaunchSpec::new("savory-entry", host),
        host,
        data_centre,
        platform,
    )
    .setting("caller-address", LOOPBACK_ANY)
    .setting("admin-address", LOOPBACK_ANY)
    .setting("operator-key-digest", operator_digest);
    ChildProcess::start(&order).await
}

fn common(
    order: LaunchSpec,
    host: &str,
    data_centre: DataCentre,
    platform: PlatformAddresses,
) -> LaunchSpec {
    order
        .setting("host-name", host)
        .setting("data-centre", data_centre.name)
        .setting("region", data_centre.region)
        .setting("peer-address", LOOPBACK_ANY)
        .setting("table-address", platform.table)
        .setting("list-address", platform.list)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are whole and not negative"
)]
const fn whole(count: f64) -> u64 {
    count as u64
}
