//! The settings of `savory-host`: their flags, defaults, permitted ranges and parsed values.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytestring::ByteString;
use clap::{ArgMatches, Command};
use macro_rules_attribute::apply;

use crate::derives::key;
use crate::settings::{
    CommonSettings, DATA_CENTRE, HOST_NAME, LEAVE_LINGER, LEAVE_LONGEST, LIST_ADDRESS,
    PEER_ADDRESS, PLATFORM_TIMEOUT, REGION, SettingReader, SettingSpec, SettingsFaults,
    TABLE_ADDRESS, TRAFFIC_THREADS,
};

const SERVICE: SettingSpec = SettingSpec::required(
    "service",
    "NAME",
    "The service whose backend server runs on this host",
);
const ENGINE_DIALECT: SettingSpec = SettingSpec::required(
    "engine-dialect",
    "metrics_text|json_state|plain",
    "Protocol of the backend server; plain for a plain service",
);
const ENGINE_ADDRESS: SettingSpec = SettingSpec::required(
    "engine-address",
    "IP:PORT",
    "Address at which the backend server listens",
);
const ORIGIN_ADDRESS: SettingSpec = SettingSpec::optional(
    "origin-address",
    "IP:PORT",
    "",
    "Address of the origin of weights; required for model engines",
);
const STORE_ADDRESS: SettingSpec = SettingSpec::optional(
    "store-address",
    "IP:PORT",
    "",
    "Address of the platform's weight store, if it has one",
);
const LINK_BYTES: SettingSpec = SettingSpec::optional(
    "link-bytes-per-second",
    "BYTES",
    "0",
    "Capacity of this host's network link in each direction; 0 disables pacing",
);
const MEMORY_BYTES: SettingSpec = SettingSpec::optional(
    "memory-bytes",
    "BYTES",
    "17179869184",
    "Memory that this process may use for weights",
);
const ENGINE_CHECK: SettingSpec = SettingSpec::optional(
    "engine-check-ms",
    "MILLISECONDS",
    "250",
    "Interval at which the backend server's state is read",
);
const RUNNING_MAX: SettingSpec = SettingSpec::optional(
    "running-max",
    "NUMBER",
    "16",
    "Concurrent calls of a plain service; engines report their own limit",
);
const WAITING_MAX: SettingSpec = SettingSpec::optional(
    "waiting-max",
    "NUMBER",
    "64",
    "Largest number of requests that wait on this host",
);
/// Every setting of `savory-host`.
pub(super) const SPECS: &[SettingSpec] = &[
    HOST_NAME,
    DATA_CENTRE,
    REGION,
    PEER_ADDRESS,
    TABLE_ADDRESS,
    LIST_ADDRESS,
    PLATFORM_TIMEOUT,
    TRAFFIC_THREADS,
    LEAVE_LINGER,
    LEAVE_LONGEST,
    SERVICE,
    ENGINE_DIALECT,
    ENGINE_ADDRESS,
    ORIGIN_ADDRESS,
    STORE_ADDRESS,
    LINK_BYTES,
    MEMORY_BYTES,
    ENGINE_CHECK,
    RUNNING_MAX,
    WAITING_MAX,
];

const HELP_EXAMPLE: &str = "Example:
  savory-host --host-name lima-a-07 --data-centre lima-hall-a --region lima \\
    --peer-address 10.3.0.7:7400 --table-address 10.3.0.2:7000 \\
    --list-address 10.3.0.2:7002 \\
    --service alert-desk --engine-dialect plain --engine-address 127.0.0.1:8000

Each flag is also an environment variable: --host-name is SAVORY_HOST_NAME.";

/// The protocol that a backend server speaks.
#[apply(key!)]
pub(super) enum EngineDialect {
    /// A model engine that reports its state as Prometheus text.
    MetricsText,
    /// A model engine that reports its state as JSON.
    JsonState,
    /// A plain service.
    Plain,
}

/// The error for a text that names no dialect.
#[derive(Debug)]
pub(super) struct UnknownDialect;

impl fmt::Display for UnknownDialect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("unknown dialect")
    }
}

impl FromStr for EngineDialect {
    type Err = UnknownDialect;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "metrics_text" => Ok(Self::MetricsText),
            "json_state" => Ok(Self::JsonState),
            "plain" => Ok(Self::Plain),
            _ => Err(UnknownDialect),
        }
    }
}

/// The parsed settings of `savory-host`.
pub(super) struct HostSettings {
    pub(super) common: CommonSettings,
    pub(super) service: ByteString,
    pub(super) dialect: EngineDialect,
    pub(super) engine_address: SocketAddr,
    pub(super) origin_address: Option<SocketAddr>,
    pub(super) store_address: Option<SocketAddr>,
    /// Capacity of the host's link in each direction, in bytes per second; 0 disables pacing.
    pub(super) link_bytes_per_second: u64,
    /// Memory that this process may use for weights, in bytes.
    pub(super) memory_bytes: u64,
    /// Interval at which the backend server's state is read.
    pub(super) engine_check: Duration,
    /// Largest number of concurrent calls of a plain service.
    pub(super) running_max: u32,
    /// Largest number of requests that wait on this host.
    pub(super) waiting_max: usize,
}

impl HostSettings {
    /// Returns the definition of the command line.
    pub(super) fn command() -> Command {
        let command = Command::new("savory-host")
            .version(env!("CARGO_PKG_VERSION"))
            .about("Runs next to one backend server: loads its weights and controls its requests")
            .after_help(HELP_EXAMPLE);
        SettingReader::command(command, SPECS)
    }

    /// Reads and checks every setting. Also returns whether the command line requests only this
    /// check, so that the process is not to start.
    pub(super) fn read(matches: ArgMatches) -> (Result<Self, SettingsFaults>, bool) {
        let mut reader = SettingReader::new(matches, SPECS);
        let is_check_only = reader.is_check_only();
        let settings = Self {
            common: CommonSettings::read(&mut reader),
            service: reader.name(SERVICE.flag),
            dialect: reader.value(ENGINE_DIALECT.flag, EngineDialect::Plain),
            engine_address: reader.address(ENGINE_ADDRESS.flag),
            origin_address: reader.optional_value(ORIGIN_ADDRESS.flag),
            store_address: reader.optional_value(STORE_ADDRESS.flag),
            link_bytes_per_second: reader.number(LINK_BYTES.flag, 0..=u64::MAX),
            memory_bytes: reader.number(MEMORY_BYTES.flag, 1..=u64::MAX),
            engine_check: reader.millis(ENGINE_CHECK.flag, 10..=60_000),
            running_max: saturating_u32(reader.number(RUNNING_MAX.flag, 1..=100_000)),
            waiting_max: reader.count(WAITING_MAX.flag, 0..=100_000),
        };
        let needs_origin = settings.dialect != EngineDialect::Plain;
        if needs_origin && settings.origin_address.is_none() {
            reader.fault(format!(
                "--{}: not given, but a model engine needs weights; give IP:PORT",
                ORIGIN_ADDRESS.flag
            ));
        }
        (reader.finish(settings), is_check_only)
    }
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
