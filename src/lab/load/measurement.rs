//! The parts of the load measurement and their reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::direct_calls::time_direct_calls;
use super::open_loop::{CallStream, OpenLoopRun, StreamResult};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::LabCaller;
use crate::lab::launch::{EntryNode, LabSystem, SystemShape, read_admin};
use crate::lab::stand_ins::FaultSettings;

/// Maximum number of tokens of each call's answer.
const TOKENS_PER_CALL: u32 = 20;
/// Time that an engine takes to process a prompt that it has not cached.
const PREFILL_TIME: Duration = Duration::from_millis(10);
/// Offered calls per second, divided by what the engines can answer.
const OVERLOAD_FACTOR: f64 = 3.0;
/// Client accounts in the `shares` part. The first one sends too many calls.
const FLOOD_ACCOUNTS: usize = 5;
/// Rate of each account but the first, divided by its fair share.
const DEMAND_PER_FAIR_SHARE: f64 = 1.5;
/// Rate of the first account, divided by that of each other account.
const FLOOD_FACTOR: f64 = 10.0;
const OUTAGE_CALLS_PER_SECOND: f64 = 40.0;
/// Number of calls in each half of the `hop` part.
const HOP_CALLS: usize = 300;
const HOP_SEND_INTERVAL: Duration = Duration::from_millis(20);
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// Measures a running system. Each method is one part.
pub(super) struct LoadMeasurement<'a> {
    pub(super) system: &'a LabSystem,
    /// How long each part but `hop` sends calls.
    pub(super) duration: Duration,
    /// Urgent calls per second.
    pub(super) urgent_rate: f64,
}

/// Time of urgent calls until their first token, without other load and under overload.
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

/// Share of the answers per client account while the first one sends too many calls.
#[derive(Debug, Serialize)]
pub(super) struct ShareReport {
    accounts: Vec<AccountShare>,
    /// Largest shortfall of another account below its fair share, in percent of that share.
    worst_shortfall_percent: f64,
}

/// Results of one client account.
#[derive(Debug, Serialize)]
pub(super) struct AccountShare {
    name: &'static str,
    sent: u64,
    answered: u64,
    /// Percentage of all calls answered in the second half of the run.
    share_percent: f64,
    fair_percent: f64,
    refused: BTreeMap<String, u64>,
}

/// Retries while every engine refuses all calls.
#[derive(Debug, Serialize)]
pub(super) struct RetryReport {
    requests: u64,
    retries: f64,
    amplification: f64,
}

/// Time until the first token with and without entry host and host process, and the difference.
#[derive(Debug, Serialize)]
#[expect(
    clippy::struct_field_names,
    reason = "the fields are JSON keys and need the unit"
)]
pub(super) struct HopReport {
    direct_p50_us: u64,
    direct_p99_us: u64,
    through_p50_us: u64,
    through_p99_us: u64,
    added_p50_us: i64,
    added_p99_us: i64,
}

/// Fields used of the response to `/admin/v1/requests`.
#[derive(Deserialize)]
struct AdminRequests {
    counters: Vec<AdminCounter>,
}

#[derive(Deserialize)]
struct AdminCounter {
    name: String,
    value: f64,
}

