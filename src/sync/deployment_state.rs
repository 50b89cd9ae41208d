//! The deployment state of one process: what it knows of the document, the target versions and the
//! other processes. It merges what the store and the neighbours report, in any order of arrival,
//! and never returns to an older state.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;

use super::backend_list::{BackendList, LAPSE_GRACE};
use super::entry_agreement::AgreementState;
use super::evacuations::EvacuationList;
use super::events;
use super::operator_status::OperatorStatus;
use super::own_rows::{OwnRows, VersionRecord};
use super::peer_messages::EntryRecord;
use super::revision_times::RevisionTimes;
use super::snapshot::DeploymentSnapshot;
use super::store_clock::StoreClock;
use super::target_update_time::TargetUpdateTime;
use super::target_versions::{TargetVersions, UpdateSource};
use super::unreadable_rows::{RowStatus, UnreadableRows};
use crate::catalog::{CatalogVersion, ServiceCatalog};
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{FleetView, TargetTimeCertainty};
use crate::platform::{
    OperatorRow, StoreRow, TableName, TableView, check_evacuation, era_of, read_backend_row,
    read_document, read_target_version, revision_text,
};
use crate::quarantine::CrashLedger;
use crate::time::{ClockTime, StoreTime};

/// After this time since the store returned, entries that lapsed during the outage have been
/// written again.
///
/// During an outage entries lapse although their backend servers are running. Without this time,
/// all backend servers would be removed when the store returns. Afterwards the removal of an entry
/// takes effect at once.
const SETTLED_SPAN: Duration = Duration::from_millis(2200);

#[derive(Clone, Debug)]
pub(super) struct CurrentDocument {
    pub(super) catalog: Arc<ServiceCatalog>,
    pub(super) text: Bytes,
}

/// What a process knows of the deployment.
#[derive(Debug, Default)]
pub(crate) struct DeploymentState {
    pub(super) document: Option<CurrentDocument>,
    pub(super) versions: TargetVersions,
    pub(super) clock: StoreClock,
    pub(super) revision_times: RevisionTimes,
    /// The time of the answer up to which the operator's table was followed, if it is followed.
    pub(super) followed: Option<StoreTime>,
    /// The latest time, on the store's clock, at which the last call for that table was sent, if it
    /// failed and the table has not been followed since.
    pub(super) interrupted_at: Option<StoreTime>,
    /// Whether the system's own rows were read.
    has_own_rows: bool,
    /// The store's revision as of which they were read.
    own_revision: u64,
    pub(super) backends: BackendList,
    /// When the store last reported the list of backend servers, to this process or to the reader
    /// that it follows.
    pub(super) backends_answered_at: Option<StoreTime>,
    /// The store's revision of the list of backend servers; 0 before it was read.
    pub(super) backends_revision: u64,
    /// Sorted.
    pub(super) entries: Vec<EntryRecord>,
    pub(super) agreement: AgreementState,
    /// The newest era of the store in a list of backend servers or an answer.
    store_era: u64,
    /// When the store last answered this process.
    store_answered: Option<ClockTime>,
    /// Since when the store has answered this process without a failure.
    pub(super) store_steady_since: Option<ClockTime>,
    pub(super) operator: OperatorStatus,
    /// The unreadable rows of the store.
    pub(super) unreadable: UnreadableRows,
    pub(super) crashes: Arc<CrashLedger>,
    pub(super) evacuations: EvacuationList,
}

impl DeploymentState {
    /// Whether the entry host can accept requests: there is a document, and the backend servers are
    /// known.
    pub(crate) const fn is_usable(&self) -> bool {
        self.document.is_some() && self.backends_revision > 0
    }

    /// The version of the document in force.
    pub(crate) fn document_version(&self) -> Option<CatalogVersion> {
        self.document
            .as_ref()
            .map(|current| current.catalog.version)
    }

    /// The store's revision of the list of backend servers.
    pub(crate) const fn backends_revision(&self) -> u64 {
        self.backends_revision
    }

    /// The entry hosts.
    pub(crate) fn entries(&self) -> &[EntryRecord] {
        &self.entries
    }

    /// Digest of the names of the entry hosts; 0 if there are none.
    pub(crate) const fn entries_digest(&self) -> u64 {
        self.agreement.list_digest()
    }

