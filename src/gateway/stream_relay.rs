//! Passes a stream on event by event, and lets another backend server go on when one stops in the middle
//! or pauses.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::forward::next_answer;
use super::forwarder::Forwarder;
use super::gateway_state::GatewayState;
use super::request_job::RequestJob;
use super::request_log::{log_broken, log_resumed, log_stream_cut, log_stream_end};
use super::send_attempt::OpenAnswer;
use super::stream_source::{SourceStep, StreamSource, next_of};
use crate::daemon::RequestGuard;
use crate::errors::SwitchResult;
use crate::fleet::CallEnd;
use crate::time::{ClockTime, clock_now};
use crate::transport::stall_tolerant_timeout;

/// How long a stream may pause before another backend server is asked to go on. Clients give up after
/// 2.4 s; an engine that reads a long prompt for another request pauses for 0.1 s, and one whose partner
/// died stalls for 1.5 s.
const PAUSE_MAX: Duration = Duration::from_millis(900);

/// What came of waiting for the next events.
enum RelayStep {
    Events(Bytes),
    End,
    /// No backend server works on the stream any more.
    Cut(String),
}

/// A stream under way.
pub(super) struct StreamRelay {
    forwarder: Forwarder,
    gateway: Arc<GatewayState>,
    job: Arc<RequestJob>,
    /// The backend servers that work on it. There are several from a pause on until one of them goes on.
    sources: Vec<StreamSource>,
    last_event: Option<u64>,
    is_finished: bool,
    pace: StreamPace,
    _live: RequestGuard,
}

/// How a stream's events came, for its log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamPace {
    /// When the first came.
    pub(super) first_at: Option<ClockTime>,
    last_at: Option<ClockTime>,
    /// The longest pause between two.
    pub(super) longest_pause: Duration,
}

impl StreamPace {
    fn note(&mut self, now: ClockTime) {
        if let Some(last_at) = self.last_at {
            self.longest_pause = self.longest_pause.max(now.since(last_at));
        }
        self.first_at = self.first_at.or(Some(now));
        self.last_at = Some(now);
    }
}

impl StreamRelay {
    /// The stream of `answer`.
    pub(super) fn new(mut forwarder: Forwarder, answer: OpenAnswer, live: RequestGuard) -> Self {
        forwarder.note_begun();
        Self {
            gateway: forwarder.gateway.clone(),
            job: forwarder.job.clone(),
            last_event: forwarder.job.head.last_event,
            forwarder,
            sources: vec![StreamSource::new(answer, None)],
            is_finished: false,
            pace: StreamPace::default(),
            _live: live,
        }
    }

