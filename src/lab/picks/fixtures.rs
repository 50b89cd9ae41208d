//! Invented hosts and documents for the measurements of picks. Tests of other modules use them too.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytestring::ByteString;

use crate::control::{ControlSnapshot, MemberRecord, MemberState};
use crate::documents::{
    AccountSpec, DeadlineSpec, HostSelection, RetrySpec, RolloutSpec, ServiceDocument, ServiceKind,
};
use crate::membership::{HostIdentity, HostStatus, LoadReport};
use crate::stores::HostRole;

const SERVICE: &str = "sky-writer";
const DATA_CENTRE: &str = "lima-hall-a";
const REGION: &str = "peru";
const PEER_PORT: u16 = 7000;

/// Document of a service with `accounts` client accounts. Their limits are too wide to be reached.
pub(crate) fn document(accounts: usize) -> ServiceDocument {
    ServiceDocument {
        format: 1,
        service: SERVICE.into(),
        team: "guides".into(),
        change_key_digests: Vec::new(),
        kind: ServiceKind::Plain,
        data_centres: vec![DATA_CENTRE.into()],
        hosts: HostSelection::Listed,
        weights: None,
        rollout: RolloutSpec::default(),
        accounts: (0..accounts).map(account_spec).collect(),
        deadlines: DeadlineSpec::default(),
        routes: Vec::new(),
        retry: RetrySpec::default(),
        prefix_affinity: false,
    }
}

fn account_spec(number: usize) -> AccountSpec {
    AccountSpec {
        name: account_name(number),
        key_digest: ByteString::new(),
        requests_per_second: 1_000_000,
        concurrency: 1_000_000,
        weight: 1,
        urgent_percent: 10,
    }
}

/// Name of client account `number`. Up to 10 000 accounts, the names sort like the numbers.
pub(super) fn account_name(number: usize) -> ByteString {
    format!("account-{number:04}").into()
}

/// Identity of entry host `number`.
pub(crate) fn entry(number: usize) -> HostIdentity {
    HostIdentity {
        host: format!("entry-{number}").into(),
        data_centre: DATA_CENTRE.into(),
        region: REGION.into(),
        role: HostRole::Entry,
        service: None,
        peer_address: unused_address(),
        incarnation: 1,
    }
}

/// Control state with `entries` entry hosts and one backend server per load report. Each report is
/// given with its sequence number.
pub(super) fn snapshot(
    generation: u64,
    entries: usize,
    reports: &[(LoadReport, u64)],
) -> ControlSnapshot {
    let mut members: Vec<Arc<MemberRecord>> = reports
        .iter()
        .enumerate()
        .map(|(number, (load, sequence))| Arc::new(backend_record(number, *load, *sequence)))
        .collect();
    members.extend((0..entries).map(|number| Arc::new(entry_record(number))));
    ControlSnapshot {
        generation,
        services: Vec::new(),
        members,
        table_answers: true,
    }
}

/// Number of the backend server named `host` by [`snapshot`].
pub(super) fn backend_number(host: &str) -> usize {
    let digits = host.trim_start_matches("backend-");
    digits
        .parse()
        .expect("host names end in the backend server's number")
}

fn backend_record(number: usize, load: LoadReport, sequence: u64) -> MemberRecord {
    let host: ByteString = format!("backend-{number:04}").into();
    let status = HostStatus {
        host: host.clone(),
        incarnation: 1,
        sequence,
        leaving: false,
        load,
        serving: None,
        staging: None,
    };
    member_record(host, HostRole::Backend, Some(Arc::new(status)))
}

fn entry_record(number: usize) -> MemberRecord {
    member_record(format!("entry-{number}").into(), HostRole::Entry, None)
}

/// The control state's record of the live host `host`. Only a backend server belongs to a service.
pub(crate) fn member_record(
    host: ByteString,
    role: HostRole,
    status: Option<Arc<HostStatus>>,
) -> MemberRecord {
    let is_backend = role == HostRole::Backend;
    MemberRecord {
        host,
        data_centre: DATA_CENTRE.into(),
        region: REGION.into(),
        role,
        service: is_backend.then(|| SERVICE.into()),
        peer_address: unused_address(),
        state: MemberState::Live,
        status,
    }
}

/// Peer address of all fixture hosts; no request is sent to it.
pub(crate) const fn unused_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), PEER_PORT)
}
