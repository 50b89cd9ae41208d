//! The target versions, when each was set as far as a process can know, and which of them the store
//! records.
//!
//! Versions increase, and each has its own deadline. Update times are dated too early rather than
//! too late: previous versions may then be released too early, but are not used too long.

use std::fmt;

use bytestring::ByteString;

use super::events;
use super::own_rows::{OwnRows, VersionRecord};
use super::peer_messages::TargetAnnouncement;
use super::store_clock::StoreClock;
use super::target_update_time::TargetUpdateTime;
use crate::events::log_event;
use crate::fleet::{ModelVersion, TargetTimeCertainty, TargetWeights, WeightsVersion};
use crate::metrics;
use crate::platform::revision_text;
use crate::time::StoreTime;

/// Target versions of a model that are remembered with their update times. Each has its own
/// deadline, and a deployment sets a few per minute at most.
const VERSIONS_KEPT: usize = 8;

/// Where an update comes from, for the log and for how far it is trusted.
#[derive(Clone, Copy, Debug)]
pub(super) enum UpdateSource {
    /// The store, by a change of the operator's row to this revision.
    Change(u64),
    /// The store, by a change to this revision that has been followed by another.
    PastChange(u64),
    /// The store, by the operator's row of this revision in a full read of the table.
    Table(u64),
    /// The store, by the system's own row of this revision.
    Record(u64),
    /// Another process of the system.
    Neighbour,
}

impl UpdateSource {
    /// Whether the source reports the current content of the operator's row.
    pub(super) const fn is_current(self) -> bool {
        matches!(self, Self::Change(_) | Self::Table(_))
    }
}

impl fmt::Display for UpdateSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change(revision) | Self::PastChange(revision) | Self::Table(revision) => {
                write!(formatter, "store/{}", revision_text(*revision))
            }
            Self::Record(revision) => write!(formatter, "record/{}", revision_text(*revision)),
            Self::Neighbour => formatter.write_str("neighbour"),
        }
    }
}

/// The target versions of all models.
#[derive(Debug, Default)]
pub(super) struct TargetVersions {
    /// Sorted by model and version.
    announcements: Vec<TargetAnnouncement>,
    /// Those of them that the store has reported, sorted.
    reported: Vec<ModelVersion>,
    /// The versions that the system's own rows record, sorted by model.
    records: Vec<VersionRecord>,
}

impl TargetVersions {
    /// All target versions, sorted by model and version.
    pub(super) fn all(&self) -> &[TargetAnnouncement] {
        &self.announcements
    }

    /// The same with update times on this process's clock.
    pub(super) fn on_local_clock(&self, clock: &StoreClock) -> Vec<TargetWeights> {
        let weights = |announcement: &TargetAnnouncement| TargetWeights {
            target: announcement.target.clone(),
            target_set_at: clock.earliest(announcement.set_at.earliest),
            certainty: announcement.set_at.certainty,
        };
        self.announcements.iter().map(weights).collect()
    }

    /// Merges a report of `source` that `target` was set, at `set_at` as far as the source knows.
    pub(super) fn add_target(
        &mut self,
        target: &ModelVersion,
        set_at: TargetUpdateTime,
        source: UpdateSource,
    ) {
        let known = self.newest(&target.model);
        if known > Some(target.version) {
            log_older_target(target, known, source);
        }
        let states_update_time = self.states_update_time(target, source);
        match self.find(target) {
            Ok(at) if states_update_time => {
                let known = &mut self.announcements[at].set_at;
                let combined = set_at.combine(*known);
                if combined != *known {
                    *known = combined;
                    log_update_time(target, combined, source);
                }
            }
            Ok(_) => {}
            Err(at) if states_update_time => self.insert(at, target, set_at),
            Err(at) => self.insert(at, target, self.capped_update_time(at, target, set_at)),
        }
        self.raise_assumed(&target.model);
        let is_reported = match source {
            UpdateSource::Neighbour => false,
            // After an outage the watch still has to report what was set meanwhile.
            UpdateSource::Record(_) => set_at.certainty == TargetTimeCertainty::Assumed,
            UpdateSource::Change(_) | UpdateSource::PastChange(_) | UpdateSource::Table(_) => true,
        };
        if is_reported {
            self.note_reported(target);
        }
        if known < Some(target.version) {
            let (model, version) = (&target.model, target.version.0);
            let effective = self
                .find(target)
                .map_or(set_at, |at| self.announcements[at].set_at);
            let (certainty, named_ms) = (effective.certainty, millis_of(effective));
            metrics::set_gauge("version_wanted", model, version);
            log_event!(
                events::TARGET_UPDATED,
                "model={model} version={version} from={source} certainty={certainty:?} named_ms={named_ms}"
            );
        }
    }

