//! A client that reuses its connection to an entry host and checks each response against what a
//! backend server must have sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::run_journal::{CallEnd, CallKind, CallRecord, RunJournal};
use crate::platform::{event_timeout, samples, stream_event, stream_timeout};
use crate::routing::name_hash;
use crate::time::{ClockTime, clock_now};

/// Deadline that a client announces in the request for a response that is not a stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after the announced deadline a client stops waiting.
const ABANDON_DELAY: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next attempt to connect when no entry host accepted, to avoid a busy loop.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two calls of a client.
const CALL_PAUSE_MAX_MS: u64 = 120;
/// Upper limit of the random length that a request body has in addition to its attempt name.
const BODY_BYTES_MAX: usize = 4096;
/// The part that the prompts of all streams have in common.
const COMMON_PART: &str = "c0ffee:40";
/// One stream in this number has the current harmful part, if there is one.
const HARMFUL_PART_ONE_IN: u32 = 6;
/// One call in this number carries a revoked key, if there is one.
const REVOKED_KEY_ONE_IN: u32 = 8;

/// An entry host in the view of the load balancer.
#[derive(Clone)]
pub(super) struct EntryEndpoint {
    /// Address for client connections.
    pub(super) client_address: SocketAddr,
    /// Whether the balancer sends new connections there.
    pub(super) in_rotation: Arc<AtomicBool>,
}

type ClientConnection = SendRequest<Full<Bytes>>;

/// Sends calls one after the other and checks each response.
pub(super) struct SoakClient {
    number: usize,
    calls: u64,
    rng: StdRng,
    endpoints: Arc<Vec<EntryEndpoint>>,
    journal: RunJournal,
    connection: Option<(usize, ClientConnection)>,
}

impl SoakClient {
    /// Creates a client that draws its calls from `seed` and its `number`.
    pub(super) fn new(
        number: usize,
        seed: u64,
        endpoints: Arc<Vec<EntryEndpoint>>,
        journal: RunJournal,
    ) -> Self {
        Self {
            number,
            calls: 0,
            rng: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
            endpoints,
            journal,
            connection: None,
        }
    }

