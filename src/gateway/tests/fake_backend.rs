//! An entry host with fake backend servers behind it, all over loopback sockets. The fakes write
//! their answers byte by byte, so that they can break every rule of the protocol.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytestring::ByteString;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{BOUNDS, gateway_beside};
use crate::catalog::{
    AccountRecord, BackendService, CallerLimits, CatalogVersion, RepeatRule, RouteRule, RouteTable,
    ServiceCatalog, ServiceShare,
};
use crate::daemon::DrainState;
use crate::fleet::{BackendFacts, BackendPhase, EngineHoldings, FleetView};
use crate::gateway::daemon::caller_routes;
use crate::gateway::gateway_state::GatewayState;
use crate::platform::TimeBounds;
use crate::platform::samples::{ATTEMPT, BACKEND_ID, DEADLINE, NOT_RUN, SEAL};
use crate::sync::{ControlSnapshot, SharedControlState, SharedSnapshot};
use crate::transport::{HttpServer, bind_listener};

/// What a fake does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendWay {
    /// Answers in full.
    Whole,
    /// Reads the request and says nothing.
    Silent,
    /// Answers in full, and sends a second answer behind it.
    WholeAndStray,
    /// Answers with the name of another attempt.
    Foreign,
    /// Says that it did not run the request.
    NotRun,
    /// Says that it has another version than the expected one.
    Misdirected,
    /// Says that it is another backend server than the one that was meant.
    Replaced,
    /// Reads the request and closes the connection.
    CloseUnanswered,
    /// Resets each connection before it reads a byte of a request.
    ResetUnread,
    /// Reads the request and resets the connection.
    ResetUnanswered,
    /// Resets within the body of its answer.
    ResetBody,
    /// Answers in full and resets the connection behind the last byte.
    ResetBehind,
    /// Sends events up to `to` and part of one more, then resets.
    EventsReset { to: u64 },
    /// Closes within the body of its answer.
    CutBody,
    /// Fails, with an answer of its own.
    Fail,
    /// Sends events up to `to`, beginning behind the last one that the client has.
    Events { to: u64 },
    /// Sends events up to `to` and part of one more, then closes.
    EventsCut { to: u64 },
    /// Sends events up to `to` with a pause behind the event `behind`.
    EventsPaused {
        behind: u64,
        pause: Duration,
        to: u64,
    },
    /// Sends events up to `to`, then nothing more.
    EventsSilent { to: u64 },
    /// Sends events up to `to`, then nothing, and closes behind `pause`.
    EventsSilentCut { to: u64, pause: Duration },
    /// Sends events up to `to` from the first on, whatever the client has.
    EventsAgain { to: u64 },
    /// Says nothing for `pause`, then sends events up to `to`.
    EventsLate { pause: Duration, to: u64 },
}

impl BackendWay {
    /// Whether its connections end with a reset.
    const fn resets(self) -> bool {
        matches!(
            self,
            Self::ResetUnread
                | Self::ResetUnanswered
                | Self::ResetBody
                | Self::ResetBehind
                | Self::EventsReset { .. }
        )
    }
}

/// Time for an answer's bytes to be read before the connection is reset.
const READ_SPAN: Duration = Duration::from_millis(50);

/// The end of a body that comes in chunks.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// One fake.
pub(super) struct FakeBackend {
    pub(super) address: SocketAddr,
    /// The heads and bodies that it read.
    pub(super) requests: Arc<Mutex<Vec<String>>>,
}

impl FakeBackend {
    pub(super) async fn start(way: BackendWay) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = requests.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, way, seen.clone()));
            }
        });
        Self { address, requests }
    }

    pub(super) fn arrivals(&self) -> usize {
        self.requests.lock().expect("no test thread panicked").len()
    }
}

