//! The sequence of a quickstart: starts the system, rolls out weights, sends invalid requests, then
//! kills, drains and updates hosts while calls run, and checks the outcome of every call.

use std::time::Duration;

use tokio::task::JoinSet;

use super::bad_requests::check_bad_requests;
use super::report::print_report;
use super::rollout_watch::progress_bar;
use super::steps::{
    ACCEPT_TIMEOUT, WEIGHTS_BYTES, new_call_runner, read_plain_calls, roll_out_first_version,
    wait_until_loaded, wait_until_served,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::{CallClass, CallJudge, CallRunner, FinishedCall};
use crate::lab::launch::{LabSystem, SampleCompany, SystemShape, put_document};
use crate::lab::stand_ins::PublishedManifest;

const STOP_TIMEOUT: Duration = Duration::from_secs(20);
const CALLS_PER_CLASS: u64 = 30;
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// One run of the quickstart.
pub(super) struct QuickstartRun {
    company: SampleCompany,
    prints_logs: bool,
}

impl QuickstartRun {
    pub(super) const fn new(company: SampleCompany, prints_logs: bool) -> Self {
        Self {
            company,
            prints_logs,
        }
    }

    /// Runs the quickstart and prints its report. Returns whether every check passed and no process
    /// was left running.
    ///
    /// # Errors
    ///
    /// When a process does not start or stop, or a step does not complete in time.
    pub(super) async fn run(self) -> SwitchResult<bool> {
        let bar = progress_bar(3);
        bar.set_message("starting the processes");
        let mut system = LabSystem::start(SystemShape::small(self.company), || bar.inc(1)).await?;
        bar.finish_and_clear();
        println!(
            "started {} entry hosts, {} backend servers with their host processes, 4 stand-ins of the platform",
            system.entries.len(),
            system.backends.len()
        );
        let outcome = self.run_checks(&mut system).await;
        if self.prints_logs || outcome.is_err() {
            eprintln!("{}", system.logs().await);
        }
        let remaining = system.end().await;
        println!("processes left running: {remaining}");
        Ok(outcome? && remaining == 0)
    }

    async fn run_checks(&self, system: &mut LabSystem) -> SwitchResult<bool> {
        let first = roll_out_first_version(system).await?;
        let runner = new_call_runner(system)?;
        let probing = tokio::spawn(runner.balancer.clone().keep_probing());
        wait_until_served(&runner, &CallClass::ALL).await?;
        let rejections_passed = check_bad_requests(system).await?;
        let call_task = tokio::spawn(send_calls(runner.clone()));
        let second = self.kill_drain_and_update(system).await?;
        let calls = call_task
            .await
            .map_err(|error| internal_error(error.to_string()))?;
        probing.abort();
        let judge = CallJudge {
            versions: vec![first.digest, second.digest],
            runs: read_plain_calls(system).await?,
            balancer: runner.balancer.clone(),
        };
        let counts = print_report(&judge, &calls);
        Ok(rejections_passed && counts.all_held() && counts.answered == counts.requests)
    }

    /// Kills one host process, stops another gracefully, restarts both and updates the model to
    /// new weights, while calls are in progress. Returns the manifest of the new weights.
    async fn kill_drain_and_update(
        &self,
        system: &mut LabSystem,
    ) -> SwitchResult<PublishedManifest> {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let model_backends = system.backend_indices(system.names.model);
        let killed_index = model_backends[0];
        system.backends[killed_index].process.kill().await;
        println!(
            "killed the host process of {}",
            system.backends[killed_index].host
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
        let drained_index = system.backend_indices(system.names.at_most_once_service)[0];
        let node = &mut system.backends[drained_index];
        node.process.request_stop();
        let exited_successfully = node.process.wait(STOP_TIMEOUT).await;
        if exited_successfully != Some(true) {
            return Err(internal_error(format!(
                "host process of {} failed to stop gracefully",
                node.host
            )));
        }
        println!("drained {}", node.host);
        system.restart_host(killed_index).await?;
        system.restart_host(drained_index).await?;
        let second = system
            .publish_weights("weights-2", WEIGHTS_BYTES, 2)
            .await?;
        let document = system
            .names
            .model_document("v2", "weights-2", &second.digest);
        let admin = system.entries[1].admin()?;
        put_document(admin, &document, 1, ACCEPT_TIMEOUT).await?;
        wait_until_loaded(system, "v2", &second).await?;
        Ok(second)
    }
}

/// Starts calls of every class in turn, `CALL_INTERVAL` apart, and waits until all have ended.
async fn send_calls(runner: CallRunner) -> Vec<FinishedCall> {
    let mut running = JoinSet::new();
    for round in 0..CALLS_PER_CLASS {
        for (index, class) in CallClass::ALL.into_iter().enumerate() {
            let runner = runner.clone();
            let number = round * CallClass::ALL.len() as u64 + index as u64;
            running.spawn(async move { runner.run(class, number).await });
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    }
    running.join_all().await
}

fn internal_error(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
