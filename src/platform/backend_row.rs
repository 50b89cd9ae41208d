//! The entry in the store with which a backend server registers itself.
//!
//! Any program may write to the table of these entries. An entry is accepted only with all the
//! fields that a backend server always writes. If defaults replaced missing ones, requests would go
//! to an address where nothing serves them, and entry hosts would log `[1202]` for a backend server
//! without a zone, slots or state.

use std::net::{IpAddr, SocketAddr};
use std::num::NonZeroU32;

use bytestring::ByteString;
use http::HeaderValue;
use serde::{Deserialize, Deserializer};

use super::engine_calls::{HoldingsText, LayersText, ModelText, read_holdings};
use super::json_object::{JsonObject, read_object};
use super::millis::millis;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{BackendFacts, BackendPhase};
use crate::time::{StoreTime, WallTime};

/// The largest valid start time and sequence number: larger integers are not exact in every JSON
/// program, so that no backend server counts with them.
///
/// Entries with an earlier start or a lower number count as late. After one with a number at the end
/// of its range, all entries of the backend server itself would be ignored.
const INTEGER_MAX: u64 = (1 << 53) - 1;

/// An entry as it is stored. Optional fields may be missing, but must have the right type if
/// present.
#[derive(Deserialize)]
struct RowText {
    /// Not checked against the operator's document: requests go only to the services that its
    /// routes name, so a backend server of another service gets none.
    service: String,
    address: SocketAddr,
    /// The data centre.
    zone: String,
    slots: NonZeroU32,
    state: StateText,
    /// The start of the backend server in Unix milliseconds.
    #[serde(default, deserialize_with = "non_null", rename = "born")]
    start_time: Option<u64>,
    /// Counts the entries that it wrote since its start; unrelated to the store's revisions.
    #[serde(default, deserialize_with = "non_null")]
    sequence: Option<u64>,
    #[serde(default, deserialize_with = "non_null")]
    models: Option<Vec<JsonObject<ModelText>>>,
    /// `null` while the engine has no layers loaded.
    layers: Option<LayersText>,
    /// The version of the software, not of the weights.
    #[serde(default, deserialize_with = "non_null", rename = "version")]
    _software: Option<SoftwareText>,
    /// How long it stays cold from the time of writing on.
    #[serde(default, deserialize_with = "non_null")]
    cold_remaining_ms: Option<f64>,
    #[serde(default, deserialize_with = "non_null", rename = "stage")]
    _stage: Option<String>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "String")]
enum StateText {
    Ready,
    Draining,
}

impl TryFrom<String> for StateText {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        match &*text {
            "ready" => Ok(Self::Ready),
            "draining" => Ok(Self::Draining),
            _ => Err("the state is neither \"ready\" nor \"draining\""),
        }
    }
}

/// A software version. The platform does not specify whether it is a string or a number.
#[derive(Deserialize)]
#[serde(untagged)]
#[expect(dead_code, reason = "only the types are checked")]
enum SoftwareText {
    Name(String),
    Number(f64),
}

/// Decodes an optional field and rejects `null`, which `Option` alone would take for a missing
/// field.
fn non_null<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Decodes the entry of the backend server with `id`, which the store reported at `store_time`.
///
/// # Errors
///
/// `MessageInvalid` if `id` is no valid header value, or the entry lacks a field or has one of a
/// wrong type.
pub(crate) fn read_backend_row(
    id: &str,
    value: &[u8],
    store_time: StoreTime,
) -> SwitchResult<BackendFacts> {
    check_id(id)?;
    let text: RowText = read_object(value).map_err(|fault| invalid(id, &fault))?;
    check_address(text.address).map_err(|fault| invalid(id, &fault))?;
    check_order(&text).map_err(|fault| invalid(id, &fault))?;
    let holdings = HoldingsText {
        models: text.models.unwrap_or_default(),
        layers: text.layers,
    };
    Ok(BackendFacts {
        id: ByteString::from(id),
        start_time: text.start_time.map(WallTime),
        sequence: text.sequence,
        service: text.service.into(),
        address: text.address,
        data_centre: text.zone.into(),
        slots: text.slots.get(),
        phase: match text.state {
            StateText::Ready => BackendPhase::Serving,
            StateText::Draining => BackendPhase::Leaving,
        },
        holdings: read_holdings(holdings),
        // Counted from the report on, which is later than the time of writing.
        cold_until: text.cold_remaining_ms.map(|left| store_time + millis(left)),
    })
}

/// Checks that `id` is a valid header value.
///
/// Each request carries the id of its backend server in a header field, so that another server at
/// the address refuses it. With an id that no header field can carry, the request would go out
/// without the field, and any server at the address would run it.
fn check_id(id: &str) -> SwitchResult<()> {
    match HeaderValue::from_str(id) {
        Ok(value) if !value.is_empty() => Ok(()),
        _ => Err(invalid(id, &"the id is no valid header value")),
    }
}

/// Checks that the address is that of a host.
///
/// A connection to the unspecified address reaches this host itself, and none can be opened to port
/// 0, to several hosts at once or to all.
fn check_address(address: SocketAddr) -> Result<(), &'static str> {
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if address.port() == 0 {
        Err("the port is 0")
    } else if ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        Err("the address is not that of a host")
    } else {
        Ok(())
    }
}

/// Checks the numbers by which the entries of one backend server are ordered.
fn check_order(text: &RowText) -> Result<(), &'static str> {
    let is_exact = |number: Option<u64>| number.is_none_or(|number| number <= INTEGER_MAX);
    if !is_exact(text.start_time) {
        Err("the start time is too large")
    } else if !is_exact(text.sequence) {
        Err("the sequence number is too large")
    } else {
        Ok(())
    }
}

fn invalid(id: &str, fault: &dyn std::fmt::Display) -> SwitchError {
    let detail = format!("the entry of backend server {id}: {fault}");
    SwitchError::new(ErrorKind::MessageInvalid, detail)
}
