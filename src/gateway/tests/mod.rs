mod announcements;
mod backend_connection;
mod cancelled_requests;
mod crash_detector;
mod crashing_backends;
mod crashing_parts;
mod crashing_requests;
mod cut_responses;
mod endless_responses;
mod entry_hosts;
mod fake_backend;
mod intake;
mod placement;
mod quarantined_parts;
mod rate_limits;
mod resets;
mod retry_budgets;
mod retry_charges;
mod sends;
mod slow_readers;
mod stream_pauses;
mod unframed_responses;
mod uninterrupted_responses;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use self::fake_backend::catalog;
use crate::capacity::SharedAccount;
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::fleet::{
    CallOutcome, ModelVersion, PickRequirements, TargetTimeCertainty, TargetWeights,
    VersionRequirement, WeightsVersion,
};
use crate::gateway::crash_detector::CrashDetector;
use crate::gateway::event_reader::EventReader;
use crate::gateway::forward_state::ForwardState;
use crate::gateway::gateway_state::{GatewayParts, GatewayState};
use crate::gateway::reply::{refusal_reply, status_of};
use crate::gateway::request_job::{RequestJob, route_request};
use crate::overload::{EntryHostId, PriorityRank};
use crate::placement::{PlacementRules, RegionMap};
use crate::platform::{PlatformBounds, RequestHead};
use crate::sync::{
    DeploymentSnapshot, EntryRecord, EntrySharing, SharedDeploymentState, SharedSnapshot,
};
use crate::time::ClockTime;

fn read_events(reader: &mut EventReader) -> Vec<(Option<u64>, String)> {
    let mut events = Vec::new();
    while let Some(event) = reader.next() {
        let text = String::from_utf8_lossy(&event.bytes).into_owned();
        events.push((event.id, text));
    }
    events
}

#[test]
fn events_are_complete_wherever_the_bytes_are_split() {
    let text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
    let expected = [
        (Some(1), "id: 1\ndata: a\n\n".to_owned()),
        (Some(2), "id:2\r\ndata: b\r\n\r\n".to_owned()),
        (None, "data: c\n\n".to_owned()),
    ];
    for size in 1..text.len() {
        let mut reader = EventReader::default();
        let mut events = Vec::new();
        for part in text.as_bytes().chunks(size) {
            reader.push(part);
            events.extend(read_events(&mut reader));
        }
        assert_eq!(events, expected, "split into parts of {size} bytes");
        assert!(reader.has_rest());
    }
}

/// Guards against running an unrepeatable request twice. The entry host answered 503 after the
/// connection had broken during a send. The client took this for the promise that the request had
/// not run, and retried. Only the outcome "not run" may have a status that promises it.
#[test]
fn an_unknown_outcome_never_has_a_status_that_promises_not_run() {
    let promises = [408, 421, 429, 503];
    for kind in ErrorKind::ALL {
        let unknown = SwitchError::new(kind, "").with_outcome(RunOutcome::NotKnown);
        let status = status_of(&unknown).as_u16();
        assert!(!promises.contains(&status), "{kind:?} gives {status}");
        let not_run = SwitchError::new(kind, "").with_outcome(RunOutcome::NotRun);
        assert!(status_of(&not_run).as_u16() <= 503, "{kind:?}");
    }
}

#[test]
fn retry_after_has_millisecond_precision() {
    let error =
        SwitchError::new(ErrorKind::QueueFull, "").with_retry_after(Duration::from_millis(1234));
    let reply = refusal_reply(&error);
    assert_eq!(reply.status().as_u16(), 503);
    assert_eq!(reply.headers()["retry-after"], "1.234");
}

const BOUNDS: PlatformBounds = PlatformBounds {
    shutdown_grace: Duration::from_secs(8),
    weights_deadline: Duration::from_secs(8),
    retry_ratio: 0.2,
    retry_extra: 100.0,
    retry_window: Duration::from_secs(10),
    cold_overshoot: None,
};

/// Time bounds without any retries.
const NO_RETRIES: PlatformBounds = PlatformBounds {
    retry_ratio: 0.0,
    retry_extra: 0.0,
    ..BOUNDS
};

fn new_gateway(snapshot: SharedSnapshot, bounds: PlatformBounds) -> GatewayState {
    new_gateway_with(snapshot, bounds, SharedDeploymentState::default())
}

/// What a request to any backend server of the service `desk` requires.
fn any_backend_of_desk() -> PickRequirements<'static> {
    PickRequirements {
        service: "desk",
        version: VersionRequirement::None,
        tried: &[],
        queue_room: 0,
        is_returned: false,
        work: None,
        reserved_part: 0.0,
        placement: PlacementRules::default(),
        cold_limit: None,
    }
}

/// The snapshot of a deployment with one entry host, which has its part of the retry budgets.
fn only_entry_host() -> DeploymentSnapshot {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    DeploymentSnapshot {
        entries: Arc::new(vec![EntryRecord {
            host: "e1".into(),
            data_centre: "here".into(),
            control: local,
            reports: local,
        }]),
        entry_sharing: EntrySharing {
            entries: 1,
            counted_since: Some(ClockTime(0)),
            valid_until: ClockTime(u64::MAX),
        },
        ..DeploymentSnapshot::default()
    }
}

/// Creates a gateway that takes crash records from `deployment_state`.
fn new_gateway_with(
    snapshot: SharedSnapshot,
    bounds: PlatformBounds,
    deployment_state: SharedDeploymentState,
) -> GatewayState {
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    new_gateway_draining(snapshot, bounds, deployment_state, drain)
}

