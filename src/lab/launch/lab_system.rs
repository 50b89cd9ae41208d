//! A complete small system. The stand-ins of the platform, the entry hosts, the backend servers and
//! their host processes each run as a separate process.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::try_join_all;

use super::admin_client::read_admin;
use super::child_process::{ChildProcess, LaunchSpec};
use super::lab_client::LabClient;
use super::sample_company::{CompanyNames, DataCentre, OPERATOR_KEY};
use super::system_parts::{BackendNode, EntryNode, SystemShape};
use crate::errors::SwitchResult;
use crate::lab::stand_ins::{ANY_PORT, FaultSettings, PublishRequest, PublishedManifest};
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::weights::WeightsDigest;

const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
/// Memory that a host process may use for weights, in bytes.
const WEIGHTS_MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// Retries, and the interval between them, to bind the port of an engine that is restarted.
const PORT_RETRIES_MAX: u32 = 20;
const PORT_RETRY_INTERVAL: Duration = Duration::from_millis(250);
const CHUNK_BYTES: usize = 64 * 1024;

/// A running lab system. Dropping it kills all its processes.
#[derive(Debug)]
pub(crate) struct LabSystem {
    /// The size and settings with which it was started.
    pub(crate) shape: SystemShape,
    /// Names of its company.
    pub(crate) names: CompanyNames,
    /// The stand-in of the platform's table.
    pub(crate) table: ChildProcess,
    /// The stand-in of the origin of weights, which is the platform's object store.
    pub(crate) origin: ChildProcess,
    /// The stand-in of the list of hosts.
    pub(crate) host_list: ChildProcess,
    /// The entry hosts.
    pub(crate) entries: Vec<EntryNode>,
    /// The backend servers.
    pub(crate) backends: Vec<BackendNode>,
    /// Logs of daemons that were restarted.
    ended_logs: String,
}

impl LabSystem {
    /// Starts the system. `on_step` is called after the stand-ins, the backend servers and the
    /// entry hosts have each been started.
    ///
    /// # Errors
    ///
    /// The first error of a process that could not be started.
    pub(crate) async fn start(shape: SystemShape, on_step: impl Fn()) -> SwitchResult<Self> {
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
        on_step();
        let backends = (0..=shape.models + shape.at_most_once_workers)
            .map(|index| system.start_backend(index));
        let backends = try_join_all(backends).await?;
        system.backends = backends;
        on_step();
        let entries = (0..shape.entries).map(|index| system.start_entry(index));
        let entries = try_join_all(entries).await?;
        system.entries = entries;
        on_step();
        // Hosts are listed only after all processes have started.
        system.publish_host_list().await?;
        Ok(system)
    }

    /// Starts a process of entry host `index`, without adding it to the system.
    pub(crate) async fn start_entry(&self, index: usize) -> SwitchResult<EntryNode> {
        let data_centre = self.data_centre(index);
        let host = format!("entry-{}-{}", data_centre.name, index + 1);
        let operator_digest = WeightsDigest::of(OPERATOR_KEY.as_bytes());
        let spec = self
            .with_common_settings(LaunchSpec::new("savory-entry", &host), &host, data_centre)?
            .setting("caller-address", LOOPBACK_ANY_PORT)
            .setting("admin-address", LOOPBACK_ANY_PORT)
            .setting("operator-key-digest", operator_digest);
        Ok(EntryNode {
            process: ChildProcess::start(&spec).await?,
            host,
            data_centre,
        })
    }

    async fn start_backend(&self, index: usize) -> SwitchResult<BackendNode> {
        let data_centre = self.data_centre(index);
        let (service, dialect) = self.assignment(index);
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
        let spec = LaunchSpec::new("savory-lab", format!("engine {dialect}"))
            .argument("stand-in")
            .argument("engine")
            .setting("listen", address)
            .setting("dialect", dialect)
            .setting("running-max", self.shape.running_max)
            .setting("tokens-per-second", self.shape.tokens_per_second);
        ChildProcess::start(&spec).await
    }

    /// Starts the host process `host` of the backend server `engine`.
    pub(crate) async fn start_host(
        &self,
        host: &str,
        data_centre: DataCentre,
        (service, dialect): (&str, &str),
        engine: &ChildProcess,
    ) -> SwitchResult<ChildProcess> {
        let spec = self
            .with_common_settings(LaunchSpec::new("savory-host", host), host, data_centre)?
            .setting("service", service)
            .setting("engine-dialect", dialect)
            .setting("engine-address", engine.address("")?)
            .setting("origin-address", self.origin.address("")?)
            .setting("memory-bytes", WEIGHTS_MEMORY_BYTES);
        ChildProcess::start(&spec).await
    }

    /// Starts a new host process of backend `index` for the same engine, in place of the previous
    /// one.
    pub(crate) async fn restart_host(&mut self, index: usize) -> SwitchResult<()> {
        let node = &self.backends[index];
        let assignment = (node.service, node.dialect);
        let process = self
            .start_host(&node.host, node.data_centre, assignment, &node.engine)
            .await?;
        let node = &mut self.backends[index];
        let previous = std::mem::replace(&mut node.process, process);
        self.ended_logs.push_str(&titled_log(&previous));
        self.backends[index].listed = ListedState::Live;
        self.publish_host_list().await
    }

