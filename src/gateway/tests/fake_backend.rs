//! An entry host with fake backend servers, all over loopback sockets. The fakes write their
//! responses byte by byte, so that they can violate any rule of the protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytestring::ByteString;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{BOUNDS, new_gateway_with, only_entry_host};
use crate::catalog::{
    AccountRecord, BackendService, CallerLimits, CatalogVersion, RetryPolicy, RouteRule,
    RouteTable, ServiceCatalog, ServiceShare,
};
use crate::daemon::DrainState;
use crate::fleet::{BackendFacts, BackendPhase, EngineHoldings, FleetView};
use crate::gateway::daemon::caller_routes;
use crate::gateway::gateway_state::GatewayState;
use crate::placement::HomeRegions;
use crate::platform::PlatformBounds;
use crate::platform::samples::{ATTEMPT, BACKEND_ID, DEADLINE, LEAVING, NOT_RUN, SEAL};
use crate::sync::{DeploymentSnapshot, SharedDeploymentState, SharedSnapshot};
use crate::transport::{HttpServer, bind_listener};

/// How a fake backend server handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendBehaviour {
    /// Sends a complete response.
    Complete,
    /// Reads the request and does not respond.
    Unresponsive,
    /// Sends a complete response and a second one after it.
    CompleteAndStray,
    /// Responds with the id of another attempt.
    AttemptMismatch,
    /// Sends a complete response that announces that it is leaving.
    Leaving,
    /// Sends events up to `to` in a response that announces that it is leaving.
    EventsLeaving { to: u64 },
    /// Responds that it did not run the request.
    NotRun,
    /// Responds that it did not run the request, and asks for a pause of `seconds`.
    NotRunWithPause { seconds: u32 },
    /// Responds that it holds another version than the expected one.
    Misdirected,
    /// Responds that it is not the backend server that the request was meant for.
    Replaced,
    /// Reads the request and closes the connection.
    CloseUnanswered,
    /// Resets each connection before reading a byte of a request.
    ResetUnread,
    /// Reads the request and resets the connection.
    ResetUnanswered,
    /// Resets the connection during the response body.
    ResetBody,
    /// Sends a complete response and resets the connection after the last byte.
    ResetAfterResponse,
    /// Sends events up to `to` and part of one more, then resets the connection.
    EventsReset { to: u64 },
    /// Closes the connection during the response body.
    TruncatedBody,
    /// Sends a response without a length, which ends with the connection.
    Unframed,
    /// The same, and resets the connection during the body.
    UnframedReset,
    /// Sends events up to `to` without a length or chunks, and `rest`, then closes the connection.
    UnframedEvents { to: u64, rest: &'static str },
    /// Sends an error response.
    Fail,
    /// Sends events up to `to`, starting after the last event of the client.
    Events { to: u64 },
    /// Sends events up to `to` and part of one more, then closes the connection.
    EventsTruncated { to: u64 },
    /// Sends events up to `to`, with a pause after the event `after`.
    EventsPaused {
        after: u64,
        pause: Duration,
        to: u64,
    },
    /// Sends events up to `to`, then nothing more.
    EventsThenUnresponsive { to: u64 },
    /// Sends events up to `to`, then nothing, and closes the connection after `pause`.
    EventsThenDelayedClose { to: u64, pause: Duration },
    /// Sends events up to `to` from the first one on, whatever the client has received.
    EventsFromStart { to: u64 },
    /// Waits for `pause`, then sends events up to `to`.
    EventsLate { pause: Duration, to: u64 },
    /// Sends bytes of one part of a response until the connection is closed.
    Endless(EndlessPart),
}

/// The part of a response that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndlessPart {
    /// Complete interim responses.
    Interim,
    /// Bytes that are no response head.
    NoHead,
    /// Header fields.
    Fields,
    /// The value of one header field.
    FieldValue,
    /// A body in chunks.
    ChunkedBody,
    /// A body with a length.
    SizedBody,
    /// A body that ends with the connection.
    UnframedBody,
    /// One event of a stream.
    Event,
}

