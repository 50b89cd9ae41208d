//! One backend server's part of a stream, cut into whole events.

use bytes::{Bytes, BytesMut};
use futures::future::select_all;
use http_body_util::BodyExt;

use super::event_reader::EventReader;
use super::gateway_state::GatewayState;
use super::request_job::RequestJob;
use super::request_log::log_stream_cut;
use super::send_attempt::OpenResponse;
use crate::fleet::CallEnd;
use crate::time::{ClockTime, clock_now};

/// What a source brings next.
pub(super) enum SourceStep {
    /// Whole events, and the id of the last one that has an id.
    Events { bytes: Bytes, last: Option<u64> },
    /// Its end.
    End,
    /// The backend server closed the connection before the stream's end.
    Interrupted(String),
}

/// A backend server that works on the stream.
pub(super) struct StreamSource {
    pub(super) response: OpenResponse,
    reader: EventReader,
    /// When it was looked for, if it is to go on with a stream that another one began.
    pub(super) search_started: Option<ClockTime>,
    /// Whether it was reported as silent.
    is_silent: bool,
}

impl StreamSource {
    /// The source that `response` opens.
    pub(super) fn new(response: OpenResponse, search_started: Option<ClockTime>) -> Self {
        Self {
            response,
            reader: EventReader::default(),
            search_started,
            is_silent: false,
        }
    }

    /// Whether it was looked for and has not gone on with the stream yet.
    pub(super) const fn is_standby(&self) -> bool {
        self.search_started.is_some()
    }

    /// Waits for whole events behind `last`. Nothing is lost when the wait is given up.
    async fn next(&mut self, last: Option<u64>) -> SourceStep {
        loop {
            let (bytes, last) = self.events_after(last);
            if !bytes.is_empty() {
                return SourceStep::Events { bytes, last };
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
                None => return SourceStep::End,
            }
        }
    }

    /// The whole events that have arrived. Those up to `last` are left out: a backend server that goes
    /// on may begin earlier than it was asked to.
    fn events_after(&mut self, mut last: Option<u64>) -> (Bytes, Option<u64>) {
        let mut events = BytesMut::new();
        while let Some(event) = self.reader.next() {
            if event.id.is_some() && event.id <= last {
                continue;
            }
            last = event.id.or(last);
            events.extend_from_slice(&event.bytes);
        }
        (events.freeze(), last)
    }

    /// Reports once that the backend server is silent: others are preferred for a while.
    pub(super) fn note_silent(&mut self, now: ClockTime) {
        if !self.is_silent {
            self.is_silent = true;
            self.response.ticket.note_silent(now);
        }
    }

    /// The backend server closed its connection behind the event `last`.
    pub(super) fn end_interrupted(
        self,
        gateway: &GatewayState,
        job: &RequestJob,
        last: Option<u64>,
        why: &str,
    ) {
        let ticket = &self.response.ticket;
        log_stream_cut(job, &ticket.facts.id, last, why);
        gateway.note_interrupted(job, ticket);
        self.end(CallEnd::Failed);
    }

    /// It went on with the stream.
    pub(super) const fn note_active(&mut self) {
        self.is_silent = false;
    }

    /// Its part is over before the stream's end.
    pub(super) fn end(self, end: CallEnd) {
        // Its silence was reported already.
        let end = if self.is_silent {
            CallEnd::Nothing
        } else {
            end
        };
        self.response.ticket.end(end, clock_now());
    }
}

/// Waits for the first of `sources` to bring something behind `last`; returns which. There must be one.
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
