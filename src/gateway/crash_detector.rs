//! Detects whether a backend server that closed connections during requests has crashed, and what
//! these requests have in common with others.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::crash_news::NewsQueue;
use super::events;
use crate::events::log_event;
use crate::fleet::{BackendFacts, BackendKey};
use crate::load_reports::CrashNotice;
use crate::metrics;
use crate::quarantine::{
    AnswerCount, AnswerTally, BackendIncarnation, CrashSuspect, RecentAnswers, SuspectDepth,
    SuspectDigest,
};
use crate::sync::{DeploymentState, SharedDeploymentState};
use crate::time::{ClockTime, clock_now};

/// How long requests are collected that were interrupted together with the first one.
const GATHER_SPAN: Duration = Duration::from_millis(20);
/// How long the probe waits for its connection to be accepted or refused.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A request in progress at a backend server that closed its connection.
#[derive(Clone, Debug)]
pub(super) struct InterruptedRequest {
    /// The backend server.
    pub(super) key: BackendKey,
    /// What may have crashed the backend server: the whole request, and the parts of its prompt
    /// unless the backend server had begun to answer.
    pub(super) suspects: Vec<CrashSuspect>,
}

/// Detects crashes and records the requests that were in progress. Clones share their state.
#[derive(Clone, Debug)]
pub(super) struct CrashDetector {
    deployment_state: SharedDeploymentState,
    /// Interrupted requests at backend servers that are being probed.
    interrupted: Arc<Mutex<Vec<InterruptedRequest>>>,
    answered: Arc<Mutex<RecentAnswers>>,
    /// Answers to requests with each part of a prompt.
    tally: Arc<Mutex<AnswerTally>>,
    /// Identifies this process in counts of answers.
    process: u64,
    news: NewsQueue,
}

impl CrashDetector {
    /// Creates a detector that records crashes in `deployment_state`.
    pub(super) fn new(deployment_state: SharedDeploymentState) -> Self {
        Self {
            deployment_state,
            interrupted: Arc::default(),
            answered: Arc::default(),
            tally: Arc::default(),
            process: rand::random(),
            news: NewsQueue::default(),
        }
    }

    /// Records that `backend` closed the connection of a request, and starts a probe if none is
    /// running for that backend server.
    pub(super) fn note_interrupted(&self, interrupted: InterruptedRequest, backend: &BackendFacts) {
        let key = interrupted.key;
        let is_probed = {
            let mut interrupted_requests = self
                .interrupted
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let is_probed = interrupted_requests.iter().any(|other| other.key == key);
            interrupted_requests.push(interrupted);
            is_probed
        };
        if !is_probed {
            let incarnation = BackendIncarnation::of(&backend.id, backend.start_time);
            let (id, address) = (backend.id.clone(), backend.address);
            tokio::spawn(self.clone().probe(key, incarnation, (id, address)));
        }
    }

    /// Distinguishes a crash from reset connections: a crashed process refuses new connections,
    /// while one whose connections were reset accepts them.
    async fn probe(
        self,
        key: BackendKey,
        incarnation: BackendIncarnation,
        (id, address): (ByteString, SocketAddr),
    ) {
        sleep(GATHER_SPAN).await;
        let is_refused = refuses_connections(address).await;
        let mut suspects = self.take_interrupted(key);
        let now = clock_now();
        suspects.retain(|suspect| !self.was_answered(suspect.digest, now));
        if is_refused {
            metrics::count_event("backend_crashed", 1);
            let (requests, parts): (Vec<_>, Vec<_>) = suspects
                .iter()
                .partition(|suspect| suspect.depth == SuspectDepth::WHOLE);
            log_event!(
                events::BACKEND_CRASHED,
                "backend={id} requests={} parts={}",
                list_text(&requests),
                list_text(&parts)
            );
            let mut records = Vec::new();
            self.deployment_state
                .change(|state| records = state.note_crash(incarnation, &suspects, now));
            self.news.push_records(records);
            self.report_answers(now);
        }
    }

    /// Takes the distinct suspects that were interrupted at `key`, whose probe has ended.
    fn take_interrupted(&self, key: BackendKey) -> Vec<CrashSuspect> {
        let mut interrupted_requests = self
            .interrupted
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let removed = interrupted_requests.extract_if(.., |interrupted| interrupted.key == key);
        let mut suspects: Vec<CrashSuspect> = removed
            .flat_map(|interrupted| interrupted.suspects)
            .collect();
        suspects.sort_unstable();
        suspects.dedup_by_key(|suspect| suspect.digest);
        suspects
    }