/// Like [`new_gateway_with`], with the graceful stop `drain`.
fn new_gateway_draining(
    snapshot: SharedSnapshot,
    bounds: PlatformBounds,
    deployment_state: SharedDeploymentState,
    drain: DrainState,
) -> GatewayState {
    let own_id = EntryHostId {
        data_centre: "here".into(),
        host: "e1".into(),
    };
    GatewayState::new(GatewayParts {
        snapshot,
        crash_detector: CrashDetector::new(deployment_state),
        own_id,
        drain,
        account: SharedAccount::default(),
        bounds,
        regions: RegionMap::new(vec![
            ("here".into(), "home".into()),
            ("there".into(), "abroad".into()),
        ]),
    })
}

/// Guards against cutting streams at the end of a planned stop. A client on an open connection sent
/// a request five seconds into the stop; it was accepted and was still running when the process had
/// to end, two seconds later.
#[test]
fn a_stopping_process_accepts_requests_for_three_seconds() {
    let gateway = new_gateway(SharedSnapshot::default(), BOUNDS);
    let stop_start = ClockTime::from_millis(50_000);
    assert!(!gateway.refuses_requests(stop_start));
    gateway.begin_stop(stop_start);
    assert!(!gateway.refuses_requests(stop_start + Duration::from_millis(2500)));
    assert!(gateway.refuses_requests(stop_start + Duration::from_secs(3)));
}

/// Creates a request on the route `kind` that arrived at `arrived`.
fn job_of(kind: &str, arrived: ClockTime) -> RequestJob {
    let head = RequestHead {
        attempt: Some("a1".into()),
        deadline: None,
        api_key: Some("secret".into()),
        model: Some("m".into()),
        prompt_tokens: 1000,
        output_tokens_max: 100,
        estimated_output_tokens: None,
        shared_parts: Vec::new(),
        last_event: None,
    };
    let path = format!("/{kind}/x");
    let routed = route_request(&catalog(), &head, "desk.example", &path).expect("a route");
    RequestJob {
        head,
        routed,
        method: Method::POST,
        uri: path.parse().expect("a path"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived,
        deadline: arrived + Duration::from_secs(6),
    }
}

/// Guards against pauses of half a second and more in streams that an engine ended to change its
/// version. They waited in the queues of other engines after requests that had just arrived.
#[test]
fn a_resumed_stream_is_more_urgent_than_any_new_request() {
    let now = ClockTime::from_millis(50_000);
    for priority in [0, 1, 9] {
        let mut job = job_of("resumed", now);
        job.routed.rank = PriorityRank::new(None, priority);
        assert!(job.engine_priority(true) < job.engine_priority(false));
    }
}

/// Guards against backend servers that work for clients that have left. While the hosts of some
/// engines are paused, a stream waits at one engine and then at another. Without an error in time,
/// its client closes the connection and does not know that it may retry.
#[test]
fn a_client_gets_an_error_before_it_stops_waiting_for_a_stream() {
    let now = ClockTime::from_millis(50_000);
    let gateway = Arc::new(new_gateway(SharedSnapshot::default(), BOUNDS));
    let wait_of = |kind: &str, later: Duration| {
        let state = ForwardState::new(gateway.clone(), job_of(kind, now));
        let wait = state.head_wait(None, now + later);
        wait.until.since(now + later)
    };
    // The longest pause of the route is 0.3 s; clients wait for eight of them, 2.4 s.
    let left = wait_of("resumed", Duration::from_secs(2));
    assert!(left > Duration::ZERO && left < Duration::from_millis(400));
    let left = wait_of("single", Duration::from_millis(2350));
    assert_eq!(left, Duration::ZERO);
    assert!(wait_of("once", Duration::from_secs(2)) > Duration::from_secs(3));
}

/// Guards against a response on a previous version after the deadline of the target version; it
/// started 58 ms late. An engine was cut off, and its streams were resumed on an engine that still
/// held the previous version and seemed to have a free slot. Other requests arrived there as well,
/// so that the stream waited at the engine for a second.
#[test]
fn a_request_waiting_on_a_previous_version_is_cancelled_before_the_deadline() {
    let target_set_at = ClockTime::from_millis(50_000);
    let target = ModelVersion {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    let snapshot = DeploymentSnapshot {
        targets: Arc::new(vec![TargetWeights {
            target,
            target_set_at,
            certainty: TargetTimeCertainty::Witnessed,
        }]),
        ..DeploymentSnapshot::default()
    };
    let now = target_set_at + Duration::from_secs(7);
    let gateway = Arc::new(new_gateway(SharedSnapshot::default(), BOUNDS));
    let state = ForwardState::new(gateway.clone(), job_of("resumed", now));
    let wait_at = |version: u64| {
        let version = Some(WeightsVersion(version));
        let after = gateway.cancel_after();
        let cancel_at = state.job.cancel_at(&snapshot, version, after);
        state.head_wait(cancel_at, now)
    };
    let deadline = target_set_at + BOUNDS.weights_deadline;
    assert!(wait_at(1).until < deadline, "cancelled before the deadline");
    assert_eq!(
        wait_at(1).timeout_end,
        CallOutcome::Inconclusive,
        "not the fault of the engine"
    );
    assert!(wait_at(2).until > deadline);
    assert_eq!(wait_at(2).timeout_end, CallOutcome::Failed);
}

/// Guards against cutting a stream a tenth of a second after it was accepted. The last request of a
/// stopping process had ended, which completed the stop. One more request on an open connection was
/// forwarded, and the process ended.
#[tokio::test]
async fn requests_are_refused_after_the_stop_is_complete() {
    let gateway = new_gateway(SharedSnapshot::default(), BOUNDS);
    let stop_start = ClockTime::from_millis(50_000);
    gateway.begin_stop(stop_start);
    gateway.drain.drain_and_wait().await;
    assert!(gateway.refuses_requests(stop_start + Duration::from_millis(1)));
}
