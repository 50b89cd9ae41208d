//! The settings of `savory-entry`: their flags, defaults, permitted ranges and parsed values.

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
    "Address of the listener for callers' requests",
);
const ADMIN_ADDRESS: SettingSpec = SettingSpec::required(
    "admin-address",
    "IP:PORT",
    "Address of the listener for the administration API and the probes",
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
    "Largest accepted request body",
);
const SILENCE_TIMEOUT: SettingSpec = SettingSpec::optional(
    "silence-ms",
    "MILLISECONDS",
    "2000",
    "How long a host may send nothing for a request before its connection is abandoned",
);

/// Every setting of `savory-entry`.
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
    SILENCE_TIMEOUT,
    TRAFFIC_THREADS,
    LEAVE_LINGER,
    LEAVE_LONGEST,
];

/// Hosts send at least one frame every 500 ms for each request. A timeout below twice that interval
/// would abandon connections to hosts that are merely slow.
const SILENCE_TIMEOUT_RANGE_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;
const BODY_RANGE_BYTES: std::ops::RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;
const DIGEST_HEX_DIGITS: usize = 64;

/// The parsed settings of an entry host.
pub(super) struct EntrySettings {
    pub(super) common: CommonSettings,
    pub(super) caller_address: SocketAddr,
    pub(super) admin_address: SocketAddr,
    /// BLAKE3 digest of the operator key, as lower-case hex digits.
    pub(super) operator_key_digest: String,
    /// Largest accepted request body, in bytes.
    pub(super) body_limit: usize,
    /// How long a host may send nothing for a request.
    pub(super) silence_timeout: Duration,
}

impl EntrySettings {
    /// Reads all settings; invalid ones are recorded in `reader`.
    pub(super) fn read(reader: &mut SettingReader) -> Self {
        Self {
            common: CommonSettings::read(reader),
            caller_address: reader.address(CALLER_ADDRESS.flag),
            admin_address: reader.address(ADMIN_ADDRESS.flag),
            operator_key_digest: read_digest(reader),
            body_limit: reader.count(BODY_LIMIT.flag, BODY_RANGE_BYTES),
            silence_timeout: reader.millis(SILENCE_TIMEOUT.flag, SILENCE_TIMEOUT_RANGE_MS),
        }
    }
}

fn read_digest(reader: &mut SettingReader) -> String {
    let flag = OPERATOR_KEY_DIGEST.flag;
    let text = reader.text(flag);
    let is_digest =
        text.len() == DIGEST_HEX_DIGITS && text.bytes().all(|digit| digit.is_ascii_hexdigit());
    if !text.is_empty() && !is_digest {
        reader.fault(format!(
            "--{flag}: not a digest; expected the 64 hex digits of the key's BLAKE3 digest"
        ));
    }
    text.to_ascii_lowercase()
}
