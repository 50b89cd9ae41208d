//! A client: it keeps its connection to an entry host for as long as that lasts, and holds each answer
//! against what a backend server must have given.

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
use crate::time::{ClockTime, clock_now};

/// What a client tells the system that it will wait for an answer that is no stream.
const DEADLINE: Duration = Duration::from_secs(3);
/// How much longer it really does.
const PATIENCE: Duration = Duration::from_millis(500);
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// The pause of a client that found nobody, so that it does not spin.
const NOBODY_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two calls of a client.
const PAUSE_MAX_MS: u64 = 120;
/// The longest body of a call.
const BODY_BYTES_MAX: usize = 4096;
/// One call in so many carries a key that was taken away, if there is one.
const REVOKED_ONE_IN: u32 = 8;

/// An entry host as the balancer sees it.
#[derive(Clone)]
pub(super) struct EntryDoor {
    /// Where clients' connections arrive.
    pub(super) callers: SocketAddr,
    /// Whether it gets new connections.
    pub(super) is_in: Arc<AtomicBool>,
}

type CallerLink = SendRequest<Full<Bytes>>;

/// A client.
pub(super) struct SoakClient {
    number: usize,
    calls: u64,
    chance: StdRng,
    doors: Arc<Vec<EntryDoor>>,
    journal: RunJournal,
    link: Option<(usize, CallerLink)>,
}

impl SoakClient {
    /// A client that draws what it asks for from `seed`.
    pub(super) fn new(
        number: usize,
        seed: u64,
        doors: Arc<Vec<EntryDoor>>,
        journal: RunJournal,
    ) -> Self {
        Self {
            number,
            calls: 0,
            chance: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
            doors,
            journal,
            link: None,
        }
    }

