//! Writes down what ran: claims of calls that ran in an outage, and answers of all that ended.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use tokio::time::timeout;

use super::claim_record::{ClaimRecord, ClaimState};
use super::events;
use super::key_entry::{ClaimResult, PendingRecord, RecordEnd};
use super::shared::GuardShared;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::metrics::count_event;
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
    if is_away {
        state.table_failed(clock_now());
    }
    if state.keys.on_record(&pending, result) == RecordEnd::Doubled {
        log_event!(events::CLAIM_DOUBLED, "under fence {}", record.fence);
        count_event("claims_doubled", 1);
    }
    drop(state);
    if !is_away {
        // There may be more than one batch.
        shared.records.notify_one();
    }
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
