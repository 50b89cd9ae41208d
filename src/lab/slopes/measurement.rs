//! Measures the cost of the control plane on systems of several sizes. Each system is started for
//! its measurement and ended after it.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::sleep;

use super::decision_cost::{DecisionCost, measure_decisions};
use super::kernel_counters::{
    ConnectionCounters, CpuTime, counter_increases, read_connections, read_cpu_time,
    read_resident_kib,
};
use super::transport_cost::{TransportCost, measure_transport};
use crate::derives::message;
use crate::documents::ServiceDocument;
use crate::errors::SwitchResult;
use crate::lab::launch::{LabSystem, SampleCompany, SystemShape, put_document};

/// Wait before a measurement: after the start the daemons read the host list more often than in
/// steady state.
const SETTLE_TIME: Duration = Duration::from_secs(25);
const PUT_TIMEOUT: Duration = Duration::from_secs(20);
const WEIGHTS_BYTES: usize = 64 * 1024;
const CHANGE_COUNT: u64 = 10;
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// The results of all measurements.
#[apply(message!)]
pub(super) struct SlopesReport {
    /// How long each point was measured, in seconds.
    pub(super) seconds: u64,
    /// The cost of the control thread's decisions, for each number of hosts.
    pub(super) machine: Vec<DecisionCost>,
    /// Bytes on the wire of one message, as an exchange and as a frame.
    pub(super) transport: TransportCost,
    /// The cost at each measured point.
    pub(super) points: Vec<PointReport>,
}

/// The cost at one point: a system with given numbers of hosts, documents and client accounts.
#[apply(message!)]
pub(super) struct PointReport {
    pub(super) entries: usize,
    pub(super) workers: usize,
    pub(super) documents: usize,
    /// Client accounts in each document.
    pub(super) accounts: usize,
    /// The means over the daemons of each role, and the maximum of each figure over all daemons.
    pub(super) costs: Vec<RoleCost>,
    /// Bytes on the wire between daemons, beyond the steady traffic, for each change of a document
    /// and each daemon.
    pub(super) bytes_per_change: f64,
    /// Length of the portal's document as JSON text, in bytes.
    pub(super) row_bytes: usize,
}

/// The cost of the control plane for a daemon of one role.
#[apply(message!)]
pub(super) struct RoleCost {
    /// `entry`, `host`, or `worst` for the maxima.
    pub(super) role: String,
    /// Bytes per second on the wire, including headers, to and from other daemons.
    pub(super) peer_bytes_per_s: f64,
    /// The same to and from the table, including its traffic for other purposes than documents.
    pub(super) table_bytes_per_s: f64,
    /// The same to and from the host list.
    pub(super) list_bytes_per_s: f64,
    /// Segments per second, to and from other daemons.
    pub(super) messages_per_s: f64,
    /// Processor time of the thread that owns the control state, in percent of one core.
    pub(super) control_core_percent: f64,
    /// Processor time of all threads, with no client requests, in percent of one core.
    pub(super) process_core_percent: f64,
    /// Resident memory in MiB.
    pub(super) resident_mb: f64,
}

/// Measures every point for `seconds` each. The number of entry hosts doubles from 3 up to
/// `largest` at most; documents and accounts are varied at 3 entry hosts.
///
/// # Errors
///
/// When a system does not start, a document is not accepted, or the counters cannot be read.
pub(super) async fn measure_slopes(seconds: u64, largest: usize) -> SwitchResult<SlopesReport> {
    let transport = measure_transport_alone().await?;
    let mut points = Vec::new();
    let mut entries = 3;
    while entries <= largest {
        points.push(measure_point((entries, 2 * entries), 3, 10, seconds).await?);
        entries *= 2;
    }
    for documents in [30, 100] {
        points.push(measure_point((3, 6), documents, 10, seconds).await?);
    }
    for accounts in [100, 1000] {
        points.push(measure_point((3, 6), 3, accounts, seconds).await?);
    }
    Ok(SlopesReport {
        seconds,
        machine: measure_decisions(),
        transport,
        points,
    })
}

/// Measures the cost of one message on a small system that is started only for it.
async fn measure_transport_alone() -> SwitchResult<TransportCost> {
    let system = LabSystem::start(SystemShape::small(SampleCompany::Auroras), || {}).await?;
    put_documents(&system, 3, 10).await?;
    let cost = measure_transport(system.entries[0].process.address("peer")?).await;
    system.end().await;
    cost
}

