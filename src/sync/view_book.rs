//! The control state of one process: takes in what the store and the neighbours say, in whatever
//! order it arrives, and never goes back.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;

use super::backend_list::{BackendList, LAPSE_GRACE};
use super::events;
use super::naming_time::NamingTime;
use super::own_rows::{OwnRows, VersionRecord};
use super::peer_messages::{EntryRecord, PeerAsk, PeerView, WantedWord};
use super::snapshot::ControlSnapshot;
use crate::catalog::{CatalogVersion, ServiceCatalog};
use crate::events::log_event;
use crate::fleet::{BackendFacts, FleetView, ModelVersion, WantedWeights, WeightsVersion};
use crate::metrics;
use crate::platform::{
    DocumentRow, StoreRow, TableView, read_backend_row, read_document, read_wanted_version,
};
use crate::time::ClockTime;

/// How long after the store's return the entries that lapsed while it was away are back.
///
/// While the store is away, entries lapse although their backend servers live. Without the wait,
/// every backend server would be given up at the store's return. From then on, an entry's end counts
/// at once.
const SETTLED_SPAN: Duration = Duration::from_millis(2200);

/// Versions of a model that are remembered with the time of their naming.
const VERSIONS_KEPT: usize = 4;

/// Who said something, for the log.
#[derive(Clone, Copy, Debug)]
enum WordSource {
    /// The store, with a change of the operator's row to this revision.
    Change(u64),
    /// The store, in the operator's row of this revision, read with the whole table.
    Table(u64),
    /// The store, in the system's own row of this revision.
    Record(u64),
    /// Another process of the system.
    Neighbour,
}

impl WordSource {
    /// Whether it tells when a version was named that is known already.
    ///
    /// A row that is read again says nothing new of it. Taken for a naming of that moment, it allowed
    /// requests to begin on older weights behind the bound, by as much as the version was old.
    const fn tells_naming(self) -> bool {
        match self {
            Self::Change(_) | Self::Neighbour => true,
            Self::Table(_) | Self::Record(_) => false,
        }
    }
}

impl fmt::Display for WordSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change(revision) | Self::Table(revision) => {
                write!(formatter, "store/{revision}")
            }
            Self::Record(revision) => write!(formatter, "record/{revision}"),
            Self::Neighbour => formatter.write_str("neighbour"),
        }
    }
}

#[derive(Clone, Debug)]
struct DocumentHeld {
    catalog: Arc<ServiceCatalog>,
    text: Bytes,
}

/// The control state.
#[derive(Debug, Default)]
pub(crate) struct ViewBook {
    document: Option<DocumentHeld>,
    /// Sorted by model and version.
    wanted: Vec<WantedWeights>,
    /// The versions that the store's own rows record, sorted by model.
    records: Vec<VersionRecord>,
    /// Whether the system's own rows were read.
    has_own_rows: bool,
    backends: BackendList,
    /// The store's revision of the list of backend servers; none before it was read.
    backends_revision: u64,
    /// Sorted.
    entries: Vec<EntryRecord>,
    /// When the store last answered.
    store_answered: Option<ClockTime>,
    /// When the store last began to answer again.
    store_steady_since: Option<ClockTime>,
}

impl ViewBook {
    /// Whether requests can be taken: there is a document, and the backend servers are known.
    pub(crate) const fn is_usable(&self) -> bool {
        self.document.is_some() && self.backends_revision > 0
    }

    /// The version of the document in force.
    pub(crate) fn document_version(&self) -> Option<CatalogVersion> {
        self.document.as_ref().map(|held| held.catalog.version)
    }

    /// The store's revision of the list of backend servers.
    pub(crate) const fn backends_revision(&self) -> u64 {
        self.backends_revision
    }

    /// The entry hosts.
    pub(crate) fn entries(&self) -> &[EntryRecord] {
        &self.entries
    }

    /// The store answered.
    pub(crate) fn note_store(&mut self, now: ClockTime) {
        if self.store_steady_since.is_none() {
            log_event!(events::STORE_BACK);
            self.store_steady_since = Some(now);
        }
        self.store_answered = Some(now);
    }

    /// The store did not answer, or refused.
    pub(crate) fn note_store_failure(&mut self, detail: &str) {
        if self.store_steady_since.take().is_some() || self.store_answered.is_none() {
            log_event!(events::STORE_LOST, "{detail}");
        }
    }

