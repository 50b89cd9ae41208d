//! Live requests that are sent before and during a burst, and their latencies.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::derives::plain;
use crate::lab::calls::{CallOutcome, CallPayload, CallRecord, CallRequest, LabCaller};
use crate::lab::stand_ins::answer_text;
use crate::time::clock_now;
use crate::weights::WeightsDigest;

const CALLS_PER_SECOND: u32 = 40;
const TOKENS_PER_CALL: u32 = 8;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const P99: f64 = 0.99;

/// Measurements of the calls sent in a span of time.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct LiveFigures {
    /// Number of calls sent.
    pub(super) calls: u64,
    /// Calls without a complete answer.
    pub(super) unanswered: u64,
    /// Complete answers that match none of the versions, such as text of two versions.
    pub(super) mixed: u64,
    /// 99th percentile of the time until a complete answer ended, in milliseconds.
    pub(super) p99_ms: f64,
    /// Median of that time, in milliseconds.
    pub(super) p50_ms: f64,
}

/// Outcomes of the calls, in the order in which they were sent.
pub(super) struct LiveRecords {
    versions: Vec<WeightsDigest>,
    records: Vec<LiveRecord>,
}

struct LiveRecord {
    prompt: String,
    /// Time from the start of the calls until this one was sent.
    sent_after: Duration,
    record: CallRecord,
}

impl LiveRecords {
    /// Measurements of the calls sent between `from`, inclusive, and `until`, exclusive. Both are
    /// times since the start of the calls.
    pub(super) fn figures(&self, from: Duration, until: Duration) -> LiveFigures {
        let mut tally = LiveTally::new(&self.versions);
        let is_in_span = |call: &&LiveRecord| call.sent_after >= from && call.sent_after < until;
        for call in self.records.iter().filter(is_in_span) {
            tally.add(&call.prompt, &call.record.outcome, call.record.total_time);
        }
        tally.figures()
    }
}

/// Sends calls at a fixed rate, independent of the answers, until `end`.
pub(super) struct LiveCalls {
    stop: Arc<AtomicBool>,
    task: JoinHandle<LiveRecords>,
}

impl LiveCalls {
    /// Starts to call `service` as `account` at `entry`. A complete answer counts as mixed unless
    /// it is that of one of `versions`. Prompts begin with `label`.
    pub(super) fn begin(
        entry: std::net::SocketAddr,
        (service, account): (&'static str, &'static str),
        versions: Vec<WeightsDigest>,
        label: &'static str,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let caller = Arc::new(LabCaller::new(ANSWER_TIMEOUT));
            let begun = clock_now();
            let mut ticks = interval(Duration::from_secs(1) / CALLS_PER_SECOND);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let mut calls = Vec::new();
            while !is_stopped.load(Ordering::Relaxed) {
                ticks.tick().await;
                let prompt = format!("{label} {}", calls.len());
                let order = CallRequest {
                    account,
                    service,
                    priority: "normal",
                    payload: CallPayload::Completion {
                        prompt: prompt.clone(),
                        max_tokens: TOKENS_PER_CALL,
                        stream: false,
                    },
                };
                let caller = Arc::clone(&caller);
                let sent_after = clock_now().since(begun);
                calls.push(tokio::spawn(async move {
                    LiveRecord {
                        prompt,
                        sent_after,
                        record: caller.call(entry, &order).await,
                    }
                }));
            }
            let mut records = Vec::new();
            for call in calls {
                records.extend(call.await.ok());
            }
            LiveRecords { versions, records }
        });
        Self { stop, task }
    }

    /// Stops sending, waits for the calls in flight and returns all outcomes; `None` if the sending
    /// task panicked.
    pub(super) async fn end(self) -> Option<LiveRecords> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.ok()
    }
}

struct LiveTally<'a> {
    versions: &'a [WeightsDigest],
    calls: u64,
    unanswered: u64,
    mixed: u64,
    /// Times until the end of complete answers, in microseconds.
    latencies: Option<Histogram<u64>>,
}

impl<'a> LiveTally<'a> {
    fn new(versions: &'a [WeightsDigest]) -> Self {
        Self {
            versions,
            calls: 0,
            unanswered: 0,
            mixed: 0,
            latencies: Histogram::new(3).ok(),
        }
    }

    fn add(&mut self, prompt: &str, outcome: &CallOutcome, duration: Duration) {
        self.calls += 1;
        let CallOutcome::Complete { text, .. } = outcome else {
            log::warn!("live call without a complete answer: {outcome:?}");
            self.unanswered += 1;
            return;
        };
        let is_from =
            |digest: &WeightsDigest| answer_text(digest, prompt, TOKENS_PER_CALL) == *text;
        self.mixed += u64::from(!self.versions.iter().any(is_from));
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = self.latencies.as_mut() {
            let _ = histogram.record(micros);
        }
    }

    fn figures(&self) -> LiveFigures {
        let millis = |quantile: f64| {
            let micros = self
                .latencies
                .as_ref()
                .map(|latencies| latencies.value_at_quantile(quantile));
            super::burst_config::as_float(micros.unwrap_or(0)) / 1000.0
        };
        LiveFigures {
            calls: self.calls,
            unanswered: self.unanswered,
            mixed: self.mixed,
            p99_ms: millis(P99),
            p50_ms: millis(0.5),
        }
    }
}
