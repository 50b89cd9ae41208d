//! Records in the store which version of each model's weights was named last.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::control_state::ControlState;
use super::events;
use super::own_rows::{OwnRows, VersionRecord, version_key};
use super::store_watch::{RetryBackoff, STORE_TIMEOUT, StoreWatch};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::platform::{TableName, WriteOutcome};
use crate::routing::name_hash;

/// The pause between two looks for versions that are to be recorded. A version that is named while all
/// hosts are about to lose power must be in the store before; a write takes some 4 ms.
const RECORD_PAUSE: Duration = Duration::from_millis(20);
/// Entry hosts that record a version at once. One may be cut off from the store, and one be killed.
const FIRST_RECORDERS: usize = 3;
/// When the others look whether it is recorded, in seconds: behind the first ones' time for an answer.
const RECORD_DELAY: Range<f64> = 1.0..4.0;
/// How many of the others do so within that time. The next ones come behind them: a look is a write,
/// and the store must not get one of each entry host for each version.
const DELAYED_RECORDERS: usize = 6;

/// When the entry host at `place` among the recorders looks whether a version is recorded, in seconds;
/// none if it writes at once.
pub(super) fn record_delay(place: usize) -> Option<Range<f64>> {
    let rank = place.checked_sub(FIRST_RECORDERS)? / DELAYED_RECORDERS;
    let waited = RECORD_DELAY.end * f64::from(u32::try_from(rank).unwrap_or(u32::MAX));
    Some(RECORD_DELAY.start + waited..RECORD_DELAY.end + waited)
}

impl StoreWatch {
    /// Records in the store which versions were named last, so that they outlive all processes.
    ///
    /// Some entry hosts write at once; the others come later, in case that these are cut off from the
    /// store, and spread. All at once they would hold up the operators' writes in the same part of the
    /// store, 3 ms each.
    pub(crate) async fn record_versions(self) {
        let mut changes = self.state.changes();
        let mut backoff = RetryBackoff::default();
        loop {
            let mut records = self.state.read(ControlState::unrecorded);
            let places = records.iter().map(|record| self.recorder_rank(record));
            if let Some(delay) = places.max().and_then(record_delay) {
                let delay = rand::rng().random_range(delay);
                sleep(Duration::from_secs_f64(delay)).await;
                records = self.state.read(ControlState::unrecorded);
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

    /// How many entry hosts write a record before this one, in an order that differs from version to
    /// version and needs no word between them.
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

    /// Writes a record over the one that is known. Where another stands, that one is taken in; if it
    /// is older still, the next look writes over it.
    async fn record_version(&self, mut record: VersionRecord) -> SwitchResult<()> {
        let text = serde_json::to_vec(&record.target)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let key = version_key(&record.target.model);
        let expected = (&*key, record.revision);
        let written = self
            .store
            .write_row_at(TableName::Own, expected, &text, STORE_TIMEOUT);
        let answer = written.await?;
        match answer.outcome {
            WriteOutcome::Done { revision } => {
                record.revision = revision;
                let (model, version) = (&record.target.model, record.target.version.0);
                log_event!(
                    events::VERSION_RECORDED,
                    "model={model} version={version} revision={revision}"
                );
                self.take_own_rows(OwnRows::with_record(record), answer.told_at);
            }
            WriteOutcome::Refused { row } => {
                let model = record.target.model;
                let revision = row.as_ref().map_or(0, |row| row.revision);
                self.take_own_rows(OwnRows::of_rows(row.as_slice()), answer.told_at);
                self.state
                    .change(|state| state.note_record_row(&model, revision));
            }
        }
        Ok(())
    }
}