    /// Records that the store answered.
    pub(crate) fn note_store(&mut self, now: ClockTime) {
        if self.store_steady_since.is_none() {
            log_event!(events::STORE_REACHABLE);
            self.store_steady_since = Some(now);
        }
        self.store_answered = Some(now);
    }

    /// Records that the store did not answer, or refused.
    pub(crate) fn note_store_failure(&mut self, detail: &str) {
        if self.store_steady_since.take().is_some() || self.store_answered.is_none() {
            log_event!(events::STORE_UNREACHABLE, "{detail}");
        }
    }

    /// When the store last answered.
    pub(crate) const fn store_answered(&self) -> Option<ClockTime> {
        self.store_answered
    }

    /// How long the store has not answered, at `now`.
    pub(crate) fn store_outage(&self, now: ClockTime) -> Duration {
        match (self.store_answered, self.store_steady_since) {
            (Some(_), Some(_)) => Duration::ZERO,
            (Some(at), None) => now.since(at),
            (None, _) => Duration::MAX,
        }
    }

    /// The status of the operator's table.
    pub(super) const fn operator(&self) -> &OperatorStatus {
        &self.operator
    }

    /// Whether this process reads the store itself, instead of following a reader.
    pub(crate) const fn reads_store(&self) -> bool {
        self.operator.is_reader()
    }

    /// The status of the operator's table, mutable.
    pub(super) const fn operator_mut(&mut self) -> &mut OperatorStatus {
        &mut self.operator
    }

    /// The time from which the removal of an entry takes effect at once. While the store does not
    /// answer, it lies a full grace period ahead.
    fn settled_at(&self, now: ClockTime) -> ClockTime {
        let since = self.store_steady_since;
        since.map_or(now + LAPSE_GRACE, |since| since + SETTLED_SPAN)
    }

    /// Records that `revision` of the store is known. With the first one of a new era, the store has
    /// returned from an older copy, and entries that it lost are written again as after an outage.
    pub(super) fn note_era(&mut self, revision: u64, now: ClockTime) {
        let (era, known) = (era_of(revision), self.store_era);
        if era <= known {
            return;
        }
        self.store_era = era;
        self.agreement.forget_registration();
        let is_start = self.backends_revision == 0 && self.document.is_none();
        if !is_start {
            log_event!(events::STORE_RETURNED, "era={era} known={known}");
            self.store_steady_since = self.store_steady_since.map(|_| now);
        }
    }

    /// Merges changed rows of the operator's table. `set_at` dates the target versions in them.
    pub(crate) fn change_operator_rows(&mut self, rows: &[StoreRow], set_at: TargetUpdateTime) {
        self.merge_operator_rows(rows, set_at, UpdateSource::Change);
    }

    /// Merges the full operator's table. `set_at` dates the target versions that are new to this
    /// process.
    pub(crate) fn set_operator_rows(&mut self, rows: &[StoreRow], set_at: TargetUpdateTime) {
        self.merge_operator_rows(rows, set_at, UpdateSource::Table);
    }

    /// Ends the evacuations that `view`, the full operator's table, does not list.
    pub(crate) fn keep_listed_evacuations(&mut self, view: &TableView) {
        self.evacuations.keep_listed(view, |data_centre| {
            let mut rows = view.rows.iter().filter(|row| row.value.is_some());
            rows.any(|row| OperatorRow::of(&row.key) == OperatorRow::Evacuation(data_centre))
        });
    }

    /// Merges target updates from before this process began to follow the operator's table; later
    /// ones may have followed them. `set_at` dates them.
    ///
    /// Rows after the revision as of which the table is known are left to the watch, which knows
    /// better when they were written.
    pub(crate) fn take_past_targets(&mut self, rows: &[StoreRow], set_at: TargetUpdateTime) {
        let announcement = self.operator.announcement();
        let known = announcement.map_or(u64::MAX, |announcement| announcement.revision);
        for row in rows.iter().filter(|row| row.revision <= known) {
            if let (Some(value), OperatorRow::TargetVersion) =
                (&row.value, OperatorRow::of(&row.key))
                && let Ok(target) = read_target_version(&row.key, value)
            {
                let source = UpdateSource::PastChange(row.revision);
                self.versions.add_target(&target, set_at, source);
            }
        }
    }