    /// Starts a new engine of backend `index` on the same address, with no weights loaded.
    pub(crate) async fn restart_engine(&mut self, index: usize) -> SwitchResult<()> {
        let node = &self.backends[index];
        let address = node.engine.address("")?;
        let mut retries = 0;
        let engine = loop {
            match self.start_engine(node.dialect, address).await {
                Ok(engine) => break engine,
                Err(error) if retries >= PORT_RETRIES_MAX => return Err(error),
                // An outgoing connection may use the port as its local port meanwhile.
                Err(_) => retries += 1,
            }
            tokio::time::sleep(PORT_RETRY_INTERVAL).await;
        };
        self.backends[index].engine = engine;
        Ok(())
    }

    /// Starts a new process of entry host `index`, in place of the previous one.
    pub(crate) async fn restart_entry(&mut self, index: usize) -> SwitchResult<()> {
        let node = self.start_entry(index).await?;
        let previous = std::mem::replace(&mut self.entries[index], node);
        self.ended_logs.push_str(&titled_log(&previous.process));
        self.publish_host_list().await
    }

    /// Publishes the current hosts on the list of hosts.
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

    /// Publishes weights of `size` bytes, generated from `seed`, as `name` at the origin.
    pub(crate) async fn publish_weights(
        &self,
        name: &str,
        size: usize,
        seed: u64,
    ) -> SwitchResult<PublishedManifest> {
        let request = PublishRequest {
            name: name.to_owned(),
            size,
            chunk_size: CHUNK_BYTES,
            seed,
        };
        let address = self.origin.address("")?;
        LabClient::default()
            .post(address, "/lab/publish", &request)
            .await
    }

    /// Replaces the fault settings of `stand_in`.
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

    /// Returns the indices in `backends` of the servers of `service`.
    pub(crate) fn backend_indices(&self, service: &str) -> Vec<usize> {
        let indices = 0..self.backends.len();
        indices
            .filter(|index| self.backends[*index].service == service)
            .collect()
    }

    /// Returns the newest log lines of every daemon, and the hosts and requests that each entry
    /// host shows, to diagnose a failure.
    pub(crate) async fn logs(&self) -> String {
        let mut text = self.daemon_logs();
        for node in &self.entries {
            let Ok(admin) = node.admin() else { continue };
            for path in ["/admin/v1/hosts", "/admin/v1/requests"] {
                let state = read_admin(admin, path).await;
                let state = state.unwrap_or_else(|error| error.to_string());
                text.push_str(&titled(&format!("{}{path}", node.host), &state));
            }
        }
        text
    }

    fn daemon_logs(&self) -> String {
        let entries = self.entries.iter().map(|node| &node.process);
        let hosts = self.backends.iter().map(|node| &node.process);
        let running: String = entries.chain(hosts).map(titled_log).collect();
        format!("{}{running}", self.ended_logs)
    }

    /// Kills all processes and waits for their end. Returns the number of those still running.
    pub(crate) async fn end(mut self) -> usize {
        let mut still_running = 0;
        let stand_ins = [&mut self.table, &mut self.origin, &mut self.host_list];
        let entries = self.entries.iter_mut().map(|node| &mut node.process);
        let hosts = self
            .backends
            .iter_mut()
            .flat_map(|node| [&mut node.process, &mut node.engine]);
        for process in entries.chain(hosts).chain(stand_ins) {
            process.kill().await;
            if process.wait(Duration::from_secs(1)).await.is_none() {
                still_running += 1;
            }
        }
        still_running
    }

    fn with_common_settings(
        &self,
        spec: LaunchSpec,
        host: &str,
        data_centre: DataCentre,
    ) -> SwitchResult<LaunchSpec> {
        Ok(spec
            .setting("host-name", host)
            .setting("data-centre", data_centre.name)
            .setting("region", data_centre.region)
            .setting("peer-address", LOOPBACK_ANY_PORT)
            .setting("table-address", self.table.address("")?)
            .setting("list-address", self.host_list.address("")?)
            .setting("leave-linger-ms", self.shape.linger_ms))
    }

    fn data_centre(&self, index: usize) -> DataCentre {
        self.names.data_centres[index % self.names.data_centres.len()]
    }

    /// Returns the service of backend `index`, and the dialect of its engine.
    fn assignment(&self, index: usize) -> (&'static str, &'static str) {
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

fn titled_log(process: &ChildProcess) -> String {
    titled(process.name(), &process.log_text())
}

fn titled(title: &str, text: &str) -> String {
    format!("== {title}\n{text}\n")
}

async fn start_stand_in(
    kind: &'static str,
    settings: &[(&'static str, u64)],
) -> SwitchResult<ChildProcess> {
    let mut spec = LaunchSpec::new("savory-lab", kind)
        .argument("stand-in")
        .argument(kind);
    for (flag, value) in settings {
        spec = spec.setting(flag, value);
    }
    ChildProcess::start(&spec).await
}