/// The process of one daemon of the system.
struct Daemon {
    role: &'static str,
    process_id: u32,
}

async fn measure_point(
    (entries, workers): (usize, usize),
    documents: usize,
    accounts: usize,
    seconds: u64,
) -> SwitchResult<PointReport> {
    let shape = SystemShape {
        entries,
        models: workers - 2,
        at_most_once_workers: 1,
        ..SystemShape::small(SampleCompany::Auroras)
    };
    let system = LabSystem::start(shape, || {}).await?;
    let portal = put_documents(&system, documents, accounts).await?;
    sleep(SETTLE_TIME).await;
    let costs = measure_costs(&system, seconds).await?;
    let bytes_per_change = measure_changes(&system, portal.clone()).await?;
    system.end().await;
    Ok(PointReport {
        entries,
        workers,
        documents,
        accounts,
        costs,
        bytes_per_change,
        row_bytes: serde_json::to_vec(&portal).map_or(0, |text| text.len()),
    })
}

/// Puts the documents of the three services, and copies of the portal's under other service names
/// up to `count` documents, each with `accounts` accounts. Returns the portal's document.
async fn put_documents(
    system: &LabSystem,
    count: usize,
    accounts: usize,
) -> SwitchResult<ServiceDocument> {
    let admin = system.entries[0].admin()?;
    let weights = system.publish_weights("weights", WEIGHTS_BYTES, 1).await?;
    let names = system.names;
    let portal = with_accounts(names.single_worker_document(), accounts);
    let mut documents = vec![
        with_accounts(
            names.model_document("v1", "weights", &weights.digest),
            accounts,
        ),
        with_accounts(names.at_most_once_document(), accounts),
        portal.clone(),
    ];
    for index in documents.len()..count {
        documents.push(ServiceDocument {
            service: format!("service-{index}").into(),
            ..portal.clone()
        });
    }
    for document in &documents {
        put_document(admin, document, 0, PUT_TIMEOUT).await?;
    }
    Ok(portal)
}

/// Adds copies of the first account until `document` has `accounts` of them.
fn with_accounts(mut document: ServiceDocument, accounts: usize) -> ServiceDocument {
    let first = document.accounts[0].clone();
    for index in document.accounts.len()..accounts {
        let mut account = first.clone();
        account.name = format!("account-{index}").into();
        document.accounts.push(account);
    }
    document
}

fn daemons_of(system: &LabSystem) -> Vec<Daemon> {
    let entries = system.entries.iter().map(|node| ("entry", &node.process));
    let hosts = system.backends.iter().map(|node| ("host", &node.process));
    entries
        .chain(hosts)
        .filter_map(|(role, process)| {
            let process_id = process.id()?;
            Some(Daemon { role, process_id })
        })
        .collect()
}

fn peer_addresses(system: &LabSystem) -> SwitchResult<Vec<SocketAddr>> {
    let entries = system.entries.iter().map(|node| &node.process);
    let hosts = system.backends.iter().map(|node| &node.process);
    entries
        .chain(hosts)
        .map(|process| process.address("peer"))
        .collect()
}

async fn measure_costs(system: &LabSystem, seconds: u64) -> SwitchResult<Vec<RoleCost>> {
    let daemons = daemons_of(system);
    let peers = peer_addresses(system)?;
    let table = system.table.address("")?;
    let host_list = system.host_list.address("")?;
    let cpu_time = |daemon: &Daemon| read_cpu_time(daemon.process_id);
    let before = read_connections().await?;
    let times_before: Vec<CpuTime> = daemons.iter().map(cpu_time).collect();
    sleep(Duration::from_secs(seconds)).await;
    let increases = counter_increases(&before, &read_connections().await?);
    let times_after: Vec<CpuTime> = daemons.iter().map(cpu_time).collect();
    let mut costs = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        let of_daemon = || {
            increases
                .iter()
                .filter(|increase| increase.process_id == daemon.process_id)
        };
        let to_peers =
            |increase: &&ConnectionCounters| peers.iter().any(|peer| increase.involves(*peer));
        let rate = |count: u64| as_float(count) / as_float(seconds);
        let percent = |nanos: u64| rate(nanos) / 1e9 * 100.0;
        let bytes = |filter: &dyn Fn(&&ConnectionCounters) -> bool| {
            rate(
                of_daemon()
                    .filter(filter)
                    .map(ConnectionCounters::wire_bytes)
                    .sum(),
            )
        };
        costs.push(RoleCost {
            role: daemon.role.to_owned(),
            peer_bytes_per_s: bytes(&to_peers),
            table_bytes_per_s: bytes(&|increase| increase.involves(table)),
            list_bytes_per_s: bytes(&|increase| increase.involves(host_list)),
            messages_per_s: rate(
                of_daemon()
                    .filter(to_peers)
                    .map(|increase| increase.segments)
                    .sum(),
            ),
            control_core_percent: percent(
                times_after[index].control_ns - times_before[index].control_ns,
            ),
            process_core_percent: percent(
                times_after[index].total_ns - times_before[index].total_ns,
            ),
            resident_mb: as_float(read_resident_kib(daemon.process_id)) / 1024.0,
        });
    }
    Ok(summarize_by_role(&costs))
}

