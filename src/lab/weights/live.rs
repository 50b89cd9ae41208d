//! Live requests before and during a burst.

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
const TOKENS: u32 = 8;
const ANSWER_WITHIN: Duration = Duration::from_secs(10);
const P99: f64 = 0.99;

/// What callers saw in a span of time.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct LiveFigures {
    /// Calls.
    pub(super) calls: u64,
    /// Calls without a whole answer.
    pub(super) unanswered: u64,
    /// Answers that no single one of the versions gives.
    pub(super) mixed: u64,
    /// The slowest of 99 in 100 whole answers, in milliseconds.
    pub(super) p99_ms: f64,
    /// The slowest of 50 in 100.
    pub(super) p50_ms: f64,
}

/// What came of the calls, in the order in which they were made.
pub(super) struct LiveRecords {
    versions: Vec<WeightsDigest>,
    records: Vec<LiveRecord>,
}

struct LiveRecord {
    prompt: String,
    /// When it was made, from the first call on.
    made_after: Duration,
    record: CallRecord,
}

impl LiveRecords {
    /// The figures of the calls made between `from` and `until`, from the first call on.
    pub(super) fn figures(&self, from: Duration, until: Duration) -> LiveFigures {
        let mut tally = LiveTally::new(&self.versions);
        let made = |call: &&LiveRecord| call.made_after >= from && call.made_after < until;
        for call in self.records.iter().filter(made) {
            tally.take(&call.prompt, &call.record.outcome, call.record.total_time);
        }
        tally.figures()
    }
}

/// Calls at a fixed rate, whatever the answers take, until it is ended.
pub(super) struct LiveCalls {
    stop: Arc<AtomicBool>,
    task: JoinHandle<LiveRecords>,
}

impl LiveCalls {
    /// Begins to call `service` for `account` at `entry`; answers must be those of one of
    /// `versions`.
    pub(super) fn begin(
        entry: std::net::SocketAddr,
        (service, account): (&'static str, &'static str),
        versions: Vec<WeightsDigest>,
        label: &'static str,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let caller = Arc::new(LabCaller::new(ANSWER_WITHIN));
            let begun = clock_now();
            let mut ticks = interval(Duration::from_secs(1) / CALLS_PER_SECOND);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let mut calls = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                ticks.tick().await;
                let prompt = format!("{label} {}", calls.len());
                let order = CallRequest {
                    account,
                    service,
                    priority: "normal",
                    payload: CallPayload::Completion {
                        prompt: prompt.clone(),
                        max_tokens: TOKENS,
                        stream: false,
                    },
                };
                let caller = Arc::clone(&caller);
                let made_after = clock_now().since(begun);
                calls.push(tokio::spawn(async move {
                    LiveRecord {
                        prompt,
                        made_after,
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

    /// Ends the calls and returns what came of them.
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
    micros: Option<Histogram<u64>>,
}

impl<'a> LiveTally<'a> {
    fn new(versions: &'a [WeightsDigest]) -> Self {
        Self {
            versions,
            calls: 0,
            unanswered: 0,
            mixed: 0,
            micros: Histogram::new(3).ok(),
        }
    }

    fn take(&mut self, prompt: &str, outcome: &CallOutcome, total_time: Duration) {
        self.calls += 1;
        let CallOutcome::Complete { text, .. } = outcome else {
            log::warn!("live call: {outcome:?}");
            self.unanswered += 1;
            return;
        };
        let is_from = |digest: &WeightsDigest| answer_text(digest, prompt, TOKENS) == *text;
        self.mixed += u64::from(!self.versions.iter().any(is_from));
        let micros = u64::try_from(total_time.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = self.micros.as_mut() {
            let _ = histogram.record(micros);
        }
    }

    fn figures(&self) -> LiveFigures {
        let millis = |quantile: f64| {
            let micros = self
                .micros
                .as_ref()
                .map(|micros| micros.value_at_quantile(quantile));
            super::shape::as_float(micros.unwrap_or(0)) / 1000.0
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