    /// Whether `source` states when `target` was set.
    ///
    /// A row that is read again, or rewritten by a repeated or late update, does not. Dated as new,
    /// it let requests begin on previous versions after the deadline, by the age of the version. So
    /// a change states the time only of a version if the store has reported neither it nor a newer
    /// one before. Neighbours are trusted.
    fn states_update_time(&self, target: &ModelVersion, source: UpdateSource) -> bool {
        match source {
            UpdateSource::Neighbour => true,
            UpdateSource::Change(_) | UpdateSource::PastChange(_) => {
                let at = self.reported.partition_point(|reported| reported < target);
                let next = self.reported.get(at);
                next.is_none_or(|next| next.model != target.model)
            }
            UpdateSource::Table(_) | UpdateSource::Record(_) => false,
        }
    }

    fn note_reported(&mut self, target: &ModelVersion) {
        if let Err(at) = self.reported.binary_search(target) {
            self.reported.insert(at, target.clone());
        }
        let announcements = &self.announcements;
        self.reported.retain(|reported| {
            let found = announcements.binary_search_by(|known| known.target.cmp(reported));
            found.is_ok()
        });
    }

    fn find(&self, target: &ModelVersion) -> Result<usize, usize> {
        self.announcements
            .binary_search_by(|announcement| announcement.target.cmp(target))
    }

    fn insert(&mut self, at: usize, target: &ModelVersion, set_at: TargetUpdateTime) {
        let announcement = TargetAnnouncement {
            target: target.clone(),
            set_at,
        };
        self.announcements.insert(at, announcement);
        self.drop_oldest(&target.model);
    }

    /// Caps the update time of a version that is new to this process and belongs at index `at`.
    ///
    /// A version older than a known one was set before that one, whenever its row was written.
    /// Dated as new, an update that was executed late let requests begin on weights that had been
    /// replaced long before.
    fn capped_update_time(
        &self,
        at: usize,
        target: &ModelVersion,
        set_at: TargetUpdateTime,
    ) -> TargetUpdateTime {
        let next = self.announcements.get(at);
        match next.filter(|next| next.target.model == target.model) {
            Some(next) => {
                let at = set_at.earliest.min(next.set_at.earliest);
                TargetUpdateTime::guessed(at, TargetTimeCertainty::Assumed)
            }
            None => set_at,
        }
    }

    /// Raises assumed update times to those of older witnessed versions, since a version can't have
    /// been set before an older one. An assumed time may be up to six seconds too early, which made
    /// every entry host refuse requests that previous versions could have answered.
    fn raise_assumed(&mut self, model: &str) {
        let mut earliest = StoreTime(0);
        let of_model = self.announcements.iter_mut();
        for announcement in of_model.filter(|announcement| *announcement.target.model == *model) {
            let set_at = &mut announcement.set_at;
            match set_at.certainty {
                TargetTimeCertainty::Assumed => set_at.earliest = set_at.earliest.max(earliest),
                TargetTimeCertainty::Resumed => {}
                TargetTimeCertainty::Witnessed => earliest = earliest.max(set_at.earliest),
            }
        }
    }

    /// Drops the oldest version of a model beyond the limit, and passes its update time to the next
    /// one.
    ///
    /// Without that, versions set in quick succession let requests begin on the oldest weights
    /// after the deadline: the version that had to replace them was dropped, and the remaining ones
    /// were not due yet.
    fn drop_oldest(&mut self, model: &str) {
        let is_of = |announcement: &TargetAnnouncement| *announcement.target.model == *model;
        let count = self
            .announcements
            .iter()
            .filter(|announcement| is_of(announcement))
            .count();
        let first = self.announcements.iter().position(is_of);
        if let (true, Some(first)) = (count > VERSIONS_KEPT, first) {
            let oldest = self.announcements.remove(first);
            let next = &mut self.announcements[first];
            next.set_at.earliest = next.set_at.earliest.min(oldest.set_at.earliest);
            // A neighbour that reports this version's own time does not undo this.
            next.set_at.latest = next.set_at.earliest;
        }
    }

    /// The newest known target version of `model`.
    pub(super) fn newest(&self, model: &str) -> Option<WeightsVersion> {
        self.newest_announcement(model)
            .map(|announcement| announcement.target.version)
    }

    fn newest_announcement(&self, model: &str) -> Option<&TargetAnnouncement> {
        let mut newest_first = self.announcements.iter().rev();
        newest_first.find(|announcement| *announcement.target.model == *model)
    }

    /// Whether `announcements` contain a newer target version, or state an update time with more
    /// certainty, including that of the previous version.
    pub(super) fn is_updated_by(&self, announcements: &[TargetAnnouncement]) -> bool {
        let has_news = |announcement: &TargetAnnouncement| match self.find(&announcement.target) {
            Ok(at) => {
                announcement.set_at.combine(self.announcements[at].set_at)
                    != self.announcements[at].set_at
            }
            Err(_) => match self.newest_announcement(&announcement.target.model) {
                Some(newest) if newest.target.version > announcement.target.version => {
                    newest.set_at.certainty < announcement.set_at.certainty
                        && self.has_room(&announcement.target.model)
                }
                _ => true,
            },
        };
        announcements.iter().any(has_news)
    }

