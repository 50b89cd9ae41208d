//! Client of the host processes' peer API: runs an attempt as a stream of frames and queries the
//! outcome of an attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::answer_check::{AnswerCheck, CheckedPart};
use super::events;
use super::messages::{OutcomeQuery, OutcomeReply, RunCall, RunFrame, RunOrder};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::transport::{FrameReader, PeerClient};

const RUN_PATH: &str = "/peer/run";
const SETTLE_PATH: &str = "/peer/settle";

/// Sends attempts and outcome queries to host processes.
#[derive(Clone)]
pub(crate) struct HostClient {
    client: Arc<PeerClient>,
    /// Maximum time without a frame. Hosts send at least one frame every 500 ms; a host that
    /// exceeds this limit counts as unresponsive.
    silence: Duration,
}

impl HostClient {
    /// Creates a client that treats a host as unresponsive after `silence` without a frame.
    pub(crate) const fn new(client: Arc<PeerClient>, silence: Duration) -> Self {
        Self { client, silence }
    }

    /// Sends `order` to the host process at `peer` and returns the stream of its answer.
    ///
    /// # Errors
    ///
    /// `ConnectFailed` when nothing was sent. After any other error the host may have received the
    /// order.
    pub(crate) async fn run(&self, peer: SocketAddr, order: &RunOrder) -> SwitchResult<RunStream> {
        let resume_from = match &order.call {
            RunCall::Generate { resume_from, .. } => *resume_from,
            RunCall::Forward { .. } => 0,
        };
        let opened = self
            .client
            .open_stream(peer, RUN_PATH, order, self.silence)
            .await;
        let frames = opened.inspect_err(|error| self.note_silence(peer, error))?;
        Ok(RunStream {
            caller: self.clone(),
            peer,
            frames,
            check: AnswerCheck::new(order.attempt, resume_from),
        })
    }

    /// Queries the host process at `peer` for the outcome of an attempt. Uses a new connection,
    /// since the one on which the answer was lost may be dead. Returns `None` when the host does
    /// not answer.
    pub(crate) async fn query_outcome(
        &self,
        peer: SocketAddr,
        order: &OutcomeQuery,
    ) -> Option<OutcomeReply> {
        self.client.drop_pool(peer);
        let result = self
            .client
            .call(peer, SETTLE_PATH, order, self.silence)
            .await;
        match result {
            Ok(reply) => Some(reply),
            Err(error) => {
                log_event!(events::OUTCOME_UNANSWERED, "{peer}: {error}");
                None
            }
        }
    }

    /// Drops the connection pool of an unresponsive host, so that the next request opens a new
    /// connection. Open connections can die without being closed when a device on the path loses
    /// their state, while new connections work. This shows as repeated timeouts towards a host that
    /// answers its probes.
    fn note_silence(&self, peer: SocketAddr, error: &SwitchError) {
        if error.kind == ErrorKind::PeerSilent {
            self.client.drop_pool(peer);
            metrics::count_event("silent_connection", 1);
            log_event!(events::CONNECTION_UNRESPONSIVE, "{peer}");
        }
    }
}

/// The frames of one attempt's answer. Dropping the stream before its end cancels the attempt.
pub(crate) struct RunStream {
    caller: HostClient,
    peer: SocketAddr,
    frames: FrameReader,
    check: AnswerCheck,
}

impl RunStream {
    /// Returns the next part of this attempt's answer; frames of other attempts are dropped.
    ///
    /// # Errors
    ///
    /// The error that ended the attempt. The stream must not be read after an error.
    pub(crate) async fn next(&mut self) -> SwitchResult<CheckedPart> {
        loop {
            let part = self.next_checked().await?;
            if part != CheckedPart::Foreign {
                return Ok(part);
            }
            metrics::count_event("foreign_frame", 1);
            log_event!(events::FOREIGN_FRAME, "from {}", self.peer);
        }
    }

    async fn next_checked(&mut self) -> SwitchResult<CheckedPart> {
        let read = timeout(self.caller.silence, self.frames.next::<RunFrame>()).await;
        match read {
            Ok(Ok(Some(frame))) => self.check.take(frame),
            Ok(Ok(None)) => Err(self.check.truncation_error()),
            Ok(Err(error)) if error.kind == ErrorKind::MessageInvalid => {
                // `MessageInvalid` implies "not run" in the error table. That is true of a refused
                // order, but not of an answer that cannot be decoded.
                Err(SwitchError::new(ErrorKind::AnswerDamaged, error.detail))
            }
            Ok(Err(error)) => Err(error),
            Err(_) => {
                let detail = format!("{} sent no frame within the silence limit", self.peer);
                let error = SwitchError::new(ErrorKind::PeerSilent, detail);
                self.caller.note_silence(self.peer, &error);
                Err(error)
            }
        }
    }
}
