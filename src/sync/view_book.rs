//! The control state of one process: takes in what the store and the neighbours say, in whatever
//! order it arrives, and never goes back.

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
use super::store_clock::{AskSpan, ClockSource, ClockWord, StoreClock};
use super::store_marks::StoreMarks;
use super::unreadable_rows::{RowReading, UnreadableRows};
use super::wanted_versions::{WantedVersions, WordSource};
use crate::catalog::{CatalogVersion, ServiceCatalog};
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{BackendFacts, FleetView, NamingCertainty};
use crate::platform::{
    DocumentRow, StoreRow, TableName, TableView, read_backend_row, read_document,
    read_wanted_version,
};
use crate::time::{ClockTime, StoreTime};

/// How long after the store's return the entries that lapsed while it was away are back.
///
/// While the store is away, entries lapse although their backend servers live. Without the wait,
/// every backend server would be given up at the store's return. From then on, an entry's end counts
/// at once.
const SETTLED_SPAN: Duration = Duration::from_millis(2200);

#[derive(Clone, Debug)]
struct DocumentHeld {
    catalog: Arc<ServiceCatalog>,
    text: Bytes,
}

/// The control state.
#[derive(Debug, Default)]
pub(crate) struct ViewBook {
    document: Option<DocumentHeld>,
    versions: WantedVersions,
    clock: StoreClock,
    marks: StoreMarks,
    /// The answer up to which the operator's table was followed, if it is.
    followed: Option<StoreTime>,
    /// Whether the system's own rows were read.
    has_own_rows: bool,
    /// The store's revision as of which they were.
    own_revision: u64,
    backends: BackendList,
    /// The store's revision of the list of backend servers; none before it was read.
    backends_revision: u64,
    /// Sorted.
    entries: Vec<EntryRecord>,
    /// When the store last answered.
    store_answered: Option<ClockTime>,
    /// When the store last began to answer again.
    store_steady_since: Option<ClockTime>,
    /// When the operator's table was last read or found unchanged.
    operator_read: Option<ClockTime>,
    /// The store's rows that do not read.
    unreadable: UnreadableRows,
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

    /// When the store last answered.
    pub(crate) const fn store_answered(&self) -> Option<ClockTime> {
        self.store_answered
    }

    /// How long the store has not answered, at `now`.
    pub(crate) fn store_silence(&self, now: ClockTime) -> Duration {
        match (self.store_answered, self.store_steady_since) {
            (Some(_), Some(_)) => Duration::ZERO,
            (Some(at), None) => now.since(at),
            (None, _) => Duration::MAX,
        }
    }

    /// The store said within `span` what its clock showed and that `revision` was its newest.
    pub(crate) fn note_told(&mut self, revision: u64, told_at: StoreTime, span: AskSpan) {
        let word = ClockWord::of_store(told_at);
        self.clock.note(word, span, ClockSource::Store);
        self.marks.note(revision, told_at);
    }

    /// The operator's table is followed up to an answer of `told_at`, or not at all.
    pub(crate) fn note_followed(&mut self, told_at: Option<StoreTime>) {
        self.followed = told_at;
    }

    /// Up to which answer the operator's table was followed, if it is.
    pub(crate) const fn followed(&self) -> Option<StoreTime> {
        self.followed
    }

    /// When the contact with the store began that lasts since.
    pub(crate) fn contact_since(&self) -> Option<StoreTime> {
        self.marks.contact_since()
    }

    /// The latest that the store's clock may show at `now`; its zero before anything was heard of it.
    pub(crate) fn store_time(&self, now: ClockTime) -> StoreTime {
        self.clock.word(now).map_or(StoreTime(0), |word| word.most)
    }

    /// The operator's table was read, or found unchanged.
    pub(crate) fn note_operator(&mut self, now: ClockTime) {
        self.operator_read = Some(now);
    }

