//! One run: starts the system, applies load and disturbances, and evaluates the calls.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::fault_driver::{DisturbanceRecord, FaultDriver};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::{CallClass, CallCounts, CallJudge, CallRunner, FinishedCall};
use crate::lab::launch::{LabSystem, SampleCompany, SystemShape};
use crate::lab::quickstart::{
    new_call_runner, read_plain_calls, roll_out_first_version, wait_until_served,
};

/// Service time of a call, in milliseconds; long, so that kills and freezes hit running calls.
const SERVICE_TIME_MS: u64 = 150;
/// How long the load continues after all disturbances are undone.
const COOL_DOWN: Duration = Duration::from_secs(2);

/// Settings of a run, from the command line.
pub(super) struct FaultRun {
    pub(super) company: SampleCompany,
    pub(super) seed: u64,
    pub(super) duration: Duration,
    pub(super) rate: u64,
    pub(super) only_kinds: Vec<String>,
    pub(super) prints_json: bool,
    pub(super) logs: Option<PathBuf>,
}

/// The results of a run. The field names are the keys of the printed JSON.
#[derive(Serialize)]
struct FaultReport {
    seed: u64,
    seconds: u64,
    #[serde(flatten)]
    counts: CallCounts,
    disturbances: BTreeMap<&'static str, u64>,
    versions: usize,
    bad_stops: Vec<String>,
    #[serde(skip)]
    timeline: Vec<String>,
}

impl FaultReport {
    /// Returns whether every check held.
    const fn all_held(&self) -> bool {
        self.counts.all_held() && self.bad_stops.is_empty()
    }
}

impl FaultRun {
    /// Carries out the run and prints its report. Returns whether every check held.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot be started or disturbed, or the `--logs` file not be written.
    pub(super) async fn run(self) -> SwitchResult<bool> {
        let shape = SystemShape {
            service_ms: SERVICE_TIME_MS,
            ..SystemShape::small(self.company)
        };
        let mut system = LabSystem::start(shape, || {}).await?;
        let outcome = self.disturb(&mut system).await;
        if let Some(path) = &self.logs {
            let timeline = outcome.as_ref().map(|report| report.timeline.join("\n"));
            let text = format!("{}\n{}", timeline.unwrap_or_default(), system.logs().await);
            let written = std::fs::write(path, text);
            written
                .map_err(|fault| internal_error(format!("--logs: {}: {fault}", path.display())))?;
        }
        system.end().await;
        let report = outcome?;
        self.print(&report);
        Ok(report.all_held())
    }

    /// Applies load and disturbances to `system` and evaluates the calls.
    async fn disturb(&self, system: &mut LabSystem) -> SwitchResult<FaultReport> {
        let first_weights = roll_out_first_version(system).await?;
        let runner = new_call_runner(system)?;
        let probing = tokio::spawn(runner.balancer.clone().keep_probing());
        wait_until_served(&runner, &CallClass::ALL).await?;
        let (stop, stopped) = watch::channel(false);
        let load = tokio::spawn(send_load(runner.clone(), self.rate, stopped));
        let driver = FaultDriver::new(
            system,
            runner.balancer.clone(),
            self.seed,
            first_weights.digest,
        )
        .only_kinds(self.only_kinds.clone());
        let record = driver.run(self.duration).await?;
        tokio::time::sleep(COOL_DOWN).await;
        let _ = stop.send(true);
        let calls = load
            .await
            .map_err(|fault| internal_error(fault.to_string()))?;
        probing.abort();
        self.judge(system, &runner, &calls, record).await
    }

    /// Checks the finished calls against what the plain services recorded.
    async fn judge(
        &self,
        system: &LabSystem,
        runner: &CallRunner,
        calls: &[FinishedCall],
        record: DisturbanceRecord,
    ) -> SwitchResult<FaultReport> {
        let judge = CallJudge {
            versions: record.versions,
            runs: read_plain_calls(system).await?,
            balancer: runner.balancer.clone(),
        };
        Ok(FaultReport {
            seed: self.seed,
            seconds: self.duration.as_secs(),
            counts: judge.judge(calls),
            disturbances: record.counts,
            versions: judge.versions.len(),
            bad_stops: record.bad_stops,
            timeline: record.timeline,
        })
    }

    /// Prints the report to standard output.
    fn print(&self, report: &FaultReport) {
        if self.prints_json {
            let text = serde_json::to_string_pretty(report);
            println!("{}", text.unwrap_or_default());
            return;
        }
        let counts = &report.counts;
        println!("disturbances: {:?}", report.disturbances);
        println!(
            "{} calls in {} attempts: {} answered, {} refused \"not run\", {} not known",
            counts.requests, counts.attempts, counts.answered, counts.refused, counts.not_known
        );
        println!("{}", counts.summary());
        for finding in counts.findings.iter().chain(&report.bad_stops) {
            println!("  {finding}");
        }
    }
}

/// Starts `rate` calls per second, of each class in turn, without waiting for earlier calls, until
/// `stopped` is true; then waits for the calls still running and returns all calls.
async fn send_load(
    runner: CallRunner,
    rate: u64,
    stopped: watch::Receiver<bool>,
) -> Vec<FinishedCall> {
    let pause = Duration::from_secs(1) / u32::try_from(rate).unwrap_or(u32::MAX);
    let mut ticks = tokio::time::interval(pause);
    let mut running = JoinSet::new();
    let mut number = 0;
    let classes = CallClass::ALL;
    while !*stopped.borrow() {
        ticks.tick().await;
        let class = classes[usize::try_from(number).unwrap_or(0) % classes.len()];
        let runner = runner.clone();
        running.spawn(async move { runner.run(class, number).await });
        number += 1;
    }
    running.join_all().await
}

fn internal_error(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
