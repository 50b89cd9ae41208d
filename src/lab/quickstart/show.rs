//! The steps of the quickstart.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::report::print_report;
use super::spread_watch::{progress_bar, wait_for_spread};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::{
    CallClass, CallJudge, CallOutcome, CallRunner, EntryBoard, FinishedCall, LabCaller,
};
use crate::lab::launch::{Company, EntryNode, LabClient, LabSystem, SystemShape, put_document};
use crate::lab::stand_ins::{PlainCall, PublishedManifest};
use crate::weights::WeightsDigest;

const WEIGHTS_BYTES: usize = 4 * 1024 * 1024;
const ACCEPTED_WITHIN: Duration = Duration::from_secs(10);
const SPREAD_WITHIN: Duration = Duration::from_secs(30);
const SERVED_WITHIN: Duration = Duration::from_secs(20);
const STOPPED_WITHIN: Duration = Duration::from_secs(20);
const ANSWER_WITHIN: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(25);
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
            eprintln!("{}", system.logs());
        }
        let left = system.end().await;
        println!("processes left running: {left}");
        Ok(outcome? && left == 0)
    }

    async fn show(&self, system: &mut LabSystem) -> SwitchResult<bool> {
        let first = system
            .publish_weights("weights-1", WEIGHTS_BYTES, 1)
            .await?;
        put_documents(system, &first).await?;
        spread(system, "v1", &first).await?;
        let runner = start_runner(system)?;
        let probing = tokio::spawn(runner.board.clone().keep_probing());
        wait_until_served(&runner).await?;
        let calls = tokio::spawn(send_calls(runner.clone()));
        let second = self.disturb(system).await?;
        let calls = calls.await.map_err(|fault| failed(fault.to_string()))?;
        probing.abort();
        let judge = CallJudge {
            versions: vec![first.digest, second.digest],
            runs: plain_runs(system).await?,
            board: runner.board.clone(),
        };
        let counts = print_report(&judge, &calls);
        Ok(counts.all_held() && counts.answered == counts.requests)
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

async fn put_documents(system: &LabSystem, manifest: &PublishedManifest) -> SwitchResult<()> {
    let names = &system.names;
    let admin = system.entries[0].admin()?;
    let documents = [
        names.model_document("v1", "weights-1", &manifest.digest),
        names.desk_document(),
        names.portal_document(),
    ];
    for document in &documents {
        put_document(admin, document, 0, ACCEPTED_WITHIN).await?;
        println!("document of {} accepted", document.service);
    }
    Ok(())
}

async fn spread(
    system: &LabSystem,
    version: &str,
    manifest: &PublishedManifest,
) -> SwitchResult<()> {
    let places = system.backends_of(system.names.model);
    let digest: WeightsDigest = manifest.digest;
    let (taken, copies) =
        wait_for_spread(system, &places, digest, manifest.size, SPREAD_WITHIN).await?;
    println!(
        "{version} on {} engines in {} ms, {copies:.2} copies read from the origin",
        places.len(),
        taken.as_millis()
    );
    Ok(())
}

fn start_runner(system: &LabSystem) -> SwitchResult<CallRunner> {
    let callers: SwitchResult<Vec<_>> = system.entries.iter().map(EntryNode::caller).collect();
    Ok(CallRunner {
        names: system.names,
        board: EntryBoard::new(callers?),
        caller: Arc::new(LabCaller::new(ANSWER_WITHIN)),
        patience: PATIENCE,
    })
}

/// Waits until one call of each class has been answered.
async fn wait_until_served(runner: &CallRunner) -> SwitchResult<()> {
    let first = CallRunner {
        patience: SERVED_WITHIN,
        ..runner.clone()
    };
    for class in CallClass::ALL {
        let call = first.run(class, WARM_UP_NUMBER).await;
        let last = call.attempts.last().map(|attempt| &attempt.outcome);
        if !matches!(last, Some(CallOutcome::Whole { .. })) {
            return Err(failed(format!("no {} is answered: {last:?}", class.name())));
        }
    }
    Ok(())
}

const WARM_UP_NUMBER: u64 = 1_000_000;

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

async fn plain_runs(system: &LabSystem) -> SwitchResult<Vec<PlainCall>> {
    let client = LabClient::default();
    let mut runs = Vec::new();
    for node in system
        .backends
        .iter()
        .filter(|node| node.dialect == "plain")
    {
        let address = node.engine.address("")?;
        runs.extend(client.get::<Vec<PlainCall>>(address, "/lab/calls").await?);
    }
    Ok(runs)
}

fn failed(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
