//! Responses that end before their last byte, at each byte of them and in each way in which a
//! connection may end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::iter;
use http::{Method, Request, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use volo_http::body::Body;
use volo_http::response::Response;

use super::fake_backend::{catalog, field, read_request};
use super::{NO_RETRIES, new_gateway, only_entry_host};
use crate::errors::SwitchResult;
use crate::fleet::{BackendFacts, BackendPhase, EngineHoldings, FleetView};
use crate::gateway::request_intake::answer_request;
use crate::platform::samples::{ATTEMPT, DEADLINE, SEAL};
use crate::sync::{DeploymentSnapshot, SharedSnapshot};
use crate::transport::read_body;

/// Requests that are in progress at a time, and those that wait for a silent backend server.
const CONCURRENT: usize = 48;
const SILENT_CONCURRENT: usize = 200;
/// Bytes between two cuts if the connection is not closed in order.
const RARE_CUT_STEP: usize = 4;
/// The time of a request, which also limits the wait for a silent backend server.
const DEADLINE_MS: u64 = 2000;
const SILENT_DEADLINE_MS: u64 = 500;
/// Time for the sent bytes to be read before a reset discards the others.
const READ_SPAN: Duration = Duration::from_millis(3);
/// Longer than any request takes, even on a busy machine.
const TEST_SPAN: Duration = Duration::from_secs(30);
/// How often a request is sent again that did not arrive.
const CONNECT_TRIES: usize = 20;
const BODY_BYTES_MAX: usize = 64 * 1024;
/// Marks the place of the attempt id, which is as long.
const ID_MARK: &str = "(attempt)";
/// Attempt id of a request whose response is whole and keeps its connection open.
const WHOLE_ID: &str = "whole-one";

/// How a connection ends after the bytes that were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutEnd {
    /// Closed in order.
    Closed,
    Reset,
    /// Open, without another byte.
    Silent,
}

impl CutEnd {
    const ALL: [Self; 3] = [Self::Closed, Self::Reset, Self::Silent];
}

/// A response, cut into its head with all interim ones before it, and its body.
#[derive(Clone, Debug)]
struct CutShape {
    name: String,
    method: Method,
    head: String,
    body: String,
    /// Whether the body ends with the connection, so that one closed in order is complete.
    is_unframed: bool,
}

/// A request and the part of its response that it gets.
#[derive(Clone, Debug)]
struct CutCase {
    shape: Arc<CutShape>,
    kind: &'static str,
    /// Number of bytes that are sent.
    cut: usize,
    end: CutEnd,
    /// Whether another request was answered on the same connection before.
    is_kept: bool,
}

/// What the client gets.
#[derive(Debug)]
struct CutOutcome {
    status: StatusCode,
    /// The body, or why the connection breaks off in it.
    body: SwitchResult<Bytes>,
}

impl CutOutcome {
    async fn of(response: Response) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status,
            body: read_body(body, BODY_BYTES_MAX).await,
        }
    }
}

impl CutCase {
    fn bytes(&self, attempt: &str) -> Vec<u8> {
        let CutShape { head, body, .. } = &*self.shape;
        let whole = format!("{head}{body}").replace(ID_MARK, attempt);
        whole.into_bytes()[..self.cut].to_vec()
    }

    /// Returns whether the sent bytes may be taken for a whole response: its body ends with the
    /// connection, which was closed in order, and not in the middle of an event.
    fn may_be_whole(&self) -> bool {
        let shape = &self.shape;
        let Some(sent) = self.cut.checked_sub(shape.head.len()) else {
            return false;
        };
        let sent = &shape.body[..sent];
        let is_stream = matches!(self.kind, "resumed" | "single");
        shape.is_unframed && self.end == CutEnd::Closed && (!is_stream || sent.ends_with("\n\n"))
    }
}

fn attempt_of(at: usize) -> String {
    format!("a{at:08}")
}

/// A backend server that gives each request the part of a response that its attempt id names, and
/// what entry hosts know of it.
struct CutBackend {
    cases: Vec<CutCase>,
    /// Which requests have arrived.
    arrivals: Vec<AtomicBool>,
    snapshot: SharedSnapshot,
}

