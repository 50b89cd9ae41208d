//! Fetches a version's manifest: a few hosts read it from the origin, the others query peers for
//! it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::events;
use super::host_ranking::HostRanking;
use super::manifest::VersionManifest;
use super::mismatch_counter::manifest_retry_delay;
use super::target_version::{TargetVersion, host_location, target_hosts};
use super::weights_tasks::{WeightsContext, WeightsLimits};
use crate::errors::{ErrorKind, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::time::clock_now;

/// Chunk index that stands for the manifest in the host ranking; greater than that of any chunk.
const MANIFEST_INDEX: u32 = u32::MAX;
/// Number of hosts that read the manifest from the origin at once.
const ORIGIN_READERS: u32 = 2;
const TAKEOVER_DELAY: Duration = Duration::from_millis(1500);
const PEERS_PER_ROUND: usize = 2;
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY_MS: std::ops::Range<u64> = 50..150;
const BACKOFF_INITIAL: Duration = Duration::from_millis(200);
const BACKOFF_DOUBLINGS_MAX: u32 = 6;

/// Tries to fetch the manifest of `target` until it succeeds. If `rejected_manifests` is not 0,
/// only the origin is used.
///
/// # Errors
///
/// `MemoryTooSmall` if the version does not fit into memory; a retry would not help.
pub(crate) async fn fetch_manifest(
    context: &WeightsContext,
    limits: WeightsLimits,
    target: &TargetVersion,
    rejected_manifests: u32,
) -> SwitchResult<VersionManifest> {
    let trusts_peers = rejected_manifests == 0;
    let jitter = rand::rng().random();
    sleep(manifest_retry_delay(rejected_manifests, jitter)).await;
    let started_at = clock_now();
    let mut failures = 0;
    let mut retry_at = started_at;
    loop {
        let hosts = target_hosts(&context.control.snapshot().load(), target.digest);
        let now = clock_now();
        let is_read_due =
            now.since(started_at) >= origin_read_delay(context, target, &hosts) || !trusts_peers;
        let found = if is_read_due && retry_at <= now {
            let found = read_origin(context, limits, target).await;
            if found.is_err() {
                let span = BACKOFF_INITIAL * (1 << failures.min(BACKOFF_DOUBLINGS_MAX));
                retry_at = clock_now() + span.mul_f64(rand::rng().random());
                failures += 1;
            }
            found
        } else if trusts_peers {
            let own = context.control.identity().peer_address;
            let peers = hosts.iter().map(|host| host.address);
            let peers: Vec<SocketAddr> = peers.filter(|address| *address != own).collect();
            query_some_peers(context, limits, target, &peers).await
        } else {
            Ok(None)
        };
        match found {
            Ok(Some(manifest)) => return Ok(manifest),
            Err(error) if error.kind == ErrorKind::MemoryTooSmall => return Err(error),
            Err(error) => {
                metrics::count_retry(error.kind);
                let event = match error.kind {
                    ErrorKind::ManifestInvalid => events::MANIFEST_REFUSED,
                    _ => events::SOURCE_FAILED,
                };
                log_event!(event, "{}: {error}", target.spec.source);
            }
            Ok(None) => {}
        }
        let delay = Duration::from_millis(rand::rng().random_range(RETRY_DELAY_MS));
        sleep(delay).await;
    }
}

/// How long this host waits before it reads from the origin: not at all if it is ranked first, and
/// longer the later it is ranked. By then the first hosts usually have passed the manifest on.
fn origin_read_delay(
    context: &WeightsContext,
    target: &TargetVersion,
    hosts: &[super::peer_table::PeerHost],
) -> Duration {
    let local = host_location(context.control.identity());
    let locations: Vec<_> = hosts.iter().map(|host| host.location.clone()).collect();
    let ranking = HostRanking::new(
        target.spec.objective,
        target.digest,
        &local.region,
        &locations,
    );
    let priority = ranking
        .priority_of(&local.host, MANIFEST_INDEX)
        .unwrap_or(0);
    if priority < ORIGIN_READERS {
        return Duration::ZERO;
    }
    TAKEOVER_DELAY * priority.ilog2()
}

async fn read_origin(
    context: &WeightsContext,
    limits: WeightsLimits,
    target: &TargetVersion,
) -> SwitchResult<Option<VersionManifest>> {
    let text = match (
        context.origin.read_manifest(&target.spec.source).await,
        &context.store,
    ) {
        (Ok(text), _) => text,
        (Err(_), Some(store)) => store.read_manifest(&target.spec.source).await?,
        (Err(error), None) => return Err(error),
    };
    metrics::count_event(
        "weights_origin_bytes",
        u64::try_from(text.len()).unwrap_or(0),
    );
    VersionManifest::read(&text, target.digest, limits.memory_bytes).map(Some)
}

async fn query_some_peers(
    context: &WeightsContext,
    limits: WeightsLimits,
    target: &TargetVersion,
    peers: &[SocketAddr],
) -> SwitchResult<Option<VersionManifest>> {
    let path = format!("/peer/weights/{}/manifest", target.digest);
    let chosen: Vec<SocketAddr> = peers
        .sample(&mut rand::rng(), PEERS_PER_ROUND)
        .copied()
        .collect();
    for peer in chosen {
        metrics::count_event("weights_asks", 1);
        let answer = context
            .client
            .call::<_, VersionManifest>(peer, &path, &(), QUERY_TIMEOUT)
            .await;
        // A peer that has no manifest yet or does not respond is not worth a log entry.
        if let Ok(manifest) = answer {
            manifest.check(target.digest, limits.memory_bytes)?;
            return Ok(Some(manifest));
        }
    }
    Ok(None)
}
