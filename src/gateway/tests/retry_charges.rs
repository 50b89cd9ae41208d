//! Which retries a request keeps, and which return to the budget.

use std::sync::Arc;

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend};
use super::{BOUNDS, any_backend_of_desk, job_of, new_gateway, only_entry_host};
use crate::errors::ErrorKind;
use crate::fleet::{
    BackendFacts, BackendKey, BackendPhase, EngineHoldings, FleetView, SEND_BEGIN_SPAN,
    VersionRequirement,
};
use crate::gateway::forward_state::ForwardState;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::retry_budgets::ResendReason;
use crate::gateway::send_attempt::{SendFailure, send_attempt};
use crate::platform::PlatformBounds;
use crate::sync::{DeploymentSnapshot, SharedSnapshot};
use crate::time::{ClockTime, clock_now};

const NOW: ClockTime = ClockTime::from_millis(50_000);
/// A budget of which requests add nothing.
const FIXED_RETRIES: PlatformBounds = PlatformBounds {
    retry_ratio: 0.0,
    retry_extra: 10.0,
    ..BOUNDS
};

/// A gateway with one backend server.
fn gateway_with_backend() -> (Arc<GatewayState>, BackendKey) {
    let facts = BackendFacts {
        start_time: None,
        sequence: None,
        id: "i-0".into(),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: "here".into(),
        slots: 4,
        phase: BackendPhase::Serving,
        holdings: EngineHoldings::default(),
        cold_until: None,
    };
    let snapshot = SharedSnapshot::default();
    snapshot.store(DeploymentSnapshot {
        fleet: Arc::new(FleetView {
            backends: vec![Arc::new(facts)],
        }),
        ..only_entry_host()
    });
    let gateway = Arc::new(new_gateway(snapshot, FIXED_RETRIES));
    gateway.snapshot(NOW);
    let requirements = any_backend_of_desk();
    let ticket = gateway.registry.pick(&requirements, NOW);
    let key = ticket.expect("a slot is free").key;
    (gateway, key)
}

fn claim(state: &mut ForwardState) -> bool {
    let claimed = state.claim_resend(ResendReason::StreamPaused, NOW);
    claimed.is_ok()
}

/// How many retries the budget has left. Those that are claimed here return to it.
fn retries_left(gateway: &Arc<GatewayState>) -> usize {
    let new_state = |_| ForwardState::new(gateway.clone(), job_of("resumed", NOW));
    let mut states: Vec<ForwardState> = (0..20).map(new_state).collect();
    states
        .iter_mut()
        .filter_map(|state| claim(state).then_some(()))
        .count()
}

/// Guards against a refund of the retry of a send that was made.
#[test]
fn only_the_retry_for_the_next_send_is_refunded() {
    let (gateway, key) = gateway_with_backend();
    let all = retries_left(&gateway);
    assert!(all > 2);
    let mut state = ForwardState::new(gateway.clone(), job_of("resumed", NOW));
    assert!(claim(&mut state) && state.renew_charge(NOW));
    state.note_send(key);
    state.refund_retry(NOW);
    assert_eq!(retries_left(&gateway), all - 1);
    assert!(claim(&mut state));
    assert_eq!(retries_left(&gateway), all - 2);
    drop(state);
    assert_eq!(retries_left(&gateway), all - 1);
}

/// Guards against retries that are lost with sends that never left their entry host.
#[test]
fn a_send_that_never_left_returns_its_retry() {
    let (gateway, key) = gateway_with_backend();
    let all = retries_left(&gateway);
    let mut state = ForwardState::new(gateway.clone(), job_of("resumed", NOW));
    assert!(claim(&mut state) && state.renew_charge(NOW));
    state.note_send(key);
    let unsent = SendFailure {
        may_have_run: false,
        has_arrived: false,
        kind: ErrorKind::ConnectFailed,
        detail: String::new(),
    };
    assert!(state.may_resend_after(unsent, NOW));
    assert_eq!(retries_left(&gateway), all - 1);
    state.refund_retry(NOW);
    assert_eq!(retries_left(&gateway), all);
}

/// Guards against sends of a process that stood still after it charged them, which arrive in a later
/// window of the budget that does not count them.
#[tokio::test]
async fn a_send_that_was_charged_before_a_stall_is_not_made() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let now = clock_now();
    entry.gateway.snapshot(now);
    let mut state = ForwardState::new(entry.gateway.clone(), job_of("resumed", now));
    let claimed = state.claim_resend(ResendReason::StreamPaused, now - SEND_BEGIN_SPAN * 2);
    claimed.expect("a retry is left");
    let wait = state.head_wait(None, now);
    let ticket = entry.gateway.registry.pick(&any_backend_of_desk(), now);
    let sent = send_attempt(
        &entry.gateway,
        &state.job,
        ticket.expect("a slot is free"),
        (&VersionRequirement::None, None),
        wait,
    );
    let failure = sent.await.err().expect("the request is not sent");
    assert!(!failure.has_arrived && !failure.may_have_run, "{failure:?}");
    assert_eq!(backend.arrivals(), 0);
}
