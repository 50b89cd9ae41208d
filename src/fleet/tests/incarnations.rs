//! Backend servers that restart under the same name.

use std::sync::Arc;
use std::time::Duration;

use super::{NOW, facts, registry_of, requirements};
use crate::fleet::*;
use crate::time::WallTime;

const LATER: Duration = Duration::from_millis(50);

fn started_at(start_time: u64, version: u64) -> BackendFacts {
    BackendFacts {
        start_time: Some(WallTime(start_time)),
        ..facts("a", "here", version)
    }
}

fn empty_since(start_time: u64) -> BackendFacts {
    BackendFacts {
        holdings: EngineHoldings::default(),
        ..started_at(start_time, 1)
    }
}

fn report_of(facts: &BackendFacts, active: u32) -> LoadReport {
    LoadReport {
        address: facts.address,
        start_time: facts.start_time,
        active,
        queued: 0,
        is_loading: false,
        pace: 1.0,
        holdings: facts.holdings.clone(),
    }
}

fn set(registry: &SharedRegistry, facts: BackendFacts) {
    let fleet = FleetView {
        backends: vec![Arc::new(facts)],
    };
    registry.lock().set_fleet(&fleet, NOW);
}

fn refusal(registry: &SharedRegistry) -> Option<PickRefusal> {
    registry.pick(&requirements(None), NOW + LATER).err()
}

/// Failure: an engine crashed, restarted within a second and soon had its weights again, but got no
/// requests for a while. The requests in flight at the crash still counted as its load, and their
/// failures kept it paused.
#[test]
fn requests_and_failures_before_a_restart_do_not_count_after_it() {
    let registry = registry_of(vec![started_at(1, 1)]);
    let mut tickets: Vec<BackendTicket> = (0..5)
        .map(|_| {
            registry
                .pick(&requirements(None), NOW)
                .expect("there are five slots")
        })
        .collect();
    for ticket in tickets.drain(..3) {
        ticket.end(CallOutcome::Failed, NOW);
    }
    set(&registry, started_at(2, 1));
    let fresh: Vec<BackendTicket> = (0..5)
        .map(|_| {
            registry
                .pick(&requirements(None), NOW + LATER)
                .expect("five slots")
        })
        .collect();
    assert!(fresh.iter().all(|ticket| ticket.key != tickets[0].key));
    // The old tickets have no effect on the new record.
    for ticket in tickets {
        ticket.end(CallOutcome::Failed, NOW + LATER);
    }
    drop(fresh);
    assert_eq!(refusal(&registry), None);
}

/// A restarted backend server has no weights, whatever it had before. Failure: its entry said so,
/// but a delayed report of the former incarnation brought the former weights back.
#[test]
fn a_report_of_a_former_incarnation_is_ignored() {
    let registry = registry_of(vec![started_at(1, 1)]);
    let former = report_of(&started_at(1, 1), 0);
    set(&registry, empty_since(2));
    assert_eq!(refusal(&registry), Some(PickRefusal::NoBackend));
    registry.lock().note_report(former, NOW + LATER);
    assert_eq!(refusal(&registry), Some(PickRefusal::NoBackend));
    // The store's entry may be older than the report, too.
    set(&registry, started_at(1, 1));
    assert_eq!(refusal(&registry), Some(PickRefusal::NoBackend));
    registry
        .lock()
        .note_report(report_of(&started_at(2, 1), 0), NOW + LATER);
    assert_eq!(refusal(&registry), None);
}

/// The report of a new incarnation may arrive before its entry, since an entry is written about
/// once a second and a report is sent five times a second.
#[test]
fn a_report_can_reveal_a_restart_before_the_entry_does() {
    let registry = registry_of(vec![started_at(1, 1)]);
    let ticket = registry
        .pick(&requirements(None), NOW)
        .expect("a slot is free");
    let load = ResponseLoad {
        running: 9,
        waiting: 9,
    };
    registry
        .lock()
        .note_report(report_of(&empty_since(2), 0), NOW);
    assert_eq!(refusal(&registry), Some(PickRefusal::NoBackend));
    registry
        .lock()
        .note_report(report_of(&started_at(2, 1), 0), NOW);
    // A delayed response of the former incarnation states its load.
    ticket.with_record(|record| record.note_load(load, NOW));
    assert_eq!(refusal(&registry), None);
    set(&registry, started_at(1, 1));
    assert_eq!(refusal(&registry), None);
}

/// Backend servers that do not report their start time are used without distinguishing
/// incarnations.
#[test]
fn a_backend_server_without_a_start_time_is_used_and_its_reports_count() {
    let registry = registry_of(vec![facts("a", "here", 1)]);
    let mut full = report_of(&facts("a", "here", 1), 9);
    registry.lock().note_report(full.clone(), NOW);
    assert_eq!(refusal(&registry), Some(PickRefusal::AllFull));
    full.active = 0;
    registry.lock().note_report(full, NOW);
    assert_eq!(refusal(&registry), None);
}