    /// How long the store has not answered, at `now`.
    pub(crate) fn store_silence(&self, now: ClockTime) -> Duration {
        match (self.store_answered, self.store_steady_since) {
            (Some(_), Some(_)) => Duration::ZERO,
            (Some(at), None) => now.since(at),
            (None, _) => Duration::MAX,
        }
    }

    /// From when on an entry's end counts at once; while the store does not answer, not before the
    /// longest wait.
    fn settled_at(&self, now: ClockTime) -> ClockTime {
        let since = self.store_steady_since;
        since.map_or(now + LAPSE_GRACE, |since| since + SETTLED_SPAN)
    }

    /// Takes in rows of the operator's table that have just changed. `named` tells when the versions of
    /// weights in them were named.
    pub(crate) fn take_operator_rows(&mut self, rows: &[StoreRow], named: NamingTime) {
        self.take_operator(rows, named, WordSource::Change);
    }

    /// Takes in the whole of the operator's table. `named` tells when versions of weights that are new
    /// to this process were named.
    pub(crate) fn read_operator_rows(&mut self, rows: &[StoreRow], named: NamingTime) {
        self.take_operator(rows, named, WordSource::Table);
    }

    fn take_operator(
        &mut self,
        rows: &[StoreRow],
        named: NamingTime,
        source_of: impl Fn(u64) -> WordSource,
    ) {
        for row in rows {
            let Some(value) = &row.value else {
                continue;
            };
            let source = source_of(row.revision);
            match DocumentRow::of(&row.key) {
                DocumentRow::Document => self.take_document(value.clone(), source),
                DocumentRow::WantedVersion => match read_wanted_version(value) {
                    Ok(target) => self.want(&target, named, source),
                    Err(error) => log_event!(events::ENTRY_UNREADABLE, "{}: {error}", row.key),
                },
                DocumentRow::Other => {}
            }
        }
    }

    /// Puts a document in force if it is newer than the one that is.
    fn take_document(&mut self, text: Bytes, source: WordSource) {
        let catalog = match read_document(&text) {
            Ok(catalog) => catalog,
            Err(error) => {
                log_event!(events::DOCUMENT_UNREADABLE, "{error}");
                return;
            }
        };
        if let Some(known) = self.document_version()
            && known >= catalog.version
        {
            if known > catalog.version {
                let (version, known) = (catalog.version.0, known.0);
                log_event!(
                    events::DOCUMENT_BEHIND,
                    "version={version} known={known} from={source}"
                );
            }
            return;
        }
        log_event!(
            events::DOCUMENT_IN_FORCE,
            "version={} routes={} accounts={} from={source}",
            catalog.version.0,
            catalog.routes.rules().len(),
            catalog.accounts.len()
        );
        self.document = Some(DocumentHeld {
            catalog: Arc::new(catalog),
            text,
        });
    }

    fn want(&mut self, target: &ModelVersion, named: NamingTime, source: WordSource) {
        let known = self.newest_wanted(&target.model);
        if known > Some(target.version) {
            note_naming_behind(target, known, source);
        }
        let found = self
            .wanted
            .binary_search_by(|wanted| wanted.target.cmp(target));
        let at = match found {
            Ok(at) => {
                if source.tells_naming() {
                    named.improve(&mut self.wanted[at]);
                }
                return;
            }
            Err(at) => at,
        };
        let wanted = WantedWeights {
            target: target.clone(),
            named_at: named.at,
            certainty: named.certainty,
        };
        self.wanted.insert(at, wanted);
        self.forget_versions(&target.model);
        if known < Some(target.version) {
            let (model, version) = (&target.model, target.version.0);
            let certainty = named.certainty;
            metrics::set_level("version_wanted", model, version);
            log_event!(
                events::WEIGHTS_WANTED,
                "model={model} version={version} from={source} certainty={certainty:?}"
            );
        }
    }

    /// The newest version of `model` that is known to be wanted.
    fn newest_wanted(&self, model: &str) -> Option<WeightsVersion> {
        let mut newest_first = self.wanted.iter().rev();
        let newest = newest_first.find(|wanted| *wanted.target.model == *model);
        newest.map(|wanted| wanted.target.version)
    }

    /// Keeps the newest versions of a model; those before them can no longer bind anything.
    fn forget_versions(&mut self, model: &str) {
        let is_of = |wanted: &WantedWeights| *wanted.target.model == *model;
        let count = self.wanted.iter().filter(|wanted| is_of(wanted)).count();
        let mut surplus = count.saturating_sub(VERSIONS_KEPT);
        self.wanted.retain(|wanted| {
            let goes = surplus > 0 && is_of(wanted);
            surplus -= usize::from(goes);
            !goes
        });
    }

