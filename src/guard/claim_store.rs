//! Claims in the platform's table, and answers too large for it in the object store.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use bytestring::ByteString;

use super::claim_record::{ClaimRecord, KeptAnswer};
use super::key_entry::{ClaimPlan, ClaimResult};
use super::keyed_call::{KeyHash, KeyedCall, claim_prefix};
use crate::delivery::RunPart;
use crate::documents::OutageRule;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics::count_event;
use crate::stores::{ObjectStore, RowRevision, TableStore, WriteResult};
use crate::transport::{decode_message, encode_message};

/// Bytes of an answer that are kept in the claim's row; larger ones go to the object store.
const INLINE_BYTES_MAX: usize = 16 * 1024;

/// The claims of one service.
#[derive(Clone)]
pub(crate) struct ClaimStore {
    pub(crate) service: ByteString,
    pub(crate) table: Arc<dyn TableStore>,
    pub(crate) objects: Arc<dyn ObjectStore>,
}

impl ClaimStore {
    /// Writes `record` over what is expected at `expected`. When the answer is lost and
    /// `reads_back` is set, reads the row to see whether the write took effect.
    pub(crate) async fn write(
        &self,
        key: KeyHash,
        expected: RowRevision,
        record: &ClaimRecord,
        reads_back: bool,
    ) -> ClaimResult {
        let row_key = key.claim_key(&self.service);
        let Ok(bytes) = record.to_bytes() else {
            return ClaimResult::Away;
        };
        match self.table.write(&row_key, expected, bytes).await {
            Ok(WriteResult::Written(revision)) => ClaimResult::Written(revision),
            Ok(WriteResult::Conflict(Some(row))) => found(row.revision, &row.value),
            Ok(WriteResult::Conflict(None)) => ClaimResult::Absent,
            Err(_) if reads_back => {
                count_event("claim_read_back", 1);
                match self.read(key).await {
                    // Not written yet; the write may still come. Nobody runs by it.
                    ClaimResult::Absent => ClaimResult::Away,
                    other => other,
                }
            }
            Err(_) => ClaimResult::Away,
        }
    }

    /// Reads the claim on `key`.
    pub(crate) async fn read(&self, key: KeyHash) -> ClaimResult {
        match self.table.read(&key.claim_key(&self.service)).await {
            Ok(Some(row)) => found(row.revision, &row.value),
            Ok(None) => ClaimResult::Absent,
            Err(_) => ClaimResult::Away,
        }
    }

    /// Removes the claim on `key` that stands at `revision`. One that stays makes its key's outcome
    /// unknown, which is true but less than could be said.
    pub(crate) async fn remove(&self, key: KeyHash, revision: RowRevision) {
        let row_key = key.claim_key(&self.service);
        if self.table.remove(&row_key, revision).await.is_err() {
            count_event("claim_left_behind", 1);
        }
    }

    /// Puts an answer where it is kept.
    pub(crate) async fn keep_answer(&self, parts: &[RunPart]) -> SwitchResult<KeptAnswer> {
        let bytes = encode_message(&parts)?;
        if bytes.len() <= INLINE_BYTES_MAX {
            return Ok(KeptAnswer::Inline(BASE64.encode(&bytes)));
        }
        let name = format!("answers/{}/{}", self.service, blake3::hash(&bytes).to_hex());
        self.objects.put(&name, bytes).await?;
        Ok(KeptAnswer::Object(name))
    }

    /// Brings a kept answer back.
    pub(crate) async fn fetch_answer(&self, kept: &KeptAnswer) -> SwitchResult<Vec<RunPart>> {
        let bytes = match kept {
            KeptAnswer::Inline(text) => {
                let bytes = BASE64.decode(text).map_err(|fault| unreadable(&fault))?;
                Bytes::from(bytes)
            }
            KeptAnswer::Object(name) => match self.objects.get(name).await? {
                Some(bytes) => bytes,
                None => return Err(unreadable(&"it is not in the object store")),
            },
        };
        decode_message(&bytes)
    }

    /// Removes claims under `slot` that were written before `before_ms`, at most `limit`.
    pub(crate) async fn remove_old(
        &self,
        slot: u16,
        before_ms: u64,
        limit: usize,
    ) -> SwitchResult<usize> {
        let rows = self.table.list(&claim_prefix(&self.service, slot)).await?;
        let mut removed = 0;
        for row in rows {
            let record = ClaimRecord::from_bytes(&row.value)?;
            if record.written_ms >= before_ms || removed >= limit {
                continue;
            }
            self.table.remove(&row.key, row.revision).await?;
            removed += 1;
        }
        Ok(removed)
    }
}

impl ClaimPlan {
    /// Does what it says, for `call`.
    pub(crate) async fn carry_out(self, claims: &ClaimStore, call: &KeyedCall) -> ClaimResult {
        match self {
            Self::Create(record) => {
                // A call that may run without a claim does not wait for a second answer.
                let reads_back = call.in_outage == OutageRule::Refuse;
                claims
                    .write(call.key, RowRevision::ABSENT, &record, reads_back)
                    .await
            }
            Self::Read => claims.read(call.key).await,
        }
    }
}

fn found(revision: RowRevision, value: &[u8]) -> ClaimResult {
    match ClaimRecord::from_bytes(value) {
        Ok(record) => ClaimResult::Found(revision, record),
        // A row that does not read is a claim by someone: it is not for us to run beside it.
        Err(_) => ClaimResult::Unreadable,
    }
}

fn unreadable(fault: &dyn std::fmt::Display) -> SwitchError {
    SwitchError::new(
        ErrorKind::OutcomeUnknown,
        format!("it ran, but its answer cannot be read: {fault}"),
    )
}
