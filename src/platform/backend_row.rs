//! The entry that a backend server keeps of itself in the store.

use std::net::SocketAddr;

use bytestring::ByteString;
use serde::Deserialize;

use super::engine_calls::{HoldingsText, read_holdings};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{BackendFacts, BackendPhase};
use crate::time::WallTime;

const LEAVING_WORD: &str = "draining";

#[derive(Deserialize)]
struct RowText {
    service: String,
    address: SocketAddr,
    /// The data centre.
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    /// The Unix millisecond of its start.
    born: Option<u64>,
    /// Counts its entries since its start; nothing to do with the store's revisions.
    sequence: Option<u64>,
    #[serde(flatten)]
    holdings: HoldingsText,
}

/// Reads the entry of the backend server called `id`.
///
/// # Errors
///
/// `MessageInvalid` when it does not read.
pub(crate) fn read_backend_row(id: &str, value: &[u8]) -> SwitchResult<BackendFacts> {
    let text: RowText = serde_json::from_slice(value).map_err(|fault| {
        let detail = format!("the entry of backend server {id}: {fault}");
        SwitchError::new(ErrorKind::MessageInvalid, detail)
    })?;
    let phase = if text.state == LEAVING_WORD {
        BackendPhase::Leaving
    } else {
        BackendPhase::Serving
    };
    Ok(BackendFacts {
        id: ByteString::from(id),
        born: text.born.map(WallTime),
        told: text.sequence,
        service: text.service.into(),
        address: text.address,
        data_centre: text.zone.into(),
        slots: text.slots,
        phase,
        holdings: read_holdings(text.holdings),
    })
}
