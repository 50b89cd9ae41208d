//! The settings file that the platform writes for each process, in TOML.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use bytestring::ByteString;
use serde::Deserialize;

use super::millis::{millis, seconds};
use crate::capacity::ProcessLimits;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::placement::RegionMap;

/// The environment variable with the path of the settings file.
pub(crate) const SETTINGS_PATH_VARIABLE: &str = "SAVORYSWITCH_CONFIG";

const BYTES_PER_MEGABYTE: usize = 1_000_000;

/// Limits that the platform sets for the behaviour of the system.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformBounds {
    /// The time that a graceful shutdown may take before the platform kills the process.
    pub(crate) shutdown_grace: Duration,
    /// The time after a target update within which the target version must have replaced the
    /// previous version.
    pub(crate) weights_deadline: Duration,
    /// The number of retries allowed per request, as a ratio.
    pub(crate) retry_ratio: f64,
    /// The retries allowed beyond that ratio in each window, over all entry hosts together.
    pub(crate) retry_extra: f64,
    /// The length of the window of `retry_extra`.
    pub(crate) retry_window: Duration,
    /// By what factor a cold backend server may get more requests in one second than its service
    /// states; none if cold backend servers need no limit.
    pub(crate) cold_overshoot: Option<f64>,
}

/// The settings of a process on the platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformSettings {
    /// The name of the host.
    pub(crate) host: ByteString,
    /// The address of the host.
    pub(crate) ip: IpAddr,
    /// The data centre of the host.
    pub(crate) data_centre: ByteString,
    /// The regions of the data centres.
    pub(crate) regions: RegionMap,
    /// The address on which an entry host accepts clients; entry hosts only.
    pub(crate) caller_address: Option<SocketAddr>,
    /// The address of the readiness check for the load balancer; entry hosts only.
    pub(crate) ready_address: Option<SocketAddr>,
    /// The address on which an entry host accepts the other processes of the system; entry hosts
    /// only.
    pub(crate) control_address: Option<SocketAddr>,
    /// The address that serves metrics; none if no port was given for them.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// The first of the ports that are reserved for traffic between the processes of the system.
    pub(crate) peer_port: u16,
    /// The control addresses of some entry hosts; may be outdated.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The address of the backend server on the same host; hosts of backend servers only.
    pub(crate) backend_address: Option<SocketAddr>,
    /// The service of that backend server.
    pub(crate) backend_service: Option<ByteString>,
    /// The address of the platform's store.
    pub(crate) store_address: SocketAddr,
    /// The memory and the descriptors of the process.
    pub(crate) limits: ProcessLimits,
    /// The bandwidth of the host's network link, in bytes per second.
    pub(crate) link_bytes_per_s: f64,
    /// The limits that the platform sets for the system.
    pub(crate) bounds: PlatformBounds,
}

#[derive(Deserialize)]
struct FileText {
    node_name: String,
    ip: Ipv4Addr,
    zone: String,
    /// The region of each data centre.
    #[serde(default)]
    zones: BTreeMap<String, String>,
    port_range: (u16, u16),
    #[serde(default)]
    seeds: Vec<String>,
    app: Option<String>,
    service: Option<String>,
    #[serde(default)]
    listen: ListenText,
    #[serde(default)]
    limits: LimitsText,
    #[serde(default)]
    bounds: BoundsText,
    platform: StoreText,
}

#[derive(Default, Deserialize)]
struct ListenText {
    front: Option<String>,
    ready_addr: Option<String>,
    control: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LimitsText {
    link_mbps: f64,
    memory_mb: Option<usize>,
    max_fds: Option<usize>,
}

#[derive(Deserialize)]
struct StoreText {
    address: String,
}

/// The defaults are stricter than the limits of any known installation.
#[derive(Deserialize)]
#[serde(default)]
struct BoundsText {
    grace_s: f64,
    version_ms: f64,
    retry_budget_ratio: f64,
    retry_budget_extra: f64,
    budget_window_s: f64,
    cold_overshoot: Option<f64>,
}

impl Default for BoundsText {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            version_ms: 8000.0,
            retry_budget_ratio: 0.1,
            retry_budget_extra: 20.0,
            budget_window_s: 10.0,
            cold_overshoot: None,
        }
    }
}

