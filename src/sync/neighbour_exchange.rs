//! What a process reports to others in response to a query, and how it merges their reports.

use std::cmp::Ordering;
use std::time::Duration;

use super::deployment_state::{CurrentDocument, DeploymentState, note_document_fault};
use super::entry_agreement::ListAgreement;
use super::evacuations::EvacuationRecord;
use super::events;
use super::peer_messages::{PeerQuery, PeerView, TargetAnnouncement};
use super::store_clock::{ClockSource, QuerySpan};
use super::target_versions::UpdateSource;
use crate::events::log_event;
use crate::fleet::BackendFacts;
use crate::platform::revision_text;
use crate::time::ClockTime;

impl DeploymentState {
    /// A query that states what this process knows.
    pub(crate) fn query(&self) -> PeerQuery {
        PeerQuery {
            document: self.document_version(),
            can_wait_for_document: false,
            targets: self.versions.all().to_vec(),
            backends_revision: self.backends_revision,
            entries: self.entries().len(),
            entries_digest: None,
            wait_ms: 0,
            follows: false,
            backends_digest: None,
            crashes_revision: None,
            evacuations_revision: self.evacuations.revision(),
            agreement: None,
            sender: None,
        }
    }

    /// The same for an entry host, which also needs the requests that crash backend servers, and has
    /// to know all entry hosts.
    pub(super) fn entry_query(&self) -> PeerQuery {
        PeerQuery {
            entries_digest: Some(self.entries_digest()),
            crashes_revision: Some(self.crashes.revision()),
            agreement: Some(self.agreement.agreement().clone()),
            ..self.query()
        }
    }

    /// Whether there is a change that must be reported to the querying process at once.
    pub(crate) fn has_urgent_changes(&self, query: &PeerQuery) -> bool {
        let mut known = self.versions.all().iter();
        self.newer_document(query).is_some()
            || (query.follows && (self.operator.is_cut_off() || self.has_backend_changes(query)))
            || self.has_new_crashes(query)
            || self.evacuations.revision() > query.evacuations_revision
            || known.any(|known| {
                query
                    .targets
                    .iter()
                    .all(|announcement| announcement.target != known.target)
            })
    }

    /// Whether the querying process may not know all entry hosts that are known here. One that knows
    /// more is asked for them by this process.
    fn has_other_entries(&self, query: &PeerQuery) -> bool {
        let is_different = query
            .entries_digest
            .is_some_and(|digest| digest != self.entries_digest());
        match self.entries().len().cmp(&query.entries) {
            Ordering::Greater => true,
            Ordering::Equal => is_different,
            Ordering::Less => false,
        }
    }

    /// The document, if it is newer than that of the querying process and not deferred by it.
    fn newer_document(&self, query: &PeerQuery) -> Option<&CurrentDocument> {
        let current = self.document.as_ref();
        current.filter(|current| {
            query.document < Some(current.catalog.version) && !query.can_wait_for_document
        })
    }

    /// Whether `announcements` contain unknown target versions or better update times.
    pub(crate) fn is_updated_by(&self, announcements: &[TargetAnnouncement]) -> bool {
        self.clock.is_known() && self.versions.is_updated_by(announcements)
    }

    /// Merges target versions announced by another process.
    pub(crate) fn merge_targets(&mut self, announcements: &[TargetAnnouncement], now: ClockTime) {
        // Update times mean nothing before the store's clock is known; they are announced again.
        if let Some(bounds) = self.clock.bounds(now) {
            self.versions.merge_targets(announcements, bounds.most);
        }
    }

    /// The response to `query` at `now`, after the query was held open for `held`.
    pub(crate) fn answer(&self, query: &PeerQuery, held: Duration, now: ClockTime) -> PeerView {
        let document = self.newer_document(query);
        let has_newer_backends = !query.follows && self.backends_revision > query.backends_revision;
        let changes = query
            .follows
            .then(|| self.backend_changes(query, now))
            .flatten();
        PeerView {
            document: document.map(|current| current.text.to_vec()),
            clock: self.clock.bounds(now),
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
            targets: self.versions.all().to_vec(),
            backends: has_newer_backends.then(|| {
                let facts = self.backends.listed().map(|facts| (**facts).clone());
                (self.backends_revision, facts.collect())
            }),
            entries: if self.has_other_entries(query) {
                self.entries().to_vec()
            } else {
                Vec::new()
            },
            agreement: query
                .agreement
                .as_ref()
                .map(|_| self.agreement.agreement().clone()),
            operator: self.operator.announcement(),
            backend_changes: changes,
            crashes: self.new_crashes(query),
            crashes_revision: query
                .crashes_revision
                .map_or(0, |_| self.crashes.revision()),
            evacuations: self.evacuations.records().to_vec(),
        }
    }

    /// Merges a neighbour's response to a query that was sent and answered within `span`.
    pub(crate) fn merge(&mut self, view: PeerView, span: QuerySpan) {
        if let Some(bounds) = view.clock {
            let sent_at = span.sent_at + Duration::from_millis(view.held_ms);
            let span = QuerySpan { sent_at, ..span };
            self.clock.note(bounds, span, ClockSource::Neighbour);
        }
        if let Some(text) = view.document {
            let read = self.take_document(text.into(), UpdateSource::Neighbour);
            note_document_fault(&read);
        }
        self.merge_targets(&view.targets, span.received_at);
        if let Some((revision, backends)) = view.backends
            && revision > self.backends_revision
        {
            self.replace_backends(revision, backends, span.received_at);
        }
        self.merge_evacuations(&view.evacuations);
        let has_list = !view.entries.is_empty();
        self.add_entries(view.entries);
        if let Some(agreement) = view.agreement {
            self.merge_agreement(&agreement, has_list, span.received_at);
        }
        self.merge_crashes(&view.crashes, view.crashes_revision, span.received_at);
    }

    /// Whether `reported` tells something new about the list of entry hosts.
    pub(crate) fn is_agreement_updated_by(&self, reported: &ListAgreement) -> bool {
        self.agreement.is_updated_by(reported)
    }

    /// Merges what another entry host reports about its list. `has_list` states that the list itself
    /// has been merged.
    pub(crate) fn merge_agreement(
        &mut self,
        reported: &ListAgreement,
        has_list: bool,
        now: ClockTime,
    ) {
        // Without the store's clock it is not known how old the reported list is.
        if let Some(bounds) = self.clock.bounds(now) {
            let reported = reported.bounded_by(bounds.most);
            self.agreement
                .merge(&reported, has_list, &self.entries, now);
        }
    }

    fn merge_evacuations(&mut self, records: &[EvacuationRecord]) {
        let announcement = self.operator().announcement();
        let known = announcement.map(|announcement| announcement.revision);
        self.evacuations.merge(records, known);
    }

    fn replace_backends(&mut self, revision: u64, backends: Vec<BackendFacts>, now: ClockTime) {
        log_event!(
            events::NEIGHBOUR_NEWER,
            "backends revision={}",
            revision_text(revision)
        );
        self.note_era(revision, now);
        self.remove_unlisted(|id| backends.iter().any(|facts| *facts.id == *id), now);
        for facts in backends {
            self.backends.put(facts, revision);
        }
        self.backends_revision = revision;
    }
}