    /// Sends calls until the task is aborted.
    pub(super) async fn run(mut self) {
        loop {
            match self.take_connection().await {
                Some((entry, connection)) => self.call(entry, connection).await,
                None => sleep(RECONNECT_PAUSE).await,
            }
            let pause = self.rng.random_range(0..CALL_PAUSE_MAX_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Returns the kept connection if it is still usable, else a new one, with its entry host.
    async fn take_connection(&mut self) -> Option<(usize, ClientConnection)> {
        if let Some((entry, mut connection)) = self.connection.take()
            && connection.ready().await.is_ok()
        {
            return Some((entry, connection));
        }
        let is_candidate =
            |entry: &usize| self.endpoints[*entry].in_rotation.load(Ordering::Relaxed);
        let mut candidates: Vec<usize> = (0..self.endpoints.len()).filter(is_candidate).collect();
        if candidates.is_empty() {
            candidates = (0..self.endpoints.len()).collect();
        }
        let entry = candidates[self.rng.random_range(0..candidates.len())];
        let connecting = TcpStream::connect(self.endpoints[entry].client_address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        // The call that uses the connection reports how it ends.
        tokio::spawn(async move {
            let _ = driver.await;
        });
        Some((entry, connection))
    }

    async fn call(&mut self, entry: usize, mut connection: ClientConnection) {
        self.calls += 1;
        let attempt = format!("c{}-{}", self.number, self.calls);
        let kind = match self.rng.random_range(0..4_u8) {
            0 => CallKind::Read,
            1 => CallKind::Write,
            2 => CallKind::Stream,
            _ => CallKind::ResumableStream,
        };
        let size = self.rng.random_range(1..BODY_BYTES_MAX);
        let mut text = format!("{attempt} ").into_bytes();
        text.resize(text.len() + size, b'a' + (self.calls % 26) as u8);
        let body = Bytes::from(text);
        let secret = self.choose_key();
        let harmful_part = self.choose_harmful_part(kind);
        let call = CallRecord {
            attempt: attempt.clone(),
            entry,
            kind,
            secret,
            timeout: timeout_of(kind),
            harmful_part,
            sent: clock_now(),
            end: None,
        };
        let Some(request) = build_request(&call, body.clone()) else {
            return;
        };
        let number = self.journal.begin_call(call);
        let exchange = async {
            match timeout(read_timeout_of(kind), connection.send_request(request)).await {
                Ok(Ok(response)) => check_response(kind, &attempt, &body, response).await,
                Ok(Err(_)) => CallEnd::Broken("the connection ended before the response"),
                Err(_) => CallEnd::Abandoned,
            }
        };
        let end = timeout(timeout_of(kind) + ABANDON_DELAY, exchange).await;
        let end = end.unwrap_or(CallEnd::Abandoned);
        let is_reusable = matches!(end, CallEnd::Complete | CallEnd::Refused(_));
        self.journal.end_call(number, end, clock_now());
        if is_reusable {
            self.connection = Some((entry, connection));
        }
    }

    fn choose_harmful_part(&mut self, kind: CallKind) -> Option<String> {
        let part = self.journal.lock().harmful_part.clone()?;
        let is_chosen = kind.is_stream() && self.rng.random_range(0..HARMFUL_PART_ONE_IN) == 0;
        is_chosen.then_some(part)
    }

    fn choose_key(&mut self) -> String {
        let records = self.journal.lock();
        let (revoked, valid): (Vec<_>, Vec<_>) =
            records.keys.iter().partition(|key| key.revoked.is_some());
        let uses_revoked = !revoked.is_empty() && self.rng.random_range(0..REVOKED_KEY_ONE_IN) == 0;
        let keys = if uses_revoked { revoked } else { valid };
        keys[self.rng.random_range(0..keys.len())].secret.clone()
    }
}

fn timeout_of(kind: CallKind) -> Duration {
    if kind.is_stream() {
        stream_timeout()
    } else {
        CALL_TIMEOUT
    }
}

/// How long a client waits for the response head and for each next frame of the body.
fn read_timeout_of(kind: CallKind) -> Duration {
    if kind.is_stream() {
        event_timeout()
    } else {
        CALL_TIMEOUT + ABANDON_DELAY
    }
}

fn build_request(call: &CallRecord, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let (kind, secret) = (call.kind, &call.secret);
    let path = match kind {
        CallKind::Read => "/read/it",
        CallKind::Write => "/write/it",
        CallKind::Stream => "/talk/it",
        CallKind::ResumableStream => "/resume/it",
    };
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "soak.example")
        .header("authorization", format!("Bearer {secret}"))
        .header(samples::ATTEMPT, &call.attempt)
        .header(samples::DEADLINE, timeout_of(kind).as_millis().to_string());
    if kind.is_stream() {
        request = request.header(samples::MODEL, "m");
        request = request.header(samples::TOKENS, "100,12");
        request = request.header(samples::PROMPT_PARTS, prompt_parts(call));
    }
    request.body(Full::new(body)).ok()
}

/// The parts of the prompt of `call`, of which the last is its own.
fn prompt_parts(call: &CallRecord) -> String {
    let mut parts = vec![COMMON_PART.to_owned()];
    parts.extend(call.harmful_part.as_ref().map(|part| format!("{part}:10")));
    parts.push(format!("{:x}:50", name_hash(&call.attempt)));
    parts.join(",")
}

async fn check_response(
    kind: CallKind,
    attempt: &str,
    sent: &Bytes,
    response: Response<Incoming>,
) -> CallEnd {
    let (parts, mut body) = response.into_parts();
    let is_own =
        |name: &str, text: &str| parts.headers.get(name).is_some_and(|value| value == text);
    if parts.status != StatusCode::OK {
        if parts.headers.contains_key(samples::SEAL) {
            return CallEnd::Wrong(format!("{} with a backend server's seal", parts.status));
        }
        let status = parts.status.as_u16();
        return match body.collect().await {
            Ok(_) => CallEnd::Refused(status),
            Err(_) => CallEnd::Broken("a refusal was cut off"),
        };
    }
    if !is_own(samples::SEAL, &format!("seal-of-{attempt}")) || !is_own(samples::ATTEMPT, attempt) {
        return CallEnd::Wrong("a response without the seal of its call".to_owned());
    }
    let mut expected = match kind {
        CallKind::Stream | CallKind::ResumableStream => ExpectedBody::stream(attempt),
        CallKind::Read | CallKind::Write => ExpectedBody::complete(sent.clone()),
    };
    loop {
        let frame = match timeout(read_timeout_of(kind), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return CallEnd::Broken("the response was cut off with an error"),
            Ok(None) => break,
            Err(_) => return CallEnd::Abandoned,
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        if !expected.consume(bytes) {
            return CallEnd::Wrong("unexpected bytes in the response".to_owned());
        }
    }
    if expected.remaining.is_empty() {
        CallEnd::Complete
    } else {
        let remaining = expected.remaining.len();
        CallEnd::Wrong(format!(
            "the response ended without an error, {remaining} bytes short"
        ))
    }
}

/// The bytes of a response that have not arrived yet.
struct ExpectedBody {
    remaining: Bytes,
}

impl ExpectedBody {
    const fn complete(remaining: Bytes) -> Self {
        Self { remaining }
    }

    /// The complete body of the stream that answers `attempt`.
    fn stream(attempt: &str) -> Self {
        let mut body = Vec::new();
        for event in 1.. {
            let (bytes, is_last) = stream_event(attempt, event);
            body.extend_from_slice(&bytes);
            if is_last {
                break;
            }
        }
        Self {
            remaining: body.into(),
        }
    }

    /// Removes `bytes` from the front; `false` when they are not the expected next bytes.
    fn consume(&mut self, bytes: &[u8]) -> bool {
        let is_next = self.remaining.starts_with(bytes);
        if is_next {
            let _ = self.remaining.split_to(bytes.len());
        }
        is_next
    }
}

/// Probes the readiness of an entry host once a second, as the balancer does. Two failed probes in
/// a row take it out of rotation, one successful probe returns it.
pub(super) async fn probe_endpoint(endpoint: EntryEndpoint, ready: SocketAddr) {
    let mut misses = 0_u32;
    loop {
        let probed_at: ClockTime = clock_now();
        let is_ready = timeout(Duration::from_secs(1), query_readiness(ready)).await;
        if is_ready == Ok(Some(true)) {
            misses = 0;
        } else {
            misses += 1;
        }
        match misses {
            0 => endpoint.in_rotation.store(true, Ordering::Relaxed),
            1 => {}
            _ => endpoint.in_rotation.store(false, Ordering::Relaxed),
        }
        let took = clock_now().since(probed_at);
        sleep(Duration::from_secs(1).saturating_sub(took)).await;
    }
}

async fn query_readiness(ready: SocketAddr) -> Option<bool> {
    let stream = TcpStream::connect(ready).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        let _ = connection.await;
    });
    let request = Request::builder()
        .uri(crate::platform::READY_PATH)
        .header("host", "ready.example")
        .body(Full::new(Bytes::new()));
    let response = sender.send_request(request.ok()?).await.ok()?;
    driver.abort();
    Some(response.status() == StatusCode::OK)
}
