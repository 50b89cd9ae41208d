//! A whole small system: the platform's stand-ins, entry hosts, backend servers with their host
//! processes, each a process of its own.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::try_join_all;

use super::admin_client::read_admin;
use super::child_process::{ChildProcess, LaunchSpec};
use super::company::{CompanyNames, DataCentre, OPERATOR_KEY};
use super::lab_client::LabClient;
use super::system_parts::{BackendNode, EntryNode, SystemShape};
use crate::errors::SwitchResult;
use crate::lab::stand_ins::{ANY_PORT, FaultSettings, PublishRequest, PublishedManifest};
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::weights::WeightsDigest;

const LOOPBACK_ANY: &str = "127.0.0.1:0";
/// The address space that a host process may fill with weights in the lab.
const MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// How often and how far apart a port is asked for again.
const PORT_TRIES: u32 = 20;
const PORT_PAUSE: Duration = Duration::from_millis(250);
const CHUNK_BYTES: usize = 64 * 1024;

/// The whole system. Ends with all its processes when it is dropped.
#[derive(Debug)]
pub(crate) struct LabSystem {
    /// How it was asked for.
    pub(crate) shape: SystemShape,
    /// Its company's names.
    pub(crate) names: CompanyNames,
    /// The table.
    pub(crate) table: ChildProcess,
    /// The object store.
    /// The origin of weights.
    pub(crate) origin: ChildProcess,
    /// The list of hosts.
    pub(crate) host_list: ChildProcess,
    /// The entry hosts.
    pub(crate) entries: Vec<EntryNode>,
    /// The backend servers.
    pub(crate) backends: Vec<BackendNode>,
    /// The logs of daemons that were replaced.
    ended_logs: String,
}

impl LabSystem {
    /// Starts the system; `started` is told after each process.
    pub(crate) async fn start(shape: SystemShape, started: impl Fn()) -> SwitchResult<Self> {
        let origin_rate = shape.origin_bytes_per_second;
        let mut system = Self {
            shape,
            names: shape.company.names(),
            table: start_stand_in("table", &[]).await?,
            origin: start_stand_in("origin", &[("link-bytes-per-second", origin_rate)]).await?,
            host_list: start_stand_in("hosts", &[]).await?,
            entries: Vec::new(),
            backends: Vec::new(),
            ended_logs: String::new(),
        };
        started();
        // Listed before it runs, so that the processes see each other from their first reading on.
        let backends = (0..=shape.models + shape.at_most_once_workers)
            .map(|index| system.start_backend(index));
        let backends = try_join_all(backends).await?;
        system.backends = backends;
        started();
        let entries = (0..shape.entries).map(|index| system.start_entry(index));
        let entries = try_join_all(entries).await?;
        system.entries = entries;
        started();
        system.publish_host_list().await?;
        Ok(system)
    }

    /// Starts entry host `index`.
    pub(crate) async fn start_entry(&self, index: usize) -> SwitchResult<EntryNode> {
        let data_centre = self.data_centre(index);
        let host = format!("entry-{}-{}", data_centre.name, index + 1);
        let operator_digest = WeightsDigest::of(OPERATOR_KEY.as_bytes());
        let order = self
            .common(LaunchSpec::new("savory-entry", &host), &host, data_centre)?
            .setting("caller-address", LOOPBACK_ANY)
            .setting("admin-address", LOOPBACK_ANY)
            .setting("operator-key-digest", operator_digest);
        Ok(EntryNode {
            process: ChildProcess::start(&order).await?,
            host,
            data_centre,
        })
    }

    async fn start_backend(&self, index: usize) -> SwitchResult<BackendNode> {
        let data_centre = self.data_centre(index);
        let (service, dialect) = self.duty(index);
        let host = format!("{service}-{}-{}", data_centre.name, index + 1);
        let engine = self.start_engine(dialect, ANY_PORT).await?;
        let process = self
            .start_host(&host, data_centre, (service, dialect), &engine)
            .await?;
        Ok(BackendNode {
            host,
            data_centre,
            service,
            dialect,
            engine,
            process,
            listed: ListedState::Live,
        })
    }

