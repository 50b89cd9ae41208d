//! Passes the events of a stream on to the client, and resumes the stream at another backend server
//! when one stops or pauses.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::forward::next_response;
use super::forward_state::ForwardState;
use super::gateway_state::{GatewayState, RunProgress};
use super::request_job::RequestJob;
use super::request_log::{log_stream_broken, log_stream_end, log_stream_resumed};
use super::retry_budgets::ResendReason;
use super::send_attempt::OpenResponse;
use super::stream_source::{SourceStep, StreamSource, next_step};
use crate::daemon::RequestGuard;
use crate::errors::SwitchResult;
use crate::fleet::CallOutcome;
use crate::time::{ClockTime, clock_now};
use crate::transport::stall_tolerant_timeout;

/// How long a stream may pause before another backend server is to resume it. Clients give up
/// after 2.4 s. An engine that reads a long prompt of another request pauses for 0.1 s; one whose
/// partner has died stalls for 1.5 s.
const STREAM_PAUSE_MAX: Duration = Duration::from_millis(900);

/// Result of waiting for the next events.
enum RelayStep {
    Events(Bytes),
    End,
    /// No backend server works on the stream any more.
    Interrupted(String),
}

/// A stream in progress.
pub(super) struct StreamRelay {
    state: ForwardState,
    gateway: Arc<GatewayState>,
    job: Arc<RequestJob>,
    /// The backend servers that work on the stream. There are several from a pause on, until one of
    /// them continues.
    sources: Vec<StreamSource>,
    last_event: Option<u64>,
    is_finished: bool,
    /// Whether a backend server has gone on beyond the beginning of its answer.
    has_begun: bool,
    timing: StreamTiming,
    _live: RequestGuard,
}

/// Timing of the events of a stream, for its log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamTiming {
    /// Time of the first event.
    pub(super) first_at: Option<ClockTime>,
    last_at: Option<ClockTime>,
    /// Longest pause between two events.
    pub(super) longest_pause: Duration,
}

impl StreamTiming {
    fn record(&mut self, now: ClockTime) {
        if let Some(last_at) = self.last_at {
            self.longest_pause = self.longest_pause.max(now.since(last_at));
        }
        self.first_at = self.first_at.or(Some(now));
        self.last_at = Some(now);
    }
}

impl StreamRelay {
    /// Creates the relay of the stream that `response` opens.
    pub(super) fn new(mut state: ForwardState, response: OpenResponse, live: RequestGuard) -> Self {
        state.note_stream_start();
        Self {
            gateway: state.gateway.clone(),
            job: state.job.clone(),
            last_event: state.job.head.last_event,
            state,
            sources: vec![StreamSource::new(response, None)],
            is_finished: false,
            has_begun: false,
            timing: StreamTiming::default(),
            _live: live,
        }
    }