    fn has_room(&self, model: &str) -> bool {
        let of_model = self.announcements.iter();
        let count = of_model.filter(|announcement| *announcement.target.model == *model);
        count.count() < VERSIONS_KEPT
    }

    /// Merges target versions announced by another process, none of them set after `latest`.
    pub(super) fn merge_targets(
        &mut self,
        announcements: &[TargetAnnouncement],
        latest: StoreTime,
    ) {
        for announcement in announcements {
            let mut set_at = announcement.set_at;
            set_at.earliest = set_at.earliest.min(latest);
            self.add_target(&announcement.target, set_at, UpdateSource::Neighbour);
        }
    }

    /// Merges a version that the store records.
    pub(super) fn take_record(&mut self, record: VersionRecord, set_at: TargetUpdateTime) {
        let source = UpdateSource::Record(record.revision);
        self.add_target(&record.target, set_at, source);
        match self.find_record(&record.target.model) {
            Ok(at) if self.records[at].revision < record.revision => self.records[at] = record,
            Ok(_) => {}
            Err(at) => self.records.insert(at, record),
        }
    }

    /// Drops the records that the store no longer has; `own` are all rows of the table. The versions
    /// are recorded again.
    pub(super) fn keep_listed_records(&mut self, own: &OwnRows) {
        self.records.retain(|known| {
            let is_listed = |record: &VersionRecord| record.target.model == known.target.model;
            known.revision > own.revision || own.records.iter().any(is_listed)
        });
    }

    fn find_record(&self, model: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.target.model).cmp(model))
    }

    /// Records that the row for the version of `model` has `revision`, 0 if there is none. The
    /// content does not matter: an unreadable row of another writer is overwritten.
    pub(super) fn note_record_row(&mut self, model: &ByteString, revision: u64) {
        match self.find_record(model) {
            Ok(at) if revision == 0 => {
                self.records.remove(at);
            }
            Ok(at) => self.records[at].revision = revision,
            Err(_) if revision == 0 => {}
            Err(at) => {
                let target = ModelVersion {
                    model: model.clone(),
                    version: WeightsVersion::default(),
                };
                self.records.insert(at, VersionRecord { target, revision });
            }
        }
    }

    /// The versions to record in the store, each with the revision that its row has.
    ///
    /// The operator's row of a version can revert, because the store may execute an update that got
    /// no answer seconds later, over a newer one. Running processes keep the newer version, but
    /// after all of them had restarted, every engine was loaded with the older one; the symptom is
    /// `[1102]` with an older version after the restart. The record only increases, since each
    /// write is conditional on the revision that it replaces.
    pub(super) fn unrecorded(&self) -> Vec<VersionRecord> {
        let models = self
            .announcements
            .chunk_by(|left, right| left.target.model == right.target.model);
        let newest = models.filter_map(<[TargetAnnouncement]>::last);
        newest
            .filter_map(|announcement| self.record_of(announcement))
            .collect()
    }

    /// The record to write for `announcement`; `None` if the store has it already.
    fn record_of(&self, announcement: &TargetAnnouncement) -> Option<VersionRecord> {
        let target = &announcement.target;
        // Version 1 is what a process assumes without a target version.
        if target.version <= WeightsVersion(1) {
            return None;
        }
        let known = self.find_record(&target.model).ok();
        let known = known.map(|at| &self.records[at]);
        let is_outdated = known.is_none_or(|known| known.target.version < target.version);
        is_outdated.then(|| VersionRecord {
            target: target.clone(),
            revision: known.map_or(0, |known| known.revision),
        })
    }
}

/// Logs the new update time of a version. How long requests may begin on previous versions depends
/// on it, which can't be explained later without this line.
fn log_update_time(target: &ModelVersion, set_at: TargetUpdateTime, source: UpdateSource) {
    let (model, version) = (&target.model, target.version.0);
    let (certainty, slack) = (
        set_at.certainty,
        set_at.latest.since(set_at.earliest).as_millis(),
    );
    let named_ms = millis_of(set_at);
    log_event!(
        events::TARGET_TIME_REFINED,
        "model={model} version={version} from={source} certainty={certainty:?} named_ms={named_ms} slack_ms={slack}"
    );
}

/// The update time in milliseconds on the store's clock, for the log.
const fn millis_of(set_at: TargetUpdateTime) -> u64 {
    set_at.earliest.0 / 1000
}

/// Logs that the store reports an older target version than before.
///
/// An older update was executed late over the newer one. Running processes keep the newer version,
/// and this line explains why the store's content differs.
fn log_older_target(target: &ModelVersion, known: Option<WeightsVersion>, source: UpdateSource) {
    if let (true, Some(known)) = (source.is_current(), known) {
        let (model, version) = (&target.model, target.version.0);
        log_event!(
            events::TARGET_OLDER,
            "model={model} version={version} known={} from={source}",
            known.0
        );
    }
}
