//! The control state of one process: takes in what the store and the neighbours say, in whatever
//! order it arrives, and never goes back.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;

use super::events;
use super::naming_time::NamingTime;
use super::peer_messages::{EntryRecord, PeerAsk, PeerView, WantedWord};
use super::snapshot::ControlSnapshot;
use crate::catalog::{CatalogVersion, ServiceCatalog};
use crate::events::log_event;
use crate::fleet::{BackendFacts, FleetView, ModelVersion, WantedWeights, WeightsVersion};
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
/// How long at most a backend server whose entry went is kept. A leaving one must get nothing two
/// seconds after this process has learned of it, what is on its way included.
const LAPSE_GRACE: Duration = Duration::from_millis(1500);

/// Versions of a model that are remembered with the time of their naming.
const VERSIONS_KEPT: usize = 4;

/// Who said something, for the log.
#[derive(Clone, Copy, Debug)]
enum WordSource {
    /// The store, in a row of this revision.
    Store(u64),
    /// Another process of the system.
    Neighbour,
}

impl fmt::Display for WordSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(revision) => write!(formatter, "store/{revision}"),
            Self::Neighbour => formatter.write_str("neighbour"),
        }
    }
}

#[derive(Clone, Debug)]
struct BackendEntry {
    facts: Arc<BackendFacts>,
    /// When it is given up, if its entry does not come back before.
    gone_at: Option<ClockTime>,
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
    /// Sorted by id.
    backends: Vec<BackendEntry>,
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

    /// Takes in rows of the operator's table. `named` tells when versions of weights that are new to
    /// this process were named.
    pub(crate) fn take_operator_rows(&mut self, rows: &[StoreRow], named: NamingTime) {
        for row in rows {
            let Some(value) = &row.value else {
                continue;
            };
            let source = WordSource::Store(row.revision);
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
        self.note_naming_behind(target, source);
        let found = self
            .wanted
            .binary_search_by(|wanted| wanted.target.cmp(target));
        let at = match found {
            Ok(at) => return named.improve(&mut self.wanted[at]),
            Err(at) => at,
        };
        let wanted = WantedWeights {
            target: target.clone(),
            named_at: named.at,
            certainty: named.certainty,
        };
        self.wanted.insert(at, wanted);
        self.forget_versions(&target.model);
        let version = target.version.0;
        log_event!(
            events::WEIGHTS_WANTED,
            "model={} version={version} from={source} certainty={:?}",
            target.model,
            named.certainty
        );
    }

    /// The store names an older version than was named before.
    ///
    /// Its row was written over by an older naming that was done late. Processes that live stay with
    /// the newer version; one that starts would learn the older one from the store.
    fn note_naming_behind(&self, target: &ModelVersion, source: WordSource) {
        let known = self.newest_wanted(&target.model);
        if let (WordSource::Store(_), Some(known)) = (source, known)
            && known > target.version
        {
            log_event!(
                events::NAMING_BEHIND,
                "model={} version={} known={} from={source}",
                target.model,
                target.version.0,
                known.0
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
                    Ok(facts) => self.put_backend(facts),
                    Err(error) => log_event!(events::ENTRY_UNREADABLE, "{error}"),
                },
            }
        }
        self.backends_revision = self.backends_revision.max(view.revision);
    }

    fn put_backend(&mut self, facts: BackendFacts) {
        let found = self
            .backends
            .binary_search_by(|entry| entry.facts.id.cmp(&facts.id));
        let entry = BackendEntry {
            facts: Arc::new(facts),
            gone_at: None,
        };
        match found {
            Ok(at) => self.backends[at] = entry,
            Err(at) => self.backends.insert(at, entry),
        }
    }

    /// The entries of backend servers that a whole list does not have went.
    fn remove_unlisted(&mut self, is_listed: impl Fn(&str) -> bool, now: ClockTime) {
        let ids = self.backends.iter().map(|entry| entry.facts.id.clone());
        let missing: Vec<ByteString> = ids.filter(|id| !is_listed(id)).collect();
        for id in missing {
            self.remove_backend(&id, now);
        }
    }

    fn remove_backend(&mut self, id: &str, now: ClockTime) {
        let settled_at = self.settled_at(now);
        let found = self
            .backends
            .binary_search_by(|entry| (*entry.facts.id).cmp(id));
        let Ok(at) = found else {
            return;
        };
        if settled_at <= now {
            self.backends.remove(at);
        } else {
            let gone_at = settled_at.min(now + LAPSE_GRACE);
            self.backends[at].gone_at.get_or_insert(gone_at);
        }
    }

    /// Whether backend servers whose entries went are to be given up at `now`.
    pub(crate) fn has_expired(&self, now: ClockTime) -> bool {
        let mut waiting = self.backends.iter().filter_map(|entry| entry.gone_at);
        waiting.any(|gone_at| gone_at <= now)
    }

    /// Gives up backend servers whose entries did not come back.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        self.backends
            .retain(|entry| entry.gone_at.is_none_or(|gone_at| now < gone_at));
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

    /// What this process knows already, for a neighbour.
    pub(crate) fn ask(&self) -> PeerAsk {
        PeerAsk {
            document: self.document_version(),
            wanted: self
                .wanted
                .iter()
                .map(|wanted| wanted.target.clone())
                .collect(),
            backends_revision: self.backends_revision,
            entries: self.entries.len(),
            wait_ms: 0,
        }
    }

    /// Whether there is something that a process that asks has to know at once.
    pub(crate) fn has_urgent_news(&self, ask: &PeerAsk) -> bool {
        let mut wanted = self.wanted.iter();
        ask.document < self.document_version()
            || wanted.any(|wanted| !ask.wanted.contains(&wanted.target))
    }

    /// What a neighbour that asks does not know yet.
    pub(crate) fn answer(&self, ask: &PeerAsk, now: ClockTime) -> PeerView {
        let document = self
            .document
            .as_ref()
            .filter(|held| ask.document < Some(held.catalog.version));
        let word = |wanted: &WantedWeights| WantedWord {
            target: wanted.target.clone(),
            age_ms: u64::try_from(now.since(wanted.named_at).as_millis()).unwrap_or(u64::MAX),
            certainty: wanted.certainty,
        };
        let has_newer_backends = self.backends_revision > ask.backends_revision;
        let live = self.backends.iter().filter(|entry| entry.gone_at.is_none());
        PeerView {
            document: document.map(|held| held.text.to_vec()),
            wanted: self.wanted.iter().map(word).collect(),
            backends: has_newer_backends.then(|| {
                let facts = live.map(|entry| (*entry.facts).clone());
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
        for word in view.wanted {
            let named = NamingTime {
                at: now - Duration::from_millis(word.age_ms),
                certainty: word.certainty,
            };
            self.want(&word.target, named, WordSource::Neighbour);
        }
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
            self.put_backend(facts);
        }
        self.backends_revision = revision;
    }

    /// What the traffic sees of it.
    pub(super) fn snapshot(&self) -> ControlSnapshot {
        let backends = self.backends.iter().map(|entry| entry.facts.clone());
        ControlSnapshot {
            catalog: self.document.as_ref().map(|held| held.catalog.clone()),
            fleet: Arc::new(FleetView {
                backends: backends.collect(),
            }),
            wanted: Arc::new(self.wanted.clone()),
            entries: Arc::new(self.entries.clone()),
        }
    }
}