    /// Calls for as long as the run lasts.
    pub(super) async fn run(mut self) {
        loop {
            match self.take_link().await {
                Some((entry, link)) => self.call(entry, link).await,
                None => sleep(NOBODY_PAUSE).await,
            }
            let pause = self.chance.random_range(0..PAUSE_MAX_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// The connection that it has, or a new one.
    async fn take_link(&mut self) -> Option<(usize, CallerLink)> {
        if let Some((entry, mut link)) = self.link.take()
            && link.ready().await.is_ok()
        {
            return Some((entry, link));
        }
        let is_in = |entry: &usize| self.doors[*entry].is_in.load(Ordering::Relaxed);
        let mut choice: Vec<usize> = (0..self.doors.len()).filter(is_in).collect();
        if choice.is_empty() {
            choice = (0..self.doors.len()).collect();
        }
        let entry = choice[self.chance.random_range(0..choice.len())];
        let connecting = TcpStream::connect(self.doors[entry].callers);
        let stream = timeout(CONNECT_WITHIN, connecting).await.ok()?.ok()?;
        let (link, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        // How the connection ends shows in the call that is on it.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some((entry, link))
    }

    async fn call(&mut self, entry: usize, mut link: CallerLink) {
        self.calls += 1;
        let attempt = format!("c{}-{}", self.number, self.calls);
        let kind = match self.chance.random_range(0..4_u8) {
            0 => CallKind::Read,
            1 => CallKind::Write,
            2 => CallKind::Stream,
            _ => CallKind::ResumableStream,
        };
        let size = self.chance.random_range(1..BODY_BYTES_MAX);
        let mut text = format!("{attempt} ").into_bytes();
        text.resize(text.len() + size, b'a' + (self.calls % 26) as u8);
        let body = Bytes::from(text);
        let secret = self.choose_key();
        let Some(request) = request(kind, &attempt, &secret, body.clone()) else {
            return;
        };
        let number = self.journal.begin_call(CallRecord {
            attempt: attempt.clone(),
            entry,
            kind,
            secret,
            time: deadline_of(kind),
            sent: clock_now(),
            end: None,
        });
        let exchange = async {
            match timeout(patience_of(kind), link.send_request(request)).await {
                Ok(Ok(answer)) => read_answer(kind, &attempt, &body, answer).await,
                Ok(Err(_)) => CallEnd::Broken("the connection ended before the answer"),
                Err(_) => CallEnd::Abandoned,
            }
        };
        let end = timeout(deadline_of(kind) + PATIENCE, exchange).await;
        let end = end.unwrap_or(CallEnd::Abandoned);
        let keeps = matches!(end, CallEnd::Whole | CallEnd::Refused(_));
        self.journal.end_call(number, end, clock_now());
        if keeps {
            self.link = Some((entry, link));
        }
    }

    fn choose_key(&mut self) -> String {
        let records = self.journal.lock();
        let (old, good): (Vec<_>, Vec<_>) =
            records.keys.iter().partition(|key| key.revoked.is_some());
        let takes_old = !old.is_empty() && self.chance.random_range(0..REVOKED_ONE_IN) == 0;
        let keys = if takes_old { old } else { good };
        keys[self.chance.random_range(0..keys.len())].secret.clone()
    }
}

fn deadline_of(kind: CallKind) -> Duration {
    if kind.is_stream() {
        stream_timeout()
    } else {
        DEADLINE
    }
}

/// How long a client waits for the next piece of an answer, the first one included.
fn patience_of(kind: CallKind) -> Duration {
    if kind.is_stream() {
        event_timeout()
    } else {
        DEADLINE + PATIENCE
    }
}

fn request(
    kind: CallKind,
    attempt: &str,
    secret: &str,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
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
        .header(samples::ATTEMPT, attempt)
        .header(samples::DEADLINE, deadline_of(kind).as_millis().to_string());
    if kind.is_stream() {
        request = request.header(samples::MODEL, "m");
        request = request.header(samples::TOKENS, "100,12");
    }
    request.body(Full::new(body)).ok()
}

async fn read_answer(
    kind: CallKind,
    attempt: &str,
    sent: &Bytes,
    answer: Response<Incoming>,
) -> CallEnd {
    let (parts, mut body) = answer.into_parts();
    let is_own = |name: &str, text: &str| parts.headers.get(name).is_some_and(|it| it == text);
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
        return CallEnd::Wrong("an answer without its own seal".to_owned());
    }
    let mut expected = match kind {
        CallKind::Stream | CallKind::ResumableStream => AnswerBytes::stream(attempt),
        CallKind::Read | CallKind::Write => AnswerBytes::whole(sent.clone()),
    };
    loop {
        let frame = match timeout(patience_of(kind), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return CallEnd::Broken("the answer was cut off visibly"),
            Ok(None) => break,
            Err(_) => return CallEnd::Abandoned,
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        if !expected.take(bytes) {
            return CallEnd::Wrong("bytes of something else".to_owned());
        }
    }
    if expected.left.is_empty() {
        CallEnd::Whole
    } else {
        let left = expected.left.len();
        CallEnd::Wrong(format!("it ends cleanly {left} bytes too early"))
    }
}

/// The bytes of an answer that have not come yet.
struct AnswerBytes {
    left: Bytes,
}

impl AnswerBytes {
    const fn whole(left: Bytes) -> Self {
        Self { left }
    }

    /// The whole of the stream that answers `attempt`.
    fn stream(attempt: &str) -> Self {
        let mut whole = Vec::new();
        for event in 1.. {
            let (bytes, is_last) = stream_event(attempt, event);
            whole.extend_from_slice(&bytes);
            if is_last {
                break;
            }
        }
        Self { left: whole.into() }
    }

    /// Whether `bytes` are the next ones.
    fn take(&mut self, bytes: &[u8]) -> bool {
        let is_next = self.left.starts_with(bytes);
        if is_next {
            let _ = self.left.split_to(bytes.len());
        }
        is_next
    }
}

/// Asks an entry host once a second whether it is ready, as the balancer does: two misses in a row take
/// it out, one answer brings it back.
pub(super) async fn watch_door(door: EntryDoor, ready: SocketAddr) {
    let mut misses = 0_u32;
    loop {
        let asked: ClockTime = clock_now();
        let is_ready = timeout(Duration::from_secs(1), asks_ready(ready)).await;
        if is_ready == Ok(Some(true)) {
            misses = 0;
        } else {
            misses += 1;
        }
        match misses {
            0 => door.is_in.store(true, Ordering::Relaxed),
            1 => {}
            _ => door.is_in.store(false, Ordering::Relaxed),
        }
        let took = clock_now().since(asked);
        sleep(Duration::from_secs(1).saturating_sub(took)).await;
    }
}

async fn asks_ready(ready: SocketAddr) -> Option<bool> {
    let stream = TcpStream::connect(ready).await.ok()?;
    let (mut link, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        let _ = connection.await;
    });
    let request = Request::builder()
        .uri(crate::platform::READY_PATH)
        .header("host", "ready.example")
        .body(Full::new(Bytes::new()));
    let answer = link.send_request(request.ok()?).await.ok()?;
    driver.abort();
    Some(answer.status() == StatusCode::OK)
}
