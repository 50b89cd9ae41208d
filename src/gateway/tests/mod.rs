mod connection;
mod crash_watch;
mod crashing_requests;
mod entry_system;
mod fake_backend;
mod intake;
mod pauses;
mod rate_limits;
mod resets;
mod sends;
mod take_back;
mod unbroken_answers;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use self::fake_backend::catalog;
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::fleet::{CallEnd, ModelVersion, NamingCertainty, WantedWeights, WeightsVersion};
use crate::gateway::crash_watch::CrashWatch;
use crate::gateway::event_reader::EventReader;
use crate::gateway::forwarder::Forwarder;
use crate::gateway::gateway_state::{GatewayParts, GatewayState};
use crate::gateway::reply::{refusal_reply, status_of};
use crate::gateway::request_job::{RequestJob, route_request};
use crate::overload::EntryPlace;
use crate::platform::{PlatformBounds, RequestHead};
use crate::sync::{ControlSnapshot, SharedBook, SharedSnapshot};
use crate::time::ClockTime;

fn taken(reader: &mut EventReader) -> Vec<(Option<u64>, String)> {
    let mut events = Vec::new();
    while let Some(event) = reader.next() {
        let text = String::from_utf8_lossy(&event.bytes).into_owned();
        events.push((event.id, text));
    }
    events
}

#[test]
fn events_are_taken_whole_wherever_the_bytes_are_cut() {
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
            events.extend(taken(&mut reader));
        }
        assert_eq!(events, expected, "cut into parts of {size} bytes");
        assert!(reader.has_rest());
    }
}

/// Symptom: an unrepeatable request ran twice. The entry host answered 503 to one whose connection
/// had broken after it was sent; the client took that as a promise and asked again. Statuses that
/// promise "not run" must go with that outcome only.
#[test]
fn a_status_that_promises_not_run_is_never_given_to_an_unknown_outcome() {
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
fn a_refusal_says_to_the_millisecond_when_to_come_back() {
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
};

/// No second send, whatever fails.
const NO_RETRIES: PlatformBounds = PlatformBounds {
    retry_ratio: 0.0,
    retry_extra: 0.0,
    ..BOUNDS
};

fn gateway_on(snapshot: SharedSnapshot, bounds: PlatformBounds) -> GatewayState {
    gateway_beside(snapshot, bounds, SharedBook::default())
}

/// The same, which is told by `book` of requests that crash backend servers.
fn gateway_beside(
    snapshot: SharedSnapshot,
    bounds: PlatformBounds,
    book: SharedBook,
) -> GatewayState {
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    let me = EntryPlace {
        data_centre: "here".into(),
        host: "e1".into(),
    };
    GatewayState::new(GatewayParts {
        snapshot,
        crashes: CrashWatch::new(book),
        me,
        drain,
        bounds,
    })
}

/// Symptom: streams were cut in the middle seven seconds after a planned stop had begun. A client had
/// kept its connection and sent a request five seconds into the stop; it was taken, and was still
/// running when the process had to end.
#[test]
fn a_stopping_process_takes_requests_for_three_seconds_only() {
    let gateway = gateway_on(SharedSnapshot::default(), BOUNDS);
    let begun = ClockTime::from_millis(50_000);
    assert!(!gateway.refuses_new(begun));
    gateway.begin_stop(begun);
    assert!(!gateway.refuses_new(begun + Duration::from_millis(2500)));
    assert!(gateway.refuses_new(begun + Duration::from_secs(3)));
}

/// A request on the route of `kind` that came at `arrived`.
fn job_of(kind: &str, arrived: ClockTime) -> RequestJob {
    let head = RequestHead {
        attempt: Some("a1".into()),
        deadline: None,
        api_key: Some("secret".into()),
        model: Some("m".into()),
        prompt_tokens: 1000,
        output_tokens_max: 100,
        estimated_output_tokens: None,
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

/// Symptom: streams that an engine cut off when it changed its weights paused for half a second and more.
/// They waited in the other engines' queues behind requests that had just come.
#[test]
fn a_stream_that_goes_on_is_more_urgent_than_any_new_request() {
    let now = ClockTime::from_millis(50_000);
    for rank in [0, 1, 9] {
        let mut job = job_of("resumed", now);
        job.routed.rank = rank;
        assert!(job.engine_priority(true) < job.engine_priority(false));
    }
}

/// Symptom: backend servers worked for clients that had left. Events: the hosts of some engines stand still;
/// a stream waits at one of them and then at another. Cause: the client was left waiting until it closed
/// its connection, and nobody could tell it to ask again.
#[test]
fn a_client_is_told_before_it_stops_waiting_for_a_stream() {
    let now = ClockTime::from_millis(50_000);
    let gateway = Arc::new(gateway_on(SharedSnapshot::default(), BOUNDS));
    let wait_of = |kind: &str, later: Duration| {
        let forwarder = Forwarder::new(gateway.clone(), job_of(kind, now));
        let wait = forwarder.head_wait(None, now + later);
        wait.until.since(now + later)
    };
    // The route's pauses are 0.3 s; clients wait for eight of them, 2.4 s.
    let left = wait_of("resumed", Duration::from_secs(2));
    assert!(left > Duration::ZERO && left < Duration::from_millis(400));
    let left = wait_of("single", Duration::from_millis(2350));
    assert_eq!(left, Duration::ZERO);
    assert!(wait_of("once", Duration::from_secs(2)) > Duration::from_secs(3));
}

/// Symptom: an answer began on the first version of weights 58 ms after its bound. An engine was cut
/// off and its streams were resumed on one that still held the first version and seemed to have a
/// place; others had come there too, and the stream waited at the engine for a second.
#[test]
fn a_request_that_waits_at_older_weights_is_taken_back_before_their_bound() {
    let named_at = ClockTime::from_millis(50_000);
    let target = ModelVersion {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    let snapshot = ControlSnapshot {
        wanted: Arc::new(vec![WantedWeights {
            target,
            named_at,
            certainty: NamingCertainty::Witnessed,
        }]),
        ..ControlSnapshot::default()
    };
    let now = named_at + Duration::from_secs(7);
    let gateway = Arc::new(gateway_on(SharedSnapshot::default(), BOUNDS));
    let forwarder = Forwarder::new(gateway.clone(), job_of("resumed", now));
    let wait_at = |held: u64| {
        let held = Some(WeightsVersion(held));
        let after = gateway.take_back_after();
        let taken_back = forwarder.job.taken_back_at(&snapshot, held, after);
        forwarder.head_wait(taken_back, now)
    };
    let bound = named_at + BOUNDS.weights_deadline;
    assert!(wait_at(1).until < bound, "it is back before the bound");
    assert_eq!(
        wait_at(1).silence,
        CallEnd::Nothing,
        "the engine did nothing wrong"
    );
    assert!(wait_at(2).until > bound);
    assert_eq!(wait_at(2).silence, CallEnd::Failed);
}

/// Symptom: a stream was cut a tenth of a second after it had been taken, in a planned stop. The last
/// request had just ended, so that the stop was over; a client's kept connection brought one more, which
/// was passed on, and the process ended.
#[tokio::test]
async fn nothing_is_taken_once_the_stop_is_over() {
    let gateway = gateway_on(SharedSnapshot::default(), BOUNDS);
    let begun = ClockTime::from_millis(50_000);
    gateway.begin_stop(begun);
    gateway.drain.drain_and_wait().await;
    assert!(gateway.refuses_new(begun + Duration::from_millis(1)));
}
