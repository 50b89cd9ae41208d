//! Which versions of weights were named and when, as far as a process can know, and which of them the
//! store records.
//!
//! Versions grow, and each binds from its own naming. Times are never later than the naming itself, as
//! far as that can be known: older weights may be given up too early, but not served too long.

use std::fmt;

use bytestring::ByteString;

use super::events;
use super::naming_time::NamingTime;
use super::own_rows::VersionRecord;
use super::peer_messages::WantedWord;
use super::store_clock::StoreClock;
use crate::events::log_event;
use crate::fleet::{ModelVersion, NamingCertainty, WantedWeights, WeightsVersion};
use crate::metrics;
use crate::time::StoreTime;

/// Versions of a model that are remembered with the time of their naming. Each binds from its own; a
/// deployment names a few in a minute at most.
const VERSIONS_KEPT: usize = 8;

/// Who said something, for the log and for what it is worth.
#[derive(Clone, Copy, Debug)]
pub(super) enum WordSource {
    /// The store, with a change of the operator's row to this revision.
    Change(u64),
    /// The store, with a change to this revision that another has followed since.
    PastChange(u64),
    /// The store, in the operator's row of this revision, read with the whole table.
    Table(u64),
    /// The store, in the system's own row of this revision.
    Record(u64),
    /// Another process of the system.
    Neighbour,
}

impl WordSource {
    /// Whether it tells what stands in the operator's row now.
    pub(super) const fn stands(self) -> bool {
        matches!(self, Self::Change(_) | Self::Table(_))
    }
}

impl fmt::Display for WordSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change(revision) | Self::PastChange(revision) | Self::Table(revision) => {
                write!(formatter, "store/{revision}")
            }
            Self::Record(revision) => write!(formatter, "record/{revision}"),
            Self::Neighbour => formatter.write_str("neighbour"),
        }
    }
}

/// The versions.
#[derive(Debug, Default)]
pub(super) struct WantedVersions {
    /// Sorted by model and version.
    wanted: Vec<WantedWord>,
    /// Those of them that the store has told of, sorted.
    told: Vec<ModelVersion>,
    /// The versions that the store's own rows record, sorted by model.
    records: Vec<VersionRecord>,
}

impl WantedVersions {
    /// All of them, sorted by model and version.
    pub(super) fn all(&self) -> &[WantedWord] {
        &self.wanted
    }

    /// The same on this process's own clock, of which `clock` knows.
    pub(super) fn on_clock(&self, clock: &StoreClock) -> Vec<WantedWeights> {
        let weights = |wanted: &WantedWord| WantedWeights {
            target: wanted.target.clone(),
            named_at: clock.earliest(wanted.named.at),
            certainty: wanted.named.certainty,
        };
        self.wanted.iter().map(weights).collect()
    }

    /// `source` says that `target` was named, at `named` as far as it knows.
    pub(super) fn want(&mut self, target: &ModelVersion, named: NamingTime, source: WordSource) {
        let known = self.newest(&target.model);
        if known > Some(target.version) {
            note_naming_behind(target, known, source);
        }
        let tells_naming = self.tells_naming(target, source);
        match self.find(target) {
            Ok(at) if tells_naming => {
                let known = &mut self.wanted[at].named;
                let joined = named.and(*known);
                if joined != *known {
                    *known = joined;
                    note_naming_timed(target, joined, source);
                }
            }
            Ok(_) => {}
            Err(at) if tells_naming => self.insert(at, target, named),
            Err(at) => self.insert(at, target, self.bounded_naming(at, target, named)),
        }
        self.raise_assumed(&target.model);
        let is_told = match source {
            WordSource::Neighbour => false,
            // Behind a cut the watch has yet to tell of what was named meanwhile.
            WordSource::Record(_) => named.certainty == NamingCertainty::Assumed,
            WordSource::Change(_) | WordSource::PastChange(_) | WordSource::Table(_) => true,
        };
        if is_told {
            self.note_told(target);
        }
        if known < Some(target.version) {
            let (model, version) = (&target.model, target.version.0);
            let believed = self.find(target).map_or(named, |at| self.wanted[at].named);
            let (certainty, named_ms) = (believed.certainty, millis_of(believed));
            metrics::set_gauge("version_wanted", model, version);
            log_event!(
                events::WEIGHTS_WANTED,
                "model={model} version={version} from={source} certainty={certainty:?} named_ms={named_ms}"
            );
        }
    }

