//! Which interrupted connections count as a crash.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::sleep;

use super::any_backend_of_desk;
use crate::fleet::{
    BackendFacts, BackendKey, BackendPhase, BackendRegistry, EngineHoldings, FleetView,
    SharedRegistry,
};
use crate::gateway::crash_detector::{CrashDetector, InterruptedRequest};
use crate::overload::EntryHostId;
use crate::quarantine::{BackendIncarnation, CrashSuspect, RecentAnswers, SuspectDigest};
use crate::sync::SharedDeploymentState;
use crate::test_support::{digest_of, unused_address};
use crate::time::{ClockTime, clock_now};

/// Longer than a probe takes.
const PROBE_SPAN: Duration = Duration::from_millis(300);

fn facts(address: SocketAddr) -> BackendFacts {
    BackendFacts {
        id: "i-1".into(),
        start_time: None,
        sequence: None,
        service: "desk".into(),
        address,
        data_centre: "here".into(),
        slots: 4,
        phase: BackendPhase::Serving,
        holdings: EngineHoldings::default(),
        cold_until: None,
    }
}

fn key_of(facts: &BackendFacts) -> BackendKey {
    let mut registry = BackendRegistry::new(EntryHostId {
        data_centre: "here".into(),
        host: "e1".into(),
    });
    registry.set_fleet(
        &FleetView {
            backends: vec![facts.clone().into()],
        },
        ClockTime::default(),
    );
    let requirements = any_backend_of_desk();
    let picked = SharedRegistry::new(registry).pick(&requirements, ClockTime(0));
    picked.expect("a slot is free").key
}

fn interrupted_at(key: BackendKey, request: SuspectDigest) -> InterruptedRequest {
    InterruptedRequest {
        key,
        suspects: vec![CrashSuspect::of_request(request)],
    }
}

/// Returns how many of two requests are suspected that are interrupted at a backend server at
/// `address`.
async fn suspects_at(address: SocketAddr) -> usize {
    let deployment_state = SharedDeploymentState::default();
    let watch = CrashDetector::new(deployment_state.clone());
    let backend = facts(address);
    let key = key_of(&backend);
    let requests = [digest_of(b"one"), digest_of(b"two")];
    for request in requests {
        watch.note_interrupted(interrupted_at(key, request), &backend);
    }
    sleep(PROBE_SPAN).await;
    let crashes = deployment_state.snapshot().load().crashes.clone();
    assert_eq!(crashes.quarantine(requests[0], clock_now()), None);
    let suspects = requests
        .iter()
        .filter(|request| crashes.suspects(**request));
    suspects.count()
}

/// Guards against refusing a call that recurs all day because all backend servers of its service
/// failed at once.
#[tokio::test]
async fn a_recently_answered_request_is_not_suspected() {
    let deployment_state = SharedDeploymentState::default();
    let watch = CrashDetector::new(deployment_state.clone());
    let request = digest_of(b"");
    let now = clock_now();
    watch.note_answered(request, now);
    let backend = facts(unused_address().await);
    watch.note_interrupted(interrupted_at(key_of(&backend), request), &backend);
    sleep(PROBE_SPAN).await;
    assert!(!deployment_state.snapshot().load().crashes.suspects(request));
    // The crashes were observed by another entry host, which has received no such call before.
    for backend in 1..=3 {
        deployment_state.change(|state| {
            let suspect = CrashSuspect::of_request(request);
            state.note_crash(BackendIncarnation(backend), &[suspect], now);
        });
    }
    let suspect = CrashSuspect::of_request(request);
    assert_eq!(watch.quarantine([suspect], now), None);
    assert!(!deployment_state.snapshot().load().crashes.suspects(request));
}

/// Guards against treating a request as harmless forever because it once was.
#[test]
fn an_answer_clears_a_request_for_a_limited_time() {
    let mut log = RecentAnswers::default();
    let now = clock_now();
    log.push(digest_of(b"one"), now);
    for number in 0..3000_u32 {
        log.push(
            digest_of(&number.to_be_bytes()),
            now + Duration::from_secs(1),
        );
    }
    assert!(log.contains(digest_of(b"one"), now + Duration::from_secs(29)));
    assert!(!log.contains(digest_of(b"one"), now + Duration::from_secs(30)));
    for number in 0..3000_u32 {
        log.push(
            digest_of(&number.to_be_bytes()),
            now + Duration::from_secs(2),
        );
    }
    assert!(!log.contains(digest_of(b"one"), now + Duration::from_secs(2)));
}

/// Guards against suspecting requests whose connections were reset by the network.
#[tokio::test]
async fn a_reset_connection_is_not_a_crash() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("the socket is bound");
    assert_eq!(suspects_at(address).await, 0);
}

/// Guards against suspecting only one of several requests that were in progress at a crash.
#[tokio::test]
async fn all_requests_interrupted_by_a_crash_are_suspected() {
    assert_eq!(suspects_at(unused_address().await).await, 2);
}
