//! Backend servers that are cold.

use super::*;
use crate::catalog::ColdStart;
use crate::fleet::ColdLimit;
use crate::time::StoreTime;

const COLD_SPAN: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);

fn limit() -> ColdLimit {
    let cold_start = ColdStart {
        span: COLD_SPAN,
        rate: 2.0,
    };
    ColdLimit::new(cold_start, 1.5)
}

fn backend(cold_until: Option<ClockTime>) -> BackendFacts {
    BackendFacts {
        slots: 1000,
        cold_until: cold_until.map(|until| StoreTime(until.0)),
        ..facts("a", "here", 1)
    }
}

/// Number of requests that can be sent in the second from `from`.
fn sent_in_second(registry: &SharedRegistry, from: ClockTime) -> usize {
    let wanted = PickRequirements {
        cold_limit: Some(limit()),
        ..requirements(None)
    };
    let moments = (0..100).map(|step| from + STEP * step);
    moments
        .filter(|now| {
            let picked = registry.pick(&wanted, *now);
            picked
                .map(|ticket| ticket.end(CallOutcome::Answered, *now))
                .is_ok()
        })
        .count()
}

/// Guards against bursts at a backend server that states that it is cold.
#[test]
fn a_cold_backend_server_gets_its_rate_until_the_stated_time() {
    let until = NOW + Duration::from_secs(5);
    let registry = registry_of(vec![backend(Some(until))]);
    let sent = sent_in_second(&registry, NOW + Duration::from_secs(4));
    assert!((1..=4).contains(&sent), "{sent}");
    assert_eq!(sent_in_second(&registry, until), 100);
}

/// Guards against bursts at a new backend server that does not state whether it is cold.
#[test]
fn a_new_backend_server_without_a_statement_counts_as_cold() {
    let registry = registry_of(Vec::new());
    let set_fleet = |facts: BackendFacts| {
        let backends = vec![facts.into()];
        registry.lock().set_fleet(&FleetView { backends }, NOW);
    };
    set_fleet(backend(None));
    let sent = sent_in_second(&registry, NOW + Duration::from_secs(1));
    assert!((1..=4).contains(&sent), "{sent}");
    assert_eq!(sent_in_second(&registry, NOW + COLD_SPAN), 100);
    let registry = registry_of(vec![backend(Some(ClockTime(0)))]);
    assert_eq!(sent_in_second(&registry, NOW), 100, "it is not cold");
}

/// Guards against bursts at a restarted backend server of which only a load report shows that it
/// restarted.
#[test]
fn a_restarted_backend_server_counts_as_cold() {
    let mut first = backend(Some(ClockTime(0)));
    first.start_time = Some(crate::time::WallTime(1));
    let report = LoadReport {
        address: first.address,
        start_time: Some(crate::time::WallTime(2)),
        active: 0,
        queued: 0,
        is_loading: false,
        pace: 1.0,
        holdings: first.holdings.clone(),
    };
    let registry = registry_of(vec![first]);
    assert_eq!(sent_in_second(&registry, NOW), 100);
    let now = NOW + Duration::from_secs(2);
    registry.lock().note_report(report, now);
    assert!(sent_in_second(&registry, now) <= 4);
}

/// Guards against bursts at backend servers of a data centre that is no longer evacuated: they may
/// have become cold, and what they stated is older than that.
#[test]
fn backend_servers_count_as_cold_when_an_evacuation_ends() {
    let registry = registry_of(vec![backend(Some(ClockTime(0)))]);
    let set_evacuated = |names: &[&'static str], now| {
        let names = names.iter().map(|name| ByteString::from(*name)).collect();
        registry.lock().set_evacuated(&Arc::new(names), now);
    };
    set_evacuated(&["here", "there"], NOW);
    let now = NOW + Duration::from_secs(10);
    set_evacuated(&["there"], now);
    assert!(sent_in_second(&registry, now) <= 4);
    assert_eq!(sent_in_second(&registry, now + COLD_SPAN), 100);
}

/// Guards against bursts at a backend server that states in a response that it has become cold.
#[test]
fn a_statement_in_a_response_is_in_force_at_once() {
    let registry = registry_of(vec![backend(Some(ClockTime(0)))]);
    let ticket = registry.pick(&requirements(None), NOW).expect("it is free");
    ticket.with_record(|record| record.note_cold(COLD_SPAN, NOW));
    assert!(sent_in_second(&registry, NOW) <= 4);
    assert_eq!(sent_in_second(&registry, NOW + COLD_SPAN), 100);
    ticket.end(CallOutcome::Answered, NOW);
}

/// Guards against a limit that lasts after a faulty statement.
#[test]
fn an_absurd_statement_in_a_response_counts_for_seconds() {
    let registry = registry_of(vec![backend(Some(ClockTime(0)))]);
    let ticket = registry.pick(&requirements(None), NOW).expect("it is free");
    ticket.with_record(|record| record.note_cold(Duration::MAX, NOW));
    ticket.end(CallOutcome::Answered, NOW);
    assert!(sent_in_second(&registry, NOW) <= 4);
    assert_eq!(
        sent_in_second(&registry, NOW + Duration::from_secs(10)),
        100
    );
}
