//! Starts an entry host with fake host processes, and sends requests to it as a caller.

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
    AnswerDigest, AnswerHead, AttemptId, HostClient, OutcomeQuery, OutcomeReply, RunCall, RunFrame,
    RunOrder, RunPart,
};
use crate::documents::{RouteSpec, ServiceDocument, ServiceKind};
use crate::entry::entry_state::EntryState;
use crate::entry::routes::caller_routes;
use crate::errors::{ErrorKind, RunOutcome};
use crate::lab::picks::fixtures::{document, entry, member_record};
use crate::membership::{HostStatus, LoadReport, ServingVersion};
use crate::stores::HostRole;
use crate::transport::{
    ClientLimits, FrameWriter, HttpServer, PeerClient, bind_listener, frame_channel,
    message_response, read_request_message,
};
use crate::weights::WeightsDigest;

pub(super) const TOKENS: u32 = 5;
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
const BODY_BYTES_MAX: usize = 1 << 20;
const SECRET: &str = "secret";

/// How a fake host responds to a run order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostBehaviour {
    /// Sends the complete answer.
    Complete,
    /// Sends the complete answer, with a frame of another attempt before each of its own.
    MixedAttempts,
    /// Ends the stream after this many parts, without an end frame.
    CutAfter(u32),
    /// Accepts the order and sends nothing; reports `NotRun` when the outcome is queried.
    Silent,
    /// Sends keep-alive frames only.
    AliveOnly,
    /// Refuses the order.
    Refuse,
}

/// A fake host process that records the orders it gets.
pub(super) struct FakeHost {
    pub(super) orders: Arc<Mutex<Vec<RunOrder>>>,
    /// Number of answer streams that the entry host has closed.
    pub(super) disconnects: watch::Receiver<u32>,
    member: MemberRecord,
}

impl FakeHost {
    /// Starts a fake host; `is_near` puts it into the entry host's data centre.
    pub(super) async fn start(name: &'static str, behaviour: HostBehaviour, is_near: bool) -> Self {
        let listener = bind_listener(loopback()).await.expect("a free port");
        let orders = Arc::new(Mutex::new(Vec::new()));
        let (disconnects_sender, disconnects) = watch::channel(0);
        let recorded = orders.clone();
        let run = move |request: Request| {
            take_order(
                request,
                behaviour,
                recorded.clone(),
                disconnects_sender.clone(),
            )
        };
        let settle = async |request: Request| {
            let query = read_request_message::<OutcomeQuery>(request, BODY_BYTES_MAX).await;
            assert!(query.is_ok());
            message_response(&OutcomeReply::NotRun)
        };
        let router = Router::new()
            .route("/peer/run", post(run))
            .route("/peer/settle", post(settle));
        let mut member = member_record(name.into(), HostRole::Backend, Some(status(name)));
        member.peer_address = listener.local_addr().expect("bound");
        if !is_near {
            member.data_centre = "cusco-hall-a".into();
        }
        tokio::spawn(HttpServer::on(listener, router).run(no_drain()));
        Self {
            orders,
            disconnects,
            member,
        }
    }

    pub(super) fn order_count(&self) -> usize {
        self.orders.lock().expect("not poisoned").len()
    }

    /// The token index at which the first order resumes; `None` for a plain call.
    pub(super) fn resume_from(&self) -> Option<u32> {
        let orders = self.orders.lock().expect("not poisoned");
        match &orders.first()?.call {
            RunCall::Generate { resume_from, .. } => Some(*resume_from),
            RunCall::Forward { .. } => None,
        }
    }
}

