//! What a process tells others that ask it, and takes in of what they tell.

use std::time::Duration;

use super::events;
use super::peer_messages::{PeerAsk, PeerView, WantedWord};
use super::store_clock::{AskSpan, ClockSource};
use super::view_book::{DocumentHeld, ViewBook, note_document_fault};
use super::wanted_versions::WordSource;
use crate::events::log_event;
use crate::fleet::BackendFacts;
use crate::time::ClockTime;

impl ViewBook {
    /// What this process knows already, for a neighbour.
    pub(crate) fn ask(&self) -> PeerAsk {
        PeerAsk {
            document: self.document_version(),
            can_wait_for_document: false,
            wanted: self.versions.all().to_vec(),
            backends_revision: self.backends_revision,
            entries: self.entries().len(),
            wait_ms: 0,
            follows: false,
            backends_digest: None,
            crashes_revision: None,
        }
    }

    /// The same for an entry host, which also has to know which requests crash backend servers.
    pub(super) fn entry_ask(&self) -> PeerAsk {
        PeerAsk {
            crashes_revision: Some(self.crashes.revision()),
            ..self.ask()
        }
    }

    /// Whether there is something that a process that asks has to know at once.
    pub(crate) fn has_urgent_news(&self, ask: &PeerAsk) -> bool {
        let mut wanted = self.versions.all().iter();
        self.newer_document(ask).is_some()
            || (ask.follows && (self.operator.is_cut_off() || self.has_backend_news(ask)))
            || self.has_crash_news(ask)
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
        let has_newer_backends = !ask.follows && self.backends_revision > ask.backends_revision;
        let changes = ask
            .follows
            .then(|| self.backend_changes(ask, now))
            .flatten();
        PeerView {
            document: document.map(|held| held.text.to_vec()),
            clock: self.clock.word(now),
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
            wanted: self.versions.all().to_vec(),
            backends: has_newer_backends.then(|| {
                let facts = self.backends.listed().map(|facts| (**facts).clone());
                (self.backends_revision, facts.collect())
            }),
            entries: if self.entries().len() > ask.entries {
                self.entries().to_vec()
            } else {
                Vec::new()
            },
            operator: self.operator.word(),
            backend_changes: changes,
            crashes: self.crash_words(ask),
            crashes_revision: ask.crashes_revision.map_or(0, |_| self.crashes.revision()),
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
        self.take_crash_words(&view.crashes, view.crashes_revision, span.heard);
    }

    fn replace_backends(&mut self, revision: u64, backends: Vec<BackendFacts>, now: ClockTime) {
        log_event!(events::NEIGHBOUR_KNEW, "backends revision={revision}");
        self.remove_unlisted(|id| backends.iter().any(|facts| *facts.id == *id), now);
        for facts in backends {
            self.backends.put(facts, revision);
        }
        self.backends_revision = revision;
    }
}
