//! Where the parts of an answer go.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::answer_buffer::AnswerBuffer;
use crate::delivery::{AttemptId, RunFrame, RunPart};
use crate::errors::{SwitchError, SwitchResult};
use crate::transport::FrameWriter;

/// How often a waiting entry host is told that this process is alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// The way back to the entry host that gave one order.
#[derive(Clone, Debug)]
pub(super) struct AttemptWriter {
    pub(super) attempt: AttemptId,
    pub(super) writer: FrameWriter,
}

impl AttemptWriter {
    /// Sends one part. Fails when the entry host has left.
    pub(super) async fn send(&self, part: RunPart) -> SwitchResult<()> {
        let attempt = self.attempt;
        self.writer.write(&RunFrame { attempt, part }).await
    }

    /// Sends the refusal that `error` says.
    pub(super) async fn refuse(&self, error: &SwitchError) {
        // An entry host that has left needs no refusal.
        let _ = self.send(refused_part(error)).await;
    }

    /// Waits for `work`, tells the entry host meanwhile that this process is alive, and gives up
    /// when it has left.
    pub(super) async fn wait_for<F: Future>(&self, work: F) -> SwitchResult<F::Output> {
        let mut work = pin!(work);
        let mut ticks = interval(KEEP_ALIVE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks.reset();
        loop {
            tokio::select! {
                biased;
                output = &mut work => return Ok(output),
                () = self.writer.closed() => {
                    return Err(SwitchError::new(
                        crate::errors::ErrorKind::CallerGone,
                        "the entry host left",
                    ));
                }
                _ = ticks.tick() => self.send(RunPart::Alive).await?,
            }
        }
    }
}

/// Where the parts of an answer go.
#[derive(Clone, Debug)]
pub(super) enum PartSink {
    /// To the entry host that waits; when it leaves, the run ends.
    Live(AttemptWriter),
    /// Into a buffer; the run goes on whoever leaves.
    Buffered(Arc<AnswerBuffer>),
}

impl PartSink {
    /// Takes one part. Fails when nobody wants the answer any more, or it is too long.
    pub(super) async fn send(&self, part: RunPart) -> SwitchResult<()> {
        match self {
            Self::Live(writer) => writer.send(part).await,
            Self::Buffered(buffer) => buffer.push(part),
        }
    }

    /// Waits for `work` as long as the answer is wanted.
    pub(super) async fn wait_for<F: Future>(&self, work: F) -> SwitchResult<F::Output> {
        match self {
            Self::Live(writer) => writer.wait_for(work).await,
            Self::Buffered(_) => Ok(work.await),
        }
    }
}

/// The frame that tells `error`.
pub(super) fn refused_part(error: &SwitchError) -> RunPart {
    let retry_after_ms = error
        .retry_wait()
        .and_then(|wait| u64::try_from(wait.as_millis()).ok());
    RunPart::Refused {
        kind: error.kind,
        detail: error.detail.clone().into(),
        outcome: error.run_outcome(),
        retry_after_ms,
    }
}

/// The frame that tells that a started run broke off.
pub(super) fn broken_part(error: &SwitchError) -> RunPart {
    RunPart::Broken {
        kind: error.kind,
        detail: error.detail.clone().into(),
    }
}