/// Reads the settings file at the path in [`SETTINGS_PATH_VARIABLE`].
///
/// # Errors
///
/// `SettingInvalid` if the variable is not set or the file cannot be read, or with the field that
/// is missing or invalid.
pub(crate) fn read_settings() -> SwitchResult<PlatformSettings> {
    let Ok(path) = std::env::var(SETTINGS_PATH_VARIABLE) else {
        return Err(invalid(format!(
            "{SETTINGS_PATH_VARIABLE} is not set; it must have the path of the settings file"
        )));
    };
    let text = std::fs::read_to_string(Path::new(&path))
        .map_err(|fault| invalid(format!("cannot read {path}: {fault}")))?;
    parse_settings(&text)
}

/// Parses the text of a settings file. Seeds that are no address are skipped.
///
/// # Errors
///
/// `SettingInvalid` with the field that is missing or invalid.
pub(super) fn parse_settings(text: &str) -> SwitchResult<PlatformSettings> {
    let file: FileText =
        toml::from_str(text).map_err(|fault| invalid(format!("settings file: {fault}")))?;
    let seeds = file.seeds.iter().filter_map(|seed| seed.parse().ok());
    Ok(PlatformSettings {
        host: file.node_name.into(),
        ip: IpAddr::V4(file.ip),
        data_centre: file.zone.into(),
        regions: RegionMap::new(region_pairs(file.zones)),
        caller_address: address("listen.front", file.listen.front.as_deref())?,
        ready_address: address("listen.ready_addr", file.listen.ready_addr.as_deref())?,
        control_address: address("listen.control", file.listen.control.as_deref())?,
        metrics_address: None,
        peer_port: file.port_range.0,
        seeds: seeds.collect(),
        backend_address: address("app", file.app.as_deref())?,
        backend_service: file.service.map(ByteString::from),
        store_address: address("platform.address", Some(&file.platform.address))?
            .ok_or_else(|| invalid("platform.address is empty".to_owned()))?,
        limits: process_limits(&file.limits),
        link_bytes_per_s: file.limits.link_mbps * 1e6 / 8.0,
        bounds: time_bounds(&file.bounds),
    })
}

fn region_pairs(zones: BTreeMap<String, String>) -> Vec<(ByteString, ByteString)> {
    let pairs = zones.into_iter();
    pairs
        .map(|(zone, region)| (zone.into(), region.into()))
        .collect()
}

/// The limits of the process; those that the file does not state are defaults.
fn process_limits(text: &LimitsText) -> ProcessLimits {
    let default = ProcessLimits::default();
    ProcessLimits {
        memory: text
            .memory_mb
            .map_or(default.memory, |megabytes| megabytes * BYTES_PER_MEGABYTE),
        descriptors: text.max_fds.unwrap_or(default.descriptors),
    }
}

fn time_bounds(text: &BoundsText) -> PlatformBounds {
    PlatformBounds {
        shutdown_grace: seconds(text.grace_s),
        weights_deadline: millis(text.version_ms),
        retry_ratio: text.retry_budget_ratio,
        retry_extra: text.retry_budget_extra,
        retry_window: seconds(text.budget_window_s),
        cold_overshoot: text.cold_overshoot,
    }
}

fn address(field: &str, text: Option<&str>) -> SwitchResult<Option<SocketAddr>> {
    match text {
        None | Some("") => Ok(None),
        Some(text) => match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(fault) => Err(invalid(format!(
                "{field}: \"{text}\" is not an IP:PORT address ({fault})"
            ))),
        },
    }
}

fn invalid(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::SettingInvalid, detail)
}
