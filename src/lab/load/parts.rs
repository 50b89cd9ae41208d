//! The parts of the measurement.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::direct_calls::time_direct_calls;
use super::open_loop::{CallStream, OpenLoop, StreamResult};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::LabCaller;
use crate::lab::launch::{EntryNode, LabSystem, SystemShape, read_admin};
use crate::lab::stand_ins::FaultSettings;

/// Tokens of each call.
const TOKENS: u32 = 20;
/// How long an engine works on a prompt that it has not seen.
const PREFILL: Duration = Duration::from_millis(10);
const OVERLOAD: f64 = 3.0;
/// Accounts of the flood, the flooding one first.
const FLOOD_ACCOUNTS: usize = 5;
/// What each account but the flooding one asks for, against its fair share.
const ASKED_OF_SHARE: f64 = 1.5;
const FLOOD_FACTOR: f64 = 10.0;
const OUTAGE_RATE: f64 = 40.0;
const HOP_CALLS: usize = 300;
const HOP_PAUSE: Duration = Duration::from_millis(20);
const ANSWER_WITHIN: Duration = Duration::from_mins(1);

/// Measures a running system, part by part.
pub(super) struct LoadParts<'a> {
    pub(super) system: &'a LabSystem,
    pub(super) span: Duration,
    /// Urgent calls a second.
    pub(super) urgent_rate: f64,
}

/// How long urgent calls wait for their first token.
#[derive(Debug, Serialize)]
pub(super) struct UrgentReport {
    capacity_per_s: f64,
    offered_per_s: f64,
    urgent_per_s: f64,
    unloaded_p50_ms: f64,
    unloaded_p99_ms: f64,
    overload_p50_ms: f64,
    overload_p99_ms: f64,
    p99_ratio: f64,
    urgent_sent: u64,
    urgent_answered: u64,
    other_sent: u64,
    other_answered: u64,
    refused: BTreeMap<String, u64>,
}

/// What each account got while one flooded.
#[derive(Debug, Serialize)]
pub(super) struct ShareReport {
    accounts: Vec<AccountShare>,
    /// How far the worst of the others is below its fair share, in percent of that share.
    worst_shortfall_percent: f64,
}

/// What one account got.
#[derive(Debug, Serialize)]
pub(super) struct AccountShare {
    name: &'static str,
    sent: u64,
    answered: u64,
    /// Of all that was answered in the second half of the time.
    share_percent: f64,
    fair_percent: f64,
    refused: BTreeMap<String, u64>,
}

/// How much was retried while every engine refused.
#[derive(Debug, Serialize)]
pub(super) struct RetryReport {
    requests: u64,
    retries: f64,
    amplification: f64,
}

/// What entry host and host process add to a call, until its first token.
#[derive(Debug, Serialize)]
#[expect(
    clippy::struct_field_names,
    reason = "readers of the JSON need the unit"
)]
pub(super) struct HopReport {
    direct_p50_us: u64,
    direct_p99_us: u64,
    through_p50_us: u64,
    through_p99_us: u64,
    added_p50_us: i64,
    added_p99_us: i64,
}

#[derive(Deserialize)]
struct RequestsText {
    counters: Vec<CounterText>,
}

#[derive(Deserialize)]
struct CounterText {
    name: String,
    value: f64,
}

