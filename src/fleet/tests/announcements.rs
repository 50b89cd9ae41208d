//! Backend servers that announce in their responses that they are leaving.

use std::sync::Arc;

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
    registry.lock().set_fleet(&FleetView {
        backends: backends.into_iter().map(Arc::new).collect(),
    });
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
