//! The entry that a backend server keeps of itself in the store.
//!
//! Everybody may write rows where backend servers enter themselves. An entry counts only if it is all
//! that a backend server writes; of any other this program knows neither where it leads nor what
//! answers there. One that had been taken with a place of its own for what is missing got requests at
//! an address where nothing serves them; one would notice `[1202]` for a backend server without a
//! zone, places or state.

use std::net::SocketAddr;
use std::num::NonZeroU32;

use bytestring::ByteString;
use http::HeaderValue;
use serde::{Deserialize, Deserializer};

use super::engine_calls::{HoldingsText, LayersText, ModelText, read_holdings};
use super::json_object::{JsonObject, read_object};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{BackendFacts, BackendPhase};
use crate::time::WallTime;

/// Fields that are not needed may be missing, but not hold something else than a backend server
/// writes there.
#[derive(Deserialize)]
struct RowText {
    /// One that the document in force does not name needs no check: requests go to the services of
    /// routes only, so that nothing ever looks for it.
    service: String,
    address: SocketAddr,
    /// The data centre.
    zone: String,
    slots: NonZeroU32,
    state: StateText,
    /// The Unix millisecond of its start.
    #[serde(default, deserialize_with = "given")]
    born: Option<u64>,
    /// Counts its entries since its start; nothing to do with the store's revisions.
    #[serde(default, deserialize_with = "given")]
    sequence: Option<u64>,
    #[serde(default, deserialize_with = "given")]
    models: Option<Vec<JsonObject<ModelText>>>,
    /// `null` where the engine holds none.
    layers: Option<LayersText>,
    /// The version of its software, not of any weights.
    #[serde(default, deserialize_with = "given", rename = "version")]
    _software: Option<SoftwareText>,
    #[serde(default, deserialize_with = "given", rename = "cold_remaining_ms")]
    _cold_ms: Option<f64>,
    #[serde(default, deserialize_with = "given", rename = "stage")]
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

    fn try_from(word: String) -> Result<Self, Self::Error> {
        match &*word {
            "ready" => Ok(Self::Ready),
            "draining" => Ok(Self::Draining),
            _ => Err("its state is none of a backend server"),
        }
    }
}

/// The platform does not say whether it is a text or a number.
#[derive(Deserialize)]
#[serde(untagged)]
#[expect(dead_code, reason = "only their types are of interest")]
enum SoftwareText {
    Name(String),
    Number(f64),
}

/// A field that is there, which `null` is not.
fn given<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Reads the entry of the backend server called `id`.
///
/// # Errors
///
/// `MessageInvalid` when it does not read.
pub(crate) fn read_backend_row(id: &str, value: &[u8]) -> SwitchResult<BackendFacts> {
    check_id(id)?;
    let text: RowText = read_object(value).map_err(|fault| invalid(id, &fault))?;
    let holdings = HoldingsText {
        models: text.models.unwrap_or_default(),
        layers: text.layers,
    };
    Ok(BackendFacts {
        id: ByteString::from(id),
        born: text.born.map(WallTime),
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
    })
}

/// Each request names the backend server that is meant. Under a name that a header field cannot carry
/// it would go out unnamed, and whatever answers at the address would run it.
fn check_id(id: &str) -> SwitchResult<()> {
    match HeaderValue::from_str(id) {
        Ok(name) if !name.is_empty() => Ok(()),
        _ => Err(invalid(id, &"its name fits no header field")),
    }
}

fn invalid(id: &str, fault: &dyn std::fmt::Display) -> SwitchError {
    let detail = format!("the entry of backend server {id}: {fault}");
    SwitchError::new(ErrorKind::MessageInvalid, detail)
}
