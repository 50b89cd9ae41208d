//! One run: the system, the load, the disturbances, the verdict.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::fault_driver::{FaultDriver, FaultTally};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::{CallClass, CallCounts, CallJudge, CallRunner, FinishedCall};
use crate::lab::launch::{Company, LabSystem, SystemShape};
use crate::lab::quickstart::{
    new_call_runner, read_plain_calls, roll_out_first_version, wait_until_served,
};

/// Short, so that leases lapse and change hands often; shorter than the longest freeze and outage.
/// Long, so that kills and freezes meet calls that run.
const SERVICE_MS: u64 = 150;
/// How long the load goes on when nothing is disturbed any more.
const CALM: Duration = Duration::from_secs(2);

/// What is to be run.
pub(super) struct FaultRun {
    pub(super) company: Company,
    pub(super) seed: u64,
    pub(super) span: Duration,
    pub(super) rate: u64,
    pub(super) only: Vec<String>,
    pub(super) prints_json: bool,
    pub(super) logs: Option<PathBuf>,
}

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
    const fn all_held(&self) -> bool {
        self.counts.all_held() && self.bad_stops.is_empty()
    }
}

impl FaultRun {
    /// Runs it; whether all that must hold did.
    pub(super) async fn run(self) -> SwitchResult<bool> {
        let shape = SystemShape {
            service_ms: SERVICE_MS,
            ..SystemShape::small(self.company)
        };
        let mut system = LabSystem::start(shape, || {}).await?;
        let outcome = self.disturb(&mut system).await;
        if let Some(path) = &self.logs {
            let timeline = outcome.as_ref().map(|report| report.timeline.join("\n"));
            let text = format!("{}\n{}", timeline.unwrap_or_default(), system.logs().await);
            let written = std::fs::write(path, text);
            written.map_err(|fault| failed(format!("--logs: {}: {fault}", path.display())))?;
        }
        system.end().await;
        let report = outcome?;
        self.print(&report);
        Ok(report.all_held())
    }

    async fn disturb(&self, system: &mut LabSystem) -> SwitchResult<FaultReport> {
        let first = roll_out_first_version(system).await?;
        let runner = new_call_runner(system)?;
        let probing = tokio::spawn(runner.board.clone().keep_probing());
        wait_until_served(&runner, &CallClass::ALL).await?;
        let (stop, stopped) = watch::channel(false);
        let load = tokio::spawn(send_load(runner.clone(), self.rate, stopped));
        let driver = FaultDriver::new(system, runner.board.clone(), self.seed, first.digest)
            .only(self.only.clone());
        let tally = driver.run(self.span).await?;
        tokio::time::sleep(CALM).await;
        let _ = stop.send(true);
        let calls = load.await.map_err(|fault| failed(fault.to_string()))?;
        probing.abort();
        self.judge(system, &runner, &calls, tally).await
    }

    async fn judge(
        &self,
        system: &LabSystem,
        runner: &CallRunner,
        calls: &[FinishedCall],
        tally: FaultTally,
    ) -> SwitchResult<FaultReport> {
        let judge = CallJudge {
            versions: tally.versions,
            runs: read_plain_calls(system).await?,
            board: runner.board.clone(),
        };
        Ok(FaultReport {
            seed: self.seed,
            seconds: self.span.as_secs(),
            counts: judge.judge(calls),
            disturbances: tally.deeds,
            versions: judge.versions.len(),
            bad_stops: tally.bad_stops,
            timeline: tally.timeline,
        })
    }

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

/// Sends `rate` calls a second, each class in turn, whether earlier ones are answered or not, until
/// it is told to stop; then waits for the last answers.
async fn send_load(
    runner: CallRunner,
    rate: u64,
    stopped: watch::Receiver<bool>,
) -> Vec<FinishedCall> {
    let pause = Duration::from_secs(1) / u32::try_from(rate).unwrap_or(u32::MAX);
    let mut ticks = tokio::time::interval(pause);
    let mut under_way = JoinSet::new();
    let mut number = 0;
    let classes = CallClass::ALL;
    while !*stopped.borrow() {
        ticks.tick().await;
        let class = classes[usize::try_from(number).unwrap_or(0) % classes.len()];
        let runner = runner.clone();
        under_way.spawn(async move { runner.run(class, number).await });
        number += 1;
    }
    under_way.join_all().await
}

fn failed(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