    async fn start_engine(
        &self,
        dialect: &'static str,
        address: SocketAddr,
    ) -> SwitchResult<ChildProcess> {
        if dialect == "plain" {
            return start_stand_in("plain", &[("service-ms", self.shape.service_ms)]).await;
        }
        let order = LaunchSpec::new("savory-lab", format!("engine {dialect}"))
            .argument("stand-in")
            .argument("engine")
            .setting("listen", address)
            .setting("dialect", dialect)
            .setting("running-max", self.shape.running_max)
            .setting("tokens-per-second", self.shape.tokens_per_second);
        ChildProcess::start(&order).await
    }

    /// Starts the host process `host` before `engine`.
    pub(crate) async fn start_host(
        &self,
        host: &str,
        data_centre: DataCentre,
        (service, dialect): (&str, &str),
        engine: &ChildProcess,
    ) -> SwitchResult<ChildProcess> {
        let order = self
            .common(LaunchSpec::new("savory-host", host), host, data_centre)?
            .setting("service", service)
            .setting("engine-dialect", dialect)
            .setting("engine-address", engine.address("")?)
            .setting("origin-address", self.origin.address("")?)
            .setting("memory-bytes", MEMORY_BYTES);
        ChildProcess::start(&order).await
    }

    /// Starts the host process of backend `index` anew, beside the same engine.
    pub(crate) async fn restart_host(&mut self, index: usize) -> SwitchResult<()> {
        let node = &self.backends[index];
        let duty = (node.service, node.dialect);
        let process = self
            .start_host(&node.host, node.data_centre, duty, &node.engine)
            .await?;
        let node = &mut self.backends[index];
        let earlier = std::mem::replace(&mut node.process, process);
        self.ended_logs.push_str(&log_of(&earlier));
        self.backends[index].listed = ListedState::Live;
        self.publish_host_list().await
    }

    /// Starts the engine of backend `index` anew, with nothing loaded, where the earlier one was.
    pub(crate) async fn restart_engine(&mut self, index: usize) -> SwitchResult<()> {
        let node = &self.backends[index];
        let address = node.engine.address("")?;
        let mut tries = 0;
        let engine = loop {
            match self.start_engine(node.dialect, address).await {
                Ok(engine) => break engine,
                Err(error) if tries >= PORT_TRIES => return Err(error),
                // Some connection may have taken the port for its own end meanwhile.
                Err(_) => tries += 1,
            }
            tokio::time::sleep(PORT_PAUSE).await;
        };
        self.backends[index].engine = engine;
        Ok(())
    }

    /// Starts entry host `index` anew.
    pub(crate) async fn restart_entry(&mut self, index: usize) -> SwitchResult<()> {
        let node = self.start_entry(index).await?;
        let earlier = std::mem::replace(&mut self.entries[index], node);
        self.ended_logs.push_str(&log_of(&earlier.process));
        self.publish_host_list().await
    }

    /// Tells the list of hosts what is there.
    pub(crate) async fn publish_host_list(&self) -> SwitchResult<()> {
        let mut hosts = Vec::new();
        for node in &self.entries {
            let entry = HostEntry {
                host: node.host.as_str().into(),
                data_centre: node.data_centre.name.into(),
                region: node.data_centre.region.into(),
                role: HostRole::Entry,
                service: None,
                peer_address: node.process.address("peer")?,
                state: ListedState::Live,
            };
            hosts.push(entry);
        }
        for node in &self.backends {
            let entry = HostEntry {
                host: node.host.as_str().into(),
                data_centre: node.data_centre.name.into(),
                region: node.data_centre.region.into(),
                role: HostRole::Backend,
                service: Some(node.service.into()),
                peer_address: node.process.address("peer")?,
                state: node.listed,
            };
            hosts.push(entry);
        }
        let address = self.host_list.address("")?;
        LabClient::default()
            .post(address, "/lab/hosts", &hosts)
            .await
    }

