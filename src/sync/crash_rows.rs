//! Rows of the store that record what was running on a backend server when it crashed. There is one
//! row per suspect and crash, so that entry hosts can write them unconditionally.

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::platform::{StoreRow, read_object};
use crate::quarantine::{BackendIncarnation, CrashRecord, CrashVerdict, StoredCrash, SuspectDepth};
use crate::time::StoreTime;

/// Suffix of the keys of rows that clear a request.
const CLEARED_SUFFIX: &str = "/cleared";

/// Value of a row; the key holds the rest.
#[apply(plain!)]
#[derive(Copy, Serialize, Deserialize)]
struct CrashRowValue {
    verdict: CrashVerdict,
    /// Milliseconds on the store's clock.
    seen_ms: u64,
    /// How narrow the suspect is.
    #[serde(default)]
    depth: SuspectDepth,
}

/// The key of the row of `record`. A clearing has a key of its own, so that a suspicion which the
/// store writes late does not undo it.
pub(super) fn crash_key(record: &CrashRecord) -> String {
    let suffix = match record.verdict {
        CrashVerdict::Suspected => "",
        CrashVerdict::Cleared => CLEARED_SUFFIX,
    };
    format!("{}/{:016x}{suffix}", record.suspect, record.backend.0)
}

/// Encodes the value of the row of `record`.
///
/// # Errors
///
/// `Internal` if it can't be encoded.
pub(super) fn crash_value(record: &CrashRecord) -> SwitchResult<Vec<u8>> {
    let text = CrashRowValue {
        verdict: record.verdict,
        seen_ms: record.seen.0 / 1000,
        depth: record.depth,
    };
    serde_json::to_vec(&text)
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
}

/// Decodes `row`, whose value is `value`.
///
/// # Errors
///
/// `MessageInvalid` if the key or the value is invalid.
pub(super) fn read_crash(row: &StoreRow, value: &[u8]) -> SwitchResult<StoredCrash> {
    let invalid = |fault: String| {
        let detail = format!("invalid crash row {}: {fault}", row.key);
        SwitchError::new(ErrorKind::MessageInvalid, detail)
    };
    let Some((suspect, backend)) = row.key.split_once('/') else {
        return Err(invalid("the key is not of the form suspect/backend".into()));
    };
    let text: CrashRowValue = read_object(value).map_err(|fault| invalid(fault.to_string()))?;
    let suspect = suspect.parse();
    let backend = backend.strip_suffix(CLEARED_SUFFIX).unwrap_or(backend);
    let backend = u64::from_str_radix(backend, 16);
    let record = CrashRecord {
        suspect: suspect.map_err(|fault| invalid(format!("{fault}")))?,
        backend: BackendIncarnation(backend.map_err(|fault| invalid(fault.to_string()))?),
        verdict: text.verdict,
        seen: StoreTime::from_millis(text.seen_ms),
        depth: text.depth,
    };
    if crash_key(&record) != row.key {
        return Err(invalid("the key does not match the content".into()));
    }
    Ok(StoredCrash {
        record,
        revision: row.revision,
    })
}