    /// How long nothing is known of the operator's table, at `now`.
    pub(crate) fn operator_silence(&self, now: ClockTime) -> Duration {
        self.operator_read.map_or(Duration::MAX, |at| now.since(at))
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

    /// Takes in changes of the operator's table of before this process began to follow it, of which
    /// others may have followed since. `named` tells when versions in them were named.
    pub(crate) fn take_past_namings(&mut self, rows: &[StoreRow], named: NamingTime) {
        for row in rows {
            if let (Some(value), DocumentRow::WantedVersion) =
                (&row.value, DocumentRow::of(&row.key))
                && let Ok(target) = read_wanted_version(&row.key, value)
            {
                let source = WordSource::PastChange(row.revision);
                self.versions.want(&target, named, source);
            }
        }
    }

    fn take_operator(
        &mut self,
        rows: &[StoreRow],
        named: NamingTime,
        source_of: impl Fn(u64) -> WordSource,
    ) {
        for (at, row) in rows.iter().enumerate() {
            let table = TableName::Operator;
            let Some(value) = &row.value else {
                self.unreadable.note(table, &row.key, RowReading::Gone);
                continue;
            };
            let is_past = rows[at + 1..].iter().any(|later| later.key == row.key);
            let source = if is_past {
                WordSource::PastChange(row.revision)
            } else {
                source_of(row.revision)
            };
            let kind = DocumentRow::of(&row.key);
            let read = match kind {
                DocumentRow::Document => self.take_document(value.clone(), source),
                DocumentRow::WantedVersion => {
                    let named = self.place(named, row.revision, source);
                    read_wanted_version(&row.key, value)
                        .map(|target| self.versions.want(&target, named, source))
                }
                DocumentRow::Other => Ok(()),
            };
            let begins = self.unreadable.note(table, &row.key, RowReading::of(&read));
            if begins && kind == DocumentRow::Document {
                note_document_fault(&read);
            }
        }
    }

    /// When a version was named whose row `source` tells with `revision`, if it is `named` as far as the
    /// table alone tells.
    fn place(&self, named: NamingTime, revision: u64, source: WordSource) -> NamingTime {
        match (named.certainty, source) {
            // A process that starts has no answers of before.
            (NamingCertainty::Assumed, _) => named,
            (NamingCertainty::Witnessed, WordSource::Change(_) | WordSource::PastChange(_)) => {
                self.marks.narrow(named, revision)
            }
            (NamingCertainty::Witnessed | NamingCertainty::Resumed, _) => {
                self.marks.cap(named, revision)
            }
        }
    }

    /// Puts a document in force if it is newer than the one that is.
    fn take_document(&mut self, text: Bytes, source: WordSource) -> SwitchResult<()> {
        let catalog = read_document(&text)?;
        if let Some(known) = self.document_version()
            && known >= catalog.version
        {
            if known > catalog.version && source.stands() {
                let (version, known) = (catalog.version.0, known.0);
                log_event!(
                    events::DOCUMENT_BEHIND,
                    "version={version} known={known} from={source}"
                );
            }
            return Ok(());
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
        Ok(())
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
        let is_listed = |id: &str| view.rows.iter().any(|row| row.key == id);
        self.remove_unlisted(is_listed, now);
        self.unreadable.keep_listed(TableName::Backends, is_listed);
        self.change_backends(view, now);
    }

    /// Takes in what changed in the table of backend servers.
    pub(crate) fn change_backends(&mut self, view: &TableView, now: ClockTime) {
        for row in &view.rows {
            let table = TableName::Backends;
            let Some(value) = &row.value else {
                self.remove_backend(&row.key, now);
                self.unreadable.note(table, &row.key, RowReading::Gone);
                continue;
            };
            let read = read_backend_row(&row.key, value);
            self.unreadable.note(table, &row.key, RowReading::of(&read));
            match read {
                Ok(facts) => self.backends.put(facts),
                Err(_) => self.backends.drop_entry(&row.key),
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
        self.own_revision = self.own_revision.max(own.revision);
        self.unreadable.note_own(&own);
        let faulty = own.faulty_records();
        self.add_entries(own.entries);
        for model in faulty {
            // Somebody wrote over it: the version is recorded once more.
            self.versions.note_record_row(&model, 0);
        }
        for record in own.records {
            self.versions.take_record(record, named);
        }
    }

    /// The store's revision as of which the system's own rows were read last.
    pub(crate) const fn own_revision(&self) -> u64 {
        self.own_revision
    }

    /// Whether the system's own rows were read.
    pub(crate) const fn has_own_rows(&self) -> bool {
        self.has_own_rows
    }

    /// The row that records a version of `model` has `revision`, 0 when there is none, whatever stands
    /// in it: one that somebody else wrote and that does not read is written over.
    pub(crate) fn note_record_row(&mut self, model: &ByteString, revision: u64) {
        self.versions.note_record_row(model, revision);
    }

    /// The versions that are to be recorded in the store, each with the revision that its row has; none
    /// while the store does not answer.
    pub(crate) fn unrecorded(&self) -> Vec<VersionRecord> {
        match self.store_steady_since {
            Some(_) => self.versions.unrecorded(),
            None => Vec::new(),
        }
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
            can_wait_for_document: false,
            wanted: self.versions.all().to_vec(),
            backends_revision: self.backends_revision,
            entries: self.entries.len(),
            wait_ms: 0,
        }
    }

    /// Whether there is something that a process that asks has to know at once.
    pub(crate) fn has_urgent_news(&self, ask: &PeerAsk) -> bool {
        let mut wanted = self.versions.all().iter();
        self.newer_document(ask).is_some()
            || wanted.any(|wanted| ask.wanted.iter().all(|word| word.target != wanted.target))
    }

    /// The document, if it is newer than that of the process that asks, which does not wait for it.
    fn newer_document(&self, ask: &PeerAsk) -> Option<&DocumentHeld> {
        let held = self.document.as_ref();
        held.filter(|held| ask.document < Some(held.catalog.version) && !ask.can_wait_for_document)
    }

    /// Whether `words` tell more of what versions were named, and when, than is known.
    pub(crate) fn learns_from(&self, words: &[WantedWord]) -> bool {
        self.clock.is_known() && self.versions.learns_from(words)
    }

    /// Takes in the versions that another process knows to be wanted.
    pub(crate) fn take_words(&mut self, words: &[WantedWord], now: ClockTime) {
        // Without the store's clock nobody can tell when these were named; they are told again.
        if let Some(word) = self.clock.word(now) {
            self.versions.take_words(words, word.most);
        }
    }

    /// What a neighbour that asks does not know yet, said at `now` after its question was held open for
    /// `held`.
    pub(crate) fn answer(&self, ask: &PeerAsk, held: Duration, now: ClockTime) -> PeerView {
        let document = self.newer_document(ask);
        let has_newer_backends = self.backends_revision > ask.backends_revision;
        PeerView {
            document: document.map(|held| held.text.to_vec()),
            clock: self.clock.word(now),
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
            wanted: self.versions.all().to_vec(),
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

    /// Takes in what a neighbour knew beyond this process, asked and told within `span`.
    pub(crate) fn merge(&mut self, view: PeerView, span: AskSpan) {
        if let Some(word) = view.clock {
            let asked = span.asked + Duration::from_millis(view.held_ms);
            let span = AskSpan { asked, ..span };
            self.clock.note(word, span, ClockSource::Neighbour);
        }
        if let Some(text) = view.document {
            let read = self.take_document(text.into(), WordSource::Neighbour);
            note_document_fault(&read);
        }
        self.take_words(&view.wanted, span.heard);
        if let Some((revision, backends)) = view.backends
            && revision > self.backends_revision
        {
            self.replace_backends(revision, backends, span.heard);
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
            wanted: Arc::new(self.versions.on_clock(&self.clock)),
            entries: Arc::new(self.entries.clone()),
        }
    }
}

/// Tells that a document does not read, if it does not.
fn note_document_fault(read: &SwitchResult<()>) {
    if let Err(error) = read {
        log_event!(events::DOCUMENT_UNREADABLE, "{error}");
    }
}
