//! What the platform and its operator write for a run of the lab: the settings file of each process
//! and the document.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde_json::json;

use super::fake_origin::LAYERS;

/// The service of the engines.
pub(crate) const ENGINE_SERVICE: &str = "talk";
/// The service without an engine.
pub(crate) const PLAIN_SERVICE: &str = "plain";
/// Longer than anything that the lab's plain services do.
const TIMEOUT_MS: u32 = 4_000;
/// Longer than streams take whose engines pause now and then.
const STREAM_TIMEOUT_MS: u32 = 12_000;
const TARGET_MS: u32 = 800;
const GAP_TARGET_MS: u32 = 300;

/// Where a process stands.
#[derive(Clone, Debug)]
pub(crate) struct ProcessAddresses {
    /// Its host's name.
    pub(crate) host: String,
    /// Its host's address.
    pub(crate) ip: IpAddr,
    /// Where it reaches the store.
    pub(crate) store: SocketAddr,
    /// Where some entry hosts listen for other processes.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The engine beside it; none for an entry host.
    pub(crate) engine: Option<SocketAddr>,
    /// Where clients, the balancer and other processes reach an entry host.
    pub(crate) listen: Option<[SocketAddr; 3]>,
}

/// The settings file of the process at `place`, with the bounds of the platform's own example.
pub(crate) fn settings_text(place: &ProcessAddresses) -> String {
    let ProcessAddresses {
        host, ip, store, ..
    } = place;
    let seeds: Vec<String> = place
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let seeds = seeds.join(",");
    let beside = place.engine.map_or_else(String::new, |engine| {
        format!("app = \"{engine}\"\nservice = \"{ENGINE_SERVICE}\"\n")
    });
    let listen = place.listen.map_or_else(String::new, |[callers, ready, control]| {
        format!(
            "[listen]\nfront = \"{callers}\"\nready_addr = \"{ready}\"\ncontrol = \"{control}\"\n"
        )
    });
    format!(
        "node_name = \"{host}\"\nip = \"{ip}\"\nzone = \"hall-a\"\nregion = \"all\"\n\
         port_range = [7700,7715]\nseeds = [{seeds}]\n{beside}\
         [zones]\nhall-a = \"all\"\n{listen}\
         [limits]\nlink_mbps = 1000.0\n\
         [bounds]\ngrace_s = 8\nversion_ms = 8000\nretry_budget_ratio = 0.2\n\
         retry_budget_extra = 100\n\
         [platform]\naddress = \"{store}\"\n"
    )
}

/// How long a route of the lab's document lets a stream take.
pub(crate) const fn stream_timeout() -> Duration {
    Duration::from_millis(STREAM_TIMEOUT_MS as u64)
}

/// How long clients wait for an event of a stream, the first one included: 2 s, four times the latency
/// target or eight times the longest pause that is on time, whichever is longest.
pub(crate) const fn event_timeout() -> Duration {
    let (least, targets, pauses) = (2_000, 4 * TARGET_MS, 8 * GAP_TARGET_MS);
    let most = if targets > pauses { targets } else { pauses };
    let most = if most > least { most } else { least };
    Duration::from_millis(most as u64)
}

/// A client account and its keys.
#[derive(Clone, Debug)]
pub(crate) struct AccountSample {
    /// Its name.
    pub(crate) name: &'static str,
    /// The keys that are good.
    pub(crate) keys: Vec<String>,
}

/// The operator's document of `version`: requests that may be repeated below `/read/`, others below
/// `/write/`, streams of the engines below `/talk/`, and below `/resume/` those that may be resumed.
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
            "target_latency_ms": TARGET_MS, "gap_target_ms": GAP_TARGET_MS, "priority": 1,
            "max_attempts": 3, "stream_resume": name == "resume",
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