impl EndlessPart {
    pub(super) const ALL: [Self; 8] = [
        Self::Interim,
        Self::NoHead,
        Self::Fields,
        Self::FieldValue,
        Self::ChunkedBody,
        Self::SizedBody,
        Self::UnframedBody,
        Self::Event,
    ];

    /// Returns the start of a response to `attempt`, and the bytes that follow it again and again.
    fn texts(self, attempt: &str) -> (String, String) {
        let head = format!("HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal-of-it\r\n");
        let start = match self {
            Self::Interim | Self::NoHead => String::new(),
            Self::Fields => head,
            Self::FieldValue => format!("{head}x-field: "),
            Self::ChunkedBody => format!("{head}transfer-encoding: chunked\r\n\r\n"),
            Self::SizedBody => format!("{head}content-length: 99999999999\r\n\r\n"),
            Self::UnframedBody => format!("{head}\r\n"),
            Self::Event => format!("{head}content-type: text/event-stream\r\n\r\nid: 1\n"),
        };
        let repeated = match self {
            Self::Interim => "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".to_owned(),
            Self::Fields => "x-field: value\r\n".to_owned(),
            Self::ChunkedBody => format!("400\r\n{}\r\n", "x".repeat(0x400)),
            Self::NoHead | Self::FieldValue | Self::SizedBody | Self::UnframedBody => {
                "no end ".to_owned()
            }
            Self::Event => "data: no end\n".to_owned(),
        };
        (start, repeated)
    }
}

/// Size of the writes of an endless part.
const ENDLESS_WRITE_BYTES: usize = 16 * 1024;

impl BackendBehaviour {
    /// Returns whether its connections end with a reset.
    const fn resets(self) -> bool {
        matches!(
            self,
            Self::ResetUnread
                | Self::ResetUnanswered
                | Self::ResetBody
                | Self::ResetAfterResponse
                | Self::UnframedReset
                | Self::EventsReset { .. }
        )
    }
}

/// Time for the bytes of a response to be read before the connection is reset.
const READ_SPAN: Duration = Duration::from_millis(50);

/// End of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// A fake backend server.
pub(super) struct FakeBackend {
    pub(super) address: SocketAddr,
    /// Heads and bodies of the received requests.
    pub(super) requests: Arc<Mutex<Vec<String>>>,
    /// Bytes of endless parts that were sent.
    pub(super) endless_bytes: Arc<AtomicUsize>,
    /// Connections on which an endless part is being sent.
    pub(super) endless_sends: Arc<AtomicUsize>,
}

impl FakeBackend {
    pub(super) async fn start(behaviour: BackendBehaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let backend = Self::at(address);
        let (received, endless) = (backend.requests.clone(), backend.endless_counts());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let received = received.clone();
                match behaviour {
                    BackendBehaviour::Endless(part) => {
                        tokio::spawn(serve_endless(stream, part, received, endless.clone()));
                    }
                    _ => {
                        tokio::spawn(serve(stream, behaviour, received));
                    }
                }
            }
        });
        backend
    }

    /// A backend server at `address` to which nothing has been sent.
    pub(super) fn at(address: SocketAddr) -> Self {
        Self {
            address,
            requests: Arc::default(),
            endless_bytes: Arc::default(),
            endless_sends: Arc::default(),
        }
    }

    fn endless_counts(&self) -> [Arc<AtomicUsize>; 2] {
        [self.endless_bytes.clone(), self.endless_sends.clone()]
    }

    pub(super) fn arrivals(&self) -> usize {
        self.requests.lock().expect("no test thread panicked").len()
    }
}

/// Responds to one request with an endless `part`. `sent` and `sends` count its bytes and the
/// connections on which it is being sent.
async fn serve_endless(
    mut stream: TcpStream,
    part: EndlessPart,
    received: Arc<Mutex<Vec<String>>>,
    [sent, sends]: [Arc<AtomicUsize>; 2],
) {
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    let attempt = field(&request, ATTEMPT).unwrap_or_default();
    received
        .lock()
        .expect("no test thread panicked")
        .push(request);
    sends.fetch_add(1, Ordering::Relaxed);
    let (mut bytes, repeated) = part.texts(&attempt);
    loop {
        while bytes.len() < ENDLESS_WRITE_BYTES {
            bytes.push_str(&repeated);
        }
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            break;
        }
        sent.fetch_add(bytes.len(), Ordering::Relaxed);
        bytes.clear();
    }
    sends.fetch_sub(1, Ordering::Relaxed);
}