    /// Publishes weights of `size` bytes as `name` at the origin.
    pub(crate) async fn publish_weights(
        &self,
        name: &str,
        size: usize,
        seed: u64,
    ) -> SwitchResult<PublishedManifest> {
        let order = PublishRequest {
            name: name.to_owned(),
            size,
            chunk_size: CHUNK_BYTES,
            seed,
        };
        let address = self.origin.address("")?;
        LabClient::default()
            .post(address, "/lab/publish", &order)
            .await
    }

    /// Replaces the faults of a stand-in.
    pub(crate) async fn set_faults(
        stand_in: &ChildProcess,
        faults: FaultSettings,
    ) -> SwitchResult<()> {
        let address = stand_in.address("")?;
        let _: FaultSettings = LabClient::default()
            .post(address, "/lab/fault", &faults)
            .await?;
        Ok(())
    }

    /// The backend servers of `service`, by their place.
    pub(crate) fn backend_indices(&self, service: &str) -> Vec<usize> {
        let places = 0..self.backends.len();
        places
            .filter(|index| self.backends[*index].service == service)
            .collect()
    }

    /// Every daemon's newest log lines, and what each entry host sees, for finding a cause.
    pub(crate) async fn logs(&self) -> String {
        let mut text = self.daemon_logs();
        for node in &self.entries {
            let Ok(admin) = node.admin() else { continue };
            for path in ["/admin/v1/hosts", "/admin/v1/requests"] {
                let seen = read_admin(admin, path).await;
                let seen = seen.unwrap_or_else(|error| error.to_string());
                text.push_str(&titled(&format!("{}{path}", node.host), &seen));
            }
        }
        text
    }

    fn daemon_logs(&self) -> String {
        let entries = self.entries.iter().map(|node| &node.process);
        let hosts = self.backends.iter().map(|node| &node.process);
        let running: String = entries.chain(hosts).map(log_of).collect();
        format!("{}{running}", self.ended_logs)
    }

    /// Ends all processes and waits for their end; returns how many were left then.
    pub(crate) async fn end(mut self) -> usize {
        let mut left = 0;
        let stand_ins = [&mut self.table, &mut self.origin, &mut self.host_list];
        let entries = self.entries.iter_mut().map(|node| &mut node.process);
        let hosts = self
            .backends
            .iter_mut()
            .flat_map(|node| [&mut node.process, &mut node.engine]);
        for process in entries.chain(hosts).chain(stand_ins) {
            process.kill().await;
            if process.wait(Duration::from_secs(1)).await.is_none() {
                left += 1;
            }
        }
        left
    }

    fn common(
        &self,
        order: LaunchSpec,
        host: &str,
        data_centre: DataCentre,
    ) -> SwitchResult<LaunchSpec> {
        Ok(order
            .setting("host-name", host)
            .setting("data-centre", data_centre.name)
            .setting("region", data_centre.region)
            .setting("peer-address", LOOPBACK_ANY)
            .setting("table-address", self.table.address("")?)
            .setting("list-address", self.host_list.address("")?)
            .setting("leave-linger-ms", self.shape.linger_ms))
    }

    fn data_centre(&self, index: usize) -> DataCentre {
        self.names.data_centres[index % self.names.data_centres.len()]
    }

    fn duty(&self, index: usize) -> (&'static str, &'static str) {
        let shape = &self.shape;
        if index < shape.models {
            let dialects = ["metrics_text", "json_state"];
            (self.names.model, dialects[index % dialects.len()])
        } else if index < shape.models + shape.at_most_once_workers {
            (self.names.at_most_once_service, "plain")
        } else {
            (self.names.single_worker_service, "plain")
        }
    }
}

fn log_of(process: &ChildProcess) -> String {
    titled(process.name(), &process.log_text())
}

fn titled(title: &str, text: &str) -> String {
    format!("== {title}\n{text}\n")
}

async fn start_stand_in(
    kind: &'static str,
    settings: &[(&'static str, u64)],
) -> SwitchResult<ChildProcess> {
    let mut order = LaunchSpec::new("savory-lab", kind)
        .argument("stand-in")
        .argument(kind);
    for (flag, value) in settings {
        order = order.setting(flag, value);
    }
    ChildProcess::start(&order).await
}
