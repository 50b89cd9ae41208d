//! A backend server's part of a stream, split into complete events.

use bytes::{Bytes, BytesMut};
use futures::future::select_all;
use http_body_util::BodyExt;

use super::event_reader::EventReader;
use super::gateway_state::{GatewayState, RunProgress};
use super::request_job::RequestJob;
use super::request_log::log_stream_cut;
use super::send_attempt::OpenResponse;
use crate::fleet::CallOutcome;
use crate::time::{ClockTime, clock_now};

/// Number of events from which on a backend server has gone on beyond the beginning of its answer. An
/// engine that crashes as it begins may still send the first one.
const BEGUN_EVENTS: u32 = 2;

/// What a source delivers next.
pub(super) enum SourceStep {
    /// Complete events, and the id of the last one that has an id.
    Events { bytes: Bytes, last: Option<u64> },
    /// The end of the stream.
    End,
    /// The backend server closed the connection before the end of the stream.
    Interrupted(String),
}

/// A backend server that works on the stream.
pub(super) struct StreamSource {
    pub(super) response: OpenResponse,
    reader: EventReader,
    /// When the search for it began, if it is to resume a stream that another backend server
    /// started.
    pub(super) search_started: Option<ClockTime>,
    /// Whether it has been recorded as unresponsive.
    is_unresponsive: bool,
    /// Number of events that it has sent.
    events: u32,
}

impl StreamSource {
    /// Creates the source that `response` opens.
    pub(super) fn new(response: OpenResponse, search_started: Option<ClockTime>) -> Self {
        Self {
            response,
            reader: EventReader::default(),
            search_started,
            is_unresponsive: false,
            events: 0,
        }
    }

    /// Returns whether the source is to resume the stream and has not sent an event yet.
    pub(super) const fn is_standby(&self) -> bool {
        self.search_started.is_some()
    }

    /// Waits for complete events after `last`. Cancel-safe.
    async fn next(&mut self, last: Option<u64>) -> SourceStep {
        loop {
            let (bytes, last) = self.events_after(last);
            if !bytes.is_empty() {
                return SourceStep::Events { bytes, last };
            }
            if self.reader.is_too_long() {
                return SourceStep::Interrupted("the event is too long".to_owned());
            }
            match self.response.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.reader.push(bytes);
                    }
                }
                Some(Err(fault)) => return SourceStep::Interrupted(fault.to_string()),
                None if self.reader.has_rest() => {
                    return SourceStep::Interrupted("ended within an event".to_owned());
                }
                None if !self.response.head.is_framed && self.events == 0 => {
                    // Without a length or chunks, a crash before the first event looks like an end,
                    // also where the client has events of another backend server.
                    return SourceStep::Interrupted("ended before its first event".to_owned());
                }
                None => return SourceStep::End,
            }
        }
    }

    /// Returns the complete events that have arrived. Events up to `last` are skipped, because a
    /// resuming backend server may begin earlier than requested.
    fn events_after(&mut self, mut last: Option<u64>) -> (Bytes, Option<u64>) {
        let mut events = BytesMut::new();
        while let Some(event) = self.reader.next() {
            self.events = self.events.saturating_add(1);
            if event.id.is_some() && event.id <= last {
                continue;
            }
            last = event.id.or(last);
            events.extend_from_slice(&event.bytes);
        }
        (events.freeze(), last)
    }

    /// Records once that the backend server is unresponsive; others are then preferred for a while.
    pub(super) fn note_unresponsive(&mut self, now: ClockTime) {
        if !self.is_unresponsive {
            self.is_unresponsive = true;
            self.response.ticket.note_unresponsive(now);
        }
    }

    /// Ends the source after the backend server closed its connection; `last` is the last event.
    pub(super) fn end_interrupted(
        self,
        gateway: &GatewayState,
        job: &RequestJob,
        last: Option<u64>,
        reason: &str,
    ) {
        let ticket = &self.response.ticket;
        self.log_cut(job, last, reason);
        gateway.note_interrupted(job, ticket, self.progress());
        self.end(CallOutcome::Failed);
    }

    /// Returns how far the backend server has come.
    pub(super) const fn progress(&self) -> RunProgress {
        if self.events < BEGUN_EVENTS {
            RunProgress::NotBegun
        } else {
            RunProgress::Begun
        }
    }

    /// Logs that the backend server does not continue the stream; `last` is the last event.
    pub(super) fn log_cut(&self, job: &RequestJob, last: Option<u64>, reason: &str) {
        let backend = &self.response.ticket.facts.id;
        log_stream_cut(job, backend, (last, self.events), reason);
    }

    /// Records that the backend server continued the stream.
    pub(super) const fn note_active(&mut self) {
        self.is_unresponsive = false;
    }

    /// Ends the source before the end of the stream.
    pub(super) fn end(self, end: CallOutcome) {
        // The unresponsive backend server was already recorded.
        let end = if self.is_unresponsive {
            CallOutcome::Inconclusive
        } else {
            end
        };
        self.response.ticket.end(end, clock_now());
    }
}

/// Waits until the first of `sources` delivers something after `last`, and returns its index. There
/// must be at least one source.
pub(super) async fn next_step(
    sources: &mut [StreamSource],
    last: Option<u64>,
) -> (usize, SourceStep) {
    if let [only] = sources {
        return (0, only.next(last).await);
    }
    let steps = sources.iter_mut().map(|source| Box::pin(source.next(last)));
    let (step, at, _) = select_all(steps).await;
    (at, step)
}
