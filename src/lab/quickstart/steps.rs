//! Setup steps of the quickstart that the other measurements use as well.

use std::sync::Arc;
use std::time::Duration;

use super::rollout_watch::wait_for_rollout;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::calls::{CallClass, CallOutcome, CallRunner, EntryBalancer, LabCaller};
use crate::lab::launch::{EntryNode, LabClient, LabSystem, put_document};
use crate::lab::stand_ins::{PlainCall, PublishedManifest};
use crate::weights::WeightsDigest;

pub(super) const WEIGHTS_BYTES: usize = 4 * 1024 * 1024;
pub(super) const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(30);
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(20);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(25);
/// Larger than the number of any call that the quickstart checks.
const WARM_UP_CALL_NUMBER: u64 = 1_000_000;

/// Publishes the first weights, puts the documents of all services and waits until the engines have
/// loaded the weights. Returns the manifest of the weights.
///
/// # Errors
///
/// When the weights cannot be published, a document is not accepted, or an engine has not loaded
/// the weights in time.
pub(crate) async fn roll_out_first_version(system: &LabSystem) -> SwitchResult<PublishedManifest> {
    let manifest = system
        .publish_weights("weights-1", WEIGHTS_BYTES, 1)
        .await?;
    put_documents(system, &manifest).await?;
    wait_until_loaded(system, "v1", &manifest).await?;
    Ok(manifest)
}

async fn put_documents(system: &LabSystem, manifest: &PublishedManifest) -> SwitchResult<()> {
    let names = &system.names;
    let admin = system.entries[0].admin()?;
    let documents = [
        names.model_document("v1", "weights-1", &manifest.digest),
        names.at_most_once_document(),
        names.single_worker_document(),
    ];
    for document in &documents {
        put_document(admin, document, 0, ACCEPT_TIMEOUT).await?;
        eprintln!("document of {} accepted", document.service);
    }
    Ok(())
}

/// Waits until the model engines have loaded the weights of `manifest`, and prints the
/// elapsed time.
pub(super) async fn wait_until_loaded(
    system: &LabSystem,
    version: &str,
    manifest: &PublishedManifest,
) -> SwitchResult<()> {
    let backend_indices = system.backend_indices(system.names.model);
    let digest: WeightsDigest = manifest.digest;
    let (elapsed, copies) = wait_for_rollout(
        system,
        &backend_indices,
        digest,
        manifest.size,
        ROLLOUT_TIMEOUT,
    )
    .await?;
    eprintln!(
        "{version} on {} engines in {} ms, {copies:.2} copies read from the origin",
        backend_indices.len(),
        elapsed.as_millis()
    );
    Ok(())
}

/// A runner that sends calls to the entry hosts of `system`.
pub(crate) fn new_call_runner(system: &LabSystem) -> SwitchResult<CallRunner> {
    let caller_addresses: SwitchResult<Vec<_>> =
        system.entries.iter().map(EntryNode::caller).collect();
    Ok(CallRunner {
        names: system.names,
        balancer: EntryBalancer::new(caller_addresses?),
        caller: Arc::new(LabCaller::new(RESPONSE_TIMEOUT)),
        retry_timeout: CALL_TIMEOUT,
    })
}

/// Waits until one call of each of `classes` has got a complete answer.
///
/// # Errors
///
/// `Internal` when a call has no complete answer after `WARM_UP_TIMEOUT`.
pub(crate) async fn wait_until_served(
    runner: &CallRunner,
    classes: &[CallClass],
) -> SwitchResult<()> {
    let warm_up_runner = CallRunner {
        retry_timeout: WARM_UP_TIMEOUT,
        ..runner.clone()
    };
    for class in classes.iter().copied() {
        let call = warm_up_runner.run(class, WARM_UP_CALL_NUMBER).await;
        let last_outcome = call.attempts.last().map(|attempt| &attempt.outcome);
        if !matches!(last_outcome, Some(CallOutcome::Complete { .. })) {
            return Err(internal_error(format!(
                "no complete answer to a call of class {}: {last_outcome:?}",
                class.name()
            )));
        }
    }
    Ok(())
}

/// Reads the calls that reached the plain services.
pub(crate) async fn read_plain_calls(system: &LabSystem) -> SwitchResult<Vec<PlainCall>> {
    let client = LabClient::default();
    let mut calls = Vec::new();
    for node in system
        .backends
        .iter()
        .filter(|node| node.dialect == "plain")
    {
        let address = node.engine.address("")?;
        calls.extend(client.get::<Vec<PlainCall>>(address, "/lab/calls").await?);
    }
    Ok(calls)
}

fn internal_error(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