    /// Whether `source` tells when `target` was named.
    ///
    /// A row that is read again, or written again by a naming that was repeated or late, says nothing
    /// new of it. Taken for a naming of that moment, it allowed requests to begin on older weights
    /// behind the bound, by as much as the version was old. So a change tells it only of a version of
    /// which, and of newer ones, the store has not told before. A neighbour is believed.
    fn tells_naming(&self, target: &ModelVersion, source: WordSource) -> bool {
        match source {
            WordSource::Neighbour => true,
            WordSource::Change(_) | WordSource::PastChange(_) => {
                let at = self.told.partition_point(|told| told < target);
                let next = self.told.get(at);
                next.is_none_or(|next| next.model != target.model)
            }
            WordSource::Table(_) | WordSource::Record(_) => false,
        }
    }

    fn note_told(&mut self, target: &ModelVersion) {
        if let Err(at) = self.told.binary_search(target) {
            self.told.insert(at, target.clone());
        }
        let wanted = &self.wanted;
        self.told.retain(|told| {
            let found = wanted.binary_search_by(|known| known.target.cmp(told));
            found.is_ok()
        });
    }

    fn find(&self, target: &ModelVersion) -> Result<usize, usize> {
        self.wanted
            .binary_search_by(|wanted| wanted.target.cmp(target))
    }

    fn insert(&mut self, at: usize, target: &ModelVersion, named: NamingTime) {
        let wanted = WantedWord {
            target: target.clone(),
            named,
        };
        self.wanted.insert(at, wanted);
        self.forget(&target.model);
    }

    /// When a version that is new to this process was named at the latest, if its place is `at`.
    ///
    /// One that is older than another which is known was named before it, whenever its row was written.
    /// Taken for new, a naming that was done late let requests begin on what it had replaced long
    /// before.
    fn bounded_naming(&self, at: usize, target: &ModelVersion, named: NamingTime) -> NamingTime {
        let next = self.wanted.get(at);
        match next.filter(|next| next.target.model == target.model) {
            Some(next) => {
                let at = named.at.min(next.named.at);
                NamingTime::guessed(at, NamingCertainty::Assumed)
            }
            None => named,
        }
    }

    /// A version cannot have been named before an older one. Where that one's naming was witnessed and
    /// this one's is assumed only, it bound up to six seconds too early: every entry host refused what
    /// older weights could have answered.
    fn raise_assumed(&mut self, model: &str) {
        let mut earliest = StoreTime(0);
        let of_model = self.wanted.iter_mut();
        for wanted in of_model.filter(|wanted| *wanted.target.model == *model) {
            let named = &mut wanted.named;
            match named.certainty {
                NamingCertainty::Assumed => named.at = named.at.max(earliest),
                NamingCertainty::Resumed => {}
                NamingCertainty::Witnessed => earliest = earliest.max(named.at),
            }
        }
    }

    /// Keeps the newest versions of a model. The oldest of these binds from when the one before it did.
    ///
    /// Without that, versions named in quick succession let requests begin on the oldest weights behind
    /// the bound: the version that had to replace them was forgotten, and those that were left were not
    /// due yet.
    fn forget(&mut self, model: &str) {
        let is_of = |wanted: &WantedWord| *wanted.target.model == *model;
        let count = self.wanted.iter().filter(|wanted| is_of(wanted)).count();
        let first = self.wanted.iter().position(is_of);
        if let (true, Some(first)) = (count > VERSIONS_KEPT, first) {
            let oldest = self.wanted.remove(first);
            let next = &mut self.wanted[first];
            next.named.at = next.named.at.min(oldest.named.at);
            // Whoever tells this version's own naming does not undo it.
            next.named.by = next.named.at;
        }
    }

    /// The newest version of `model` that is known to be wanted.
    pub(super) fn newest(&self, model: &str) -> Option<WeightsVersion> {
        self.newest_wanted(model)
            .map(|wanted| wanted.target.version)
    }

    fn newest_wanted(&self, model: &str) -> Option<&WantedWord> {
        let mut newest_first = self.wanted.iter().rev();
        newest_first.find(|wanted| *wanted.target.model == *model)
    }