async fn serve(
    mut stream: TcpStream,
    behaviour: BackendBehaviour,
    received: Arc<Mutex<Vec<String>>>,
) {
    if behaviour.resets() {
        let socket = socket2::SockRef::from(&stream);
        let lingers = socket.set_linger(Some(Duration::ZERO));
        lingers.expect("the socket option is supported");
    }
    if behaviour == BackendBehaviour::ResetUnread {
        return;
    }
    while let Some(request) = read_request(&mut stream).await {
        received
            .lock()
            .expect("no test thread panicked")
            .push(request.clone());
        let attempt = field(&request, ATTEMPT).unwrap_or_default();
        let last: u64 = field(&request, "last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if let BackendBehaviour::EventsPaused { after, pause, to } = behaviour {
            if last < after {
                let (events, _) = response_text(
                    BackendBehaviour::EventsThenUnresponsive { to: after },
                    &attempt,
                    last,
                );
                if stream.write_all(events.as_bytes()).await.is_err() {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
            let rest = event_chunk(last.max(after), to, "");
            if stream
                .write_all(format!("{rest}{LAST_CHUNK}").as_bytes())
                .await
                .is_err()
            {
                return;
            }
            continue;
        }
        if let BackendBehaviour::EventsLate { pause, .. } = behaviour {
            tokio::time::sleep(pause).await;
        }
        let (response, closes) = response_text(behaviour, &attempt, last);
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        if closes {
            if let BackendBehaviour::EventsThenDelayedClose { pause, .. } = behaviour {
                tokio::time::sleep(pause).await;
            }
            if behaviour.resets() {
                // A reset discards the bytes that the other end has not read yet.
                tokio::time::sleep(READ_SPAN).await;
            }
            return;
        }
    }
}

/// Returns the bytes of the response, and whether the connection is closed after them.
fn response_text(behaviour: BackendBehaviour, attempt: &str, last: u64) -> (String, bool) {
    let head = |status: &str, attempt: &str, extra: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{ATTEMPT}: {attempt}\r\n\
             {SEAL}: seal-of-it\r\n{extra}content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let events_with = |extra: &str, to: u64, rest: &str| {
        format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal-of-it\r\n{extra}\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{}",
            event_chunk(last, to, rest)
        )
    };
    let events = |to: u64, rest: &str| events_with("", to, rest);
    match behaviour {
        BackendBehaviour::Complete => (head("200 OK", attempt, "", "whole"), false),
        BackendBehaviour::CompleteAndStray => {
            let own = head("200 OK", attempt, "", "whole");
            let stray = head("200 OK", "another", "", "stray");
            (format!("{own}{stray}"), false)
        }
        BackendBehaviour::AttemptMismatch => (head("200 OK", "another", "", "foreign"), false),
        BackendBehaviour::Leaving => {
            let extra = format!("{LEAVING}: 1\r\n");
            (head("200 OK", attempt, &extra, "whole"), false)
        }
        BackendBehaviour::EventsLeaving { to } => {
            let extra = format!("{LEAVING}: 1\r\n");
            (
                format!("{}{LAST_CHUNK}", events_with(&extra, to, "")),
                false,
            )
        }
        BackendBehaviour::NotRun => {
            let extra = format!("{NOT_RUN}: 1\r\n");
            (head("503 Service Unavailable", attempt, &extra, ""), false)
        }
        BackendBehaviour::NotRunWithPause { seconds } => {
            let extra = format!("{NOT_RUN}: 1\r\nretry-after: {seconds}\r\n");
            (head("503 Service Unavailable", attempt, &extra, ""), false)
        }
        BackendBehaviour::Misdirected => (head("421 Misdirected Request", attempt, "", ""), false),
        BackendBehaviour::Replaced => {
            let extra = format!("{BACKEND_ID}: i-new\r\n");
            (head("421 Misdirected Request", attempt, &extra, ""), false)
        }
        BackendBehaviour::Unresponsive | BackendBehaviour::Endless(_) => (String::new(), false),
        BackendBehaviour::CloseUnanswered
        | BackendBehaviour::ResetUnread
        | BackendBehaviour::ResetUnanswered => (String::new(), true),
        BackendBehaviour::ResetAfterResponse => (head("200 OK", attempt, "", "whole"), true),
        BackendBehaviour::TruncatedBody | BackendBehaviour::ResetBody => {
            let whole = head("200 OK", attempt, "", "whole answer");
            (whole[..whole.len() - 3].to_owned(), true)
        }
        BackendBehaviour::Fail => (
            head("500 Internal Server Error", attempt, "", "failed"),
            false,
        ),
        BackendBehaviour::Unframed | BackendBehaviour::UnframedReset => {
            let whole = head("200 OK", attempt, "", "whole");
            (without_framing(&whole), true)
        }
        BackendBehaviour::UnframedEvents { to, rest } => {
            let head = without_framing(&events_with("", 0, ""));
            (format!("{head}{}{rest}", event_texts(last, to)), true)
        }
        BackendBehaviour::Events { to }
        | BackendBehaviour::EventsPaused { to, .. }
        | BackendBehaviour::EventsLate { to, .. } => {
            (format!("{}{LAST_CHUNK}", events(to, "")), false)
        }
        BackendBehaviour::EventsFromStart { to } => {
            response_text(BackendBehaviour::Events { to }, attempt, 0)
        }
        BackendBehaviour::EventsThenUnresponsive { to } => (events(to, ""), false),
        BackendBehaviour::EventsThenDelayedClose { to, .. } => (events(to, ""), true),
        BackendBehaviour::EventsTruncated { to } | BackendBehaviour::EventsReset { to } => {
            (events(to, "id: 99\ndata: par"), true)
        }
    }
}

/// Returns `response` without the fields that tell where its body ends.
fn without_framing(response: &str) -> String {
    let is_framing =
        |line: &&str| line.starts_with("content-length") || line.starts_with("transfer-encoding");
    let lines = response.split_inclusive("\r\n");
    lines.filter(|line| !is_framing(line)).collect()
}

/// Returns the events after `last` up to `to`.
fn event_texts(last: u64, to: u64) -> String {
    let events = (last + 1..=to).map(|id| format!("id: {id}\ndata: part {id}\n\n"));
    events.collect()
}

/// Returns the events after `last` up to `to`, followed by `rest`, as one chunk of a body.
fn event_chunk(last: u64, to: u64, rest: &str) -> String {
    let body = event_texts(last, to) + rest;
    if body.is_empty() {
        // An empty chunk would end the body.
        return body;
    }
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// Reads a complete request including its body; `None` if the other end closed the connection.
pub(super) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = text.find("\r\n\r\n") {
            let length: usize = field(&text, "content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            if text.len() >= end + 4 + length {
                return Some(text);
            }
        }
        let read = stream.read(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
}

/// Returns the value of a header field of a message.
pub(super) fn field(text: &str, name: &str) -> Option<String> {
    let head = text.split("\r\n\r\n").next()?;
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// An entry host that listens on a loopback address.
pub(super) struct EntryFixture {
    pub(super) address: SocketAddr,
    pub(super) gateway: Arc<GatewayState>,
    /// What the entry host knows of the deployment.
    pub(super) snapshot: SharedSnapshot,
    /// Source of the crash records.
    pub(super) deployment_state: SharedDeploymentState,
}

impl EntryFixture {
    /// Starts an entry host with `backends` and a route for each kind of request.
    pub(super) async fn start(backends: &[&FakeBackend]) -> Self {
        Self::start_with(backends, BOUNDS).await
    }

    /// Like `start`, with other time bounds.
    pub(super) async fn start_with(backends: &[&FakeBackend], bounds: PlatformBounds) -> Self {
        let snapshot = SharedSnapshot::default();
        let facts = backends.iter().enumerate().map(|(at, backend)| {
            Arc::new(BackendFacts {
                start_time: None,
                sequence: None,
                id: format!("i-{at}").into(),
                service: "desk".into(),
                address: backend.address,
                // The first is preferred, because it is in the data centre of the entry host.
                data_centre: if at == 0 {
                    "here".into()
                } else {
                    "there".into()
                },
                slots: 4,
                phase: BackendPhase::Serving,
                holdings: EngineHoldings::default(),
                cold_until: None,
            })
        });
        snapshot.store(DeploymentSnapshot {
            catalog: Some(Arc::new(catalog())),
            fleet: Arc::new(FleetView {
                backends: facts.collect(),
            }),
            ..only_entry_host()
        });
        let deployment_state = SharedDeploymentState::default();
        let gateway = Arc::new(new_gateway_with(
            snapshot.clone(),
            bounds,
            deployment_state.clone(),
        ));
        let listener = bind_listener(([127, 0, 0, 1], 0).into())
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        let server = HttpServer::on(listener, caller_routes(gateway.clone()));
        tokio::spawn(server.run(drain));
        Self {
            address,
            gateway,
            snapshot,
            deployment_state,
        }
    }

    /// Changes what the entry host knows of the deployment.
    pub(super) fn change_snapshot(&self, change: impl FnOnce(&mut DeploymentSnapshot)) {
        let mut snapshot = (*self.snapshot.load()).clone();
        change(&mut snapshot);
        self.snapshot.store(snapshot);
    }

    /// Sends `text` on a new connection. Returns everything received until the entry host closes
    /// the connection or sends nothing for `QUIET_SPAN`.
    pub(super) async fn send(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("the socket is listening");
        stream
            .write_all(text.as_bytes())
            .await
            .expect("the other end reads");
        let mut response = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(Ok(read)) = tokio::time::timeout(QUIET_SPAN, stream.read(&mut buffer)).await {
            if read == 0 {
                break;
            }
            response.extend_from_slice(&buffer[..read]);
        }
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Sends a request on the route `kind`: `safe`, `once`, `resumed` or `single`.
    pub(super) async fn call(&self, kind: &str) -> String {
        self.call_with(kind, "").await
    }

    /// Like `call`, with additional header fields.
    pub(super) async fn call_with(&self, kind: &str, fields: &str) -> String {
        let request = format!(
            "POST /{kind}/x?y=1 HTTP/1.1\r\nhost: Desk.example:80\r\n\
             {ATTEMPT}: a1\r\n{DEADLINE}: 2000\r\n{fields}\
             authorization: Bearer secret\r\ncontent-length: 4\r\nconnection: close\r\n\r\nbody"
        );
        self.send(&request).await
    }
}

/// Longer than any response of a fake takes.
const QUIET_SPAN: Duration = Duration::from_millis(1500);

pub(super) fn catalog() -> ServiceCatalog {
    let kinds = [
        ("safe", RetryPolicy::Idempotent),
        ("once", RetryPolicy::AtMostOnce),
        ("resumed", RetryPolicy::ResumableStream),
        ("single", RetryPolicy::SingleStream),
    ];
    let rules = kinds.map(|(name, retry_policy)| RouteRule {
        name: name.into(),
        host: "desk.example".into(),
        prefix: format!("/{name}/").into(),
        retry_policy,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(400),
        gap_target: Duration::from_millis(300),
        priority: 1,
        shares: vec![ServiceShare {
            service: "desk".into(),
            weight: 1,
        }],
        attempts_max: 2,
        is_public: false,
        homes: HomeRegions::Anywhere,
    });
    ServiceCatalog {
        version: CatalogVersion(1),
        routes: RouteTable::new(rules.into()),
        services: vec![BackendService {
            name: "desk".into(),
            engine: None,
            origin: None,
            cold_start: None,
        }],
        accounts: vec![AccountRecord {
            name: "lodge".into(),
            priority: None,
            homes: HomeRegions::Anywhere,
        }],
        keys: vec![(ByteString::from("secret"), 0)],
        limits: CallerLimits {
            header_bytes: 2048,
            body_bytes: 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}