    fn merge_operator_rows(
        &mut self,
        rows: &[StoreRow],
        set_at: TargetUpdateTime,
        source_of: impl Fn(u64) -> UpdateSource,
    ) {
        for (at, row) in rows.iter().enumerate() {
            let table = TableName::Operator;
            let kind = OperatorRow::of(&row.key);
            if let OperatorRow::Evacuation(data_centre) = kind
                && !data_centre.is_empty()
            {
                let is_active = row.value.is_some();
                self.evacuations.put(data_centre, row.revision, is_active);
            }
            let Some(value) = &row.value else {
                self.unreadable.note(table, &row.key, RowStatus::Removed);
                continue;
            };
            let is_past = rows[at + 1..].iter().any(|later| later.key == row.key);
            let source = if is_past {
                UpdateSource::PastChange(row.revision)
            } else {
                source_of(row.revision)
            };
            let read = match kind {
                OperatorRow::Document => self.take_document(value.clone(), source),
                OperatorRow::TargetVersion => {
                    let set_at = self.bound_update_time(set_at, row.revision, source);
                    read_target_version(&row.key, value)
                        .map(|target| self.versions.add_target(&target, set_at, source))
                }
                OperatorRow::Evacuation(data_centre) => check_evacuation(data_centre, value),
                OperatorRow::Other => Ok(()),
            };
            let begins = self.unreadable.note(table, &row.key, RowStatus::of(&read));
            if begins && kind == OperatorRow::Document {
                note_document_fault(&read);
            }
        }
    }

    /// Bounds `set_at`, the date derived from the operator's table alone, by the revisions seen in
    /// other answers. The version's row has `revision` and was reported by `source`.
    fn bound_update_time(
        &self,
        set_at: TargetUpdateTime,
        revision: u64,
        source: UpdateSource,
    ) -> TargetUpdateTime {
        match (set_at.certainty, source) {
            // A starting process has no earlier answers.
            (TargetTimeCertainty::Assumed, _) => set_at,
            (
                TargetTimeCertainty::Witnessed,
                UpdateSource::Change(_) | UpdateSource::PastChange(_),
            ) => self.revision_times.narrow(set_at, revision),
            (TargetTimeCertainty::Witnessed | TargetTimeCertainty::Resumed, _) => {
                self.revision_times.cap(set_at, revision)
            }
        }
    }