    /// Whether `words` name a newer version than is known, or say with more certainty when one was
    /// named, be it only the one before.
    pub(super) fn learns_from(&self, words: &[WantedWord]) -> bool {
        let is_news = |word: &WantedWord| match self.find(&word.target) {
            Ok(at) => word.named.and(self.wanted[at].named) != self.wanted[at].named,
            Err(_) => match self.newest_wanted(&word.target.model) {
                Some(newest) if newest.target.version > word.target.version => {
                    newest.named.certainty < word.named.certainty
                        && self.has_room(&word.target.model)
                }
                _ => true,
            },
        };
        words.iter().any(is_news)
    }

    fn has_room(&self, model: &str) -> bool {
        let of_model = self.wanted.iter();
        let count = of_model.filter(|wanted| *wanted.target.model == *model);
        count.count() < VERSIONS_KEPT
    }

    /// Takes in the versions that another process knows to be wanted, none of them named behind `latest`.
    pub(super) fn take_words(&mut self, words: &[WantedWord], latest: StoreTime) {
        for word in words {
            let mut named = word.named;
            named.at = named.at.min(latest);
            self.want(&word.target, named, WordSource::Neighbour);
        }
    }

    /// Takes in a version that the store records.
    pub(super) fn take_record(&mut self, record: VersionRecord, named: NamingTime) {
        let source = WordSource::Record(record.revision);
        self.want(&record.target, named, source);
        match self.find_record(&record.target.model) {
            Ok(at) if self.records[at].revision < record.revision => self.records[at] = record,
            Ok(_) => {}
            Err(at) => self.records.insert(at, record),
        }
    }

    fn find_record(&self, model: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.target.model).cmp(model))
    }

    /// The row that records a version of `model` has `revision`, 0 when there is none, whatever stands
    /// in it: one that somebody else wrote and that does not read is written over.
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

    /// The versions that are to be recorded in the store, each with the revision that its row has.
    ///
    /// The operator's row of a version can go back: the store may do a naming that got no answer
    /// seconds later, over a newer one. Processes that live stay with the newer version; when all of
    /// them had started again, every engine was loaded with the older one. One would notice
    /// `[1102]` with an older version behind the starts. The record only grows, since each write names
    /// the revision that it replaces.
    pub(super) fn unrecorded(&self) -> Vec<VersionRecord> {
        let models = self
            .wanted
            .chunk_by(|left, right| left.target.model == right.target.model);
        let newest = models.filter_map(<[WantedWord]>::last);
        newest.filter_map(|wanted| self.record_of(wanted)).collect()
    }

    /// What is to be recorded of `wanted`, if anything is.
    fn record_of(&self, wanted: &WantedWord) -> Option<VersionRecord> {
        let target = &wanted.target;
        // The first version is what a process believes that knows of none.
        if target.version <= WeightsVersion(1) {
            return None;
        }
        let known = self.find_record(&target.model).ok();
        let known = known.map(|at| &self.records[at]);
        let is_behind = known.is_none_or(|known| known.target.version < target.version);
        is_behind.then(|| VersionRecord {
            target: target.clone(),
            revision: known.map_or(0, |known| known.revision),
        })
    }
}

/// Tells since when a version counts as named now. Requests begin on older weights until a span behind
/// it is over, so that without a line nobody could tell why one began when it did.
fn note_naming_timed(target: &ModelVersion, named: NamingTime, source: WordSource) {
    let (model, version) = (&target.model, target.version.0);
    let (certainty, slack) = (named.certainty, named.by.since(named.at).as_millis());
    let named_ms = millis_of(named);
    log_event!(
        events::NAMING_TIMED,
        "model={model} version={version} from={source} certainty={certainty:?} named_ms={named_ms} slack_ms={slack}"
    );
}

/// When a version was named, in milliseconds on the store's clock; for the log.
const fn millis_of(named: NamingTime) -> u64 {
    named.at.0 / 1000
}

/// Tells that the store names an older version than was named before.
///
/// Its row was written over by an older naming that was done late. Processes that live stay with the
/// newer version, and without a line nobody would know why the store says another.
fn note_naming_behind(target: &ModelVersion, known: Option<WeightsVersion>, source: WordSource) {
    if let (true, Some(known)) = (source.stands(), known) {
        let (model, version) = (&target.model, target.version.0);
        log_event!(
            events::NAMING_BEHIND,
            "model={model} version={version} known={} from={source}",
            known.0
        );
    }
}
