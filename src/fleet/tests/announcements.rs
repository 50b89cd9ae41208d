//! Backend servers that announce in their responses that they are leaving, or ask for a pause.

use std::sync::Arc;
use std::time::Duration;

use super::{NOW, facts, registry_of, requirements};
use crate::fleet::*;
use crate::time::WallTime;

fn started_at(start_time: u64) -> BackendFacts {
    BackendFacts {
        start_time: Some(WallTime(start_time)),
        ..facts("a", "here", 1)
    }
}

fn set(registry: &SharedRegistry, backends: Vec<BackendFacts>) {
    registry.lock().set_fleet(
        &FleetView {
            backends: backends.into_iter().map(Arc::new).collect(),
        },
        NOW,
    );
}

fn pick(registry: &SharedRegistry) -> Result<BackendTicket, PickRefusal> {
    registry.pick(&requirements(None), NOW)
}

/// Guards against sending requests to a leaving backend server again because its entry, which the
/// store has not replaced yet, is read once more.
#[test]
fn an_entry_that_says_ready_does_not_undo_an_announced_leaving() {
    for known in [started_at(1), facts("a", "here", 1)] {
        let registry = registry_of(vec![known.clone()]);
        pick(&registry).expect("a free slot").note_leaving();
        for sequence in [None, Some(7), Some(8)] {
            let entry = BackendFacts {
                sequence,
                ..known.clone()
            };
            set(&registry, vec![entry]);
            assert_eq!(pick(&registry).err(), Some(PickRefusal::NoBackend));
        }
    }
}

/// Guards against leaving a restarted backend server out of use for what its former incarnation
/// announced, or announces late.
#[test]
fn a_restart_ends_an_announced_leaving() {
    let registry = registry_of(vec![started_at(1)]);
    let former = pick(&registry).expect("a free slot");
    former.note_leaving();
    assert_eq!(pick(&registry).err(), Some(PickRefusal::NoBackend));
    set(&registry, vec![started_at(2)]);
    assert_eq!(pick(&registry).err(), None);
    former.note_leaving();
    assert_eq!(pick(&registry).err(), None);
}

/// Guards against leaving a backend server out of use that returns without a start time after its
/// entry was removed.
#[test]
fn a_removal_ends_an_announced_leaving() {
    let registry = registry_of(vec![facts("a", "here", 1)]);
    pick(&registry).expect("a free slot").note_leaving();
    set(&registry, Vec::new());
    set(&registry, vec![facts("a", "here", 1)]);
    assert_eq!(pick(&registry).err(), None);
}

/// Guards against ending a requested pause early: by the success of a request that was already
/// running, by a later refusal that asks for less, or by one that asks for nothing.
#[test]
fn a_requested_pause_lasts_to_its_end() {
    let registry = registry_of(vec![facts("a", "here", 1)]);
    let running = pick(&registry).expect("a free slot");
    let pick_after = |pause: Duration| {
        registry
            .pick(&requirements(None), NOW + pause)
            .map(drop)
            .is_ok()
    };
    let refused = pick(&registry).expect("a free slot");
    refused.note_requested_pause(Duration::from_secs(3), NOW);
    refused.end(CallOutcome::Refused, NOW);
    let later = NOW + Duration::from_millis(500);
    running.note_requested_pause(Duration::from_millis(100), later);
    running.end(CallOutcome::Answered, later);
    assert!(!pick_after(Duration::from_millis(2999)));
    assert!(pick_after(Duration::from_secs(3)));
}

/// Guards against never sending a request again to a backend server that asks for an absurdly long
/// pause.
#[test]
fn a_requested_pause_is_limited() {
    let registry = registry_of(vec![facts("a", "here", 1)]);
    let refused = pick(&registry).expect("a free slot");
    refused.note_requested_pause(Duration::from_hours(365 * 24), NOW);
    refused.end(CallOutcome::Refused, NOW);
    let minute = Duration::from_mins(1);
    assert!(
        registry
            .pick(&requirements(None), NOW + minute / 2)
            .is_err()
    );
    assert!(registry.pick(&requirements(None), NOW + minute).is_ok());
}

/// Guards against pausing a restarted backend server for what its former incarnation asked for.
#[test]
fn a_restart_ends_a_requested_pause() {
    let registry = registry_of(vec![started_at(1)]);
    let former = pick(&registry).expect("a free slot");
    former.note_requested_pause(Duration::from_secs(3), NOW);
    assert!(pick(&registry).is_err());
    set(&registry, vec![started_at(2)]);
    assert!(pick(&registry).is_ok());
}

/// Guards against refusing a request for a pause while a backend server without one is only full.
#[test]
fn a_service_counts_as_paused_only_if_all_its_backend_servers_asked_for_a_pause() {
    let registry = registry_of(vec![facts("a", "here", 1), facts("b", "here", 1)]);
    let pause = |ticket: BackendTicket, seconds| {
        ticket.note_requested_pause(Duration::from_secs(seconds), NOW);
        ticket.end(CallOutcome::Refused, NOW);
    };
    pause(pick(&registry).expect("two free backend servers"), 5);
    let mut held = Vec::new();
    while let Ok(ticket) = pick(&registry) {
        held.push(ticket);
    }
    assert_eq!(pick(&registry).err(), Some(PickRefusal::AllFull));
    pause(held.pop().expect("at least one slot"), 3);
    let until = NOW + Duration::from_secs(3);
    assert_eq!(
        pick(&registry).err(),
        Some(PickRefusal::AllPaused { until })
    );
}