    /// Returns the next complete events, or `None` after the last one. An error aborts the client's
    /// connection, so that a truncated stream never looks complete.
    pub(super) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        while !self.is_finished {
            match self.step().await {
                RelayStep::Events(bytes) => return Some(Ok(bytes)),
                RelayStep::End => self.finish(),
                RelayStep::Interrupted(reason) => {
                    if let Err(end) = self.resume(&reason).await {
                        log_stream_broken(&self.job, self.last_event, &end, clock_now());
                        self.state.mark_end_logged();
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
            let waiting = next_step(&mut self.sources, self.last_event);
            let received = match stall_tolerant_timeout(STREAM_PAUSE_MAX.min(left), waiting).await {
                Ok(received) => Some(received),
                Err(_) if left <= STREAM_PAUSE_MAX => return self.end_at_deadline(),
                Err(_) => match self.find_successor().await {
                    Ok(received) => received,
                    Err(reason) => return RelayStep::Interrupted(reason),
                },
            };
            let Some((at, step)) = received else {
                continue;
            };
            match step {
                SourceStep::Events { bytes, last } => {
                    self.note_events(at, last, clock_now());
                    return RelayStep::Events(bytes);
                }
                // It sent no event, and another source still works on the stream.
                SourceStep::End if self.sources.len() > 1 && self.sources[at].is_standby() => {
                    self.sources.remove(at).end(CallOutcome::Inconclusive);
                }
                SourceStep::End => {
                    self.keep_only(at);
                    return RelayStep::End;
                }
                SourceStep::Interrupted(reason) => {
                    let source = self.sources.remove(at);
                    source.end_interrupted(&self.gateway, &self.job, self.last_event, &reason);
                    if self.sources.is_empty() {
                        return RelayStep::Interrupted(reason);
                    }
                }
            }
        }
    }

    /// Returns how long the stream may still wait. A client that has received no event yet gets an
    /// error before it stops waiting.
    fn time_left(&self, now: ClockTime) -> Duration {
        match self.timing.first_at {
            None => self.state.client_wait_left(now),
            Some(_) => self.job.time_left(now),
        }
    }

    /// Searches for another backend server that resumes the stream after the last event, because
    /// the current ones are unresponsive. These are kept, since their pause may end and the search
    /// may fail. Returns what a source sent in the meantime.
    ///
    /// # Errors
    ///
    /// Why no backend server works on the stream any more.
    async fn find_successor(&mut self) -> Result<Option<(usize, SourceStep)>, String> {
        let since = clock_now();
        for source in &mut self.sources {
            source.note_unresponsive(since);
        }
        let claimed = self.state.claim_resend(ResendReason::StreamPaused, since);
        if claimed.is_err() {
            return Ok(None);
        }
        let mut interruption = None;
        let (received, found) = {
            let mut search = pin!(next_response(&mut self.state, self.last_event));
            loop {
                tokio::select! {
                    biased;
                    received = next_step(&mut self.sources, self.last_event),
                        if !self.sources.is_empty() =>
                    {
                        let (at, SourceStep::Interrupted(reason)) = received else {
                            break (Some(received), None);
                        };
                        let source = self.sources.remove(at);
                        source.end_interrupted(&self.gateway, &self.job, self.last_event, &reason);
                        interruption = Some(reason);
                    }
                    found = &mut search => break (None, Some(found)),
                }
            }
        };
        self.state.refund_retry(clock_now());
        let added = found.map_or(Ok(()), |found| self.add_source(found, since));
        match (added, interruption) {
            (Err(end), Some(reason)) if self.sources.is_empty() => {
                Err(format!("{reason}; then {end}"))
            }
            // Any source that is left may still continue.
            _ => Ok(received),
        }
    }

    /// Adds the backend server that `found` opens.
    fn add_source(
        &mut self,
        found: SwitchResult<OpenResponse>,
        since: ClockTime,
    ) -> Result<(), String> {
        match found {
            Ok(response) if response.head.status.is_success() => {
                self.sources.push(StreamSource::new(response, Some(since)));
                Ok(())
            }
            Ok(response) => {
                let status = response.head.status;
                response.ticket.end(CallOutcome::Answered, clock_now());
                Err(format!("answered {status}"))
            }
            Err(error) => Err(error.to_string()),
        }
    }

    /// Resumes the stream at another backend server after the last complete event, when no source
    /// is left.
    async fn resume(&mut self, reason: &str) -> Result<(), String> {
        let since = clock_now();
        let claimed = self
            .state
            .claim_resend(ResendReason::StreamInterrupted, since);
        if let Err(denial) = claimed {
            return Err(format!("{reason}; {denial}"));
        }
        let found = next_response(&mut self.state, self.last_event).await;
        self.state.refund_retry(clock_now());
        let added = self.add_source(found, since);
        added.map_err(|end| format!("{reason}; then {end}"))
    }

    /// Records that the source `at` sent events up to `last`.
    fn note_events(&mut self, at: usize, last: Option<u64>, now: ClockTime) {
        self.keep_only(at);
        if let Some(source) = self.sources.first_mut() {
            source.note_active();
            if !self.has_begun && source.progress() == RunProgress::Begun {
                self.has_begun = true;
                self.gateway.note_begun(&self.job, now);
            }
            if let Some(since) = source.search_started.take() {
                let backend = &source.response.ticket.facts.id;
                log_stream_resumed(&self.job, backend, self.last_event, now.since(since));
            }
        }
        self.last_event = last;
        self.timing.record(now);
        self.state.note_event(now);
    }

    /// Keeps the source `at` and ends the others.
    fn keep_only(&mut self, at: usize) {
        let source = self.sources.swap_remove(at);
        for other in std::mem::replace(&mut self.sources, vec![source]) {
            if !other.is_standby() {
                let reason = format!("silent for {STREAM_PAUSE_MAX:?}");
                other.log_cut(&self.job, self.last_event, &reason);
            }
            other.end(CallOutcome::Inconclusive);
        }
    }

    /// Ends all sources because the time of the stream is over.
    fn end_at_deadline(&mut self) -> RelayStep {
        let reason = "out of time";
        for source in self.sources.drain(..) {
            source.log_cut(&self.job, self.last_event, reason);
            source.end(CallOutcome::Failed);
        }
        RelayStep::Interrupted(reason.to_owned())
    }

    fn finish(&mut self) {
        self.is_finished = true;
        self.state.mark_end_logged();
        let Some(StreamSource { response, .. }) = self.sources.pop() else {
            return;
        };
        if response.head.is_framed {
            self.gateway.note_answered(&self.job, clock_now());
            if !self.has_begun {
                self.gateway.note_begun(&self.job, clock_now());
            }
        }
        let backend = &response.ticket.facts.id;
        let answered = (response.head.status, response.head.version);
        log_stream_end(&self.job, backend, answered, self.timing, clock_now());
        return_connection(&self.state, response);
    }

    /// Waits for the first event, so that an earlier failure can still be answered with an error
    /// status.
    pub(super) async fn first(&mut self) -> Result<Bytes, String> {
        match self.next().await {
            Some(Ok(bytes)) => Ok(bytes),
            Some(Err(fault)) => Err(fault.to_string()),
            None => Ok(Bytes::new()),
        }
    }
}

/// Ends the call and returns its connection to the pool if the connection can be reused.
pub(super) fn return_connection(state: &ForwardState, response: OpenResponse) {
    let now = clock_now();
    let OpenResponse {
        ticket,
        connection,
        head,
        ..
    } = response;
    let key = ticket.key;
    ticket.end(CallOutcome::Answered, now);
    state.gateway.freed.notify_waiters();
    if !head.closes {
        let gateway: &Arc<_> = &state.gateway;
        gateway
            .pool
            .put(key, connection, head.keep_alive_timeout, now);
    }
}
