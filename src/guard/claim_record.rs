//! The row that is written before a keyed call runs.

use bytes::Bytes;
use macro_rules_attribute::apply;

use crate::derives::message;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::leases::LeaseHolder;

/// A claim as its row holds it, in JSON.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct ClaimRecord {
    /// Tells this claim from any other, also after the answer to its writing was lost.
    pub(crate) nonce: u64,
    /// Who wrote it.
    pub(crate) holder: LeaseHolder,
    /// The fencing number of the lease under which it was written.
    pub(crate) fence: u64,
    /// The digest of the call, to tell a repeated call from a reused key.
    pub(crate) fingerprint: [u8; 16],
    /// When it was written, by the writer's wall clock, in milliseconds; says when it may go.
    pub(crate) written_ms: u64,
    /// What is known of the call.
    pub(crate) state: ClaimState,
}

/// What is known of a claimed call.
#[apply(message!)]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// It is about to be handed over, or was.
    Started,
    /// It ran to its end.
    Finished(KeptAnswer),
}

/// Where the answer of a finished call is.
#[apply(message!)]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum KeptAnswer {
    /// Here, in base64.
    Inline(String),
    /// In the object store, under this name.
    Object(String),
}

impl ClaimRecord {
    /// Its bytes in the table.
    pub(crate) fn to_bytes(&self) -> SwitchResult<Bytes> {
        match serde_json::to_vec(self) {
            Ok(text) => Ok(text.into()),
            Err(fault) => Err(SwitchError::new(ErrorKind::Internal, fault.to_string())),
        }
    }

    /// The record in a row's bytes.
    pub(crate) fn from_bytes(bytes: &[u8]) -> SwitchResult<Self> {
        serde_json::from_slice(bytes)
            .map_err(|fault| SwitchError::new(ErrorKind::TableUnavailable, fault.to_string()))
    }
}
