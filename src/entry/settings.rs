//! The settings of an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use crate::settings::{
    CommonSettings, DATA_CENTRE, HOST_NAME, LEAVE_LINGER, LEAVE_LONGEST, LIST_ADDRESS,
    PEER_ADDRESS, PLATFORM_TIMEOUT, REGION, SettingReader, SettingSpec, TABLE_ADDRESS,
    TRAFFIC_THREADS,
};

const CALLER_ADDRESS: SettingSpec = SettingSpec::required(
    "caller-address",
    "IP:PORT",
    "Where callers' requests come in",
);
const ADMIN_ADDRESS: SettingSpec = SettingSpec::required(
    "admin-address",
    "IP:PORT",
    "Where the administration API and the probes are served",
);
const OPERATOR_KEY_DIGEST: SettingSpec = SettingSpec::required(
    "operator-key-digest",
    "HEX",
    "BLAKE3 digest, 64 hex digits, of the key that may create documents",
);
const BODY_LIMIT: SettingSpec = SettingSpec::optional(
    "body-limit-bytes",
    "BYTES",
    "4194304",
    "The largest body of a request",
);
const SILENCE: SettingSpec = SettingSpec::optional(
    "silence-ms",
    "MILLISECONDS",
    "2000",
    "How long a host may send nothing on a request before its connection counts as silent",
);

/// All settings of an entry host.
pub(super) const SPECS: &[SettingSpec] = &[
    HOST_NAME,
    DATA_CENTRE,
    REGION,
    CALLER_ADDRESS,
    PEER_ADDRESS,
    ADMIN_ADDRESS,
    OPERATOR_KEY_DIGEST,
    TABLE_ADDRESS,
    LIST_ADDRESS,
    PLATFORM_TIMEOUT,
    BODY_LIMIT,
    SILENCE,
    TRAFFIC_THREADS,
    LEAVE_LINGER,
    LEAVE_LONGEST,
];

/// Hosts send a frame every 500 ms; a limit below twice that takes slow ones for silent.
const SILENCE_RANGE_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;
const BODY_RANGE: std::ops::RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;
const DIGEST_DIGITS: usize = 64;

/// An entry host's settings.
pub(super) struct EntrySettings {
    pub(super) common: CommonSettings,
    pub(super) caller_address: SocketAddr,
    pub(super) admin_address: SocketAddr,
    pub(super) operator_key_digest: String,
    pub(super) body_limit: usize,
    pub(super) silence: Duration,
}

impl EntrySettings {
    /// Reads them all; faults stay with `reader`.
    pub(super) fn read(reader: &mut SettingReader) -> Self {
        Self {
            common: CommonSettings::read(reader),
            caller_address: reader.address(CALLER_ADDRESS.flag),
            admin_address: reader.address(ADMIN_ADDRESS.flag),
            operator_key_digest: read_digest(reader),
            body_limit: reader.count(BODY_LIMIT.flag, BODY_RANGE),
            silence: reader.millis(SILENCE.flag, SILENCE_RANGE_MS),
        }
    }
}

fn read_digest(reader: &mut SettingReader) -> String {
    let flag = OPERATOR_KEY_DIGEST.flag;
    let text = reader.text(flag);
    let is_digest =
        text.len() == DIGEST_DIGITS && text.bytes().all(|digit| digit.is_ascii_hexdigit());
    if !text.is_empty() && !is_digest {
        reader.fault(format!(
            "--{flag}: what was given is no digest; give the 64 hex digits of the key's BLAKE3 digest"
        ));
    }
    text.to_ascii_lowercase()
}
