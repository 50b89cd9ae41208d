//! A request running in an engine stand-in: the stream of its tokens.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use macro_rules_attribute::apply;
use tokio::sync::{mpsc, oneshot};
use volo_http::body::Body;

use super::engine::{BatchGuard, EngineStandIn, LabDialect};
use super::fault::FaultInjector;
use super::{FrameResult, body_channel, json_state, metrics_text};
use crate::derives::plain;
use crate::weights::WeightsDigest;

/// Tokens that a stream cut by a fault still sends.
const TOKENS_BEFORE_CUT: u32 = 3;
/// A prompt with a cached prefix takes the prefill time divided by this.
const CACHED_PREFILL_DIVISOR: u32 = 4;

/// A request to generate, from either dialect.
#[apply(plain!)]
pub(super) struct GenerateRequest {
    pub(super) request_id: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    /// Index of the first token to send.
    pub(super) resume_from: u32,
    /// Requests with lower values start first.
    pub(super) priority: u8,
}

/// Returns token `index` of the response to `prompt` by the weights with `digest`. Every token
/// depends on both, so each one shows a change of weights or a mix-up of responses.
pub(crate) fn token_text(digest: &WeightsDigest, prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(digest.as_bytes());
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_be_bytes());
    let mut text = hasher.finalize().to_hex()[..6].to_owned();
    text.push(' ');
    text
}

/// Returns the complete response of `tokens` tokens to `prompt` by the weights with `digest`.
pub(crate) fn answer_text(digest: &WeightsDigest, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token_text(digest, prompt, index))
        .collect()
}

/// Runs `request` in a new task once `ready` is signalled, and returns the body that streams its
/// events. Dropping the body ends the run and frees the slot.
pub(super) fn start(
    engine: Arc<EngineStandIn>,
    request: GenerateRequest,
    guard: BatchGuard,
    ready: oneshot::Receiver<()>,
    faults: Arc<FaultInjector>,
) -> Body {
    let (sender, body) = body_channel();
    let run = GenerateRun {
        engine,
        request,
        faults,
        sender,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = run.run(ready) => {}
            () = run.sender.closed() => {}
        }
        drop(guard);
    });
    body
}

/// A running request, with what it needs to stream its tokens.
struct GenerateRun {
    engine: Arc<EngineStandIn>,
    request: GenerateRequest,
    faults: Arc<FaultInjector>,
    sender: mpsc::Sender<FrameResult>,
}

impl GenerateRun {
    async fn run(&self, ready: oneshot::Receiver<()>) {
        if ready.await.is_err() {
            return;
        }
        let settings = self.faults.settings();
        let is_cut = self.faults.applies(settings.cut_streams_percent);
        let is_crossed = self.faults.applies(settings.crossed_percent);
        let previous_prompt = self.prefill().await;
        let interval = Duration::from_secs(1)
            / u32::try_from(self.engine.shape.tokens_per_second.max(1)).unwrap_or(1);
        let mut due = tokio::time::Instant::now();
        for index in self.request.resume_from..self.request.max_tokens {
            due += interval;
            tokio::time::sleep_until(due).await;
            if is_cut && index >= self.request.resume_from + TOKENS_BEFORE_CUT {
                let _ = self.sender.send(Err("the engine failed".into())).await;
                return;
            }
            if self.take_cancellation() {
                self.finish("cancelled").await;
                return;
            }
            if is_crossed && index == self.request.resume_from + 1 {
                self.send_token("another-request", &previous_prompt, index)
                    .await;
            }
            let prompt = self.request.prompt.clone();
            self.send_token(&self.request.request_id, &prompt, index)
                .await;
        }
        self.finish("length").await;
    }

    /// Waits for the prefill time of the prompt, and returns the prompt that was started before it.
    async fn prefill(&self) -> String {
        let (is_cached, previous) = {
            let mut state = self.engine.lock();
            let is_cached = state.cache.touch(&self.request.prompt, &self.faults);
            let previous = std::mem::replace(&mut state.last_prompt, self.request.prompt.clone());
            (is_cached, previous)
        };
        let uncached = self.engine.shape.prefill;
        let wait = if is_cached {
            uncached / CACHED_PREFILL_DIVISOR
        } else {
            uncached
        };
        tokio::time::sleep(wait).await;
        previous
    }

    /// Whether the request was cancelled; clears the mark.
    fn take_cancellation(&self) -> bool {
        let mut state = self.engine.lock();
        let found = state
            .cancelled
            .iter()
            .position(|id| *id == self.request.request_id);
        found.map(|at| state.cancelled.swap_remove(at)).is_some()
    }

    /// Sends one token, generated with the weights loaded at this moment.
    async fn send_token(&self, request_id: &str, prompt: &str, index: u32) {
        let loaded = self.engine.loaded();
        let Some(loaded) = loaded else { return };
        let text = token_text(&loaded.digest, prompt, index);
        let event = match self.engine.shape.dialect {
            LabDialect::MetricsText => metrics_text::token_event(request_id, index, &text),
            LabDialect::JsonState => json_state::token_event(request_id, index, &text),
        };
        self.send(event).await;
    }

    async fn finish(&self, reason: &str) {
        let request_id = &self.request.request_id;
        let tokens = self.request.max_tokens;
        let events = match self.engine.shape.dialect {
            LabDialect::MetricsText => metrics_text::end_events(request_id, reason, tokens),
            LabDialect::JsonState => json_state::end_events(request_id, reason, tokens),
        };
        self.send(events).await;
    }

    async fn send(&self, events: String) {
        // If the reader has gone, `closed` ends the run in `start`.
        let _ = self.sender.send(Ok(Frame::data(Bytes::from(events)))).await;
    }
}
