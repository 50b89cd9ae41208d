//! Several entry hosts as they run on the users' platform, over loopback sockets, with their own
//! store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::BOUNDS;
use crate::capacity::ProcessLimits;
use crate::gateway::run_gateway;
use crate::placement::RegionMap;
use crate::platform::samples::{ATTEMPT, DEADLINE};
use crate::platform::{
    AccountSample, FakeStore, PlatformSettings, READY_PATH, TableName, document_text,
};

/// Second byte of the hosts' addresses; its lower bits differ between test runs.
const HOST_BYTE_BASE: u8 = 0x80;
const RUN_ID_MASK: u8 = 0x3f;
const CALLERS_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const CONTROL_PORT: u16 = 8000;
const PEER_PORT: u16 = 7700;
/// Number of entry hosts whose addresses the platform gives to each entry host at its start.
const SEEDS_MAX: usize = 3;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns an unused loopback address. On a shared address, a port that was found to be free may be
/// taken before it is bound.
fn free_host() -> IpAddr {
    static STARTED: AtomicU16 = AtomicU16::new(0);
    let [high, low] = STARTED.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let [.., run] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        HOST_BYTE_BASE | (run & RUN_ID_MASK),
        high,
        low.wrapping_add(1),
    )
    .into()
}

/// Starts an entry host at `ip`, waits until it is ready, and returns the address for requests.
async fn start_entry(ip: IpAddr, seeds: &[SocketAddr], store: &FakeStore) -> SocketAddr {
    let [callers, ready, control] =
        [CALLERS_PORT, READY_PORT, CONTROL_PORT].map(|port| SocketAddr::new(ip, port));
    let settings = PlatformSettings {
        host: format!("e-{ip}").into(),
        ip,
        data_centre: "hall-a".into(),
        regions: RegionMap::default(),
        caller_address: Some(callers),
        ready_address: Some(ready),
        control_address: Some(control),
        metrics_address: None,
        peer_port: PEER_PORT,
        seeds: seeds.to_vec(),
        backend_address: None,
        backend_service: None,
        store_address: store.address,
        limits: ProcessLimits::default(),
        link_bytes_per_s: 1e8,
        bounds: BOUNDS,
    };
    tokio::spawn(async move { run_gateway(settings).await.expect("the addresses are free") });
    let is_ready = async {
        let request = format!("GET {READY_PATH} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n");
        while status_of(ready, &request).await != Some(200) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(READY_TIMEOUT, is_ready)
        .await
        .expect("the entry host becomes ready");
    callers
}

/// Sends a request on a new connection and returns the response status, or `None` without a
/// response.
pub(super) async fn status_of(address: SocketAddr, request: &str) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.ok()?;
        response.split(' ').nth(1)?.parse().ok()
    };
    timeout(RESPONSE_TIMEOUT, exchange).await.ok()?
}

/// A repeatable request to the plain service.
pub(super) fn request_of(attempt: &str, body: &str) -> String {
    format!(
        "POST /read/x HTTP/1.1\r\nhost: soak.example\r\n{ATTEMPT}: {attempt}\r\n{DEADLINE}: 3000\r\n\
         authorization: Bearer key\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a store with a document that routes requests to a plain service.
pub(super) async fn start_store() -> FakeStore {
    let store = FakeStore::start().await;
    let account = AccountSample {
        name: "lodge",
        keys: vec!["key".to_owned()],
    };
    let document = document_text(1, store.address, &[account]);
    store.put(TableName::Operator, "config", &document);
    store
}

/// Starts one more entry host, without the addresses of any others.
pub(super) async fn start_late_entry(store: &FakeStore) -> SocketAddr {
    start_entry(free_host(), &[], store).await
}

/// Starts `count` entry hosts and returns their addresses for requests once all are ready.
pub(super) async fn start_entries(count: usize, store: &FakeStore) -> Vec<SocketAddr> {
    start_entries_with(count, SEEDS_MAX, store).await
}

/// Like `start_entries`, but gives each entry host the addresses of the first `seeds` of them.
pub(super) async fn start_entries_with(
    count: usize,
    seeds: usize,
    store: &FakeStore,
) -> Vec<SocketAddr> {
    let hosts: Vec<IpAddr> = (0..count).map(|_| free_host()).collect();
    let seeds = hosts.iter().take(seeds);
    let seeds: Vec<SocketAddr> = seeds.map(|ip| SocketAddr::new(*ip, CONTROL_PORT)).collect();
    let starts = hosts.iter().map(|ip| start_entry(*ip, &seeds, store));
    futures::future::join_all(starts).await
}
