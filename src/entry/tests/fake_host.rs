//! An entry host with fake host processes behind it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use crate::control::{ControlSnapshot, MemberRecord, ServiceRecord, SharedSnapshot};
use crate::daemon::DrainState;
use crate::delivery::{
    AnswerDigest, AnswerHead, AttemptId, HostCaller, RunCall, RunFrame, RunOrder, RunPart,
    SettleOrder, SettleReply,
};
use crate::documents::{RouteSpec, ServiceDocument, ServiceKind};
use crate::entry::routes::caller_routes;
use crate::entry::traffic::EntryTraffic;
use crate::errors::{ErrorKind, RunOutcome};
use crate::lab::picks::world::{document, entry, record};
use crate::membership::{HostStatus, LoadReport, ServingVersion};
use crate::stores::HostRole;
use crate::transport::{
    ClientLimits, FrameWriter, HttpServer, PeerClient, bind_listener, frame_channel,
    message_response, read_message,
};
use crate::weights::WeightsDigest;

pub(super) const TOKENS: u32 = 5;
const SILENCE: Duration = Duration::from_millis(300);
const LIMIT: usize = 1 << 20;
const SECRET: &str = "secret";

/// What a fake host does with orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostWay {
    /// Answers in full.
    Whole,
    /// Answers in full, with a frame of another attempt before each of its own.
    Crossed,
    /// Breaks off after so many tokens, or bytes of a body.
    CutAfter(u32),
    /// Takes the order and says nothing; when asked, says that it has not run.
    Silent,
    /// Says that it is alive, and nothing else.
    OnlyAlive,
    /// Refuses.
    Refuse,
}

/// One fake host.
pub(super) struct FakeHost {
    pub(super) orders: Arc<Mutex<Vec<RunOrder>>>,
    /// How many streams the entry host has left.
    pub(super) left: watch::Receiver<u32>,
    member: MemberRecord,
}

impl FakeHost {
    /// Starts one; `is_near` puts it into the entry host's data centre.
    pub(super) async fn start(name: &'static str, way: HostWay, is_near: bool) -> Self {
        let listener = bind_listener(loopback()).await.expect("a free port");
        let orders = Arc::new(Mutex::new(Vec::new()));
        let (left_sender, left) = watch::channel(0);
        let kept = orders.clone();
        let run =
            move |request: Request| take_order(request, way, kept.clone(), left_sender.clone());
        let settle = async |request: Request| {
            let asked = read_message::<SettleOrder>(request.into_body(), LIMIT).await;
            assert!(asked.is_ok());
            message_response(&SettleReply::NotRun)
        };
        let router = Router::new()
            .route("/peer/run", post(run))
            .route("/peer/settle", post(settle));
        let mut member = record(name.into(), HostRole::Backend, Some(status(name)));
        member.peer_address = listener.local_addr().expect("bound");
        if !is_near {
            member.data_centre = "cusco-hall-a".into();
        }
        tokio::spawn(HttpServer::on(listener, router).run(no_drain()));
        Self {
            orders,
            left,
            member,
        }
    }

    pub(super) fn order_count(&self) -> usize {
        self.orders.lock().expect("not poisoned").len()
    }

    /// Where the first order goes on from.
    pub(super) fn resume_from(&self) -> Option<u32> {
        let orders = self.orders.lock().expect("not poisoned");
        match &orders.first()?.call {
            RunCall::Generate { resume_from, .. } => Some(*resume_from),
            RunCall::Forward { .. } => None,
        }
    }
}

/// Starts an entry host before `hosts`; returns where callers reach it.
pub(super) async fn start_entry(kind: ServiceKind, hosts: &[&FakeHost]) -> SocketAddr {
    let snapshot = SharedSnapshot::default();
    let mut members: Vec<_> = hosts
        .iter()
        .map(|host| Arc::new(host.member.clone()))
        .collect();
    members.sort_by(|one, other| one.host.cmp(&other.host));
    snapshot.replace(ControlSnapshot {
        generation: 1,
        services: vec![Arc::new(ServiceRecord {
            version: 1,
            document: service(kind),
        })],
        members,
        table_answers: true,
    });
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let caller = HostCaller::new(client, SILENCE);
    let traffic = EntryTraffic::new(entry(0), snapshot, caller, no_drain(), LIMIT);
    let traffic = Arc::new(traffic);
    let kept = traffic.clone();
    tokio::spawn(async move { kept.keep_desks().await });
    let listener = bind_listener(loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(HttpServer::on(listener, caller_routes(&traffic)).run(no_drain()));
    address
}

fn service(kind: ServiceKind) -> ServiceDocument {
    let mut document = document(1);
    document.kind = kind;
    document.data_centres.push("cusco-hall-a".into());
    document.accounts[0].key_digest = blake3::hash(SECRET.as_bytes()).to_hex().to_string().into();
    document.routes = vec![RouteSpec {
        method: None,
        path_prefix: "/again".into(),
        repeatable: true,
        in_outage: crate::documents::OutageRule::default(),
    }];
    document
}

/// What a caller gets: status, headers, and the body or how far it came.
pub(super) struct Got {
    pub(super) status: u16,
    pub(super) run: String,
    pub(super) text: String,
    pub(super) is_whole: bool,
}

/// Sends a request with the account's headers and `more` beside them.
pub(super) async fn ask(
    entry: SocketAddr,
    path: &str,
    body: &str,
    more: &[(&'static str, &str)],
) -> Got {
    let answer = send(entry, path, body, more).await;
    let status = answer.status().as_u16();
    let run = answer
        .headers()
        .get("savory-run")
        .map_or("", |value| value.to_str().expect("ours are plain text"));
    let run = run.to_owned();
    let mut body = answer.into_body();
    let mut text = String::new();
    let is_whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                text.push_str(std::str::from_utf8(&bytes).expect("plain text"));
            }
        }
    };
    Got {
        status,
        run,
        text,
        is_whole,
    }
}

