//! The steps that a quickstart shares with the measurements.

use std::sync::Arc;
use std::time::Duration;

use super::spread_watch::wait_for_spread;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::{CallClass, CallOutcome, CallRunner, EntryBoard, LabCaller};
use crate::lab::launch::{EntryNode, LabClient, LabSystem, put_document};
use crate::lab::stand_ins::{PlainCall, PublishedManifest};
use crate::weights::WeightsDigest;

pub(super) const WEIGHTS_BYTES: usize = 4 * 1024 * 1024;
pub(super) const ACCEPTED_WITHIN: Duration = Duration::from_secs(10);
const SPREAD_WITHIN: Duration = Duration::from_secs(30);
const SERVED_WITHIN: Duration = Duration::from_secs(20);
const ANSWER_WITHIN: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(25);
const WARM_UP_NUMBER: u64 = 1_000_000;

/// Publishes the first weights, puts the documents of all services and waits until the engines
/// serve them.
pub(crate) async fn roll_out_first_version(system: &LabSystem) -> SwitchResult<PublishedManifest> {
    let first = system
        .publish_weights("weights-1", WEIGHTS_BYTES, 1)
        .await?;
    put_documents(system, &first).await?;
    spread(system, "v1", &first).await?;
    Ok(first)
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
        eprintln!("document of {} accepted", document.service);
    }
    Ok(())
}

/// Waits until the engines serve `manifest`, and says how long it took.
pub(super) async fn spread(
    system: &LabSystem,
    version: &str,
    manifest: &PublishedManifest,
) -> SwitchResult<()> {
    let places = system.backends_of(system.names.model);
    let digest: WeightsDigest = manifest.digest;
    let (taken, copies) =
        wait_for_spread(system, &places, digest, manifest.size, SPREAD_WITHIN).await?;
    eprintln!(
        "{version} on {} engines in {} ms, {copies:.2} copies read from the origin",
        places.len(),
        taken.as_millis()
    );
    Ok(())
}

/// Callers of the system's entry hosts.
pub(crate) fn new_call_runner(system: &LabSystem) -> SwitchResult<CallRunner> {
    let callers: SwitchResult<Vec<_>> = system.entries.iter().map(EntryNode::caller).collect();
    Ok(CallRunner {
        names: system.names,
        board: EntryBoard::new(callers?),
        caller: Arc::new(LabCaller::new(ANSWER_WITHIN)),
        patience: PATIENCE,
    })
}

/// Waits until one call of each of `classes` has been answered.
pub(crate) async fn wait_until_served(
    runner: &CallRunner,
    classes: &[CallClass],
) -> SwitchResult<()> {
    let first = CallRunner {
        patience: SERVED_WITHIN,
        ..runner.clone()
    };
    for class in classes.iter().copied() {
        let call = first.run(class, WARM_UP_NUMBER).await;
        let last = call.attempts.last().map(|attempt| &attempt.outcome);
        if !matches!(last, Some(CallOutcome::Whole { .. })) {
            return Err(failed(format!("no {} is answered: {last:?}", class.name())));
        }
    }
    Ok(())
}

/// What reached the plain services.
pub(crate) async fn read_plain_calls(system: &LabSystem) -> SwitchResult<Vec<PlainCall>> {
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
