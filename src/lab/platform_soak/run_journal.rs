//! What clients and backend servers saw, and what was done to the system, in one place.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::platform::{BackendRun, RunEvent};
use crate::time::ClockTime;

/// A part of the system that can be disturbed.
#[apply(key!)]
pub(super) enum SoakPart {
    /// The store, for all.
    Store,
    /// An entry host's process, or its link to the store.
    Entry(usize),
    /// The process beside an engine.
    Host(usize),
    /// A backend server, or the links to it.
    Backend(usize),
}

/// What a client asks for.
#[apply(key!)]
pub(super) enum CallKind {
    /// It may be repeated.
    Read,
    /// It may run once at most.
    Write,
    /// A stream, which may run once at most.
    Stream,
    /// A stream that may be resumed.
    ResumableStream,
}

impl CallKind {
    /// Whether it may run once at most.
    pub(super) const fn is_single(self) -> bool {
        matches!(self, Self::Write | Self::Stream)
    }

    /// Whether it is answered event by event.
    pub(super) const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// How a call ended, as its client saw it.
#[apply(plain!)]
pub(super) enum CallEnd {
    /// A whole answer that is the client's own.
    Whole,
    /// A status without success.
    Refused(u16),
    /// A connection that ended, or none at all.
    Broken(&'static str),
    /// The client stopped waiting and closed its connection.
    Abandoned,
    /// An answer that no client may get.
    Wrong(String),
}

/// A client's call.
#[apply(plain!)]
pub(super) struct CallRecord {
    /// The client's name of it.
    pub(super) attempt: String,
    /// The entry host that it went to.
    pub(super) entry: usize,
    /// What it asks for.
    pub(super) kind: CallKind,
    /// The key that it carries.
    pub(super) secret: String,
    /// How long it may take: its client's time or its route's timeout, whichever is shorter.
    pub(super) time: Duration,
    /// When it was sent.
    pub(super) sent: ClockTime,
    /// How and when it ended; none while it is under way.
    pub(super) end: Option<(CallEnd, ClockTime)>,
}

/// A key of a client account and when it was good.
#[apply(plain!)]
pub(super) struct KeyLife {
    /// The key.
    pub(super) secret: String,
    /// The account that holds it.
    pub(super) account: &'static str,
    /// When the store had taken the document that brought it.
    pub(super) added: ClockTime,
    /// When the store had taken the document that no longer has it.
    pub(super) revoked: Option<ClockTime>,
}

/// Something that was done to the system.
#[apply(plain!)]
pub(super) struct DeedRecord {
    /// What it disturbs; nothing for a change of a document, a version or a key.
    pub(super) parts: Vec<SoakPart>,
    /// What was done.
    pub(super) text: String,
    /// Whether it is the platform's or the operator's planned work, and no fault.
    pub(super) is_planned: bool,
    /// When it began.
    pub(super) begun: ClockTime,
    /// When it was over; none while it goes on.
    pub(super) ended: Option<ClockTime>,
}

/// Planned work beside which no answer may end unfinished.
#[apply(key!)]
pub(super) enum PlannedWork {
    /// SIGTERM of an entry host.
    Stop(usize),
    /// SIGHUP of an entry host.
    Reload(usize),
    /// A new document.
    Document,
}

/// When planned work was done.
#[apply(plain!)]
pub(super) struct WorkRecord {
    /// The work.
    pub(super) work: PlannedWork,
    /// When the signal or the document was sent.
    pub(super) sent: ClockTime,
    /// When the store had taken the document; the same as `sent` for signals.
    pub(super) confirmed: ClockTime,
}

/// All of it.
#[derive(Default)]
pub(super) struct RunRecords {
    /// The clients' calls.
    pub(super) calls: Vec<CallRecord>,
    /// Requests that backend servers began to work on.
    pub(super) runs: Vec<BackendRun>,
    /// What was done to the system.
    pub(super) deeds: Vec<DeedRecord>,
    /// Planned work.
    pub(super) works: Vec<WorkRecord>,
    /// Versions of the weights and when the store had taken their naming.
    pub(super) namings: Vec<(u64, ClockTime)>,
    /// The clients' keys.
    pub(super) keys: Vec<KeyLife>,
    /// Broken promises that show at once, with when.
    pub(super) breaches: Vec<(ClockTime, String)>,
}

impl RunRecords {
    /// Whether nothing disturbed any of `parts` in `span` before `until`.
    pub(super) fn is_calm(&self, parts: &[SoakPart], span: Duration, until: ClockTime) -> bool {
        let span = (until - span, until);
        !self.deeds.iter().any(|deed| deed.disturbs(parts, span))
    }

    /// Whether no fault disturbed any of `parts` in `span`. Planned work is no fault.
    pub(super) fn is_without_faults(
        &self,
        parts: &[SoakPart],
        span: (ClockTime, ClockTime),
    ) -> bool {
        let mut faults = self.deeds.iter().filter(|deed| !deed.is_planned);
        !faults.any(|deed| deed.disturbs(parts, span))
    }
}

impl DeedRecord {
    fn disturbs(&self, parts: &[SoakPart], (from, until): (ClockTime, ClockTime)) -> bool {
        let touches = self.parts.iter().any(|part| parts.contains(part));
        touches && self.begun <= until && self.ended.is_none_or(|ended| ended >= from)
    }
}

/// The records; its clones share them.
#[derive(Clone, Default)]
pub(super) struct RunJournal {
    records: Arc<Mutex<RunRecords>>,
}

impl RunJournal {
    /// The records, to read or to add to.
    pub(super) fn lock(&self) -> MutexGuard<'_, RunRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call is sent.
    pub(super) fn begin_call(&self, call: CallRecord) -> usize {
        let mut records = self.lock();
        records.calls.push(call);
        records.calls.len() - 1
    }

    /// The call with this `number` ended.
    pub(super) fn end_call(&self, number: usize, end: CallEnd, now: ClockTime) {
        self.lock().calls[number].end = Some((end, now));
    }

    /// Something begins to be done.
    pub(super) fn begin_deed(&self, deed: DeedRecord) -> usize {
        let mut records = self.lock();
        records.deeds.push(deed);
        records.deeds.len() - 1
    }

    /// Planned work was done.
    pub(super) fn note_work(&self, work: WorkRecord) {
        self.lock().works.push(work);
    }

    /// What backend servers say of their runs.
    pub(super) fn note_run(&self, word: RunEvent) {
        let mut records = self.lock();
        match word {
            RunEvent::Started(sighting) => records.runs.push(sighting),
            RunEvent::Ended(ended) => {
                let mut runs = records.runs.iter_mut().rev();
                let is_it = |run: &&mut BackendRun| {
                    run.attempt == ended.attempt && run.backend == ended.backend
                };
                if let Some(run) = runs.find(is_it) {
                    run.end = Some((ended.end, ended.at));
                }
            }
        }
    }

    /// The deed with this `number` is over.
    pub(super) fn end_deed(&self, number: usize, now: ClockTime) {
        self.lock().deeds[number].ended = Some(now);
    }

    /// A promise was seen broken.
    pub(super) fn note_breach(&self, now: ClockTime, text: String) {
        self.lock().breaches.push((now, text));
    }
}