impl LoadMeasurement<'_> {
    /// Compares urgent calls alone with urgent calls under overload by other priorities.
    pub(super) async fn urgent(&self) -> SwitchResult<UrgentReport> {
        let calls_per_second_max = calls_per_second_max(self.system.shape);
        let urgent = self.stream(1, "urgent", self.urgent_rate);
        let unloaded = self
            .open_loop("urgent calls alone")?
            .run(std::slice::from_ref(&urgent))
            .await;
        let offered = calls_per_second_max * OVERLOAD_FACTOR - self.urgent_rate;
        let others = [
            self.stream(2, "normal", offered / 2.0),
            self.stream(3, "batch", offered / 2.0),
        ];
        let streams = [urgent, others[0].clone(), others[1].clone()];
        let overloaded = self
            .open_loop("urgent calls at 3x overload")?
            .run(&streams)
            .await;
        let (before, after) = (&unloaded[0].first_token, &overloaded[0].first_token);
        let mut refused = BTreeMap::new();
        for result in &overloaded {
            add_failures(&mut refused, result);
        }
        Ok(UrgentReport {
            capacity_per_s: calls_per_second_max,
            offered_per_s: calls_per_second_max * OVERLOAD_FACTOR,
            urgent_per_s: self.urgent_rate,
            unloaded_p50_ms: quantile_ms(before, 0.5),
            unloaded_p99_ms: quantile_ms(before, 0.99),
            overload_p50_ms: quantile_ms(after, 0.5),
            overload_p99_ms: quantile_ms(after, 0.99),
            p99_ratio: quantile_ms(after, 0.99) / quantile_ms(before, 0.99),
            urgent_sent: overloaded[0].sent,
            urgent_answered: overloaded[0].answered,
            other_sent: overloaded[1].sent + overloaded[2].sent,
            other_answered: overloaded[1].answered + overloaded[2].answered,
            refused,
        })
    }

    /// Measures the shares of the accounts while each sends more than its fair share, and the first
    /// one far more.
    pub(super) async fn shares(&self) -> SwitchResult<ShareReport> {
        let fair_percent = 100.0 / as_float(FLOOD_ACCOUNTS as u64);
        let demand =
            calls_per_second_max(self.system.shape) * fair_percent / 100.0 * DEMAND_PER_FAIR_SHARE;
        let streams: Vec<CallStream> = (0..FLOOD_ACCOUNTS)
            .map(|index| {
                let factor = if index == 0 { FLOOD_FACTOR } else { 1.0 };
                self.stream(index, "normal", demand * factor)
            })
            .collect();
        let results = self
            .open_loop("one account sends 10 times as much")?
            .run(&streams)
            .await;
        let all: u64 = results
            .iter()
            .map(|result| result.answered_in_second_half)
            .sum();
        let accounts: Vec<AccountShare> = streams
            .iter()
            .zip(&results)
            .map(|(stream, result)| {
                let mut refused = BTreeMap::new();
                add_failures(&mut refused, result);
                AccountShare {
                    name: stream.account,
                    sent: result.sent,
                    answered: result.answered,
                    share_percent: 100.0 * as_float(result.answered_in_second_half)
                        / as_float(all.max(1)),
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

    /// Sends calls while every engine refuses them, and compares the retries that the entry hosts
    /// count with the number of calls.
    pub(super) async fn retries(&self) -> SwitchResult<RetryReport> {
        let before = self.count_retries().await?;
        self.set_engines_refusing(true).await?;
        let stream = self.stream(1, "normal", OUTAGE_CALLS_PER_SECOND);
        let results = self.open_loop("every engine refuses")?.run(&[stream]).await;
        self.set_engines_refusing(false).await?;
        let retries = self.count_retries().await? - before;
        let requests = results[0].sent;
        Ok(RetryReport {
            requests,
            retries,
            amplification: 1.0 + retries / as_float(requests.max(1)),
        })
    }

    /// Compares calls sent directly to an engine with calls through entry host and host process.
    pub(super) async fn hop(&self) -> SwitchResult<HopReport> {
        let model = self.system.names.model;
        let node = &self.system.backends[self.system.backend_indices(model)[0]];
        let engine = node.engine.address("")?;
        let direct = time_direct_calls(engine, model, HOP_CALLS, HOP_SEND_INTERVAL, 1).await?;
        let mut stream = self.stream(1, "normal", 1.0 / HOP_SEND_INTERVAL.as_secs_f64());
        stream.max_tokens = 1;
        let duration = HOP_SEND_INTERVAL * u32::try_from(HOP_CALLS).unwrap_or(u32::MAX);
        let mut through = self.open_loop("one token, through the system")?;
        through.duration = duration;
        // Only the first entry host: the one next to the engine called directly.
        through.entries.truncate(1);
        let through = through.run(&[stream]).await;
        let value_at = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile);
        let added = |quantile| {
            let through = value_at(&through[0].first_token, quantile).cast_signed();
            through - value_at(&direct, quantile).cast_signed()
        };
        Ok(HopReport {
            direct_p50_us: value_at(&direct, 0.5),
            direct_p99_us: value_at(&direct, 0.99),
            through_p50_us: value_at(&through[0].first_token, 0.5),
            through_p99_us: value_at(&through[0].first_token, 0.99),
            added_p50_us: added(0.5),
            added_p99_us: added(0.99),
        })
    }

    fn stream(&self, account: usize, priority: &'static str, calls_per_second: f64) -> CallStream {
        CallStream {
            account: self.system.names.accounts[account],
            service: self.system.names.model,
            priority,
            calls_per_second,
            max_tokens: TOKENS_PER_CALL,
        }
    }

    fn open_loop(&self, title: &'static str) -> SwitchResult<OpenLoopRun> {
        let entries = self.system.entries.iter().map(EntryNode::caller);
        Ok(OpenLoopRun {
            entries: entries.collect::<SwitchResult<_>>()?,
            caller: Arc::new(LabCaller::new(ANSWER_TIMEOUT)),
            duration: self.duration,
            title,
        })
    }

    async fn set_engines_refusing(&self, refuse: bool) -> SwitchResult<()> {
        let faults = FaultSettings {
            refuse,
            ..FaultSettings::default()
        };
        for index in self.system.backend_indices(self.system.names.model) {
            LabSystem::set_faults(&self.system.backends[index].engine, faults).await?;
        }
        Ok(())
    }

    async fn count_retries(&self) -> SwitchResult<f64> {
        let mut retries = 0.0;
        for node in &self.system.entries {
            let text = read_admin(node.admin()?, "/admin/v1/requests").await?;
            let text: AdminRequests = serde_json::from_str(&text)
                .map_err(|fault| SwitchError::new(ErrorKind::MessageInvalid, fault.to_string()))?;
            let counted = text.counters.iter();
            let of_retries = counted.filter(|counter| counter.name == "savory_retries_total");
            retries += of_retries.map(|counter| counter.value).sum::<f64>();
        }
        Ok(retries)
    }
}

/// Calls per second that the engines of a system of `shape` can answer.
fn calls_per_second_max(shape: SystemShape) -> f64 {
    let tokens = f64::from(TOKENS_PER_CALL) / as_float(shape.tokens_per_second);
    let slots = as_float(shape.models as u64 * shape.running_max);
    slots / (PREFILL_TIME.as_secs_f64() + tokens)
}

fn add_failures(refused: &mut BTreeMap<String, u64>, result: &StreamResult) {
    for (code, count) in &result.failures {
        *refused.entry(code.clone()).or_default() += count;
    }
}

fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    as_float(times.value_at_quantile(quantile)) / 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
const fn as_float(count: u64) -> f64 {
    count as f64
}
