//! Records the last target version of each model in the store.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::deployment_state::DeploymentState;
use super::events;
use super::own_rows::{OwnRows, VersionRecord, version_key};
use super::store_watch::{RetryBackoff, STORE_TIMEOUT, StoreWatch};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::platform::{TableName, WriteOutcome, revision_text};
use crate::routing::name_hash;

/// Pause between two checks for versions to record. A version that is set just before all hosts
/// lose power has to be in the store by then; a write takes about 4 ms.
const RECORD_PAUSE: Duration = Duration::from_millis(20);
/// Entry hosts that record a version at once. One of them may be cut off from the store, and
/// another may be killed.
const FIRST_RECORDERS: usize = 3;
/// When the other entry hosts check whether the version is recorded, in seconds: after the time
/// limit of the first writes.
const RECORD_DELAY: Range<f64> = 1.0..4.0;
/// How many of the other entry hosts do so within that time; the next ones follow after it. A check
/// is a write, and the store must not get one per entry host and version.
const DELAYED_RECORDERS: usize = 6;

/// The delay in seconds after which the recorder with rank `rank` checks whether a version is
/// recorded; `None` if it writes at once.
pub(super) fn record_delay(rank: usize) -> Option<Range<f64>> {
    let batch = rank.checked_sub(FIRST_RECORDERS)? / DELAYED_RECORDERS;
    let waited = RECORD_DELAY.end * f64::from(u32::try_from(batch).unwrap_or(u32::MAX));
    Some(RECORD_DELAY.start + waited..RECORD_DELAY.end + waited)
}

impl StoreWatch {
    /// Records target versions in the store, so that they survive the end of all processes.
    ///
    /// Some entry hosts write at once. The others follow with random delays, in case the first are
    /// cut off from the store. All at once they would delay the operators' writes to the same part
    /// of the store by 3 ms each.
    pub(crate) async fn record_versions(self) {
        let mut changes = self.state.changes();
        let mut backoff = RetryBackoff::default();
        loop {
            let mut records = self.state.read(DeploymentState::unrecorded);
            let ranks = records.iter().map(|record| self.recorder_rank(record));
            if let Some(delay) = ranks.max().and_then(record_delay) {
                let delay = rand::rng().random_range(delay);
                sleep(Duration::from_secs_f64(delay)).await;
                records = self.state.read(DeploymentState::unrecorded);
            }
            for record in records {
                match self.record_version(record).await {
                    Ok(()) => backoff = RetryBackoff::default(),
                    Err(error) => {
                        log_event!(events::RECORD_FAILED, "{error}");
                        sleep(backoff.next()).await;
                        changes.mark_changed();
                    }
                }
            }
            sleep(RECORD_PAUSE).await;
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// The number of entry hosts that write a record before this one. The order is hashed from host
    /// and version, so that the hosts need not agree on it.
    fn recorder_rank(&self, record: &VersionRecord) -> usize {
        let version = record.target.version.0;
        let rank = |host: &str| name_hash(&format!("{host}/{}/{version}", record.target.model));
        let own_entry = rank(&self.own_entry.host);
        self.state.read(|state| {
            let entries = state.entries().iter();
            let others = entries.filter(|entry| entry.host != self.own_entry.host);
            others.filter(|entry| rank(&entry.host) > own_entry).count()
        })
    }

    /// Writes a record over the known one. If the store holds a different one, that is merged; if
    /// it is older too, the next check overwrites it.
    async fn record_version(&self, mut record: VersionRecord) -> SwitchResult<()> {
        let text = serde_json::to_vec(&record.target)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let key = version_key(&record.target.model);
        let expected = (&*key, record.revision);
        let written = self
            .store
            .write_row_at(TableName::System, expected, &text, STORE_TIMEOUT);
        let answer = written.await?;
        match answer.outcome {
            WriteOutcome::Done { revision } => {
                record.revision = revision;
                let (model, version) = (&record.target.model, record.target.version.0);
                log_event!(
                    events::VERSION_RECORDED,
                    "model={model} version={version} revision={}",
                    revision_text(revision)
                );
                self.take_own_rows(OwnRows::with_record(record), answer.store_time);
            }
            WriteOutcome::Refused { row } => {
                let model = record.target.model;
                let revision = row.as_ref().map_or(0, |row| row.revision);
                self.take_own_rows(OwnRows::of_rows(row.as_slice()), answer.store_time);
                self.state
                    .change(|state| state.note_record_row(&model, revision));
            }
        }
        Ok(())
    }
}
