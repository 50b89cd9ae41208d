//! The files that the platform and its operator write, as samples for runs of the lab: the settings
//! file of each process and the operator's document.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde_json::json;

use super::fake_origin::LAYERS;

/// The service whose backend servers have engines.
pub(crate) const ENGINE_SERVICE: &str = "talk";
/// The service whose backend servers have no engine.
pub(crate) const PLAIN_SERVICE: &str = "plain";
/// The retry budget of each service: retries per request, additional retries in each window, and
/// its length. With a larger one, faults of the lab would hardly use it up.
pub(crate) const RETRY_RATIO: f64 = 0.05;
pub(crate) const RETRY_EXTRA: u32 = 10;
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The data centres of the lab, each in a region of its own.
const DATA_CENTRES: [&str; 2] = ["hall-a", "hall-b"];
const REGIONS: [&str; 2] = ["south", "north"];
/// The data centre of the lab's entry hosts.
pub(crate) const ENTRY_DATA_CENTRE: &str = DATA_CENTRES[0];
/// The data centre that the lab's operator evacuates: the one that entry hosts prefer.
pub(crate) const EVACUATED_DATA_CENTRE: &str = ENTRY_DATA_CENTRE;
/// Longer than any request of the lab's plain service takes.
const TIMEOUT_MS: u32 = 4_000;
/// Longer than a stream takes whose engine pauses repeatedly.
const STREAM_TIMEOUT_MS: u32 = 12_000;
const LATENCY_TARGET_MS: u32 = 800;
const GAP_TARGET_MS: u32 = 300;

/// Returns the data centre of backend server `number`; the first is not in that of the entry hosts.
pub(crate) const fn data_centre_of(number: usize) -> &'static str {
    DATA_CENTRES[(number + 1) % DATA_CENTRES.len()]
}

/// Returns whether backend server `number` is in the home region of requests that may run at most
/// once: that of the second data centre, since entry hosts prefer the first, where they are.
pub(crate) const fn is_home_of_writes(number: usize) -> bool {
    number.is_multiple_of(DATA_CENTRES.len())
}

/// The host and addresses of one process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessAddresses {
    /// The name of its host.
    pub(crate) host: String,
    /// The data centre of its host.
    pub(crate) data_centre: &'static str,
    /// The address of its host.
    pub(crate) ip: IpAddr,
    /// The address at which it reaches the store.
    pub(crate) store: SocketAddr,
    /// The control addresses of some entry hosts.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The engine on the same host; none for an entry host.
    pub(crate) engine: Option<SocketAddr>,
    /// The addresses of an entry host for clients, the readiness check and other processes; none
    /// for hosts of engines.
    pub(crate) listen: Option<[SocketAddr; 3]>,
}

/// The settings file of a process, with the limits of the platform's own example.
pub(crate) fn settings_text(process: &ProcessAddresses) -> String {
    let ProcessAddresses {
        host,
        data_centre,
        ip,
        store,
        ..
    } = process;
    let [first, second] = DATA_CENTRES;
    let [south, north] = REGIONS;
    let seeds: Vec<String> = process
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let seeds = seeds.join(",");
    let backend = process.engine.map_or_else(String::new, |engine| {
        format!("app = \"{engine}\"\nservice = \"{ENGINE_SERVICE}\"\n")
    });
    let listen = process.listen.map_or_else(String::new, |[callers, ready, control]| {
        format!(
            "[listen]\nfront = \"{callers}\"\nready_addr = \"{ready}\"\ncontrol = \"{control}\"\n"
        )
    });
    let window = RETRY_WINDOW.as_secs();
    format!(
        "node_name = \"{host}\"\nip = \"{ip}\"\nzone = \"{data_centre}\"\n\
         port_range = [7700,7715]\nseeds = [{seeds}]\n{backend}\
         [zones]\n{first} = \"{south}\"\n{second} = \"{north}\"\n{listen}\
         [limits]\nlink_mbps = 1000.0\n\
         [bounds]\ngrace_s = 8\nversion_ms = 8000\nretry_budget_ratio = {RETRY_RATIO}\n\
         retry_budget_extra = {RETRY_EXTRA}\nbudget_window_s = {window}\n\
         [platform]\naddress = \"{store}\"\n"
    )
}

/// The timeout of streams in the lab's document.
pub(crate) const fn stream_timeout() -> Duration {
    Duration::from_millis(STREAM_TIMEOUT_MS as u64)
}

/// How long clients wait for each event of a stream, including the first: 2 s, four times the
/// latency target or eight times the gap target, whichever is longest.
pub(crate) const fn event_timeout() -> Duration {
    let (floor, latency, pause) = (2_000, 4 * LATENCY_TARGET_MS, 8 * GAP_TARGET_MS);
    let longest = if latency > pause { latency } else { pause };
    let longest = if longest > floor { longest } else { floor };
    Duration::from_millis(longest as u64)
}

/// A client account and its keys.
#[derive(Clone, Debug)]
pub(crate) struct AccountSample {
    /// The name of the account.
    pub(crate) name: &'static str,
    /// The valid keys.
    pub(crate) keys: Vec<String>,
}

/// The operator's document of `version`. The prefix of a route sets the kind of its requests:
/// `/read/` for those that may be repeated, `/write/` for those that may not, `/talk/` for streams
/// of engines, and `/resume/` for streams that may also be resumed. Requests of `/write/` are
/// confined to the region of the second data centre.
pub(crate) fn document_text(
    version: u64,
    origin: SocketAddr,
    accounts: &[AccountSample],
) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        let is_stream = kind == "streaming";
        json!({
            "name": name, "host": "soak.example", "prefix": format!("/{name}/"), "kind": kind,
            "service": service,
            "timeout_ms": if is_stream { STREAM_TIMEOUT_MS } else { TIMEOUT_MS },
            "target_latency_ms": LATENCY_TARGET_MS, "gap_target_ms": GAP_TARGET_MS, "priority": 1,
            "max_attempts": 3, "stream_resume": name == "resume",
            "allowed_regions": if name == "write" { &REGIONS[1..] } else { &[] },
        })
    };
    let engine = json!({
        "models": [{ "name": "m" }], "layers": LAYERS, "step_ms": 20.0, "per_seq_ms": 0.5,
        "read_per_s": 20_000.0, "usual": { "prompt": 100.0, "answer": 12.0 },
    });
    let accounts = accounts
        .iter()
        .map(|account| json!({ "name": account.name, "api_keys": account.keys, "priority": 1 }));
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", PLAIN_SERVICE),
            route("write", "non_idempotent", PLAIN_SERVICE),
            route("talk", "streaming", ENGINE_SERVICE),
            route("resume", "streaming", ENGINE_SERVICE),
        ],
        "services": [
            { "name": ENGINE_SERVICE, "engine": engine },
            { "name": PLAIN_SERVICE },
            { "name": "origin", "origin": origin.to_string() },
        ],
        "tenants": accounts.collect::<Vec<_>>(),
    })
    .to_string()
}