    /// Takes in the whole table of backend servers.
    pub(crate) fn set_backends(&mut self, view: &TableView, now: ClockTime) {
        if view.revision < self.backends_revision {
            log_event!(
                events::STALE_READ,
                "revision={} known={}",
                view.revision,
                self.backends_revision
            );
            return;
        }
        self.remove_unlisted(|id| view.rows.iter().any(|row| row.key == id), now);
        self.change_backends(view, now);
    }

    /// Takes in what changed in the table of backend servers.
    pub(crate) fn change_backends(&mut self, view: &TableView, now: ClockTime) {
        for row in &view.rows {
            match &row.value {
                None => self.remove_backend(&row.key, now),
                Some(value) => match read_backend_row(&row.key, value) {
                    Ok(facts) => self.backends.put(facts),
                    Err(error) => log_event!(events::ENTRY_UNREADABLE, "{error}"),
                },
            }
        }
        self.backends_revision = self.backends_revision.max(view.revision);
    }

    /// The entries of backend servers that a whole list does not have went.
    fn remove_unlisted(&mut self, is_listed: impl Fn(&str) -> bool, now: ClockTime) {
        for id in self.backends.unlisted(is_listed) {
            self.remove_backend(&id, now);
        }
    }

    fn remove_backend(&mut self, id: &str, now: ClockTime) {
        let settled_at = self.settled_at(now);
        self.backends.remove(id, settled_at, now);
    }

    /// Whether backend servers whose entries went are to be given up at `now`.
    pub(crate) fn has_expired(&self, now: ClockTime) -> bool {
        self.backends.has_expired(now)
    }

