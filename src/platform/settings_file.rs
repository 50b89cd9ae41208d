//! The settings file that the platform writes for each process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use bytestring::ByteString;
use serde::Deserialize;

use super::millis::{millis, seconds};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// The variable that names the settings file.
pub(crate) const SETTINGS_PATH_VARIABLE: &str = "SAVORYSWITCH_CONFIG";

/// Spans that the platform holds the system to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformBounds {
    /// How long a graceful stop may take before the process is killed.
    pub(crate) shutdown_grace: Duration,
    /// How long after it was named a version of weights must have replaced the older one.
    pub(crate) weights_deadline: Duration,
    /// Second sends allowed for each request.
    pub(crate) retry_ratio: f64,
    /// Second sends allowed beyond that ratio, over all entry hosts, in each window.
    pub(crate) retry_extra: f64,
    /// The length of such a window.
    pub(crate) retry_window: Duration,
}

/// What a process is told at its start.
#[derive(Clone, Debug)]
pub(crate) struct PlatformSettings {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The host's address.
    pub(crate) ip: IpAddr,
    /// The data centre that it stands in.
    pub(crate) data_centre: ByteString,
    /// Where clients' connections arrive; entry hosts only.
    pub(crate) caller_address: Option<SocketAddr>,
    /// Where the balancer asks whether the process is ready; entry hosts only.
    pub(crate) ready_address: Option<SocketAddr>,
    /// Where the system's other processes call an entry host.
    pub(crate) control_address: Option<SocketAddr>,
    /// Where counters and histograms are served; nowhere without a port for them.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// The first of the ports that are free for traffic between the system's processes.
    pub(crate) peer_port: u16,
    /// Where some entry hosts listen for other processes; may be stale.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The backend server beside this process; hosts of backend servers only.
    pub(crate) backend_address: Option<SocketAddr>,
    /// The service of that backend server.
    pub(crate) backend_service: Option<ByteString>,
    /// The platform's store.
    pub(crate) store_address: SocketAddr,
    /// The host's link, in bytes a second.
    pub(crate) link_bytes_per_s: f64,
    /// The spans that the system is held to.
    pub(crate) bounds: PlatformBounds,
}

#[derive(Deserialize)]
struct FileText {
    node_name: String,
    ip: Ipv4Addr,
    zone: String,
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
struct LimitsText {
    #[serde(default)]
    link_mbps: f64,
}

#[derive(Deserialize)]
struct StoreText {
    address: String,
}

/// Bounds that an installation does not name keep a value that is stricter than any seen.
#[derive(Deserialize)]
#[serde(default)]
struct BoundsText {
    grace_s: f64,
    version_ms: f64,
    retry_budget_ratio: f64,
    retry_budget_extra: f64,
    budget_window_s: f64,
}

impl Default for BoundsText {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            version_ms: 8000.0,
            retry_budget_ratio: 0.1,
            retry_budget_extra: 20.0,
            budget_window_s: 10.0,
        }
    }
}

/// Reads the settings file that the environment names.
///
/// # Errors
///
/// `SettingInvalid` with the field that is missing or does not read.
pub(crate) fn read_settings() -> SwitchResult<PlatformSettings> {
    let Ok(path) = std::env::var(SETTINGS_PATH_VARIABLE) else {
        return Err(invalid(format!(
            "{SETTINGS_PATH_VARIABLE} is not set; it names the settings file that the platform writes"
        )));
    };
    let text = std::fs::read_to_string(Path::new(&path))
        .map_err(|fault| invalid(format!("cannot read {path}: {fault}")))?;
    parse_settings(&text)
}

/// Reads settings from the text of the file.
///
/// # Errors
///
/// `SettingInvalid` with the field that is missing or does not read.
pub(super) fn parse_settings(text: &str) -> SwitchResult<PlatformSettings> {
    let file: FileText =
        toml::from_str(text).map_err(|fault| invalid(format!("settings file: {fault}")))?;
    let seeds = file.seeds.iter().filter_map(|seed| seed.parse().ok());
    Ok(PlatformSettings {
        host: file.node_name.into(),
        ip: IpAddr::V4(file.ip),
        data_centre: file.zone.into(),
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
        link_bytes_per_s: file.limits.link_mbps * 1e6 / 8.0,
        bounds: time_bounds(&file.bounds),
    })
}

fn time_bounds(text: &BoundsText) -> PlatformBounds {
    PlatformBounds {
        shutdown_grace: seconds(text.grace_s),
        weights_deadline: millis(text.version_ms),
        retry_ratio: text.retry_budget_ratio,
        retry_extra: text.retry_budget_extra,
        retry_window: seconds(text.budget_window_s),
    }
}

fn address(field: &str, text: Option<&str>) -> SwitchResult<Option<SocketAddr>> {
    match text {
        None | Some("") => Ok(None),
        Some(text) => match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(fault) => Err(invalid(format!(
                "{field}: \"{text}\" is no IP:PORT ({fault})"
            ))),
        },
    }
}

fn invalid(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::SettingInvalid, detail)
}