/// Starts an entry host that knows `hosts`; returns the address of its caller listener.
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
    let host_caller = HostClient::new(client, SILENCE_TIMEOUT);
    let state = EntryState::new(entry(0), snapshot, host_caller, no_drain(), BODY_BYTES_MAX);
    let state = Arc::new(state);
    let refreshed = state.clone();
    tokio::spawn(async move { refreshed.refresh_dispatchers().await });
    let listener = bind_listener(loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(HttpServer::on(listener, caller_routes(&state)).run(no_drain()));
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

/// The response that a caller receives.
pub(super) struct CallerResponse {
    pub(super) status: u16,
    /// The reported run outcome.
    pub(super) run: String,
    /// The body as far as it arrived.
    pub(super) text: String,
    /// Whether the body ended cleanly.
    pub(super) is_complete: bool,
}

/// Sends a POST request with the account's headers and `headers`, and reads the whole response.
pub(super) async fn call(
    entry: SocketAddr,
    path: &str,
    body: &str,
    headers: &[(&'static str, &str)],
) -> CallerResponse {
    let response = send(entry, path, body, headers).await;
    let status = response.status().as_u16();
    let run = response.headers().get("savory-run").map_or("", |value| {
        value.to_str().expect("the entry host sends plain text")
    });
    let run = run.to_owned();
    let mut body = response.into_body();
    let mut text = String::new();
    let is_complete = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                text.push_str(std::str::from_utf8(&bytes).expect("the body is UTF-8"));
            }
        }
    };
    CallerResponse {
        status,
        run,
        text,
        is_complete,
    }
}

/// Sends a POST request and returns as soon as the response head has arrived.
pub(super) async fn send(
    entry: SocketAddr,
    path: &str,
    body: &str,
    headers: &[(&'static str, &str)],
) -> Response {
    let mut request = http::Request::post(path)
        .header("savory-account", "account-0000")
        .header("authorization", format!("Bearer {SECRET}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Body::from(body.to_owned()))
        .expect("a valid request");
    let client = PeerClient::new(ClientLimits::default());
    client
        .send(entry, request, Duration::from_mins(1))
        .await
        .expect("the entry host answers")
}

/// The body of a streamed completion request.
pub(super) const STREAM_BODY: &str =
    r#"{"model":"sky-writer","prompt":"p","max_tokens":5,"stream":true}"#;

/// Returns the text of the token at `index` in the fake answer.
pub(super) fn token(index: u32) -> String {
    format!("t{index} ")
}

/// Records a run order and answers it as `behaviour` says.
async fn take_order(
    request: Request,
    behaviour: HostBehaviour,
    orders: Arc<Mutex<Vec<RunOrder>>>,
    disconnects: watch::Sender<u32>,
) -> Response {
    let order: RunOrder = read_request_message(request, BODY_BYTES_MAX)
        .await
        .expect("a valid run order");
    orders.lock().expect("not poisoned").push(order.clone());
    let (writer, body) = frame_channel(4);
    tokio::spawn(async move {
        let answer = FakeAnswer {
            attempt: order.attempt,
            writer,
        };
        if answer.send_all(&order, behaviour).await.is_none() {
            disconnects.send_modify(|count| *count += 1);
        }
    });
    Response::new(body)
}

/// The answer stream to the entry host.
struct FakeAnswer {
    attempt: AttemptId,
    writer: FrameWriter,
}

impl FakeAnswer {
    async fn send(&self, part: RunPart) -> Option<()> {
        let attempt = self.attempt;
        self.writer.write(&RunFrame { attempt, part }).await.ok()
    }

    /// Sends the answer as `behaviour` says; `None` if the entry host has closed the stream.
    async fn send_all(&self, order: &RunOrder, behaviour: HostBehaviour) -> Option<()> {
        match behaviour {
            HostBehaviour::Silent => {
                self.writer.closed().await;
                return None;
            }
            HostBehaviour::AliveOnly => loop {
                self.send(RunPart::Alive).await?;
                tokio::time::sleep(SILENCE_TIMEOUT / 3).await;
            },
            HostBehaviour::Refuse => {
                return self
                    .send(RunPart::Refused {
                        kind: ErrorKind::BackendLeaving,
                        detail: "leaving".into(),
                        outcome: RunOutcome::NotRun,
                        retry_after_ms: None,
                    })
                    .await;
            }
            HostBehaviour::Complete | HostBehaviour::MixedAttempts | HostBehaviour::CutAfter(_) => {
            }
        }
        let mut hasher = blake3::Hasher::new();
        self.send(RunPart::Started {
            serving: Some(serving()),
        })
        .await?;
        let first = self.send_head(order).await?;
        for index in first..TOKENS {
            if behaviour == HostBehaviour::CutAfter(index) {
                return Some(());
            }
            if behaviour == HostBehaviour::MixedAttempts {
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

    /// Sends the response head of a plain call; returns the index of the first part to send.
    async fn send_head(&self, order: &RunOrder) -> Option<u32> {
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
