//! Corrupt messages of other processes, and extreme values in them.

use std::time::Duration;

use bytes::Bytes;

use super::*;
use crate::catalog::CatalogVersion;
use crate::fleet::{
    BackendRegistry, EngineHoldings, HeldLayers, LoadReport, ModelVersion, PickRequirements,
    ResponseLoad, SharedRegistry, VersionRequirement,
};
use crate::overload::EntryHostId;
use crate::placement::PlacementRules;
use crate::sync::DeploymentState;
use crate::sync::peer_messages::{PeerQuery, TargetAnnouncement};
use crate::test_support::{corrupt_bytes, run_cases};
use crate::time::WallTime;
use crate::transport::{decode_message, encode_message};
use crate::weights::{ChunkAnnouncement, ChunkMap};

const CASES: u32 = 3000;
const CASE_BYTES: u32 = 512;

fn target(version: u64) -> ModelVersion {
    ModelVersion {
        model: "m".into(),
        version: WeightsVersion(version),
    }
}

fn populated_state() -> SharedDeploymentState {
    let state = new_state();
    state.change(|state| {
        state.note_store(START);
        state.set_backends(&view(vec![backend("a"), backend("b")], 5), START);
        state.change_operator_rows(&[document(7), target_row(2)], witnessed_at(START));
    });
    state
}

fn report() -> LoadReport {
    LoadReport {
        address: ([10, 0, 0, 1], 80).into(),
        start_time: Some(WallTime(u64::MAX)),
        active: u32::MAX,
        queued: u32::MAX,
        is_loading: false,
        pace: 1.0,
        holdings: EngineHoldings {
            models: vec![target(2)],
            layers: vec![HeldLayers {
                from: u32::MAX,
                to: 0,
                version: WeightsVersion(2),
            }],
        },
    }
}

fn requirements() -> PickRequirements<'static> {
    PickRequirements {
        service: "s",
        version: VersionRequirement::None,
        tried: &[],
        queue_room: u32::MAX,
        is_returned: false,
        work: None,
        reserved_part: 0.0,
        placement: PlacementRules::default(),
        cold_limit: None,
    }
}

fn registry() -> SharedRegistry {
    let mut registry = BackendRegistry::new(EntryHostId {
        data_centre: "z".into(),
        host: "e1".into(),
    });
    registry.set_fleet(
        &populated_state().snapshot().load().fleet,
        ClockTime::default(),
    );
    SharedRegistry::new(registry)
}

/// Guards against overflow in the sum of running and waiting requests. It ended the thread that
/// receives load reports, or made a backend server with four billion requests look idle.
#[test]
fn extreme_loads_count_as_full() {
    let load = ResponseLoad {
        running: u32::MAX,
        waiting: u32::MAX,
    };
    let stated = registry();
    let ticket = stated.pick(&requirements(), START).expect("both are free");
    ticket.with_record(|record| {
        record.note_load(load, START);
        assert_eq!(record.load(START), u32::MAX);
    });
    let other = stated
        .pick(&requirements(), START)
        .expect("the other one is free");
    assert_ne!(ticket.facts.id, other.facts.id);
    let reported = registry();
    reported.lock().note_report(report(), START);
    let first = reported.pick(&requirements(), START).expect("one is free");
    let second = reported.pick(&requirements(), START).expect("one is free");
    assert_eq!(first.facts.id, second.facts.id);
}

#[test]
fn extreme_times_are_clamped() {
    let state = populated_state();
    let later = START + Duration::from_secs(20);
    let ages = [0, 1, u64::MAX / 1000, u64::MAX].map(Duration::from_millis);
    let announcements = ages.map(|age| TargetAnnouncement {
        target: target(3),
        set_at: TargetUpdateTime::guessed(store_time(later) - age, TargetTimeCertainty::Assumed),
    });
    let alone = new_state();
    alone.change(|state| state.merge_targets(&announcements, later));
    let snapshot = alone.snapshot().load();
    let weights = snapshot.newest_version("m").expect("the version is known");
    assert_eq!(weights.target_set_at, ClockTime(0));
    state.change(|state| state.merge_targets(&announcements, later));
    let snapshot = state.snapshot().load();
    let weights = snapshot.newest_version("m").expect("the version is known");
    assert_eq!(
        weights.target_set_at, START,
        "not before version 2, whose update time is known"
    );
    assert_eq!(
        snapshot.oldest_allowed_version("m", DEADLINE_SPAN, later),
        Some(WeightsVersion(3))
    );
    let query = PeerQuery {
        evacuations_revision: u64::MAX,
        sender: None,
        document: Some(CatalogVersion(u64::MAX)),
        can_wait_for_document: false,
        targets: announcements.to_vec(),
        backends_revision: u64::MAX,
        entries: usize::MAX,
        entries_digest: Some(u64::MAX),
        agreement: None,
        wait_ms: u64::MAX,
        follows: true,
        backends_digest: Some(u64::MAX),
        crashes_revision: Some(u64::MAX),
    };
    let answer = state.read(|state| state.answer(&query, Duration::MAX, later));
    assert!(answer.document.is_none() && answer.backends.is_none());
}

/// The encoded form of one message of each kind.
fn messages() -> [Bytes; 4] {
    let state = populated_state();
    let query = state.read(DeploymentState::query);
    let answer = state.read(|state| state.answer(&PeerQuery::default(), Duration::ZERO, START));
    let announcement = ChunkAnnouncement {
        host: "h".into(),
        held: ChunkMap::full(20),
        claimed: ChunkMap::empty(20),
        backlog_ms: u64::MAX,
    };
    let messages = [
        encode_message(&query),
        encode_message(&answer),
        encode_message(&report()),
        encode_message(&announcement),
    ];
    messages.map(|message| message.expect("it encodes"))
}

/// Decodes `bytes` as each kind of message and merges what can be decoded.
fn decode_and_merge(bytes: &[u8]) {
    let state = populated_state();
    let later = START + Duration::from_secs(20);
    if let Ok(query) = decode_message::<PeerQuery>(bytes) {
        state.change(|state| state.merge_targets(&query.targets, later));
        let _ = state.read(|state| {
            (
                state.has_urgent_changes(&query),
                state.answer(&query, Duration::MAX, later),
            )
        });
    }
    if let Ok(view) = decode_message::<PeerView>(bytes) {
        state.change(|state| state.merge(view, at_once(later)));
        assert!(version_of(&state) >= 7);
        let _ = state.read(DeploymentState::query);
    }
    if let Ok(report) = decode_message::<LoadReport>(bytes) {
        let registry = registry();
        registry.lock().note_report(report, START);
        assert!(
            registry.pick(&requirements(), START).is_ok(),
            "the other one is free"
        );
    }
    if let Ok(announcement) = decode_message::<ChunkAnnouncement>(bytes) {
        let _ = announcement.held.fits(20) && announcement.held.contains(19);
        let _ = (
            announcement.held.contains(u32::MAX),
            announcement.held.is_full(),
        );
    }
}

#[test]
fn arbitrary_messages_cause_no_panic() {
    let messages = messages();
    run_cases(CASES, CASE_BYTES, |u| {
        let mut bytes = u.choose(&messages)?.to_vec();
        decode_and_merge(&bytes);
        corrupt_bytes(u, &mut bytes)?;
        decode_and_merge(&bytes);
        decode_and_merge(u.bytes(u.len())?);
        Ok(())
    });
}
