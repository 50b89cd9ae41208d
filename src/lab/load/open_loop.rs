//! Calls sent at fixed times, whether earlier ones have been answered or not. A call's time counts
//! from when it was due, not from when it was sent, so that a slow answer does not hide the calls
//! that would have waited behind it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::lab::calls::{CallOutcome, CallPayload, CallRequest, LabCaller};
use crate::lab::quickstart::progress_bar;

const DIGITS: u8 = 3;
const MICROS_MAX: u64 = 1_000_000_000;

/// One stream of calls.
#[derive(Clone, Debug)]
pub(super) struct CallStream {
    /// The client account.
    pub(super) account: &'static str,
    /// The service.
    pub(super) service: &'static str,
    /// The priority.
    pub(super) priority: &'static str,
    /// Calls a second.
    pub(super) rate: f64,
    /// Tokens of each.
    pub(super) max_tokens: u32,
}

/// What came of a stream of calls.
#[derive(Debug)]
pub(super) struct StreamResult {
    /// Calls that were sent.
    pub(super) sent: u64,
    /// Calls that were answered whole.
    pub(super) answered: u64,
    /// Those of them that ended in the second half of the time, when queues have filled.
    pub(super) answered_late: u64,
    /// Refusals by code, sorted.
    pub(super) refused: Vec<(String, u64)>,
    /// Until the first token, of those that were answered, in microseconds.
    pub(super) first_token: Histogram<u64>,
}

impl StreamResult {
    fn new() -> Self {
        let first_token = Histogram::new_with_max(MICROS_MAX, DIGITS);
        Self {
            sent: 0,
            answered: 0,
            answered_late: 0,
            refused: Vec::new(),
            first_token: first_token.expect("constant bounds"),
        }
    }

    fn note_refusal(&mut self, code: String) {
        match self.refused.binary_search_by(|(known, _)| known.cmp(&code)) {
            Ok(at) => self.refused[at].1 += 1,
            Err(at) => self.refused.insert(at, (code, 1)),
        }
    }
}

/// Where and how long calls are sent.
#[derive(Clone)]
pub(super) struct OpenLoop {
    /// The entry hosts, taken in turn.
    pub(super) entries: Vec<SocketAddr>,
    /// The client.
    pub(super) caller: Arc<LabCaller>,
    /// How long.
    pub(super) span: Duration,
    /// What the progress bar says.
    pub(super) title: &'static str,
}

impl OpenLoop {
    /// Sends all of `streams` side by side; their results in the same order.
    pub(super) async fn run(&self, streams: &[CallStream]) -> Vec<StreamResult> {
        let bar = progress_bar(self.span.as_secs());
        bar.set_message(self.title);
        let ticking = tokio::spawn(tick(bar.clone(), self.span));
        let begun = Instant::now();
        let mut running = JoinSet::new();
        for (place, stream) in streams.iter().cloned().enumerate() {
            let worker = self.clone();
            running.spawn(async move { (place, worker.run_stream(stream, begun).await) });
        }
        let mut results = running.join_all().await;
        results.sort_by_key(|(place, _)| *place);
        ticking.abort();
        bar.finish_and_clear();
        results.into_iter().map(|(_, result)| result).collect()
    }

    async fn run_stream(self, stream: CallStream, begun: Instant) -> StreamResult {
        let mut calls = JoinSet::new();
        let pause = Duration::from_secs_f64(1.0 / stream.rate);
        let mut due = begun;
        let mut number = 0_usize;
        while due < begun + self.span {
            tokio::time::sleep_until(due).await;
            let entry = self.entries[number % self.entries.len()];
            let order = order_of(&stream, number);
            let caller = self.caller.clone();
            calls.spawn(async move {
                let lag = due.elapsed();
                let record = caller.call(entry, &order).await;
                (
                    lag + record.time_to_first_byte,
                    Instant::now(),
                    record.outcome,
                )
            });
            number += 1;
            due += pause;
        }
        self.collect(calls, begun).await
    }

    async fn collect(
        &self,
        calls: JoinSet<(Duration, Instant, CallOutcome)>,
        begun: Instant,
    ) -> StreamResult {
        let mut result = StreamResult::new();
        for (first_token, ended, outcome) in calls.join_all().await {
            result.sent += 1;
            match outcome {
                CallOutcome::Complete { .. } => {
                    result.answered += 1;
                    let late = begun + self.span / 2..begun + self.span;
                    result.answered_late += u64::from(late.contains(&ended));
                    let micros = u64::try_from(first_token.as_micros()).unwrap_or(u64::MAX);
                    result.first_token.saturating_record(micros);
                }
                CallOutcome::Refused { code, .. } => result.note_refusal(code),
                CallOutcome::Broken { error, .. } => {
                    result.note_refusal(format!("broken stream: {}", code_in(&error)));
                }
                CallOutcome::ServiceFault { .. } => result.note_refusal("service".to_owned()),
                CallOutcome::Truncated { .. }
                | CallOutcome::ConnectionLost(_)
                | CallOutcome::NoAnswer => result.note_refusal("lost".to_owned()),
            }
        }
        result
    }
}

fn order_of(stream: &CallStream, number: usize) -> CallRequest {
    CallRequest {
        account: stream.account,
        service: stream.service,
        priority: stream.priority,
        payload: CallPayload::Completion {
            prompt: format!("{} {} {number}", stream.account, stream.priority),
            max_tokens: stream.max_tokens,
            stream: true,
        },
    }
}

/// The code in the error event that ended a stream.
fn code_in(event: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
    let code = event["error"]["code"].as_str();
    code.unwrap_or("no code").to_owned()
}

async fn tick(bar: ProgressBar, span: Duration) {
    for _ in 0..span.as_secs() {
        tokio::time::sleep(Duration::from_secs(1)).await;
        bar.inc(1);
    }
}
