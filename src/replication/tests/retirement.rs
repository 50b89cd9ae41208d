//! Engines whose weights may answer no more.

use std::time::Duration;

use tokio::time::sleep;

use super::backend_host::BackendHost;
use crate::fleet::WeightsVersion;
use crate::platform::BirthWord;
use crate::replication::weights_retirement::{first_layer, layer_chunks};
use crate::weights::ChunkMap;

const CHUNKS: usize = 6;
/// How long after a naming the engine still serves the older version, and from when on it no longer may.
const SERVED_FOR: Duration = Duration::from_secs(7);
const REST: Duration = Duration::from_millis(1500);
/// By then the host has heard of a new entry host.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

/// A host whose engine serves version 1 while `known` chunks of version 2 are to be had.
async fn host_with_expired_weights(known: usize) -> BackendHost {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    host.start_entry().await;
    sleep(HEARD_WITHIN).await;
    host.origin.hand_out_only(CHUNKS + known);
    host.set_target(2);
    sleep(SERVED_FOR).await;
    assert_eq!(host.engine.held(), Some(WeightsVersion(1)));
    host
}

/// Guards against requests that begin on older weights behind their bound since they reach their engine late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_is_taken_off_older_weights_at_their_bound() {
    let host = host_with_expired_weights(3).await;
    let cuts = host.engine.cuts();
    sleep(REST).await;
    assert_eq!(host.engine.held(), None);
    assert_eq!(host.engine.held_in_part(), Some(WeightsVersion(2)));
    assert_eq!(host.engine.cuts(), cuts, "what it works on may end");
    host.origin.hand_out_only(usize::MAX);
    host.await_held(2).await;
    host.end();
}

/// Guards against requests that wait at their engine until their weights may answer no more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_waits_at_an_engine_at_the_bound_of_its_weights_is_cut_off() {
    let host = host_with_expired_weights(3).await;
    let cuts = host.engine.cuts();
    host.engine.note_queued(2);
    sleep(REST).await;
    assert_eq!(host.engine.held(), None);
    assert_eq!(host.engine.cuts(), cuts + 1);
    host.end();
}

/// Guards against an engine that loads a layer of which a chunk is missing.
#[test]
fn a_layer_is_whole_with_all_chunks_that_it_shares_with_others() {
    // Two layers share a chunk where the chunks do not divide evenly.
    assert_eq!(layer_chunks(0, 6, 4), 0..2);
    assert_eq!(layer_chunks(1, 6, 4), 1..3);
    assert_eq!(layer_chunks(3, 6, 4), 4..6);
    let mut held = ChunkMap::empty(6);
    assert_eq!(first_layer(&held, 4), None);
    held.insert(0);
    held.insert(2);
    held.insert(4);
    assert_eq!(first_layer(&held, 4), None);
    held.insert(5);
    assert_eq!(first_layer(&held, 4), Some((3, 4..6)));
}
