//! The points that are measured.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::sleep;

use super::machine::{MachineCost, measure_machine};
use super::sample::{
    ConnectionCount, ProcessorTime, growth, read_connections, read_processor, read_resident,
};
use super::transports::{TransportCost, weigh_transports};
use crate::derives::message;
use crate::documents::ServiceDocument;
use crate::errors::SwitchResult;
use crate::lab::launch::{LabSystem, SampleCompany, SystemShape, put_document};

/// After the start the list is read often; that is no part of the steady cost.
const SETTLE: Duration = Duration::from_secs(25);
const PUT_WITHIN: Duration = Duration::from_secs(20);
const WEIGHTS_BYTES: usize = 64 * 1024;
const CHANGES: u64 = 10;
const CHANGE_PAUSE: Duration = Duration::from_millis(500);

/// What was measured.
#[apply(message!)]
pub(super) struct SlopesReport {
    /// How long each point was measured.
    pub(super) seconds: u64,
    /// What the control thread's decisions cost.
    pub(super) machine: Vec<MachineCost>,
    /// What one word costs, as an exchange and as a frame.
    pub(super) transport: TransportCost,
    /// Each point.
    pub(super) points: Vec<PointReport>,
}

/// One size of the system.
#[apply(message!)]
pub(super) struct PointReport {
    pub(super) entries: usize,
    pub(super) workers: usize,
    pub(super) documents: usize,
    /// In each document.
    pub(super) accounts: usize,
    /// The mean over the daemons of each role, and the worst daemon.
    pub(super) costs: Vec<RoleCost>,
    /// Bytes on the wire that one change of a document costs a daemon on average.
    pub(super) bytes_per_change: f64,
    /// The size of one document's row, in bytes.
    pub(super) row_bytes: usize,
}

/// What control costs a daemon of a role.
#[apply(message!)]
pub(super) struct RoleCost {
    /// `entry` or `host`, or `worst`.
    pub(super) role: String,
    /// Bytes on the wire with headers, both directions, to and from other daemons.
    pub(super) peer_bytes_per_s: f64,
    /// The same towards the table, other duties than documents included.
    pub(super) table_bytes_per_s: f64,
    /// The same towards the list of hosts.
    pub(super) list_bytes_per_s: f64,
    /// Segments in both directions, to and from other daemons.
    pub(super) messages_per_s: f64,
    /// Percent of one core, of the thread for control state.
    pub(super) control_core_percent: f64,
    /// Percent of one core, of the whole process without requests.
    pub(super) process_core_percent: f64,
    /// Resident memory.
    pub(super) resident_mb: f64,
}

/// Measures every point for `seconds` each; the largest has `largest` entry hosts.
pub(super) async fn measure_slopes(seconds: u64, largest: usize) -> SwitchResult<SlopesReport> {
    let transport = weigh_words().await?;
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
        machine: measure_machine(),
        transport,
        points,
    })
}

/// What one word costs, on a system of its own.
async fn weigh_words() -> SwitchResult<TransportCost> {
    let system = LabSystem::start(SystemShape::small(SampleCompany::Auroras), || {}).await?;
    put_documents(&system, 3, 10).await?;
    let cost = weigh_transports(system.entries[0].process.address("peer")?).await;
    system.end().await;
    cost
}

/// One daemon of the system.
struct Daemon {
    role: &'static str,
    process: u32,
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
    let first = put_documents(&system, documents, accounts).await?;
    sleep(SETTLE).await;
    let costs = measure_costs(&system, seconds).await?;
    let bytes_per_change = measure_changes(&system, first.clone()).await?;
    system.end().await;
    Ok(PointReport {
        entries,
        workers,
        documents,
        accounts,
        costs,
        bytes_per_change,
        row_bytes: serde_json::to_vec(&first).map_or(0, |text| text.len()),
    })
}

