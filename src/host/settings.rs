//! The settings of `savory-host`.

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
    "The service whose backend server stands on this host",
);
const ENGINE_DIALECT: SettingSpec = SettingSpec::required(
    "engine-dialect",
    "metrics_text|json_state|plain",
    "What the backend server speaks; plain for a plain service",
);
const ENGINE_ADDRESS: SettingSpec = SettingSpec::required(
    "engine-address",
    "IP:PORT",
    "Where the backend server listens",
);
const ORIGIN_ADDRESS: SettingSpec = SettingSpec::optional(
    "origin-address",
    "IP:PORT",
    "",
    "The origin of weights; required for model engines",
);
const STORE_ADDRESS: SettingSpec = SettingSpec::optional(
    "store-address",
    "IP:PORT",
    "",
    "The platform's weight store, where there is one",
);
const LINK_BYTES: SettingSpec = SettingSpec::optional(
    "link-bytes-per-second",
    "BYTES",
    "0",
    "What this host's link takes in each direction; 0 for no pacing",
);
const MEMORY_BYTES: SettingSpec = SettingSpec::optional(
    "memory-bytes",
    "BYTES",
    "17179869184",
    "Bytes of weights that this process may hold",
);
const ENGINE_CHECK: SettingSpec = SettingSpec::optional(
    "engine-check-ms",
    "MILLISECONDS",
    "250",
    "How often the backend server's state is read",
);
const RUNNING_MAX: SettingSpec = SettingSpec::optional(
    "running-max",
    "NUMBER",
    "16",
    "Calls that a plain service runs at a time; engines say theirs",
);
const WAITING_MAX: SettingSpec = SettingSpec::optional(
    "waiting-max",
    "NUMBER",
    "64",
    "Requests that wait on this host at most",
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

const EXAMPLE: &str = "Example:
  savory-host --host-name lima-a-07 --data-centre lima-hall-a --region lima \\
    --peer-address 10.3.0.7:7400 --table-address 10.3.0.2:7000 \\
    --list-address 10.3.0.2:7002 \\
    --service alert-desk --engine-dialect plain --engine-address 127.0.0.1:8000

Each flag is also an environment variable: --host-name is SAVORY_HOST_NAME.";

/// What a backend server speaks.
#[apply(key!)]
pub(super) enum EngineDialect {
    /// State as Prometheus text.
    MetricsText,
    /// State as JSON.
    JsonState,
    /// A plain service.
    Plain,
}

/// The given text names no dialect.
#[derive(Debug)]
pub(super) struct UnknownDialect;

impl fmt::Display for UnknownDialect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("no such dialect")
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

/// The settings of `savory-host`.
pub(super) struct HostSettings {
    pub(super) common: CommonSettings,
    pub(super) service: ByteString,
    pub(super) dialect: EngineDialect,
    pub(super) engine_address: SocketAddr,
    pub(super) origin_address: Option<SocketAddr>,
    pub(super) store_address: Option<SocketAddr>,
    pub(super) link_bytes_per_second: u64,
    pub(super) memory_bytes: u64,
    pub(super) engine_check: Duration,
    pub(super) running_max: u32,
    pub(super) waiting_max: usize,
}

impl HostSettings {
    /// The command line.
    pub(super) fn command() -> Command {
        let command = Command::new("savory-host")
            .version(env!("CARGO_PKG_VERSION"))
            .about("Runs beside one backend server: brings its weights, guards its requests")
            .after_help(EXAMPLE);
        SettingReader::command(command, SPECS)
    }

    /// Reads and checks every setting. Also says whether that was all that was asked.
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
            running_max: small(reader.number(RUNNING_MAX.flag, 1..=100_000)),
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

fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