impl CutBackend {
    async fn start(cases: Vec<CutCase>) -> Arc<Self> {
        assert_eq!(attempt_of(0).len(), ID_MARK.len());
        assert_eq!(WHOLE_ID.len(), ID_MARK.len());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let backend = Arc::new(Self {
            arrivals: cases.iter().map(|_| AtomicBool::new(false)).collect(),
            cases,
            snapshot: snapshot_of(address),
        });
        let served = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, served.clone()));
            }
        });
        backend
    }

    fn has_arrived(&self, at: usize) -> bool {
        self.arrivals[at].load(Ordering::Relaxed)
    }
}

/// Returns the snapshot of an entry host with only the backend server at `address`.
fn snapshot_of(address: SocketAddr) -> SharedSnapshot {
    let snapshot = SharedSnapshot::default();
    let facts = BackendFacts {
        start_time: None,
        sequence: None,
        id: "i-0".into(),
        service: "desk".into(),
        address,
        data_centre: "here".into(),
        slots: 4,
        phase: BackendPhase::Serving,
        holdings: EngineHoldings::default(),
        cold_until: None,
    };
    snapshot.store(DeploymentSnapshot {
        catalog: Some(Arc::new(catalog())),
        fleet: Arc::new(FleetView {
            backends: vec![Arc::new(facts)],
        }),
        ..only_entry_host()
    });
    snapshot
}

async fn serve(mut stream: TcpStream, backend: Arc<CutBackend>) -> Option<()> {
    let mut is_kept = false;
    loop {
        let request = read_request(&mut stream).await?;
        let attempt = field(&request, ATTEMPT)?;
        if attempt == WHOLE_ID {
            let whole = format!(
                "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\n\
                 content-length: 5\r\n\r\nwhole"
            );
            stream.write_all(whole.as_bytes()).await.ok()?;
            is_kept = true;
            continue;
        }
        let at: usize = attempt[1..].parse().expect("the id of a case");
        let case = &backend.cases[at];
        backend.arrivals[at].store(true, Ordering::Relaxed);
        assert_eq!(is_kept, case.is_kept, "{case:?}");
        stream.write_all(&case.bytes(&attempt)).await.ok()?;
        match case.end {
            CutEnd::Closed => {}
            CutEnd::Reset => {
                let socket = socket2::SockRef::from(&stream);
                let lingers = socket.set_linger(Some(Duration::ZERO));
                lingers.expect("the socket option is supported");
                sleep(READ_SPAN).await;
            }
            CutEnd::Silent => sleep(TEST_SPAN).await,
        }
        return None;
    }
}

/// Returns what a client gets that sends the request `at` to an entry host with only this backend
/// server.
async fn outcome(backend: &CutBackend, at: usize) -> CutOutcome {
    let case = &backend.cases[at];
    let gateway = Arc::new(new_gateway(backend.snapshot.clone(), NO_RETRIES));
    if case.is_kept {
        let first = request("safe", &Method::POST, WHOLE_ID, DEADLINE_MS);
        let first = answer_request(gateway.clone(), first).await;
        if first.status() == StatusCode::SERVICE_UNAVAILABLE {
            return CutOutcome::of(first).await;
        }
        assert_eq!(first.status(), StatusCode::OK, "{case:?}");
    }
    let deadline = match case.end {
        CutEnd::Silent => SILENT_DEADLINE_MS,
        CutEnd::Closed | CutEnd::Reset => DEADLINE_MS,
    };
    let request = request(case.kind, &case.shape.method, &attempt_of(at), deadline);
    let answered = async { CutOutcome::of(answer_request(gateway, request).await).await };
    let answered = timeout(TEST_SPAN, answered).await;
    answered.unwrap_or_else(|_| panic!("no end: {case:?}"))
}

fn request(kind: &str, method: &Method, attempt: &str, deadline_ms: u64) -> Request<Body> {
    let request = Request::builder()
        .method(method)
        .uri(format!("/{kind}/x"))
        .header("host", "desk.example")
        .header(ATTEMPT, attempt)
        .header(DEADLINE, deadline_ms)
        .header("authorization", "Bearer secret")
        .body(Body::from("body"));
    request.expect("a valid request")
}