/// Sends a request and returns as soon as the head of the answer is there.
pub(super) async fn send(
    entry: SocketAddr,
    path: &str,
    body: &str,
    more: &[(&'static str, &str)],
) -> Response {
    let mut request = http::Request::post(path)
        .header("savory-account", "account-0000")
        .header("authorization", format!("Bearer {SECRET}"));
    for (name, value) in more {
        request = request.header(*name, *value);
    }
    let request = request.body(Body::from(body.to_owned())).expect("it fits");
    let client = PeerClient::new(ClientLimits::default());
    client
        .send(entry, request, Duration::from_mins(1))
        .await
        .expect("the entry host answers")
}

/// The body of a completion for the service.
pub(super) const STREAM: &str =
    r#"{"model":"sky-writer","prompt":"p","max_tokens":5,"stream":true}"#;

/// Some token of the answer.
pub(super) fn token(index: u32) -> String {
    format!("t{index} ")
}

async fn take_order(
    request: Request,
    way: HostWay,
    orders: Arc<Mutex<Vec<RunOrder>>>,
    left: watch::Sender<u32>,
) -> Response {
    let order: RunOrder = read_message(request.into_body(), LIMIT)
        .await
        .expect("an order");
    orders.lock().expect("not poisoned").push(order.clone());
    let (writer, body) = frame_channel(4);
    tokio::spawn(async move {
        let line = HostLine {
            attempt: order.attempt,
            writer,
        };
        if line.answer(&order, way).await.is_none() {
            left.send_modify(|left| *left += 1);
        }
    });
    Response::new(body)
}

/// The way back to the entry host.
struct HostLine {
    attempt: AttemptId,
    writer: FrameWriter,
}

impl HostLine {
    async fn send(&self, part: RunPart) -> Option<()> {
        let attempt = self.attempt;
        self.writer.write(&RunFrame { attempt, part }).await.ok()
    }

    /// `None` when the entry host has left.
    async fn answer(&self, order: &RunOrder, way: HostWay) -> Option<()> {
        match way {
            HostWay::Silent => {
                self.writer.closed().await;
                return None;
            }
            HostWay::OnlyAlive => loop {
                self.send(RunPart::Alive).await?;
                tokio::time::sleep(SILENCE / 3).await;
            },
            HostWay::Refuse => {
                return self
                    .send(RunPart::Refused {
                        kind: ErrorKind::BackendLeaving,
                        detail: "leaving".into(),
                        outcome: RunOutcome::NotRun,
                        retry_after_ms: None,
                    })
                    .await;
            }
            HostWay::Whole | HostWay::Crossed | HostWay::CutAfter(_) => {}
        }
        let mut hasher = blake3::Hasher::new();
        self.send(RunPart::Started {
            serving: Some(serving()),
        })
        .await?;
        let from = self.head(order).await?;
        for index in from..TOKENS {
            if way == HostWay::CutAfter(index) {
                return Some(());
            }
            if way == HostWay::Crossed {
                let attempt = AttemptId::fresh();
                let part = part_of(order, index, "another's");
                self.writer.write(&RunFrame { attempt, part }).await.ok()?;
            }
            let text = token(index);
            hasher.update(text.as_bytes());
            self.send(part_of(order, index, &text)).await?;
        }
        let end = RunPart::End {
            digest: AnswerDigest::from_hasher(&hasher),
            reason: "length".into(),
            load: load(),
        };
        self.send(end).await
    }

    /// What comes before the answer's parts; returns the first part's place.
    async fn head(&self, order: &RunOrder) -> Option<u32> {
        match &order.call {
            RunCall::Generate { resume_from, .. } => Some(*resume_from),
            RunCall::Forward { .. } => {
                let head = AnswerHead {
                    status: 201,
                    headers: vec![("x-kind".into(), "plain".into())],
                };
                self.send(RunPart::Head(head)).await?;
                Some(0)
            }
        }
    }
}

fn part_of(order: &RunOrder, index: u32, text: &str) -> RunPart {
    match &order.call {
        RunCall::Generate { .. } => RunPart::Token {
            index,
            text: text.into(),
        },
        RunCall::Forward { .. } => RunPart::Body(text.as_bytes().to_vec()),
    }
}

fn serving() -> ServingVersion {
    ServingVersion {
        version: "v1".into(),
        digest: WeightsDigest::of(b"v1"),
    }
}

const fn load() -> LoadReport {
    LoadReport {
        running: 0,
        waiting: 0,
        capacity: 8,
        queue_room: 8,
    }
}

fn status(name: &'static str) -> Arc<HostStatus> {
    Arc::new(HostStatus {
        host: name.into(),
        incarnation: 1,
        sequence: 1,
        leaving: false,
        load: load(),
        serving: Some(serving()),
        staging: None,
    })
}

fn no_drain() -> DrainState {
    DrainState::new(Duration::ZERO, Duration::ZERO)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