impl LoadParts<'_> {
    pub(super) async fn urgent(&self) -> SwitchResult<UrgentReport> {
        let capacity = capacity(self.system.shape);
        let urgent = self.stream(1, "urgent", self.urgent_rate);
        let quiet = self
            .open_loop("urgent calls alone")?
            .run(std::slice::from_ref(&urgent))
            .await;
        let offered = capacity * OVERLOAD - self.urgent_rate;
        let others = [
            self.stream(2, "normal", offered / 2.0),
            self.stream(3, "batch", offered / 2.0),
        ];
        let streams = [urgent, others[0].clone(), others[1].clone()];
        let loaded = self
            .open_loop("urgent calls at 3x overload")?
            .run(&streams)
            .await;
        let (before, after) = (&quiet[0].first_token, &loaded[0].first_token);
        let mut refused = BTreeMap::new();
        for result in &loaded {
            add_refusals(&mut refused, result);
        }
        Ok(UrgentReport {
            capacity_per_s: capacity,
            offered_per_s: capacity * OVERLOAD,
            urgent_per_s: self.urgent_rate,
            unloaded_p50_ms: millis(before, 0.5),
            unloaded_p99_ms: millis(before, 0.99),
            overload_p50_ms: millis(after, 0.5),
            overload_p99_ms: millis(after, 0.99),
            p99_ratio: millis(after, 0.99) / millis(before, 0.99),
            urgent_sent: loaded[0].sent,
            urgent_answered: loaded[0].answered,
            other_sent: loaded[1].sent + loaded[2].sent,
            other_answered: loaded[1].answered + loaded[2].answered,
            refused,
        })
    }

    pub(super) async fn shares(&self) -> SwitchResult<ShareReport> {
        let fair_percent = 100.0 / float(FLOOD_ACCOUNTS as u64);
        let asked = capacity(self.system.shape) * fair_percent / 100.0 * ASKED_OF_SHARE;
        let streams: Vec<CallStream> = (0..FLOOD_ACCOUNTS)
            .map(|place| {
                let factor = if place == 0 { FLOOD_FACTOR } else { 1.0 };
                self.stream(place, "normal", asked * factor)
            })
            .collect();
        let results = self
            .open_loop("one account floods, 10:1")?
            .run(&streams)
            .await;
        let all: u64 = results.iter().map(|result| result.answered_late).sum();
        let accounts: Vec<AccountShare> = streams
            .iter()
            .zip(&results)
            .map(|(stream, result)| {
                let mut refused = BTreeMap::new();
                add_refusals(&mut refused, result);
                AccountShare {
                    name: stream.account,
                    sent: result.sent,
                    answered: result.answered,
                    share_percent: 100.0 * float(result.answered_late) / float(all.max(1)),
                    fair_percent,
                    refused,
                }
            })
            .collect();
        let shortfall = |share: &AccountShare| 100.0 * (1.0 - share.share_percent / fair_percent);
        let others = accounts[1..].iter().map(shortfall);
        let worst_shortfall_percent = others.fold(0.0, f64::max);
        Ok(ShareReport {
            accounts,
            worst_shortfall_percent,
        })
    }

    /// Every engine refuses while calls come; what the entry hosts count as retries is set against
    /// the calls.
    pub(super) async fn retries(&self) -> SwitchResult<RetryReport> {
        let before = self.retries_so_far().await?;
        self.set_refusing(true).await?;
        let stream = self.stream(1, "normal", OUTAGE_RATE);
        let results = self.open_loop("every engine refuses")?.run(&[stream]).await;
        self.set_refusing(false).await?;
        let retries = self.retries_so_far().await? - before;
        let requests = results[0].sent;
        Ok(RetryReport {
            requests,
            retries,
            amplification: 1.0 + retries / float(requests.max(1)),
        })
    }

    pub(super) async fn hop(&self) -> SwitchResult<HopReport> {
        let model = self.system.names.model;
        let node = &self.system.backends[self.system.backend_indices(model)[0]];
        let engine = node.engine.address("")?;
        let direct = time_direct_calls(engine, model, HOP_CALLS, HOP_PAUSE, 1).await?;
        let mut stream = self.stream(1, "normal", 1.0 / HOP_PAUSE.as_secs_f64());
        stream.max_tokens = 1;
        let span = HOP_PAUSE * u32::try_from(HOP_CALLS).unwrap_or(u32::MAX);
        let mut through = self.open_loop("one token, through the system")?;
        through.span = span;
        // The entry host that stands beside that engine.
        through.entries.truncate(1);
        let through = through.run(&[stream]).await;
        let at = |times: &Histogram<u64>, part| times.value_at_quantile(part);
        let added = |part| {
            let through = at(&through[0].first_token, part).cast_signed();
            through - at(&direct, part).cast_signed()
        };
        Ok(HopReport {
            direct_p50_us: at(&direct, 0.5),
            direct_p99_us: at(&direct, 0.99),
            through_p50_us: at(&through[0].first_token, 0.5),
            through_p99_us: at(&through[0].first_token, 0.99),
            added_p50_us: added(0.5),
            added_p99_us: added(0.99),
        })
    }

    fn stream(&self, account: usize, priority: &'static str, rate: f64) -> CallStream {
        CallStream {
            account: self.system.names.accounts[account],
            service: self.system.names.model,
            priority,
            rate,
            max_tokens: TOKENS,
        }
    }

    fn open_loop(&self, title: &'static str) -> SwitchResult<OpenLoop> {
        let entries = self.system.entries.iter().map(EntryNode::caller);
        Ok(OpenLoop {
            entries: entries.collect::<SwitchResult<_>>()?,
            caller: Arc::new(LabCaller::new(ANSWER_WITHIN)),
            span: self.span,
            title,
        })
    }

    async fn set_refusing(&self, refuse: bool) -> SwitchResult<()> {
        let faults = FaultSettings {
            refuse,
            ..FaultSettings::default()
        };
        for place in self.system.backend_indices(self.system.names.model) {
            LabSystem::set_faults(&self.system.backends[place].engine, faults).await?;
        }
        Ok(())
    }

    async fn retries_so_far(&self) -> SwitchResult<f64> {
        let mut retries = 0.0;
        for node in &self.system.entries {
            let text = read_admin(node.admin()?, "/admin/v1/requests").await?;
            let text: RequestsText = serde_json::from_str(&text)
                .map_err(|fault| SwitchError::new(ErrorKind::MessageInvalid, fault.to_string()))?;
            let counted = text.counters.iter();
            let of_retries = counted.filter(|counter| counter.name == "savory_retries_total");
            retries += of_retries.map(|counter| counter.value).sum::<f64>();
        }
        Ok(retries)
    }
}

/// Calls a second that the engines of `shape` can answer.
fn capacity(shape: SystemShape) -> f64 {
    let tokens = f64::from(TOKENS) / float(shape.tokens_per_second);
    let places = float(shape.models as u64 * shape.running_max);
    places / (PREFILL.as_secs_f64() + tokens)
}

fn add_refusals(refused: &mut BTreeMap<String, u64>, result: &StreamResult) {
    for (code, count) in &result.refused {
        *refused.entry(code.clone()).or_default() += count;
    }
}

fn millis(times: &Histogram<u64>, part: f64) -> f64 {
    float(times.value_at_quantile(part)) / 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
const fn float(count: u64) -> f64 {
    count as f64
}
