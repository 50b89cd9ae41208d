//! Finds a version's manifest: a few hosts read it from the origin, the others ask those.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::events;
use super::manifest::VersionManifest;
use super::manifest_doubt::wait_after;
use super::source_line::SourceLine;
use super::wanted_version::{TargetVersion, line_host, wanting_hosts};
use super::weights_thread::{WeightsContext, WeightsLimits};
use crate::errors::{ErrorKind, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::time::clock_now;

/// Stands for the manifest in a version's lines, behind every chunk.
const MANIFEST_INDEX: u32 = u32::MAX;
/// Hosts that read the manifest from the origin at once.
const FIRST_READERS: u32 = 2;
const TURN_SPAN: Duration = Duration::from_millis(1500);
const ASKED_AT_ONCE: usize = 2;
const ASK_WITHIN: Duration = Duration::from_secs(1);
const PAUSE_MILLIS: std::ops::Range<u64> = 50..150;
const REST_FIRST: Duration = Duration::from_millis(200);
const REST_DOUBLINGS: u32 = 6;

/// Looks for the manifest of `target` until it is there. After `doubts` earlier ones turned out to
/// lie, only the origin is asked.
///
/// # Errors
///
/// `MemoryTooSmall` when the version does not fit: looking on is no use.
pub(crate) async fn find_manifest(
    edges: &WeightsContext,
    limits: WeightsLimits,
    target: &TargetVersion,
    doubts: u32,
) -> SwitchResult<VersionManifest> {
    let trusts_peers = doubts == 0;
    let jitter = rand::rng().random();
    sleep(wait_after(doubts, jitter)).await;
    let begun = clock_now();
    let mut failures = 0;
    let mut rest_until = begun;
    loop {
        let hosts = wanting_hosts(&edges.control.snapshot().load(), target.digest);
        let now = clock_now();
        let is_turn = now.since(begun) >= turn_wait(edges, target, &hosts) || !trusts_peers;
        let found = if is_turn && rest_until <= now {
            let found = read_origin(edges, limits, target).await;
            if found.is_err() {
                let span = REST_FIRST * (1 << failures.min(REST_DOUBLINGS));
                rest_until = clock_now() + span.mul_f64(rand::rng().random());
                failures += 1;
            }
            found
        } else if trusts_peers {
            let own = edges.control.identity().peer_address;
            let others = hosts.iter().map(|host| host.address);
            let others: Vec<SocketAddr> = others.filter(|address| *address != own).collect();
            ask_some(edges, limits, target, &others).await
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
        let pause = Duration::from_millis(rand::rng().random_range(PAUSE_MILLIS));
        sleep(pause).await;
    }
}

/// How long after the beginning this host reads from the origin: at once for the first in line,
/// and later and later for those behind, whom the first have told by then.
fn turn_wait(
    edges: &WeightsContext,
    target: &TargetVersion,
    hosts: &[super::peer_table::PeerHost],
) -> Duration {
    let me = line_host(edges.control.identity());
    let line: Vec<_> = hosts.iter().map(|host| host.location.clone()).collect();
    let line = SourceLine::new(target.spec.objective, target.digest, &me.region, &line);
    let turn = line.turn_of(&me.host, MANIFEST_INDEX).unwrap_or(0);
    if turn < FIRST_READERS {
        return Duration::ZERO;
    }
    TURN_SPAN * turn.ilog2()
}

async fn read_origin(
    edges: &WeightsContext,
    limits: WeightsLimits,
    target: &TargetVersion,
) -> SwitchResult<Option<VersionManifest>> {
    let text = match (
        edges.origin.read_manifest(&target.spec.source).await,
        &edges.store,
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

async fn ask_some(
    edges: &WeightsContext,
    limits: WeightsLimits,
    target: &TargetVersion,
    others: &[SocketAddr],
) -> SwitchResult<Option<VersionManifest>> {
    let path = format!("/peer/weights/{}/manifest", target.digest);
    let chosen: Vec<SocketAddr> = others
        .sample(&mut rand::rng(), ASKED_AT_ONCE)
        .copied()
        .collect();
    for peer in chosen {
        metrics::count_event("weights_asks", 1);
        let answer = edges
            .client
            .call::<_, VersionManifest>(peer, &path, &(), ASK_WITHIN)
            .await;
        // A peer that has none yet or does not answer is nothing to tell of.
        if let Ok(manifest) = answer {
            manifest.check(target.digest, limits.memory_bytes)?;
            return Ok(Some(manifest));
        }
    }
    Ok(None)
}
