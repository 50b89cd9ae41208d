//! Live requests before and during a burst.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use macro_rules_attribute::apply;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::derives::plain;
use crate::lab::calls::{CallAsk, CallOrder, CallOutcome, LabCaller};
use crate::lab::stand_ins::answer_text;
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

/// Calls at a fixed rate, whatever the answers take, until it is ended.
pub(super) struct LiveCalls {
    stop: Arc<AtomicBool>,
    task: JoinHandle<LiveFigures>,
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
            let mut ticks = interval(Duration::from_secs(1) / CALLS_PER_SECOND);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let mut calls = VecDeque::new();
            while !stopped.load(Ordering::Relaxed) {
                ticks.tick().await;
                let prompt = format!("{label} {}", calls.len());
                let order = CallOrder {
                    account,
                    service,
                    priority: "normal",
                    ask: CallAsk::Complete {
                        prompt: prompt.clone(),
                        max_tokens: TOKENS,
                        stream: false,
                    },
                    key: None,
                    attempt: 1,
                };
                let caller = Arc::clone(&caller);
                calls.push_back(tokio::spawn(async move {
                    (prompt, caller.call(entry, &order).await)
                }));
            }
            let mut tally = LiveTally::new(versions);
            for call in calls {
                if let Ok((prompt, record)) = call.await {
                    tally.take(&prompt, &record.outcome, record.whole);
                }
            }
            tally.figures()
        });
        Self { stop, task }
    }

    /// Ends the calls and says what came of them.
    pub(super) async fn end(self) -> Option<LiveFigures> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.ok()
    }
}

struct LiveTally {
    versions: Vec<WeightsDigest>,
    calls: u64,
    unanswered: u64,
    mixed: u64,
    micros: Option<Histogram<u64>>,
}

impl LiveTally {
    fn new(versions: Vec<WeightsDigest>) -> Self {
        Self {
            versions,
            calls: 0,
            unanswered: 0,
            mixed: 0,
            micros: Histogram::new(3).ok(),
        }
    }

    fn take(&mut self, prompt: &str, outcome: &CallOutcome, whole: Duration) {
        self.calls += 1;
        let CallOutcome::Whole { text, .. } = outcome else {
            log::warn!("live call: {outcome:?}");
            self.unanswered += 1;
            return;
        };
        let is_from = |digest: &WeightsDigest| answer_text(digest, prompt, TOKENS) == *text;
        self.mixed += u64::from(!self.versions.iter().any(is_from));
        let micros = u64::try_from(whole.as_micros()).unwrap_or(u64::MAX);
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