/// Runs `cases` and returns what is wrong with the outcomes, by `check`.
async fn faults_of(
    cases: Vec<CutCase>,
    check: fn(&CutCase, &CutOutcome) -> Option<String>,
) -> Vec<String> {
    let is_silent = cases.iter().all(|case| case.end == CutEnd::Silent);
    let concurrent = if is_silent {
        SILENT_CONCURRENT
    } else {
        CONCURRENT
    };
    let backend = CutBackend::start(cases).await;
    let checked = iter(0..backend.cases.len()).map(|at| {
        let backend = backend.clone();
        tokio::spawn(async move {
            let case = &backend.cases[at];
            let mut outcome = outcome(&backend, at).await;
            // On a busy machine some connections take too long to open.
            for _ in 0..CONNECT_TRIES {
                if backend.has_arrived(at) {
                    break;
                }
                outcome = self::outcome(&backend, at).await;
            }
            assert!(backend.has_arrived(at), "never sent: {case:?}: {outcome:?}");
            check(case, &outcome).map(|fault| describe(case, &fault, &outcome))
        })
    });
    let checked = checked.buffer_unordered(concurrent);
    let faults = checked.filter_map(|fault| async { fault.expect("no task panicked") });
    faults.collect().await
}

fn describe(case: &CutCase, fault: &str, outcome: &CutOutcome) -> String {
    let sent = String::from_utf8(case.bytes(ID_MARK)).expect("text");
    let kept = if case.is_kept { "kept" } else { "new" };
    format!(
        "{fault}: {} on a {kept} connection, {}, {:?} after {} bytes {:?}: {outcome:?}",
        case.shape.name, case.kind, case.end, case.cut, sent
    )
}

/// Tells what is wrong if a response that may not look complete does, or if a status promises that
/// the request did not run.
fn check_cut(case: &CutCase, outcome: &CutOutcome) -> Option<String> {
    let is_broken_off = outcome.body.is_err();
    if case.may_be_whole() {
        return None;
    }
    let status = outcome.status.as_u16();
    match status {
        200..=299 if is_broken_off && case.cut >= case.shape.head.len() => None,
        502 | 504 if !is_broken_off => None,
        200..=299 => Some("looks complete".to_owned()),
        _ => Some(format!("unexpected status {status}")),
    }
}

/// Kinds of requests, and whether another one was answered on the same connection before. An
/// unrepeatable request always gets a new one.
const PLAIN_KINDS: [(&str, bool); 3] = [("safe", false), ("safe", true), ("once", false)];
const STREAM_KINDS: [(&str, bool); 4] = [
    ("resumed", false),
    ("single", false),
    ("resumed", true),
    ("single", true),
];

const EVENT_TEXT: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";

/// The ways to tell where a body ends.
#[derive(Clone, Copy, Debug)]
enum CutFraming {
    Length,
    Chunks,
    /// Chunks with an extension, and a trailer after them.
    ChunksAndTrailer,
    Unframed,
    Http10,
    Http10Length,
}

impl CutFraming {
    const ALL: [Self; 6] = [
        Self::Length,
        Self::Chunks,
        Self::ChunksAndTrailer,
        Self::Unframed,
        Self::Http10,
        Self::Http10Length,
    ];

    /// Returns a response with `body` and this framing after `interim` ones.
    fn shape(self, interim: &str, status: &str, body: &str) -> CutShape {
        let length = format!("Content-Length: {}\r\n", body.len());
        let (version, framing) = match self {
            Self::Length => ("1.1", &*length),
            Self::Chunks => ("1.1", "Transfer-Encoding: chunked\r\n"),
            Self::ChunksAndTrailer => ("1.1", "Trailer: x-end\r\nTransfer-Encoding: chunked\r\n"),
            Self::Unframed => ("1.1", "Connection: close\r\n"),
            Self::Http10 => ("1.0", ""),
            Self::Http10Length => ("1.0", &*length),
        };
        let (first, second) = body.split_at(body.len() / 2);
        let chunks = format!(
            "{:x}\r\n{first}\r\n{:X}\r\n{second}\r\n",
            first.len(),
            second.len()
        );
        let body = match self {
            Self::Chunks => format!("{chunks}0\r\n\r\n"),
            Self::ChunksAndTrailer => format!("{chunks}0;ext=1\r\nx-end: yes\r\n\r\n"),
            _ => body.to_owned(),
        };
        // The framing is between other fields, and at the end of some heads.
        let fields = match self {
            Self::Length | Self::Unframed => {
                format!("{ATTEMPT}: {ID_MARK}\r\n{SEAL}: 3e1b.07\r\n{framing}")
            }
            _ => format!("{ATTEMPT}: {ID_MARK}\r\n{framing}{SEAL}: 3e1b.07\r\n"),
        };
        CutShape {
            name: format!("{self:?}, {status}, {} interim bytes", interim.len()),
            method: Method::POST,
            head: format!("{interim}HTTP/{version} {status}\r\n{fields}\r\n"),
            body,
            is_unframed: matches!(self, Self::Unframed | Self::Http10),
        }
    }
}