/// Puts the services' documents and others beside them; returns the portal's.
async fn put_documents(
    system: &LabSystem,
    documents: usize,
    accounts: usize,
) -> SwitchResult<ServiceDocument> {
    let admin = system.entries[0].admin()?;
    let weights = system.publish_weights("weights", WEIGHTS_BYTES, 1).await?;
    let names = system.names;
    let portal = with_accounts(names.single_worker_document(), accounts);
    let mut wanted = vec![
        with_accounts(
            names.model_document("v1", "weights", &weights.digest),
            accounts,
        ),
        with_accounts(names.at_most_once_document(), accounts),
        portal.clone(),
    ];
    for index in wanted.len()..documents {
        wanted.push(ServiceDocument {
            service: format!("service-{index}").into(),
            ..portal.clone()
        });
    }
    for document in &wanted {
        put_document(admin, document, 0, PUT_WITHIN).await?;
    }
    Ok(portal)
}

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
            let process = process.id()?;
            Some(Daemon { role, process })
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
    let processor = |daemon: &Daemon| read_processor(daemon.process);
    let before = read_connections().await?;
    let time_before: Vec<ProcessorTime> = daemons.iter().map(processor).collect();
    sleep(Duration::from_secs(seconds)).await;
    let grown = growth(&before, &read_connections().await?);
    let time_after: Vec<ProcessorTime> = daemons.iter().map(processor).collect();
    let mut costs = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        let of_daemon = || grown.iter().filter(|grown| grown.process == daemon.process);
        let to_peers = |grown: &&ConnectionCount| peers.iter().any(|peer| grown.touches(*peer));
        let rate = |count: u64| as_float(count) / as_float(seconds);
        let percent = |nanos: u64| rate(nanos) / 1e9 * 100.0;
        let bytes = |fits: &dyn Fn(&&ConnectionCount) -> bool| {
            rate(
                of_daemon()
                    .filter(fits)
                    .map(ConnectionCount::wire_bytes)
                    .sum(),
            )
        };
        costs.push(RoleCost {
            role: daemon.role.to_owned(),
            peer_bytes_per_s: bytes(&to_peers),
            table_bytes_per_s: bytes(&|grown| grown.touches(table)),
            list_bytes_per_s: bytes(&|grown| grown.touches(host_list)),
            messages_per_s: rate(
                of_daemon()
                    .filter(to_peers)
                    .map(|grown| grown.segments)
                    .sum(),
            ),
            control_core_percent: percent(time_after[index].control - time_before[index].control),
            process_core_percent: percent(time_after[index].whole - time_before[index].whole),
            resident_mb: as_float(read_resident(daemon.process)) / 1024.0,
        });
    }
    Ok(by_role(&costs))
}

/// The mean of each role and the worst of all.
fn by_role(costs: &[RoleCost]) -> Vec<RoleCost> {
    let mut rows = Vec::new();
    for role in ["entry", "host"] {
        let of_role: Vec<&RoleCost> = costs.iter().filter(|cost| cost.role == role).collect();
        let count = as_float(u64::try_from(of_role.len()).unwrap_or(1).max(1));
        let mean = |field: fn(&RoleCost) -> f64| {
            of_role.iter().map(|cost| field(cost)).sum::<f64>() / count
        };
        rows.push(row(role, mean));
    }
    let worst = |field: fn(&RoleCost) -> f64| costs.iter().map(field).fold(0.0, f64::max);
    rows.push(row("worst", worst));
    rows
}

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

/// Changes a document again and again; the bytes beyond the steady cost, for each change and daemon.
async fn measure_changes(system: &LabSystem, mut document: ServiceDocument) -> SwitchResult<f64> {
    let span = CHANGE_PAUSE * u32::try_from(CHANGES).unwrap_or(1);
    let steady = peer_bytes(system, sleep(span)).await?;
    let admin = system.entries[0].admin()?;
    let mut outcome = Ok(());
    let changing = async {
        for version in 1..=CHANGES {
            document.accounts[0].requests_per_second += 1;
            outcome = put_document(admin, &document, version, PUT_WITHIN).await;
            sleep(CHANGE_PAUSE).await;
        }
    };
    let changed = peer_bytes(system, changing).await?;
    outcome?;
    let daemons = u64::try_from(daemons_of(system).len()).unwrap_or(1);
    Ok((changed - steady) / as_float(CHANGES) / as_float(daemons))
}

/// Bytes on the wire between daemons during `span`, as all of them together count them.
async fn peer_bytes(system: &LabSystem, span: impl Future<Output = ()>) -> SwitchResult<f64> {
    let daemons = daemons_of(system);
    let peers = peer_addresses(system)?;
    let before = read_connections().await?;
    span.await;
    let grown = growth(&before, &read_connections().await?);
    let bytes = grown
        .iter()
        .filter(|grown| daemons.iter().any(|daemon| daemon.process == grown.process))
        .filter(|grown| peers.iter().any(|peer| grown.touches(*peer)))
        .map(ConnectionCount::wire_bytes)
        .sum();
    Ok(as_float(bytes))
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
pub(super) const fn as_float(count: u64) -> f64 {
    count as f64
}