    /// Records that a backend server answered a request with `parts` in its prompt, or began to, and
    /// went on.
    pub(super) fn note_begun(&self, parts: impl Iterator<Item = CrashSuspect>, now: ClockTime) {
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        for part in parts {
            tally.push(part.digest, now);
        }
    }

    /// Adds the own answers to requests with suspected parts to the evidence.
    pub(super) fn report_answers(&self, now: ClockTime) {
        let crashes = self.deployment_state.snapshot().load().crashes.clone();
        let parts: Vec<SuspectDigest> = crashes
            .at_risk()
            .iter()
            .map(|suspect| suspect.digest)
            .collect();
        let changed = {
            let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
            tally.take_changed(&parts, now)
        };
        let counts: Vec<AnswerCount> = changed
            .into_iter()
            .map(|(part, answers)| AnswerCount {
                part,
                process: self.process,
                answers,
            })
            .collect();
        if !counts.is_empty() {
            self.deployment_state
                .change(|state| state.note_answers(&counts));
            self.news.push_answers(counts);
        }
        self.clear_answered_parts();
    }

    fn clear_answered_parts(&self) {
        // Each change of the deployment state wakes the tasks that wait for changes.
        if !self
            .deployment_state
            .read(DeploymentState::has_answered_parts)
        {
            return;
        }
        let mut records = Vec::new();
        self.deployment_state
            .change(|state| records = state.clear_answered_parts());
        self.news.push_records(records);
    }

    /// Merges what another entry host saw.
    pub(super) fn merge_notice(&self, notice: &CrashNotice, now: ClockTime) {
        self.deployment_state.change(|state| {
            state.merge_announced_crashes(&notice.records, now);
            state.note_answers(&notice.answers);
        });
        self.report_answers(now);
    }

    /// Returns the queue of what the other entry hosts have to be told.
    pub(super) const fn news(&self) -> &NewsQueue {
        &self.news
    }

    /// Announces again up to `records_max` of the crashes that the store does not hold, newest first.
    pub(super) fn repeat_news(&self, records_max: usize) {
        let mut records = self
            .deployment_state
            .read(DeploymentState::unstored_crashes);
        records.sort_unstable_by_key(|record| std::cmp::Reverse(record.seen));
        records.truncate(records_max);
        self.news.push_records(records);
    }

    /// Records that `request` was answered in full at `now`.
    pub(super) fn note_answered(&self, request: SuspectDigest, now: ClockTime) {
        self.lock_answered().push(request, now);
        let crashes = self.deployment_state.snapshot().load().crashes.clone();
        if crashes.is_at_risk(request, now) {
            self.clear(request);
        }
    }

    /// Returns the first of `suspects` that is quarantined, and how long after `now` requests with it
    /// must not be sent to any backend server.
    pub(super) fn quarantine(
        &self,
        suspects: impl IntoIterator<Item = CrashSuspect>,
        now: ClockTime,
    ) -> Option<(CrashSuspect, Duration)> {
        let crashes = self.deployment_state.snapshot().load().crashes.clone();
        // Digests are not computed while nothing is quarantined.
        crashes.quarantined().next()?;
        suspects.into_iter().find_map(|suspect| {
            let left = crashes.quarantine(suspect.digest, now)?;
            if self.was_answered(suspect.digest, now) {
                // Entry hosts that have not seen the complete response still suspect it.
                self.clear(suspect.digest);
                return None;
            }
            Some((suspect, left))
        })
    }

    fn clear(&self, request: SuspectDigest) {
        let mut records = Vec::new();
        self.deployment_state
            .change(|state| records = state.clear_request(request));
        self.news.push_records(records);
    }

    fn was_answered(&self, request: SuspectDigest, now: ClockTime) -> bool {
        self.lock_answered().contains(request, now)
    }

    fn lock_answered(&self) -> MutexGuard<'_, RecentAnswers> {
        self.answered.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn list_text(suspects: &[&CrashSuspect]) -> String {
    let digests: Vec<String> = suspects
        .iter()
        .map(|suspect| suspect.digest.to_string())
        .collect();
    digests.join(",")
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let opened = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused)
}
