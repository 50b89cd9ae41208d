//! Open-loop load: calls are sent at fixed times, whether earlier ones have been answered or not.
//! The latency of a call counts from when it was due, not from when it was sent, so that a slow
//! answer does not hide the delay of the calls after it (coordinated omission).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::lab::calls::{CallOutcome, CallPayload, CallRequest, LabCaller};
use crate::lab::quickstart::progress_bar;

const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_MAX: u64 = 1_000_000_000;

/// A stream of equal calls at a fixed rate.
#[derive(Clone, Debug)]
pub(super) struct CallStream {
    /// Client account of the calls.
    pub(super) account: &'static str,
    /// Called service.
    pub(super) service: &'static str,
    /// Priority of the calls.
    pub(super) priority: &'static str,
    /// Rate of the calls.
    pub(super) calls_per_second: f64,
    /// Maximum number of tokens of each answer.
    pub(super) max_tokens: u32,
}

/// Outcomes of a stream of calls.
#[derive(Debug)]
pub(super) struct StreamResult {
    /// Number of calls sent.
    pub(super) sent: u64,
    /// Number of calls with a complete answer.
    pub(super) answered: u64,
    /// Number of those whose answer ended in the second half of the run, when queues have filled.
    pub(super) answered_in_second_half: u64,
    /// Number of calls without a complete answer by error code or cause, sorted by code.
    pub(super) failures: Vec<(String, u64)>,
    /// Time until the first token of the calls with a complete answer, in microseconds.
    pub(super) first_token: Histogram<u64>,
}

impl StreamResult {
    fn new() -> Self {
        let first_token = Histogram::new_with_max(MICROS_MAX, SIGNIFICANT_DIGITS);
        Self {
            sent: 0,
            answered: 0,
            answered_in_second_half: 0,
            failures: Vec::new(),
            first_token: first_token.expect("the histogram's bounds are valid"),
        }
    }

    fn count_failure(&mut self, code: String) {
        match self
            .failures
            .binary_search_by(|(known, _)| known.cmp(&code))
        {
            Ok(at) => self.failures[at].1 += 1,
            Err(at) => self.failures.insert(at, (code, 1)),
        }
    }
}

/// Destination and duration of an open-loop run.
#[derive(Clone)]
pub(super) struct OpenLoopRun {
    /// Addresses of the entry hosts, used in rotation.
    pub(super) entries: Vec<SocketAddr>,
    /// Client that sends the calls.
    pub(super) caller: Arc<LabCaller>,
    /// How long calls are sent.
    pub(super) duration: Duration,
    /// Text of the progress bar.
    pub(super) title: &'static str,
}

impl OpenLoopRun {
    /// Runs all `streams` concurrently and returns their results in the same order.
    pub(super) async fn run(&self, streams: &[CallStream]) -> Vec<StreamResult> {
        let bar = progress_bar(self.duration.as_secs());
        bar.set_message(self.title);
        let progress_task = tokio::spawn(advance_progress(bar.clone(), self.duration));
        let started_at = Instant::now();
        let mut running = JoinSet::new();
        for (index, stream) in streams.iter().cloned().enumerate() {
            let worker = self.clone();
            running.spawn(async move { (index, worker.run_stream(stream, started_at).await) });
        }
        let mut results = running.join_all().await;
        results.sort_by_key(|(index, _)| *index);
        progress_task.abort();
        bar.finish_and_clear();
        results.into_iter().map(|(_, result)| result).collect()
    }

    async fn run_stream(self, stream: CallStream, started_at: Instant) -> StreamResult {
        let mut calls = JoinSet::new();
        let send_interval = Duration::from_secs_f64(1.0 / stream.calls_per_second);
        let mut due = started_at;
        let mut number = 0_usize;
        while due < started_at + self.duration {
            tokio::time::sleep_until(due).await;
            let entry = self.entries[number % self.entries.len()];
            let order = call_order(&stream, number);
            let caller = self.caller.clone();
            calls.spawn(async move {
                let send_lag = due.elapsed();
                let record = caller.call(entry, &order).await;
                (
                    send_lag + record.time_to_first_byte,
                    Instant::now(),
                    record.outcome,
                )
            });
            number += 1;
            due += send_interval;
        }
        self.collect(calls, started_at).await
    }

    async fn collect(
        &self,
        calls: JoinSet<(Duration, Instant, CallOutcome)>,
        started_at: Instant,
    ) -> StreamResult {
        let mut result = StreamResult::new();
        for (first_token, ended, outcome) in calls.join_all().await {
            result.sent += 1;
            match outcome {
                CallOutcome::Complete { .. } => {
                    result.answered += 1;
                    let second_half = started_at + self.duration / 2..started_at + self.duration;
                    result.answered_in_second_half += u64::from(second_half.contains(&ended));
                    let micros = u64::try_from(first_token.as_micros()).unwrap_or(u64::MAX);
                    result.first_token.saturating_record(micros);
                }
                CallOutcome::Refused { code, .. } => result.count_failure(code),
                CallOutcome::Broken { error, .. } => {
                    result.count_failure(format!("broken stream: {}", error_code(&error)));
                }
                CallOutcome::ServiceFault { .. } => result.count_failure("service".to_owned()),
                CallOutcome::Truncated { .. }
                | CallOutcome::ConnectionLost(_)
                | CallOutcome::NoAnswer => result.count_failure("lost".to_owned()),
            }
        }
        result
    }
}

fn call_order(stream: &CallStream, number: usize) -> CallRequest {
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

/// Extracts the error code from the error event that ended a stream.
fn error_code(event: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
    let code = event["error"]["code"].as_str();
    code.unwrap_or("no code").to_owned()
}

/// Advances the progress bar once per second.
async fn advance_progress(bar: ProgressBar, duration: Duration) {
    for _ in 0..duration.as_secs() {
        tokio::time::sleep(Duration::from_secs(1)).await;
        bar.inc(1);
    }
}