const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

fn plain_shapes() -> Vec<CutShape> {
    let body = "an answer of 24 letters.";
    let mut shapes = CutFraming::ALL
        .map(|framing| framing.shape("", "200 OK", body))
        .to_vec();
    let many = format!("{CONTINUE}{HINTS}{HINTS}");
    for interim in [CONTINUE, HINTS, &many] {
        shapes.push(CutFraming::Length.shape(interim, "200 OK", body));
        shapes.push(CutFraming::Unframed.shape(interim, "200 OK", body));
    }
    for status in ["204 No Content", "304 Not Modified"] {
        shapes.push(CutFraming::Unframed.shape("", status, ""));
        shapes.push(CutFraming::Http10.shape("", status, ""));
    }
    for framing in [CutFraming::Length, CutFraming::Chunks, CutFraming::Unframed] {
        let shape = framing.shape(HINTS, "200 OK", body);
        shapes.push(CutShape {
            method: Method::HEAD,
            body: String::new(),
            ..shape
        });
    }
    shapes
}

fn stream_shapes() -> Vec<CutShape> {
    let mut shapes = CutFraming::ALL
        .map(|framing| framing.shape("", "200 OK", EVENT_TEXT))
        .to_vec();
    shapes.push(CutFraming::Chunks.shape(HINTS, "200 OK", EVENT_TEXT));
    shapes.push(CutFraming::Unframed.shape(CONTINUE, "200 OK", EVENT_TEXT));
    for shape in &mut shapes {
        let of_stream = "Content-Type: text/event-stream\r\n\r\n";
        let end = shape.head.len() - 2;
        shape.head.replace_range(end.., of_stream);
    }
    shapes
}

