//! Writes down what ran: claims of calls that ran in an outage, and answers of all that ended.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use tokio::time::timeout;

use super::claim_record::{ClaimRecord, ClaimState};
use super::events;
use super::key_entry::{ClaimResult, PendingRecord};
use super::shared::GuardShared;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::metrics::count_event;
use crate::platform::RowRevision;
use crate::time::{clock_now, wall_now};

/// How often records that could not be written are tried again.
const RETRY_EVERY: Duration = Duration::from_millis(250);
/// Records written at a time.
const WRITES_AT_ONCE: usize = 8;

/// Writes records for as long as the process runs.
pub(super) async fn keep_records(shared: Arc<GuardShared>) {
    loop {
        // A timeout and a word mean the same: look.
        let _ = timeout(RETRY_EVERY, shared.records.notified()).await;
        let pending = {
            let state = shared.lock();
            if !state.table_answers(clock_now()) {
                continue;
            }
            state.keys.pending_records(WRITES_AT_ONCE, wall_now())
        };
        let writes = pending
            .into_iter()
            .map(|record| write_record(&shared, record));
        stream::iter(writes)
            .buffer_unordered(WRITES_AT_ONCE)
            .for_each(|()| async {})
            .await;
    }
}

async fn write_record(shared: &Arc<GuardShared>, pending: PendingRecord) {
    let Ok(record) = fill_record(shared, &pending).await else {
        shared.lock().table_failed(clock_now());
        return;
    };
    let key = pending.key;
    let result = shared
        .claims
        .write(key, pending.expected, &record, false)
        .await;
    let is_away = result == ClaimResult::Away;
    let mut state = shared.lock();
    match result {
        ClaimResult::Written(revision) => {
            state.keys.on_recorded(key, revision, pending.has_ended);
        }
        ClaimResult::Found(revision, found) => {
            let has_ended = note_found(&record, &found);
            state.keys.on_recorded(key, revision, has_ended);
        }
        ClaimResult::Absent => state.keys.on_record_missing(key),
        ClaimResult::Unreadable => state.keys.on_recorded(key, RowRevision::ABSENT, true),
        ClaimResult::Away => state.table_failed(clock_now()),
    }
    drop(state);
    if !is_away {
        // There may be more than one batch.
        shared.records.notify_one();
    }
}

/// Whether nothing is left to be written beside the row that was found in place of ours.
fn note_found(ours: &ClaimRecord, found: &ClaimRecord) -> bool {
    if found.holder == ours.holder && found.nonce == ours.nonce {
        // An earlier write of ours whose answer was lost.
        return matches!(found.state, ClaimState::Finished(_));
    }
    // Every key that runs without a claim is one that the next holder doubts: it writes no claim.
    log_event!(
        events::CLAIM_DOUBLED,
        "by {} under fence {}",
        found.holder.host,
        found.fence
    );
    count_event("claims_doubled", 1);
    true
}

async fn fill_record(
    shared: &Arc<GuardShared>,
    pending: &PendingRecord,
) -> SwitchResult<ClaimRecord> {
    let mut record = pending.record.clone();
    let run = shared.lock().run_of(pending.key);
    if let Some(run) = run.filter(|_| pending.has_ended) {
        let parts = run.buffer().parts();
        let kept = shared.claims.keep_answer(&parts).await?;
        record.state = ClaimState::Finished(kept);
    }
    Ok(record)
}
