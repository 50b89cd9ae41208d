//! The steps of the quickstart.

use std::time::Duration;

use tokio::task::JoinSet;

use super::bad_requests::check_bad_requests;
use super::report::print_report;
use super::spread_watch::progress_bar;
use super::steps::{
    ACCEPTED_WITHIN, WEIGHTS_BYTES, new_call_runner, read_plain_calls, roll_out_first_version,
    spread, wait_until_served,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::{CallClass, CallJudge, CallRunner, FinishedCall};
use crate::lab::launch::{Company, LabSystem, SystemShape, put_document};
use crate::lab::stand_ins::PublishedManifest;

const STOPPED_WITHIN: Duration = Duration::from_secs(20);
const CALLS_OF_EACH_CLASS: u64 = 30;
const CALL_PAUSE: Duration = Duration::from_millis(25);

/// One quickstart.
pub(super) struct QuickstartShow {
    company: Company,
    shows_logs: bool,
}

impl QuickstartShow {
    pub(super) const fn new(company: Company, shows_logs: bool) -> Self {
        Self {
            company,
            shows_logs,
        }
    }

    /// Runs it; whether all of it held.
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
        let outcome = self.show(&mut system).await;
        if self.shows_logs || outcome.is_err() {
            eprintln!("{}", system.logs().await);
        }
        let left = system.end().await;
        println!("processes left running: {left}");
        Ok(outcome? && left == 0)
    }

    async fn show(&self, system: &mut LabSystem) -> SwitchResult<bool> {
        let first = roll_out_first_version(system).await?;
        let runner = new_call_runner(system)?;
        let probing = tokio::spawn(runner.board.clone().keep_probing());
        wait_until_served(&runner, &CallClass::ALL).await?;
        let refused_well = check_bad_requests(system).await?;
        let calls = tokio::spawn(send_calls(runner.clone()));
        let second = self.disturb(system).await?;
        let calls = calls.await.map_err(|fault| failed(fault.to_string()))?;
        probing.abort();
        let judge = CallJudge {
            versions: vec![first.digest, second.digest],
            runs: read_plain_calls(system).await?,
            board: runner.board.clone(),
        };
        let counts = print_report(&judge, &calls);
        Ok(refused_well && counts.all_held() && counts.answered == counts.requests)
    }

    /// A kill, a graceful stop and a new version while calls are under way.
    async fn disturb(&self, system: &mut LabSystem) -> SwitchResult<PublishedManifest> {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let models = system.backends_of(system.names.model);
        let killed = models[0];
        system.backends[killed].process.kill().await;
        println!(
            "killed the host process of {}",
            system.backends[killed].host
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
        let drained = system.backends_of(system.names.desk)[0];
        let node = &mut system.backends[drained];
        node.process.ask_to_stop();
        let ended_well = node.process.wait(STOPPED_WITHIN).await;
        if ended_well != Some(true) {
            return Err(failed(format!("{} did not stop well", node.host)));
        }
        println!("drained {}", node.host);
        system.restart_host(killed).await?;
        system.restart_host(drained).await?;
        let second = system
            .publish_weights("weights-2", WEIGHTS_BYTES, 2)
            .await?;
        let document = system
            .names
            .model_document("v2", "weights-2", &second.digest);
        let admin = system.entries[1].admin()?;
        put_document(admin, &document, 1, ACCEPTED_WITHIN).await?;
        spread(system, "v2", &second).await?;
        Ok(second)
    }
}

async fn send_calls(runner: CallRunner) -> Vec<FinishedCall> {
    let mut under_way = JoinSet::new();
    for round in 0..CALLS_OF_EACH_CLASS {
        for (place, class) in CallClass::ALL.into_iter().enumerate() {
            let runner = runner.clone();
            let number = round * CallClass::ALL.len() as u64 + place as u64;
            under_way.spawn(async move { runner.run(class, number).await });
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }
    under_way.join_all().await
}

fn failed(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