/// Returns the cases in which a response of one of `shapes` ends before its last byte: at each byte
/// if the connection is closed in order, which is how a body may end, otherwise at each fourth one.
/// The `kinds` of requests take turns.
fn cut_cases(shapes: Vec<CutShape>, kinds: &[(&'static str, bool)], end: CutEnd) -> Vec<CutCase> {
    let mut cases = Vec::new();
    let mut kinds = kinds.iter().cycle();
    for shape in shapes {
        let shape = Arc::new(shape);
        let step = if end == CutEnd::Closed {
            1
        } else {
            RARE_CUT_STEP
        };
        for cut in (0..shape.head.len() + shape.body.len()).step_by(step) {
            let (kind, is_kept) = *kinds.next().expect("some kinds");
            cases.push(CutCase {
                shape: shape.clone(),
                kind,
                cut,
                end,
                is_kept,
            });
        }
    }
    cases
}

/// Asserts that there are no `faults` among `count` cases.
fn assert_sound(what: &str, count: usize, faults: &[String]) {
    for fault in faults.iter().take(20) {
        println!("{fault}");
    }
    let few = faults.len();
    assert_eq!(few, 0, "{what}: {few} of {count} cases");
}

/// Guards against a response that looks complete although its backend server stopped in the middle
/// of its head or body, and against a promise that its request did not run.
#[tokio::test]
async fn a_plain_response_that_is_cut_never_looks_complete() {
    for end in CutEnd::ALL {
        let began = Instant::now();
        let cases = cut_cases(plain_shapes(), &PLAIN_KINDS, end);
        let count = cases.len();
        let faults = faults_of(cases, check_cut).await;
        println!("{end:?}: {count} cases in {:?}", began.elapsed());
        assert_sound("plain", count, &faults);
    }
}

/// Guards against a stream that looks complete although its backend server stopped in the middle of
/// its head, an event or the framing of a chunk.
#[tokio::test]
async fn a_stream_that_is_cut_never_looks_complete() {
    for end in CutEnd::ALL {
        let began = Instant::now();
        let cases = cut_cases(stream_shapes(), &STREAM_KINDS, end);
        let count = cases.len();
        let faults = faults_of(cases, check_cut).await;
        println!("{end:?}: {count} cases in {:?}", began.elapsed());
        assert_sound("stream", count, &faults);
    }
}

/// Asserts that no request of any kind gets a response of which only one of `heads` arrived, with
/// and without a body, and then the end of the connection.
async fn assert_no_response(what: &str, heads: &[String]) {
    let mut cases = Vec::new();
    for (head, body) in heads
        .iter()
        .flat_map(|head| [(head, ""), (head, EVENT_TEXT)])
    {
        let shape = Arc::new(CutShape {
            name: "damaged".to_owned(),
            method: Method::POST,
            head: head.clone(),
            body: body.to_owned(),
            is_unframed: false,
        });
        let kinds = ["safe", "once", "resumed", "single"];
        cases.extend(kinds.map(|kind| CutCase {
            shape: shape.clone(),
            kind,
            cut: head.len() + body.len(),
            end: CutEnd::Closed,
            is_kept: false,
        }));
    }
    let check = |_: &CutCase, outcome: &CutOutcome| {
        let is_error = matches!(outcome.status.as_u16(), 502 | 504);
        (!is_error && outcome.body.is_ok()).then(|| "passed on".to_owned())
    };
    let count = cases.len();
    let faults = faults_of(cases, check).await;
    assert_sound(what, count, &faults);
}

fn head_with(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{ATTEMPT}: {ID_MARK}\r\n{SEAL}: 3e1b.07\r\n{fields}\r\n")
}

/// Guards against passing on what is no response to the request: parts of a head, or one whose
/// fields contradict each other.
#[tokio::test]
async fn a_damaged_head_is_no_response() {
    let id = format!("{ATTEMPT}: {ID_MARK}\r\n");
    let whole = head_with("");
    let heads = [
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        "HTTP/1.0 200 OK\r\n\r\n".to_owned(),
        whole.replace(&id, ""),
        whole.replace(&id, &format!("{ATTEMPT}: a0000\r\n")),
        whole.replace(&id, &format!("{ATTEMPT}:\r\n")),
        whole.replace(" 200 OK", " 20"),
        whole.replace(" 200 OK", " 000"),
        whole.replace('\n', ""),
        whole.replace("\r\n\r\n", "\r\n\r"),
        head_with("Content-Le\r\n"),
        head_with("Content-Length:\r\n"),
        head_with("Content-Length: +0\r\n"),
        head_with("Content-Length: 0, 7\r\n"),
        head_with("Content-Length: 0\r\nContent-Length: 7\r\n"),
        head_with("Content-Length: 1234\r\n"),
        head_with("Transfer-Encoding: chunked\r\n"),
        head_with("Transfer-Encoding: chunked\r\n").replace("1.1", "1.0"),
        format!("{HINTS}{id}\r\n"),
        format!("{HINTS}{HINTS}"),
    ];
    assert_no_response("damaged", &heads).await;
}

/// Guards against passing on a body in a coding of which the client isn't told, and against taking
/// the end of the connection for that of a body in chunks.
#[tokio::test]
async fn a_body_in_an_unknown_coding_is_not_complete() {
    let codings = [
        "",
        "chun",
        "gzip",
        "identity",
        "chunked, gzip",
        "gzip, chunked",
        "chunked\r\nTransfer-Encoding: gzip",
    ];
    let heads = codings.map(|coding| head_with(&format!("Transfer-Encoding: {coding}\r\n")));
    assert_no_response("coding", &heads).await;
}

/// Guards against passing on an interim response as the answer: a change of the protocol, which no
/// request asks for.
#[tokio::test]
async fn a_change_of_the_protocol_is_no_response() {
    let change = head_with("").replace("200 OK", "101 Switching Protocols");
    let upgrade = head_with("Connection: upgrade\r\nUpgrade: x\r\n");
    let upgrade = upgrade.replace("200 OK", "101 Switching Protocols");
    let heads = [change, upgrade];
    assert_no_response("change", &heads).await;
}

/// Guards against passing on a success that is not known to be one of a backend server.
#[tokio::test]
async fn a_success_without_a_seal_is_no_response() {
    let whole = head_with("");
    let seal = format!("{SEAL}: 3e1b.07\r\n");
    let heads = [
        whole.replace(&seal, ""),
        whole.replace(&seal, "Content-Length: 0\r\n"),
        whole.replace(&seal, "Transfer-Encoding: chunked\r\n"),
        whole.replace(&seal, &format!("{SEAL}:\r\n")),
    ];
    assert_no_response("seal", &heads).await;
}