async fn serve(mut stream: TcpStream, way: BackendWay, seen: Arc<Mutex<Vec<String>>>) {
    if way.resets() {
        let socket = socket2::SockRef::from(&stream);
        let lingers = socket.set_linger(Some(Duration::ZERO));
        lingers.expect("the option is known");
    }
    if way == BackendWay::ResetUnread {
        return;
    }
    while let Some(request) = read_request(&mut stream).await {
        seen.lock()
            .expect("no test thread panicked")
            .push(request.clone());
        let attempt = field(&request, ATTEMPT).unwrap_or_default();
        let last: u64 = field(&request, "last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if let BackendWay::EventsPaused { behind, pause, to } = way {
            if last < behind {
                let (events, _) =
                    answer_text(BackendWay::EventsSilent { to: behind }, &attempt, last);
                if stream.write_all(events.as_bytes()).await.is_err() {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
            let rest = event_chunk(last.max(behind), to, "");
            if stream
                .write_all(format!("{rest}{LAST_CHUNK}").as_bytes())
                .await
                .is_err()
            {
                return;
            }
            continue;
        }
        if let BackendWay::EventsLate { pause, .. } = way {
            tokio::time::sleep(pause).await;
        }
        let (answer, closes) = answer_text(way, &attempt, last);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if closes {
            if let BackendWay::EventsSilentCut { pause, .. } = way {
                tokio::time::sleep(pause).await;
            }
            if way.resets() {
                // A reset drops what the other end has not read yet.
                tokio::time::sleep(READ_SPAN).await;
            }
            return;
        }
    }
}

/// The answer's bytes, and whether the connection is closed behind them.
fn answer_text(way: BackendWay, attempt: &str, last: u64) -> (String, bool) {
    let head = |status: &str, attempt: &str, extra: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{ATTEMPT}: {attempt}\r\n\
             {SEAL}: seal-of-it\r\n{extra}content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let events = |to: u64, rest: &str| {
        format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{}",
            event_chunk(last, to, rest)
        )
    };
    match way {
        BackendWay::Whole => (head("200 OK", attempt, "", "whole"), false),
        BackendWay::WholeAndStray => {
            let own = head("200 OK", attempt, "", "whole");
            let stray = head("200 OK", "another", "", "stray");
            (format!("{own}{stray}"), false)
        }
        BackendWay::Foreign => (head("200 OK", "another", "", "foreign"), false),
        BackendWay::NotRun => {
            let extra = format!("{NOT_RUN}: 1\r\n");
            (head("503 Service Unavailable", attempt, &extra, ""), false)
        }
        BackendWay::Misdirected => (head("421 Misdirected Request", attempt, "", ""), false),
        BackendWay::Replaced => {
            let extra = format!("{BACKEND_ID}: i-new\r\n");
            (head("421 Misdirected Request", attempt, &extra, ""), false)
        }
        BackendWay::Silent => (String::new(), false),
        BackendWay::CloseUnanswered | BackendWay::ResetUnread | BackendWay::ResetUnanswered => {
            (String::new(), true)
        }
        BackendWay::ResetBehind => (head("200 OK", attempt, "", "whole"), true),
        BackendWay::CutBody | BackendWay::ResetBody => {
            let whole = head("200 OK", attempt, "", "whole answer");
            (whole[..whole.len() - 3].to_owned(), true)
        }
        BackendWay::Fail => (
            head("500 Internal Server Error", attempt, "", "failed"),
            false,
        ),
        BackendWay::Events { to }
        | BackendWay::EventsPaused { to, .. }
        | BackendWay::EventsLate { to, .. } => (format!("{}{LAST_CHUNK}", events(to, "")), false),
        BackendWay::EventsAgain { to } => answer_text(BackendWay::Events { to }, attempt, 0),
        BackendWay::EventsSilent { to } => (events(to, ""), false),
        BackendWay::EventsSilentCut { to, .. } => (events(to, ""), true),
        BackendWay::EventsCut { to } | BackendWay::EventsReset { to } => {
            (events(to, "id: 99\ndata: par"), true)
        }
    }
}

/// The events behind `last` up to `to`, and `rest`, as one chunk of a body.
fn event_chunk(last: u64, to: u64, rest: &str) -> String {
    let parts = (last + 1..=to).map(|id| format!("id: {id}\ndata: part {id}\n\n"));
    let body = parts.chain([rest.to_owned()]).collect::<Vec<_>>().concat();
    if body.is_empty() {
        // A chunk without bytes would end the body.
        return body;
    }
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// A whole request of `stream`, its body included; none when the other end closed.
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

/// The value of a header field in the text of a message.
pub(super) fn field(text: &str, name: &str) -> Option<String> {
    let head = text.split("\r\n\r\n").next()?;
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// An entry host that answers on a loopback address.
pub(super) struct FakeEntry {
    pub(super) address: SocketAddr,
    pub(super) gateway: Arc<GatewayState>,
    /// Where it hears of requests that crash backend servers.
    pub(super) book: SharedControlState,
}

impl FakeEntry {
    /// An entry host in front of `backends`, with a route for each kind of request.
    pub(super) async fn start(backends: &[&FakeBackend]) -> Self {
        Self::start_with(backends, BOUNDS).await
    }

    /// The same with other bounds.
    pub(super) async fn start_with(backends: &[&FakeBackend], bounds: TimeBounds) -> Self {
        let snapshot = SharedSnapshot::default();
        let facts = backends.iter().enumerate().map(|(at, backend)| {
            Arc::new(BackendFacts {
                born: None,
                told: None,
                id: format!("i-{at}").into(),
                service: "desk".into(),
                address: backend.address,
                // The first is preferred: it stands in the entry host's data centre.
                data_centre: if at == 0 {
                    "here".into()
                } else {
                    "there".into()
                },
                slots: 4,
                phase: BackendPhase::Serving,
                holdings: EngineHoldings::default(),
            })
        });
        snapshot.store(ControlSnapshot {
            catalog: Some(Arc::new(catalog())),
            fleet: Arc::new(FleetView {
                backends: facts.collect(),
            }),
            ..ControlSnapshot::default()
        });
        let book = SharedControlState::default();
        let gateway = Arc::new(gateway_beside(snapshot, bounds, book.clone()));
        let listener = bind_listener(([127, 0, 0, 1], 0).into())
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        let server = HttpServer::on(listener, caller_routes(gateway.clone()));
        tokio::spawn(server.run(drain));
        Self {
            address,
            gateway,
            book,
        }
    }

    /// Sends `text` on a connection of its own and returns all that comes back until the entry host
    /// closes, or has said nothing for a while.
    pub(super) async fn send(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("it listens");
        stream.write_all(text.as_bytes()).await.expect("it reads");
        let mut answer = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(Ok(read)) = tokio::time::timeout(QUIET_SPAN, stream.read(&mut buffer)).await {
            if read == 0 {
                break;
            }
            answer.extend_from_slice(&buffer[..read]);
        }
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// A request on the route of `kind`, which is `safe`, `once`, `resumed` or `single`.
    pub(super) async fn ask(&self, kind: &str) -> String {
        let request = format!(
            "POST /{kind}/x?y=1 HTTP/1.1\r\nhost: Desk.example:80\r\n\
             {ATTEMPT}: a1\r\n{DEADLINE}: 2000\r\n\
             authorization: Bearer secret\r\ncontent-length: 4\r\nconnection: close\r\n\r\nbody"
        );
        self.send(&request).await
    }
}

/// A test ends when nothing came for so long; longer than any answer of a fake takes.
const QUIET_SPAN: Duration = Duration::from_millis(1500);

pub(super) fn catalog() -> ServiceCatalog {
    let kinds = [
        ("safe", RepeatRule::Idempotent),
        ("once", RepeatRule::AtMostOnce),
        ("resumed", RepeatRule::ResumableStream),
        ("single", RepeatRule::SingleStream),
    ];
    let rules = kinds.map(|(name, repeat)| RouteRule {
        name: name.into(),
        host: "desk.example".into(),
        prefix: format!("/{name}/").into(),
        repeat,
        timeout: Duration::from_secs(2),
        target: Duration::from_millis(400),
        pause: Duration::from_millis(300),
        rank: 1,
        shares: vec![ServiceShare {
            service: "desk".into(),
            weight: 1,
        }],
        attempts_max: 2,
        is_public: false,
    });
    ServiceCatalog {
        version: CatalogVersion(1),
        routes: RouteTable::new(rules.into()),
        services: vec![BackendService {
            name: "desk".into(),
            engine: None,
            origin: None,
        }],
        accounts: vec![AccountRecord {
            name: "lodge".into(),
            rank: None,
        }],
        keys: vec![(ByteString::from("secret"), 0)],
        limits: CallerLimits {
            header_bytes: 2048,
            body_bytes: 1024,
        },
    }
}
