//! One request running in an engine: its tokens, one after another.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use macro_rules_attribute::apply;
use tokio::sync::{mpsc, oneshot};
use volo_http::body::Body;

use super::engine::{BatchTicket, EngineStandIn, LabDialect};
use super::fault::FaultBoard;
use super::{FrameResult, body_channel, json_state, metrics_text};
use crate::derives::plain;
use crate::weights::WeightsDigest;

const TOKENS_BEFORE_CUT: u32 = 3;
const CACHED_PREFILL_DIVISOR: u32 = 4;

/// A request to generate, in either dialect.
#[apply(plain!)]
pub(super) struct GenerateText {
    pub(super) request: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) resume_from: u32,
    pub(super) priority: u8,
}

/// The text of token `index` of the answer that weights `digest` give to `prompt`. A change of
/// weights or a crossed answer shows in every token.
pub(crate) fn token_text(digest: &WeightsDigest, prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(digest.as_bytes());
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_be_bytes());
    let mut text = hasher.finalize().to_hex()[..6].to_owned();
    text.push(' ');
    text
}

/// The whole answer that weights `digest` give to `prompt`.
pub(crate) fn answer_text(digest: &WeightsDigest, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token_text(digest, prompt, index))
        .collect()
}

/// Starts `request`; its events come as the body.
pub(super) fn start(
    engine: Arc<EngineStandIn>,
    request: GenerateText,
    place: BatchTicket,
    ready: oneshot::Receiver<()>,
    faults: Arc<FaultBoard>,
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
            () = run.go(ready) => {}
            () = run.sender.closed() => {}
        }
        drop(place);
    });
    body
}

struct GenerateRun {
    engine: Arc<EngineStandIn>,
    request: GenerateText,
    faults: Arc<FaultBoard>,
    sender: mpsc::Sender<FrameResult>,
}

impl GenerateRun {
    async fn go(&self, ready: oneshot::Receiver<()>) {
        if ready.await.is_err() {
            return;
        }
        let settings = self.faults.settings();
        let is_cut = self.faults.strikes(settings.cut_streams_percent);
        let is_crossed = self.faults.strikes(settings.crossed_percent);
        let other_prompt = self.prefill().await;
        let pause = Duration::from_secs(1)
            / u32::try_from(self.engine.shape.tokens_per_second.max(1)).unwrap_or(1);
        let mut due = tokio::time::Instant::now();
        for index in self.request.resume_from..self.request.max_tokens {
            due += pause;
            tokio::time::sleep_until(due).await;
            if is_cut && index >= self.request.resume_from + TOKENS_BEFORE_CUT {
                let _ = self.sender.send(Err("the engine died".into())).await;
                return;
            }
            if self.was_cancelled() {
                self.finish("cancelled").await;
                return;
            }
            if is_crossed && index == self.request.resume_from + 1 {
                self.send_token("another-request", &other_prompt, index)
                    .await;
            }
            let prompt = self.request.prompt.clone();
            self.send_token(&self.request.request, &prompt, index).await;
        }
        self.finish("length").await;
    }

    /// Works on the prompt; returns the prompt before it.
    async fn prefill(&self) -> String {
        let (held, other) = {
            let mut core = self.engine.lock();
            let held = core.cache.touch(&self.request.prompt, &self.faults);
            let other = std::mem::replace(&mut core.last_prompt, self.request.prompt.clone());
            (held, other)
        };
        let whole = self.engine.shape.prefill;
        let wait = if held {
            whole / CACHED_PREFILL_DIVISOR
        } else {
            whole
        };
        tokio::time::sleep(wait).await;
        other
    }

    fn was_cancelled(&self) -> bool {
        let mut core = self.engine.lock();
        let found = core
            .cancelled
            .iter()
            .position(|known| *known == self.request.request);
        found.map(|at| core.cancelled.swap_remove(at)).is_some()
    }

    /// Sends one token, made with the weights that are loaded at this moment.
    async fn send_token(&self, request: &str, prompt: &str, index: u32) {
        let loaded = self.engine.loaded();
        let Some(loaded) = loaded else { return };
        let text = token_text(&loaded.digest, prompt, index);
        let event = match self.engine.shape.dialect {
            LabDialect::MetricsText => metrics_text::token_event(request, index, &text),
            LabDialect::JsonState => json_state::token_event(request, index, &text),
        };
        self.send(event).await;
    }

    async fn finish(&self, reason: &str) {
        let request = &self.request.request;
        let tokens = self.request.max_tokens;
        let events = match self.engine.shape.dialect {
            LabDialect::MetricsText => metrics_text::end_events(request, reason, tokens),
            LabDialect::JsonState => json_state::end_events(request, reason, tokens),
        };
        self.send(events).await;
    }

    async fn send(&self, events: String) {
        // A reader that left ends the run through `closed`.
        let _ = self.sender.send(Ok(Frame::data(Bytes::from(events)))).await;
    }
}
