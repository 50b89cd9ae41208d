//! A backend server that starts again under the name that it had.

use std::sync::Arc;
use std::time::Duration;

use super::{NOW, desk_of, facts, need};
use crate::fleet::*;
use crate::time::WallTime;

const LATER: Duration = Duration::from_millis(50);

fn started_at(born: u64, version: u64) -> BackendFacts {
    BackendFacts {
        born: Some(WallTime(born)),
        ..facts("a", "here", version)
    }
}

fn empty_since(born: u64) -> BackendFacts {
    BackendFacts {
        holdings: EngineHoldings::default(),
        ..started_at(born, 1)
    }
}

fn report_of(facts: &BackendFacts, active: u32) -> LoadReport {
    LoadReport {
        address: facts.address,
        born: facts.born,
        active,
        queued: 0,
        is_loading: false,
        pace: 1.0,
        holdings: facts.holdings.clone(),
    }
}

fn set(desk: &SharedRegistry, facts: BackendFacts) {
    let fleet = FleetView {
        backends: vec![Arc::new(facts)],
    };
    desk.lock().set_fleet(&fleet);
}

fn refusal(desk: &SharedRegistry) -> Option<PickRefusal> {
    desk.pick(&need(None), NOW + LATER).err()
}

/// An engine crashed, started again within a second and had its weights back soon. No entry host sent
/// it anything for a while: the requests that had been under way at the crash still counted as its
/// load, and their failures kept it at rest.
#[test]
fn what_was_under_way_and_failed_before_a_restart_does_not_count_behind_it() {
    let desk = desk_of(vec![started_at(1, 1)]);
    let mut tickets: Vec<BackendTicket> = (0..5)
        .map(|_| desk.pick(&need(None), NOW).expect("there are five places"))
        .collect();
    for ticket in tickets.drain(..3) {
        ticket.end(CallOutcome::Failed, NOW);
    }
    set(&desk, started_at(2, 1));
    let fresh: Vec<BackendTicket> = (0..5)
        .map(|_| desk.pick(&need(None), NOW + LATER).expect("five places"))
        .collect();
    assert!(fresh.iter().all(|ticket| ticket.key != tickets[0].key));
    // The ends of the former ones change nothing any more.
    for ticket in tickets {
        ticket.end(CallOutcome::Failed, NOW + LATER);
    }
    drop(fresh);
    assert_eq!(refusal(&desk), None);
}

/// A backend server that started again holds nothing, whatever it held before. Its entry said so, but
/// the holdings of the former one came back with a report that had been on its way.
#[test]
fn the_word_of_a_former_incarnation_changes_nothing() {
    let desk = desk_of(vec![started_at(1, 1)]);
    let former = report_of(&started_at(1, 1), 0);
    set(&desk, empty_since(2));
    assert_eq!(refusal(&desk), Some(PickRefusal::NoBackend));
    desk.lock().note_report(former, NOW + LATER);
    assert_eq!(refusal(&desk), Some(PickRefusal::NoBackend));
    // The store's entry may lie behind the report as well.
    set(&desk, started_at(1, 1));
    assert_eq!(refusal(&desk), Some(PickRefusal::NoBackend));
    desk.lock()
        .note_report(report_of(&started_at(2, 1), 0), NOW + LATER);
    assert_eq!(refusal(&desk), None);
}

/// The report of a new incarnation may come before its entry: the entry is written about once a second,
/// a report five times.
#[test]
fn a_report_tells_of_a_restart_before_the_entry_does() {
    let desk = desk_of(vec![started_at(1, 1)]);
    let ticket = desk.pick(&need(None), NOW).expect("a place is free");
    let load = ResponseLoad {
        running: 9,
        waiting: 9,
    };
    desk.lock().note_report(report_of(&empty_since(2), 0), NOW);
    assert_eq!(refusal(&desk), Some(PickRefusal::NoBackend));
    desk.lock()
        .note_report(report_of(&started_at(2, 1), 0), NOW);
    // An answer of the former one tells its load late.
    ticket.with_record(|record| record.note_load(load, NOW));
    assert_eq!(refusal(&desk), None);
    set(&desk, started_at(1, 1));
    assert_eq!(refusal(&desk), None);
}

/// Backend servers that do not say when they started are used as they were.
#[test]
fn a_backend_server_without_a_start_is_used_and_its_reports_count() {
    let desk = desk_of(vec![facts("a", "here", 1)]);
    let mut full = report_of(&facts("a", "here", 1), 9);
    desk.lock().note_report(full.clone(), NOW);
    assert_eq!(refusal(&desk), Some(PickRefusal::AllFull));
    full.active = 0;
    desk.lock().note_report(full, NOW);
    assert_eq!(refusal(&desk), None);
}
