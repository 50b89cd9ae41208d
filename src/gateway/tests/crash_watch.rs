//! Which cut connections count as a crash.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::fleet::{BackendDesk, BackendFacts, BackendPhase, EngineHoldings, FleetView, PickNeed};
use crate::fleet::{BackendKey, SharedDesk, VersionNeed};
use crate::gateway::crash_watch::{CrashWatch, CutRequest};
use crate::overload::EntryPlace;
use crate::quarantine::{AnsweredLog, BackendStart};
use crate::sync::SharedBook;
use crate::test_support::{digest_of, unused_address};
use crate::time::{ClockTime, clock_now};

/// Longer than a probe takes.
const PROBE_SPAN: Duration = Duration::from_millis(300);

fn facts(address: SocketAddr) -> BackendFacts {
    BackendFacts {
        id: "i-1".into(),
        born: None,
        told: None,
        service: "desk".into(),
        address,
        data_centre: "here".into(),
        slots: 4,
        phase: BackendPhase::Serving,
        holdings: EngineHoldings::default(),
    }
}

fn key_of(facts: &BackendFacts) -> BackendKey {
    let mut desk = BackendDesk::new(EntryPlace {
        data_centre: "here".into(),
        host: "e1".into(),
    });
    desk.set_fleet(&FleetView {
        backends: vec![facts.clone().into()],
    });
    let need = PickNeed {
        service: "desk",
        version: VersionNeed::None,
        tried: &[],
        queue_room: 0,
        is_returned: false,
        work: None,
    };
    let picked = SharedDesk::new(desk).pick(&need, ClockTime(0));
    picked.expect("it is free").key
}

/// How many of two requests are held responsible that were cut at a backend server at `address`.
async fn suspects_at(address: SocketAddr) -> usize {
    let book = SharedBook::default();
    let watch = CrashWatch::new(book.clone());
    let backend = facts(address);
    let key = key_of(&backend);
    let requests = [digest_of(b"one"), digest_of(b"two")];
    for request in requests {
        watch.note_cut(CutRequest { key, request }, &backend);
    }
    sleep(PROBE_SPAN).await;
    let crashes = book.snapshot().load().crashes.clone();
    assert_eq!(crashes.quarantine(requests[0], clock_now()), None);
    let suspects = requests
        .iter()
        .filter(|request| crashes.suspects(**request));
    suspects.count()
}

/// Guards against a call that recurs all day and is refused because all backend servers of its service failed at
/// once.
#[tokio::test]
async fn a_request_that_was_answered_lately_is_not_suspected() {
    let book = SharedBook::default();
    let watch = CrashWatch::new(book.clone());
    let request = digest_of(b"");
    let now = clock_now();
    watch.note_answered(request, now);
    let backend = facts(unused_address().await);
    let cut = CutRequest {
        key: key_of(&backend),
        request,
    };
    watch.note_cut(cut, &backend);
    sleep(PROBE_SPAN).await;
    assert!(!book.snapshot().load().crashes.suspects(request));
    // Another entry host, to which no such call had come before.
    for backend in 1..=3 {
        book.change(|book| book.note_crash(BackendStart(backend), &[request], now));
    }
    assert_eq!(watch.quarantine(request, now), None);
    assert!(!book.snapshot().load().crashes.suspects(request));
}

/// Guards against a request that is held harmless for good because it once was.
#[test]
fn an_answer_speaks_for_a_request_for_a_while_only() {
    let mut log = AnsweredLog::default();
    let now = clock_now();
    log.push(digest_of(b"one"), now);
    for number in 0..3000_u32 {
        log.push(
            digest_of(&number.to_be_bytes()),
            now + Duration::from_secs(1),
        );
    }
    assert!(log.has(digest_of(b"one"), now + Duration::from_secs(29)));
    assert!(!log.has(digest_of(b"one"), now + Duration::from_secs(30)));
    for number in 0..3000_u32 {
        log.push(
            digest_of(&number.to_be_bytes()),
            now + Duration::from_secs(2),
        );
    }
    assert!(!log.has(digest_of(b"one"), now + Duration::from_secs(2)));
}

/// Guards against requests that are held responsible for connections that were reset on their way.
#[tokio::test]
async fn a_reset_connection_is_no_crash() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    assert_eq!(suspects_at(address).await, 0);
}

/// Guards against a crash that only one of several requests is held responsible for.
#[tokio::test]
async fn all_requests_that_were_cut_by_a_crash_are_suspected() {
    assert_eq!(suspects_at(unused_address().await).await, 2);
}