    /// The next whole events; `None` behind the last. An error breaks the client's connection off,
    /// so that a stream that is not whole never looks complete.
    pub(super) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        while !self.is_finished {
            match self.step().await {
                RelayStep::Events(bytes) => return Some(Ok(bytes)),
                RelayStep::End => self.finish(),
                RelayStep::Cut(why) => {
                    if let Err(end) = self.resume(&why).await {
                        log_broken(&self.job, self.last_event, &end, clock_now());
                        self.forwarder.note_end();
                        self.is_finished = true;
                        return Some(Err(io::Error::other(end)));
                    }
                }
            }
        }
        None
    }

    async fn step(&mut self) -> RelayStep {
        loop {
            let left = self.time_left(clock_now());
            let waiting = next_of(&mut self.sources, self.last_event);
            let came = match stall_tolerant_timeout(PAUSE_MAX.min(left), waiting).await {
                Ok(came) => Some(came),
                Err(_) if left <= PAUSE_MAX => return self.end_late(),
                Err(_) => match self.seek_successor().await {
                    Ok(came) => came,
                    Err(why) => return RelayStep::Cut(why),
                },
            };
            let Some((at, step)) = came else {
                continue;
            };
            match step {
                SourceStep::Events { bytes, last } => {
                    self.note_events(at, last, clock_now());
                    return RelayStep::Events(bytes);
                }
                // It brought nothing, and another one still works on the stream.
                SourceStep::End if self.sources.len() > 1 && self.sources[at].is_unproven() => {
                    self.sources.remove(at).end(CallEnd::Nothing);
                }
                SourceStep::End => {
                    self.keep_only(at);
                    return RelayStep::End;
                }
                SourceStep::Cut(why) => {
                    let source = self.sources.remove(at);
                    source.end_cut(&self.gateway, &self.job, self.last_event, &why);
                    if self.sources.is_empty() {
                        return RelayStep::Cut(why);
                    }
                }
            }
        }
    }

    /// How long it may go on. A client that has got nothing yet is answered before it stops waiting.
    fn time_left(&self, now: ClockTime) -> Duration {
        match self.pace.first_at {
            None => self.forwarder.wait_left(now),
            Some(_) => self.job.time_left(now),
        }
    }

    /// The backend servers are silent: looks for one more that goes on behind the last event, and keeps
    /// the others, since a pause may end and the search may find nobody. Returns what a source brought
    /// meanwhile.
    ///
    /// # Errors
    ///
    /// Why no backend server works on the stream any more.
    async fn seek_successor(&mut self) -> Result<Option<(usize, SourceStep)>, String> {
        let since = clock_now();
        for source in &mut self.sources {
            source.note_silent(since);
        }
        if self.forwarder.pay_repeat(since).is_err() {
            return Ok(None);
        }
        let sends = self.forwarder.tried().len();
        let mut cut = None;
        let (came, found) = {
            let mut search = pin!(next_answer(&mut self.forwarder, self.last_event));
            loop {
                tokio::select! {
                    biased;
                    came = next_of(&mut self.sources, self.last_event),
                        if !self.sources.is_empty() =>
                    {
                        let (at, SourceStep::Cut(why)) = came else {
                            break (Some(came), None);
                        };
                        let source = self.sources.remove(at);
                        source.end_cut(&self.gateway, &self.job, self.last_event, &why);
                        cut = Some(why);
                    }
                    found = &mut search => break (None, Some(found)),
                }
            }
        };
        self.refund_unsent(sends);
        let added = found.map_or(Ok(()), |found| self.add_source(found, since));
        match (added, cut) {
            (Err(end), Some(why)) if self.sources.is_empty() => Err(format!("{why}; then {end}")),
            // Whoever works on the stream still may go on.
            _ => Ok(came),
        }
    }

    /// Gives the retry of a search back that has sent nothing since there were `sends`.
    fn refund_unsent(&self, sends: usize) {
        if self.forwarder.tried().len() == sends {
            self.forwarder.refund_retry(clock_now());
        }
    }

    /// Adds the backend server that `found` opens.
    fn add_source(
        &mut self,
        found: SwitchResult<OpenAnswer>,
        since: ClockTime,
    ) -> Result<(), String> {
        match found {
            Ok(answer) if answer.facts.status.is_success() => {
                self.sources.push(StreamSource::new(answer, Some(since)));
                Ok(())
            }
            Ok(answer) => {
                let status = answer.facts.status;
                answer.ticket.end(CallEnd::Answered, clock_now());
                Err(format!("answered {status}"))
            }
            Err(error) => Err(error.to_string()),
        }
    }

    /// Goes on at another backend server behind the last whole event, when none works on it any more.
    async fn resume(&mut self, why: &str) -> Result<(), String> {
        let since = clock_now();
        if let Err(bar) = self.forwarder.pay_repeat(since) {
            return Err(format!("{why}; {bar}"));
        }
        let sends = self.forwarder.tried().len();
        let found = next_answer(&mut self.forwarder, self.last_event).await;
        self.refund_unsent(sends);
        let added = self.add_source(found, since);
        added.map_err(|end| format!("{why}; then {end}"))
    }

    /// The source `at` brought events up to `last`.
    fn note_events(&mut self, at: usize, last: Option<u64>, now: ClockTime) {
        self.keep_only(at);
        if let Some(source) = self.sources.first_mut() {
            source.note_heard();
            if let Some(since) = source.sought_at.take() {
                let backend = &source.answer.ticket.facts.id;
                log_resumed(&self.job, backend, self.last_event, now.since(since));
            }
        }
        self.last_event = last;
        self.pace.note(now);
        self.forwarder.note_event(now);
    }

    /// The source `at` goes on; the others are not needed.
    fn keep_only(&mut self, at: usize) {
        let kept = self.sources.swap_remove(at);
        for other in std::mem::replace(&mut self.sources, vec![kept]) {
            if !other.is_unproven() {
                let silence = format!("silent for {PAUSE_MAX:?}");
                let backend = &other.answer.ticket.facts.id;
                log_stream_cut(&self.job, backend, self.last_event, &silence);
            }
            other.end(CallEnd::Nothing);
        }
    }

    /// Its time is over.
    fn end_late(&mut self) -> RelayStep {
        let why = "out of time";
        for source in self.sources.drain(..) {
            let backend = &source.answer.ticket.facts.id;
            log_stream_cut(&self.job, backend, self.last_event, why);
            source.end(CallEnd::Failed);
        }
        RelayStep::Cut(why.to_owned())
    }

    fn finish(&mut self) {
        self.is_finished = true;
        self.forwarder.note_end();
        let Some(StreamSource { answer, .. }) = self.sources.pop() else {
            return;
        };
        if answer.facts.is_framed {
            self.gateway.note_answered(&self.job, clock_now());
        }
        let backend = &answer.ticket.facts.id;
        let answered = (answer.facts.status, answer.facts.version);
        log_stream_end(&self.job, backend, answered, self.pace, clock_now());
        put_away(&self.forwarder, answer);
    }

    /// Waits until the first event is there, so that a failure before it can still be answered.
    pub(super) async fn first(&mut self) -> Result<Bytes, String> {
        match self.next().await {
            Some(Ok(bytes)) => Ok(bytes),
            Some(Err(fault)) => Err(fault.to_string()),
            None => Ok(Bytes::new()),
        }
    }
}

/// The call is over and its connection is kept for another, if it can be.
pub(super) fn put_away(forwarder: &Forwarder, answer: OpenAnswer) {
    let now = clock_now();
    let OpenAnswer {
        ticket,
        connection,
        facts,
        ..
    } = answer;
    let key = ticket.key;
    ticket.end(CallEnd::Answered, now);
    forwarder.gateway.freed.notify_waiters();
    if !facts.closes {
        let shelf: &Arc<_> = &forwarder.gateway;
        shelf
            .shelf
            .put(key, connection, facts.keep_alive_timeout, now);
    }
}
