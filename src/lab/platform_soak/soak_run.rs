//! One run of the soak test: waves of faults, each followed by a quiet period and the checks.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::fault_plan::{FaultWave, PlannedAction, plan_waves, wave_duration};
use super::machine_limits::descriptors_exhausted;
use super::run_journal::RunJournal;
use super::run_judge::judge;
use super::run_report::{RunReport, RunSpan};
use super::soak_client::{SoakClient, probe_endpoint};
use super::soak_system::SoakSystem;
use crate::errors::SwitchResult;
use crate::platform::EngineLoad;
use crate::time::{ClockTime, clock_now};

const CLIENTS_PER_ENTRY: usize = 8;
/// How long clients send calls before the first fault, so that every part has been in use.
const WARM_UP_SPAN: Duration = Duration::from_secs(4);
/// How long after the last call an abandoned one may still reach a backend server.
const LATE_RUNS_SPAN: Duration = Duration::from_secs(2);

/// Settings of a run.
pub(super) struct SoakRun {
    pub(super) seed: u64,
    pub(super) span: Duration,
    pub(super) processes: usize,
    pub(super) has_loaded_engines: bool,
    pub(super) prints_json: bool,
    pub(super) logs: Option<PathBuf>,
}

impl SoakRun {
    /// Runs the soak test and prints its report; returns whether every promise was kept.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` or `Internal` when the system cannot be started, `Internal` when a limit of
    /// the machine is reached.
    pub(super) async fn run(self) -> SwitchResult<bool> {
        let begun = clock_now();
        let journal = RunJournal::default();
        let system = SoakSystem::start(self.processes, self.load(), journal.clone()).await?;
        let mut client_tasks = self.start_clients(&system, &journal);
        let quiet_periods = tokio::select! {
            quiet_periods = self.run_waves(&system, &journal) => quiet_periods,
            limit = descriptors_exhausted() => return Err(limit),
        };
        client_tasks.shutdown().await;
        sleep(LATE_RUNS_SPAN).await;
        let (counts, breaches) = judge(&journal.lock(), &quiet_periods);
        let report = RunReport {
            span: RunSpan {
                seed: self.seed,
                processes: self.processes,
                waves: quiet_periods.len(),
                begun,
            },
            counts,
            breaches,
        };
        self.print_report(&report, &journal);
        let has_held = report.breaches.is_empty();
        if !has_held && let Some(folder) = &self.logs {
            write_logs(folder, &system).await;
        }
        Ok(has_held)
    }

    /// Runs the waves until a promise is broken; returns the begin and the end of each quiet
    /// period.
    async fn run_waves(
        &self,
        system: &Arc<SoakSystem>,
        journal: &RunJournal,
    ) -> Vec<(ClockTime, ClockTime)> {
        sleep(WARM_UP_SPAN).await;
        let waves = self.waves(system);
        let progress = progress_bar();
        let mut quiet_periods = Vec::new();
        for (number, wave) in waves.iter().enumerate() {
            progress.set_message(progress_line(self.seed, number, waves.len(), journal));
            progress.tick();
            quiet_periods.push(run_wave(system, wave).await);
            if !judge(&journal.lock(), &quiet_periods).1.is_empty() {
                break;
            }
        }
        progress.finish_and_clear();
        quiet_periods
    }

    fn start_clients(&self, system: &SoakSystem, journal: &RunJournal) -> JoinSet<()> {
        let endpoints: Vec<_> = system
            .endpoints
            .iter()
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        let endpoints = Arc::new(endpoints);
        let mut client_tasks = JoinSet::new();
        for (endpoint, ready) in &system.endpoints {
            client_tasks.spawn(probe_endpoint(endpoint.clone(), *ready));
        }
        for number in 0..CLIENTS_PER_ENTRY * endpoints.len() {
            let client = SoakClient::new(number, self.seed, endpoints.clone(), journal.clone());
            client_tasks.spawn(client.run());
        }
        client_tasks
    }

    fn waves(&self, system: &SoakSystem) -> Vec<FaultWave> {
        let count = self.span.as_secs() / wave_duration().as_secs();
        let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        plan_waves(self.seed, count, (system.counts, self.load()))
    }

    const fn load(&self) -> EngineLoad {
        if self.has_loaded_engines {
            EngineLoad::Heavy { seed: self.seed }
        } else {
            EngineLoad::Light
        }
    }

    fn print_report(&self, report: &RunReport, journal: &RunJournal) {
        if self.prints_json {
            println!("{}", report.json_value(&journal.lock()));
        } else {
            print!("{}", report.text(&journal.lock()));
        }
    }
}

/// Carries out a wave; returns the begin and the end of its quiet period.
async fn run_wave(system: &Arc<SoakSystem>, wave: &FaultWave) -> (ClockTime, ClockTime) {
    carry_out_all(system, &wave.faults).await;
    let quiet_from = clock_now();
    let changes = carry_out_all(system, &wave.changes);
    tokio::join!(changes, sleep(wave.quiet_span));
    (quiet_from, clock_now())
}

/// Carries out all `planned` actions at their times; returns when all of them have ended.
async fn carry_out_all(system: &Arc<SoakSystem>, planned: &[PlannedAction]) {
    let mut actions = JoinSet::new();
    for planned_action in planned.iter().cloned() {
        let system = system.clone();
        actions.spawn(async move {
            sleep(planned_action.at).await;
            system.carry_out(&planned_action).await;
        });
    }
    // A panic in an action is a bug of the soak test itself, which must not pass for a verdict.
    while let Some(joined) = actions.join_next().await {
        if let Err(fault) = joined {
            std::panic::resume_unwind(fault.into_panic());
        }
    }
}

/// Creates a progress line, which is shown only on a terminal.
fn progress_bar() -> ProgressBar {
    let progress = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{msg}") {
        progress.set_style(style);
    }
    progress
}

fn progress_line(seed: u64, wave: usize, waves: usize, journal: &RunJournal) -> String {
    let records = journal.lock();
    format!(
        "seed {seed}: wave {} of {waves}, {} calls, {} runs, {} actions",
        wave + 1,
        records.calls.len(),
        records.runs.len(),
        records.actions.len()
    )
}

async fn write_logs(folder: &PathBuf, system: &SoakSystem) {
    if let Err(fault) = std::fs::create_dir_all(folder) {
        eprintln!("savory-lab: --logs: {fault}");
        return;
    }
    for (name, text) in system.logs().await {
        if let Err(fault) = std::fs::write(folder.join(format!("{name}.log")), text) {
            eprintln!("savory-lab: --logs: {name}: {fault}");
        }
    }
}
