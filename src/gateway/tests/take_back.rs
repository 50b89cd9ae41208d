//! What waits at engines of older weights is taken back before their bound.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::fake_backend::{BackendWay, FakeBackend, FakeEntry};
use super::{BOUNDS, gateway_on, job_of};
use crate::fleet::{
    BackendFacts, BackendPhase, CallEnd, EngineHoldings, FleetView, HeldLayers, ModelVersion,
    NamingCertainty, PickNeed, VersionNeed, WantedWeights, WeightsVersion,
};
use crate::gateway::send_attempt::{HeadWait, SendFailure, send_attempt};
use crate::sync::{ControlSnapshot, SharedSnapshot};
use crate::time::{ClockTime, clock_now};

/// Sends a request on the route of `kind` that is taken back at `until`.
async fn send_until(entry: &FakeEntry, kind: &str, until: ClockTime) -> Option<SendFailure> {
    let now = clock_now();
    let need = PickNeed {
        service: "desk",
        version: VersionNeed::None,
        tried: &[],
        queue_room: 0,
        is_returned: false,
        work: None,
    };
    let ticket = entry.gateway.desk.pick(&need, now);
    let wait = HeadWait {
        until,
        silence: CallEnd::Nothing,
    };
    let job = job_of(kind, now);
    let sent = send_attempt(
        &entry.gateway,
        &job,
        ticket.expect("it has places"),
        (&VersionNeed::None, None),
        wait,
    );
    sent.await.err()
}

/// Requests began on older weights behind their bound. What waits at an engine is taken back a quarter of a
/// second before it; that time was counted from when the connection was open, which may take 0.15 s beside
/// an engine whose link carries weights. What would have to be back by then is not sent at all, and so it
/// surely did not run.
#[tokio::test]
async fn what_has_to_be_back_when_its_connection_is_open_is_not_sent() {
    let backend = FakeBackend::start(BackendWay::Whole).await;
    let entry = FakeEntry::start(&[&backend]).await;
    entry.gateway.snapshot();
    let now = clock_now();
    let failure = send_until(&entry, "once", now).await;
    let failure = failure.expect("it was too late");
    assert!(!failure.has_arrived && !failure.may_have_run, "{failure:?}");
    assert_eq!(backend.arrivals(), 0);
}

/// Requests could begin on older weights behind their bound though their entry host knew better by then. A
/// request that waits at an engine was taken back at a moment worked out when it was sent; a newer version,
/// or an earlier moment of its naming, that was heard of meanwhile changed nothing for it.
#[tokio::test]
async fn what_waits_is_taken_back_by_what_is_known_meanwhile() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = silent.local_addr().expect("it is bound");
    let version = |number| ModelVersion {
        model: "m".into(),
        version: WeightsVersion(number),
    };
    let layers = HeldLayers {
        from: 0,
        to: 16,
        version: WeightsVersion(1),
    };
    let facts = BackendFacts {
        born: None,
        told: None,
        id: "i-0".into(),
        service: "desk".into(),
        address,
        data_centre: "here".into(),
        slots: 4,
        phase: BackendPhase::Serving,
        holdings: EngineHoldings {
            models: vec![version(1)],
            layers: vec![layers],
        },
    };
    let known = ControlSnapshot {
        fleet: Arc::new(FleetView {
            backends: vec![Arc::new(facts)],
        }),
        ..ControlSnapshot::default()
    };
    let snapshot = SharedSnapshot::default();
    snapshot.store(known.clone());
    let gateway = Arc::new(gateway_on(snapshot.clone(), BOUNDS));
    gateway.snapshot();
    let model = VersionNeed::Model {
        model: "m".into(),
        layers: 16,
        least: None,
        least_to_wait: None,
    };
    let now = clock_now();
    let need = PickNeed {
        service: "desk",
        version: model.clone(),
        tried: &[],
        queue_room: 0,
        is_returned: false,
        work: None,
    };
    let ticket = gateway.desk.pick(&need, now).expect("it has places");
    let wait = HeadWait {
        until: now + Duration::from_secs(5),
        silence: CallEnd::Failed,
    };
    let sending = tokio::spawn(async move {
        let job = job_of("resumed", now);
        let sent = send_attempt(&gateway, &job, ticket, (&model, None), wait);
        sent.await.err()
    });
    sleep(Duration::from_millis(100)).await;
    let second = WantedWeights {
        target: version(2),
        named_at: now - BOUNDS.weights_within,
        certainty: NamingCertainty::Witnessed,
    };
    snapshot.store(ControlSnapshot {
        targets: Arc::new(vec![second]),
        ..known
    });
    let sent = timeout(Duration::from_secs(1), sending).await;
    let failure = sent.expect("it is taken back").expect("no test panicked");
    assert!(failure.is_some_and(|failure| failure.may_have_run));
}

/// Passes bytes on to `backend` a while after they came, as a full link does, and answers at once.
async fn full_link(backend: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(backend).await.expect("it listens");
            let (mut near_in, mut near_out) = near.into_split();
            let (mut far_in, mut far_out) = far.into_split();
            let (sender, mut queue) = mpsc::unbounded_channel();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                while let Ok(length @ 1..) = near_in.read(&mut buffer).await {
                    let due = Instant::now() + delay;
                    let _ = sender.send((due, buffer[..length].to_vec()));
                }
            });
            tokio::spawn(async move {
                while let Some((due, bytes)) = queue.recv().await {
                    sleep_until(due).await;
                    let _ = far_out.write_all(&bytes).await;
                }
            });
            tokio::spawn(async move { tokio::io::copy(&mut far_in, &mut near_out).await });
        }
    });
    address
}

/// Guards against requests that begin on older weights behind their bound because they were still on their
/// way, over a full link, when they were taken back.
#[tokio::test]
async fn what_is_taken_back_on_its_way_does_not_arrive_behind_the_bound() {
    let backend = FakeBackend::start(BackendWay::Whole).await;
    let delay = Duration::from_secs(1);
    let link = FakeBackend {
        address: full_link(backend.address, delay).await,
        requests: backend.requests.clone(),
    };
    let entry = FakeEntry::start(&[&link]).await;
    entry.gateway.snapshot();
    let until = clock_now() + Duration::from_millis(150);
    let failure = send_until(&entry, "resumed", until).await;
    assert!(failure.is_some(), "it is taken back");
    // The bound is a quarter of a second behind that.
    sleep(Duration::from_millis(250)).await;
    assert_eq!(backend.arrivals(), 0, "the link holds it");
    sleep(delay).await;
    assert_eq!(backend.arrivals(), 0, "it arrived behind the bound");
}