/// The means of each role, and the maximum of each figure over all daemons.
fn summarize_by_role(costs: &[RoleCost]) -> Vec<RoleCost> {
    let mut rows = Vec::new();
    for role in ["entry", "host"] {
        let role_costs: Vec<&RoleCost> = costs.iter().filter(|cost| cost.role == role).collect();
        let count = as_float(u64::try_from(role_costs.len()).unwrap_or(1).max(1));
        let mean = |field: fn(&RoleCost) -> f64| {
            role_costs.iter().map(|cost| field(cost)).sum::<f64>() / count
        };
        rows.push(row(role, mean));
    }
    let worst = |field: fn(&RoleCost) -> f64| costs.iter().map(field).fold(0.0, f64::max);
    rows.push(row("worst", worst));
    rows
}

/// Builds the row for `role` by applying `value` to the accessor of each figure.
fn row(role: &str, value: impl Fn(fn(&RoleCost) -> f64) -> f64) -> RoleCost {
    RoleCost {
        role: role.to_owned(),
        peer_bytes_per_s: value(|cost| cost.peer_bytes_per_s),
        table_bytes_per_s: value(|cost| cost.table_bytes_per_s),
        list_bytes_per_s: value(|cost| cost.list_bytes_per_s),
        messages_per_s: value(|cost| cost.messages_per_s),
        control_core_percent: value(|cost| cost.control_core_percent),
        process_core_percent: value(|cost| cost.process_core_percent),
        resident_mb: value(|cost| cost.resident_mb),
    }
}

/// Changes a document `CHANGE_COUNT` times. Returns the bytes between daemons beyond the steady
/// traffic, for each change and daemon.
async fn measure_changes(system: &LabSystem, mut document: ServiceDocument) -> SwitchResult<f64> {
    let duration = CHANGE_INTERVAL * u32::try_from(CHANGE_COUNT).unwrap_or(1);
    let steady_bytes = peer_bytes(system, sleep(duration)).await?;
    let admin = system.entries[0].admin()?;
    let mut outcome = Ok(());
    let changes = async {
        for version in 1..=CHANGE_COUNT {
            document.accounts[0].requests_per_second += 1;
            outcome = put_document(admin, &document, version, PUT_TIMEOUT).await;
            sleep(CHANGE_INTERVAL).await;
        }
    };
    let changed_bytes = peer_bytes(system, changes).await?;
    outcome?;
    let daemons = u64::try_from(daemons_of(system).len()).unwrap_or(1);
    Ok((changed_bytes - steady_bytes) / as_float(CHANGE_COUNT) / as_float(daemons))
}

/// Bytes on the wire between daemons while `activity` runs, summed over the counters of all
/// daemons: a byte counts both at its sender and at its receiver.
async fn peer_bytes(system: &LabSystem, activity: impl Future<Output = ()>) -> SwitchResult<f64> {
    let daemons = daemons_of(system);
    let peers = peer_addresses(system)?;
    let before = read_connections().await?;
    activity.await;
    let increases = counter_increases(&before, &read_connections().await?);
    let bytes = increases
        .iter()
        .filter(|increase| {
            daemons
                .iter()
                .any(|daemon| daemon.process_id == increase.process_id)
        })
        .filter(|increase| peers.iter().any(|peer| increase.involves(*peer)))
        .map(ConnectionCounters::wire_bytes)
        .sum();
    Ok(as_float(bytes))
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
pub(super) const fn as_float(count: u64) -> f64 {
    count as f64
}