    /// Gives up backend servers whose entries did not come back.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        self.backends.expire(now);
    }

    /// Takes in the system's own rows. `named` tells when recorded versions that are new to this
    /// process were named.
    pub(crate) fn take_own_rows(&mut self, own: OwnRows, named: NamingTime) {
        self.has_own_rows = true;
        self.add_entries(own.entries);
        for record in own.records {
            self.take_record(record, named);
        }
    }

    /// Whether the system's own rows were read.
    pub(crate) const fn has_own_rows(&self) -> bool {
        self.has_own_rows
    }

    /// Takes in a version that the store records.
    fn take_record(&mut self, record: VersionRecord, named: NamingTime) {
        let source = WordSource::Record(record.revision);
        self.want(&record.target, named, source);
        let model = &record.target.model;
        match self.find_record(model) {
            Ok(at) if self.records[at].revision < record.revision => self.records[at] = record,
            Ok(_) => {}
            Err(at) => self.records.insert(at, record),
        }
    }

    /// The row that records a version of `model` has `revision`, 0 when there is none, whatever stands
    /// in it: one that somebody else wrote and that does not read is written over.
    pub(crate) fn note_record_row(&mut self, model: &ByteString, revision: u64) {
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

    fn find_record(&self, model: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.target.model).cmp(model))
    }

    /// The versions that are to be recorded in the store, each with the revision that its row has.
    ///
    /// The operator's row of a version can go back: the store may do a naming that got no answer
    /// seconds later, over a newer one. Processes that live stay with the newer version; when all of
    /// them had started again, every engine was loaded with the older one. One would notice
    /// `[1102]` with an older version behind the starts. The record only grows, since each write names
    /// the revision that it replaces.
    pub(crate) fn unrecorded(&self) -> Vec<VersionRecord> {
        if self.store_steady_since.is_none() {
            return Vec::new();
        }
        let models = self
            .wanted
            .chunk_by(|left, right| left.target.model == right.target.model);
        let newest = models.filter_map(<[WantedWeights]>::last);
        newest.filter_map(|wanted| self.record_of(wanted)).collect()
    }

    /// What is to be recorded of `wanted`, if anything is.
    fn record_of(&self, wanted: &WantedWeights) -> Option<VersionRecord> {
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

    /// Takes in the entry hosts that are known elsewhere.
    pub(crate) fn add_entries(&mut self, entries: Vec<EntryRecord>) {
        for entry in entries {
            let found = self
                .entries
                .binary_search_by(|known| known.host.cmp(&entry.host));
            match found {
                Ok(at) => self.entries[at] = entry,
                Err(at) => self.entries.insert(at, entry),
            }
        }
    }

    /// What this process knows already at `now`, for a neighbour.
    pub(crate) fn ask(&self, now: ClockTime) -> PeerAsk {
        PeerAsk {
            document: self.document_version(),
            wanted: self.wanted_words(now),
            backends_revision: self.backends_revision,
            entries: self.entries.len(),
            wait_ms: 0,
        }
    }

    /// Whether there is something that a process that asks has to know at once.
    pub(crate) fn has_urgent_news(&self, ask: &PeerAsk) -> bool {
        let mut wanted = self.wanted.iter();
        ask.document < self.document_version()
            || wanted.any(|wanted| ask.wanted.iter().all(|word| word.target != wanted.target))
    }

    /// The versions that are known to be wanted, with their ages at `now`.
    fn wanted_words(&self, now: ClockTime) -> Vec<WantedWord> {
        let word = |wanted: &WantedWeights| WantedWord {
            target: wanted.target.clone(),
            age_ms: u64::try_from(now.since(wanted.named_at).as_millis()).unwrap_or(u64::MAX),
            certainty: wanted.certainty,
        };
        self.wanted.iter().map(word).collect()
    }

    /// Whether `words` name a newer version than is known, or say with more certainty when one was
    /// named.
    pub(crate) fn learns_from(&self, words: &[WantedWord]) -> bool {
        let is_news = |word: &WantedWord| {
            let target = &word.target;
            let mut wanted = self.wanted.iter();
            match wanted.find(|wanted| wanted.target == *target) {
                Some(known) => known.certainty < word.certainty,
                None => self.newest_wanted(&target.model) < Some(target.version),
            }
        };
        words.iter().any(is_news)
    }

    /// Takes in the versions that another process knows to be wanted.
    pub(crate) fn take_words(&mut self, words: &[WantedWord], now: ClockTime) {
        for word in words {
            let named = NamingTime {
                at: now - Duration::from_millis(word.age_ms),
                certainty: word.certainty,
            };
            self.want(&word.target, named, WordSource::Neighbour);
        }
    }

    /// What a neighbour that asks does not know yet.
    pub(crate) fn answer(&self, ask: &PeerAsk, now: ClockTime) -> PeerView {
        let document = self
            .document
            .as_ref()
            .filter(|held| ask.document < Some(held.catalog.version));
        let has_newer_backends = self.backends_revision > ask.backends_revision;
        PeerView {
            document: document.map(|held| held.text.to_vec()),
            wanted: self.wanted_words(now),
            backends: has_newer_backends.then(|| {
                let facts = self.backends.listed().map(|facts| (**facts).clone());
                (self.backends_revision, facts.collect())
            }),
            entries: if self.entries.len() > ask.entries {
                self.entries.clone()
            } else {
                Vec::new()
            },
        }
    }

    /// Takes in what a neighbour knew beyond this process.
    pub(crate) fn merge(&mut self, view: PeerView, now: ClockTime) {
        if let Some(text) = view.document {
            self.take_document(text.into(), WordSource::Neighbour);
        }
        self.take_words(&view.wanted, now);
        if let Some((revision, backends)) = view.backends
            && revision > self.backends_revision
        {
            self.replace_backends(revision, backends, now);
        }
        self.add_entries(view.entries);
    }

    fn replace_backends(&mut self, revision: u64, backends: Vec<BackendFacts>, now: ClockTime) {
        log_event!(events::NEIGHBOUR_KNEW, "backends revision={revision}");
        self.remove_unlisted(|id| backends.iter().any(|facts| *facts.id == *id), now);
        for facts in backends {
            self.backends.put(facts);
        }
        self.backends_revision = revision;
    }

    /// What the traffic sees of it.
    pub(super) fn snapshot(&self) -> ControlSnapshot {
        ControlSnapshot {
            catalog: self.document.as_ref().map(|held| held.catalog.clone()),
            fleet: Arc::new(FleetView {
                backends: self.backends.all().cloned().collect(),
            }),
            wanted: Arc::new(self.wanted.clone()),
            entries: Arc::new(self.entries.clone()),
        }
    }
}

/// Tells that the store names an older version than was named before.
///
/// Its row was written over by an older naming that was done late. Processes that live stay with the
/// newer version, and without a line nobody would know why the store says another.
fn note_naming_behind(target: &ModelVersion, known: Option<WeightsVersion>, source: WordSource) {
    let is_operators = matches!(source, WordSource::Change(_) | WordSource::Table(_));
    if let (true, Some(known)) = (is_operators, known) {
        let (model, version) = (&target.model, target.version.0);
        log_event!(
            events::NAMING_BEHIND,
            "model={model} version={version} known={} from={source}",
            known.0
        );
    }
}