    /// Puts a document in force if it is newer than the current one.
    pub(super) fn take_document(&mut self, text: Bytes, source: UpdateSource) -> SwitchResult<()> {
        let catalog = read_document(&text)?;
        if let Some(known) = self.document_version()
            && known >= catalog.version
        {
            if known > catalog.version && source.is_current() {
                let (version, known) = (catalog.version.0, known.0);
                log_event!(
                    events::DOCUMENT_OLDER,
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
        self.document = Some(CurrentDocument {
            catalog: Arc::new(catalog),
            text,
        });
        Ok(())
    }

    /// Merges the full table of backend servers.
    pub(crate) fn set_backends(&mut self, view: &TableView, now: ClockTime) {
        if view.revision < self.backends_revision {
            log_event!(
                events::STALE_READ,
                "revision={} known={}",
                revision_text(view.revision),
                revision_text(self.backends_revision)
            );
            return;
        }
        let is_listed = |id: &str| view.rows.iter().any(|row| row.key == id);
        self.remove_unlisted(is_listed, now);
        self.unreadable.keep_listed(TableName::Backends, is_listed);
        self.change_backends(view, now);
    }

    /// Merges changes of the table of backend servers.
    pub(crate) fn change_backends(&mut self, view: &TableView, now: ClockTime) {
        for row in &view.rows {
            let table = TableName::Backends;
            let Some(value) = &row.value else {
                self.remove_backend(&row.key, now);
                self.unreadable.note(table, &row.key, RowStatus::Removed);
                continue;
            };
            let read = read_backend_row(&row.key, value, view.store_time);
            self.unreadable.note(table, &row.key, RowStatus::of(&read));
            match read {
                Ok(facts) => self.backends.put(facts, row.revision),
                Err(_) => self.backends.drop_entry(&row.key),
            }
        }
        self.set_backends_revision(view.revision);
    }

    pub(super) fn set_backends_revision(&mut self, revision: u64) {
        self.backends_revision = self.backends_revision.max(revision);
    }

    /// Handles the removal of the entries that a full list does not contain.
    pub(super) fn remove_unlisted(&mut self, is_listed: impl Fn(&str) -> bool, now: ClockTime) {
        for id in self.backends.unlisted(is_listed) {
            self.remove_backend(&id, now);
        }
    }

    fn remove_backend(&mut self, id: &str, now: ClockTime) {
        let settled_at = self.settled_at(now);
        self.backends.remove(id, settled_at, now);
    }

    /// Whether the grace period of a removed entry is over at `now`.
    pub(crate) fn has_expired(&self, now: ClockTime) -> bool {
        self.backends.has_expired(now)
    }

    /// Removes backend servers whose entries did not return within the grace period.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        self.backends.expire(now);
    }

    /// Merges the system's own rows. `set_at` dates the recorded versions that are new to this
    /// process.
    pub(crate) fn take_own_rows(&mut self, own: OwnRows, set_at: TargetUpdateTime) {
        self.has_own_rows = true;
        self.own_revision = self.own_revision.max(own.revision);
        self.unreadable.note_own(&own);
        if own.is_complete {
            self.versions.keep_listed_records(&own);
        }
        let faulty = own.faulty_records();
        self.add_entries(own.entries);
        for model in faulty {
            // Another writer has overwritten the record, so the version is recorded again.
            self.versions.note_record_row(&model, 0);
        }
        for record in own.records {
            self.versions.take_record(record, set_at);
        }
    }

    /// Names the entry host that this process is.
    pub(crate) fn set_own_host(&mut self, host: ByteString) {
        self.agreement.set_own_host(host);
    }

    /// Records that the entry hosts include all that the store listed at `answered_at`, among them
    /// this one if `is_registered`.
    pub(crate) fn note_entry_table(
        &mut self,
        is_registered: bool,
        answered_at: StoreTime,
        now: ClockTime,
    ) {
        self.agreement
            .note_table(&self.entries, is_registered, answered_at, now);
    }

    /// Whether all other entry hosts are known to count this one.
    pub(crate) const fn is_counted(&self) -> bool {
        self.agreement.is_agreed()
    }

    /// The store's revision as of which the system's own rows were last read.
    pub(crate) const fn own_revision(&self) -> u64 {
        self.own_revision
    }

    /// Whether the system's own rows were read.
    pub(crate) const fn has_own_rows(&self) -> bool {
        self.has_own_rows
    }

    /// Records that the row for the version of `model` has `revision`, 0 if there is none. The
    /// content does not matter: an unreadable row of another writer is overwritten.
    pub(crate) fn note_record_row(&mut self, model: &ByteString, revision: u64) {
        self.versions.note_record_row(model, revision);
    }

    /// The versions to record in the store, each with the revision that its row has; none while the
    /// store does not answer.
    pub(crate) fn unrecorded(&self) -> Vec<VersionRecord> {
        match self.store_steady_since {
            Some(_) => self.versions.unrecorded(),
            None => Vec::new(),
        }
    }

    /// Merges entry hosts known elsewhere.
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
        self.agreement.follow_list(&self.entries);
    }

    /// The snapshot for request handling.
    pub(super) fn snapshot(&self) -> DeploymentSnapshot {
        DeploymentSnapshot {
            catalog: self
                .document
                .as_ref()
                .map(|current| current.catalog.clone()),
            fleet: Arc::new(FleetView {
                backends: self.backends.all().cloned().collect(),
            }),
            targets: Arc::new(self.versions.on_local_clock(&self.clock)),
            entries: Arc::new(self.entries.clone()),
            entries_digest: self.entries_digest(),
            entry_sharing: self.agreement.sharing(&self.entries, &self.clock),
            has_spent: self.agreement.has_spent(),
            crashes: self.crashes.clone(),
            clock: self.clock,
            evacuated: Arc::new(self.evacuations.active()),
        }
    }
}

/// Logs the error if a document is unreadable.
pub(super) fn note_document_fault(read: &SwitchResult<()>) {
    if let Err(error) = read {
        log_event!(events::DOCUMENT_UNREADABLE, "{error}");
    }
}
