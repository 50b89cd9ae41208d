//! A stand-in of a backend server for the lab: it enters itself in the store, runs requests and notes
//! each that it begins. With an engine it serves streams and answers its host's calls.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::sleep;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fake_engine::{FakeEngine, StagedAfterRestart};
use super::fake_origin::serve_calls_on;
use super::fake_store::FakeStore;
use super::sample_files::{ENGINE_SERVICE, PLAIN_SERVICE};
use super::samples::{
    ACCOUNT, ATTEMPT, BACKEND_ID, EXPECTED_VERSION, LAST_EVENT, NOT_RUN, SEAL, TARGET_ID, VERSIONS,
};
use super::store_client::TableName;
use crate::errors::SwitchResult;
use crate::time::{ClockTime, clock_now};
use crate::transport::{FrameWriter, bind_listener, frame_channel, read_body};

const BODY_BYTES_MAX: usize = 64 * 1024;
/// How long a request of a plain service takes.
const PLAIN_SPAN: Duration = Duration::from_millis(30);
/// The pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The same of a loaded engine.
const LOADED_EVENT_PAUSE: Duration = Duration::from_millis(150);
/// A loaded engine pauses for longer before one event in so many.
const LONG_PAUSE_ONE_IN: u32 = 24;
/// How much longer, in milliseconds.
const LONG_PAUSE_MS: std::ops::Range<u64> = 500..2500;
/// Events of a stream.
pub(super) const STREAM_EVENTS: u64 = 12;
/// Few, so that requests have to wait or be refused when most backend servers are gone. With half of
/// the engines and the lab's usual clients some are always free.
const SLOTS: u32 = 8;
/// How often its entry is compared with what it holds.
const ENTRY_PAUSE: Duration = Duration::from_millis(100);
/// How often it enters itself even if nothing has changed.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A request that a backend server began to work on.
#[derive(Clone, Debug)]
pub(crate) struct BackendRun {
    /// The client's name of its attempt.
    pub(crate) attempt: String,
    /// Which backend server.
    pub(crate) backend: usize,
    /// The client account that it was told.
    pub(crate) account: Option<String>,
    /// Whether the client's key had been passed on to it.
    pub(crate) has_key: bool,
    /// The version of the weights that it runs on.
    pub(crate) version: Option<u64>,
    /// When it began.
    pub(crate) begun: ClockTime,
    /// How and when it ended; none while it is under way.
    pub(crate) end: Option<(RunEnd, ClockTime)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// All of the answer was handed over.
    Complete,
    /// The caller closed the connection.
    CallerDisconnected,
    /// The backend server crashed.
    Crashed,
}

/// The end of a run.
#[derive(Clone, Debug)]
pub(crate) struct EndedRun {
    /// The client's name of its attempt.
    pub(crate) attempt: String,
    /// Which backend server.
    pub(crate) backend: usize,
    /// How it ended.
    pub(crate) end: RunEnd,
    /// When it ended.
    pub(crate) at: ClockTime,
}

/// What a backend server says of its runs.
#[derive(Clone, Debug)]
pub(crate) enum RunEvent {
    /// One begins.
    Started(BackendRun),
    /// One ended. A plain service whose caller leaves says nothing.
    Ended(EndedRun),
}

/// How steadily engines write their streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineLoad {
    /// One event after the other.
    Light,
    /// With long pauses, as engines make that read other prompts or whose machine is busy. They are drawn
    /// from `seed`.
    Heavy {
        /// The seed.
        seed: u64,
    },
}

/// Where a backend server stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FakeBackendConfig {
    /// Its number among all.
    pub(crate) number: usize,
    /// Where others are told to reach it.
    pub(crate) advertised_address: SocketAddr,
    /// Where it listens.
    pub(crate) listen_address: SocketAddr,
    /// How steadily it writes streams.
    pub(crate) load: EngineLoad,
}

struct BackendState {
    place: FakeBackendConfig,
    id: String,
    engine: Option<FakeEngine>,
    store: FakeStore,
    running: AtomicU32,
    /// Counts its starts; 0 while it is down.
    start: AtomicU64,
    starts: AtomicU64,
    words: UnboundedSender<RunEvent>,
    /// Whether its streams bring nothing for now.
    is_stalled: watch::Sender<bool>,
}

/// A backend server; its clones are the same one.
#[derive(Clone)]
pub(crate) struct FakeBackend {
    state: Arc<BackendState>,
}

impl FakeBackend {
    /// Starts a backend server that enters itself in `store`.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when its address cannot be had.
    pub(crate) async fn start(
        place: FakeBackendConfig,
        engine: Option<FakeEngine>,
        store: &FakeStore,
        words: UnboundedSender<RunEvent>,
    ) -> SwitchResult<Self> {
        let listener: TcpListener = bind_listener(place.listen_address).await?;
        let backend = Self {
            state: Arc::new(BackendState {
                place,
                id: format!("i-{:04x}", place.number + 1),
                engine,
                store: store.clone(),
                running: AtomicU32::new(0),
                start: AtomicU64::new(1),
                starts: AtomicU64::new(1),
                words,
                is_stalled: watch::Sender::new(false),
            }),
        };
        let answering = backend.clone();
        serve_calls_on(listener, move |request| {
            let backend = answering.clone();
            async move { backend.answer(request).await }
        });
        tokio::spawn(backend.clone().keep_entry());
        Ok(backend)
    }

    /// It crashes. Whoever calls this cuts its connections.
    pub(crate) fn crash(&self) {
        self.state.start.store(0, Ordering::Relaxed);
        if let Some(engine) = &self.state.engine {
            engine.crash();
        }
    }

    /// Whether its streams bring nothing from now on. They go on behind it where they were.
    pub(crate) fn stall(&self, is_stalled: bool) {
        self.state.is_stalled.send_replace(is_stalled);
    }

    /// Its entry is taken away, as the platform does some heartbeats behind a crash.
    pub(crate) fn remove_entry(&self) {
        self.state.store.remove(TableName::Backends, &self.state.id);
    }

    /// It starts again under its name, with `rest` of what was staged.
    pub(crate) fn restart(&self, rest: StagedAfterRestart) {
        if let Some(engine) = &self.state.engine {
            engine.restart(rest);
        }
        let start = self.state.starts.fetch_add(1, Ordering::Relaxed) + 1;
        self.state.start.store(start, Ordering::Relaxed);
    }

    /// The version of the weights that it holds.
    pub(crate) fn held(&self) -> Option<u64> {
        self.state.engine.as_ref()?.held().map(|version| version.0)
    }

    async fn keep_entry(self) {
        let (mut told, mut entered, mut entered_at) = (0_u64, String::new(), clock_now());
        loop {
            let start = self.state.start.load(Ordering::Relaxed);
            let now = clock_now();
            if start != 0 {
                let facts = self.entry_facts(start);
                if facts != entered || now.since(entered_at) >= HEARTBEAT {
                    told += 1;
                    let text = facts.replacen('{', &format!("{{\"sequence\":{told},"), 1);
                    let (store, id) = (&self.state.store, &self.state.id);
                    store.put(TableName::Backends, id, &text);
                    (entered, entered_at) = (facts, now);
                }
            } else {
                entered.clear();
            }
            sleep(ENTRY_PAUSE).await;
        }
    }

    fn entry_facts(&self, start: u64) -> String {
        let state = &self.state;
        let is_engine = state.engine.is_some();
        let service = if is_engine {
            ENGINE_SERVICE
        } else {
            PLAIN_SERVICE
        };
        let mut entry = json!({
            "service": service, "address": state.place.advertised_address.to_string(), "zone": "hall-a",
            "slots": SLOTS, "state": "ready", "version": "1", "cold_remaining_ms": 0,
            "born": start,
        });
        if let Some(engine) = &state.engine {
            let report = engine.own_report();
            for field in ["born", "models", "layers"] {
                entry[field] = report[field].clone();
            }
        }
        entry.to_string()
    }

    async fn answer(&self, request: Request) -> Response {
        let is_own_call = request.uri().path().starts_with("/v1/");
        if let (true, Some(engine)) = (is_own_call, &self.state.engine) {
            engine.note_active(self.state.running.load(Ordering::Relaxed));
            return engine.answer(request).await;
        }
        let (parts, body) = request.into_parts();
        if let Some(refusal) = self.refusal(&parts.headers) {
            return refusal;
        }
        let Ok(body) = read_body(body, BODY_BYTES_MAX).await else {
            return self.reply(&parts.headers, StatusCode::BAD_REQUEST, Body::empty());
        };
        // What it holds may have changed while the body came.
        if let Some(refusal) = self.refusal(&parts.headers) {
            return refusal;
        }
        let attempt = text_of(&parts.headers, ATTEMPT).unwrap_or_default();
        self.note_run(&attempt, &parts.headers);
        let place = RunPlace::take(&self.state);
        let mut reply = if self.state.engine.is_some() {
            let (writer, body) = frame_channel(1);
            let last = text_of(&parts.headers, LAST_EVENT).and_then(|text| text.parse().ok());
            let first = last.map_or(1, |last: u64| last + 1);
            tokio::spawn(place.write_events(attempt.clone(), first, writer));
            self.reply(&parts.headers, StatusCode::OK, body)
        } else {
            sleep(PLAIN_SPAN).await;
            place.tell_end(&attempt, RunEnd::Complete);
            drop(place);
            self.reply(&parts.headers, StatusCode::OK, Body::from(body))
        };
        set(&mut reply, SEAL, &format!("seal-of-{attempt}"));
        if let Some(version) = self.held() {
            set(&mut reply, VERSIONS, &version.to_string());
        }
        reply
    }

    /// The answer to a request that it does not run.
    fn refusal(&self, headers: &HeaderMap) -> Option<Response> {
        let state = &self.state;
        let is_meant = text_of(headers, TARGET_ID).is_none_or(|id| id == state.id);
        let expected = text_of(headers, EXPECTED_VERSION).and_then(|text| text.parse().ok());
        let is_fit = expected.is_none() || expected == self.held();
        let is_free = state.running.load(Ordering::Relaxed) < SLOTS;
        let engine = state.engine.as_ref();
        let can_run = engine.is_none_or(|engine| engine.held().is_some() && !engine.is_busy());
        let status = if !is_meant || !is_fit {
            StatusCode::MISDIRECTED_REQUEST
        } else if !is_free || !can_run || state.start.load(Ordering::Relaxed) == 0 {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            return None;
        };
        let mut reply = self.reply(headers, status, Body::empty());
        set(&mut reply, NOT_RUN, "1");
        Some(reply)
    }

    fn note_run(&self, attempt: &str, headers: &HeaderMap) {
        let sighting = BackendRun {
            attempt: attempt.to_owned(),
            backend: self.state.place.number,
            account: text_of(headers, ACCOUNT),
            has_key: headers.contains_key(http::header::AUTHORIZATION),
            version: self.held(),
            begun: clock_now(),
            end: None,
        };
        // Nobody reads them any more once the soak is over.
        let _ = self.state.words.send(RunEvent::Started(sighting));
    }

    fn reply(&self, headers: &HeaderMap, status: StatusCode, body: Body) -> Response {
        let mut reply = Response::new(body);
        *reply.status_mut() = status;
        if let Some(attempt) = text_of(headers, ATTEMPT) {
            set(&mut reply, ATTEMPT, &attempt);
        }
        set(&mut reply, BACKEND_ID, &self.state.id);
        reply
    }
}

/// A place that a request takes while it runs.
struct RunPlace {
    state: Arc<BackendState>,
    /// Which start of the backend server it runs in.
    start: u64,
}

impl RunPlace {
    fn take(state: &Arc<BackendState>) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
            start: state.start.load(Ordering::Relaxed),
        }
    }

    async fn write_events(self, attempt: String, first: u64, writer: FrameWriter) {
        let mut pace = self.pace(&attempt);
        let mut stalled = self.state.is_stalled.subscribe();
        let mut end = RunEnd::Complete;
        for event in first..=STREAM_EVENTS {
            sleep(pace.next_pause()).await;
            // The sender is there for as long as the backend server.
            let _ = stalled.wait_for(|is_stalled| !is_stalled).await;
            if self.state.start.load(Ordering::Relaxed) != self.start {
                end = RunEnd::Crashed;
                // A writer that is dropped ends the answer as a whole one; the crash resets it.
                writer.closed().await;
                break;
            }
            let bytes = stream_event(&attempt, event).0;
            if writer.write_bytes(bytes).await.is_err() {
                end = RunEnd::CallerDisconnected;
                break;
            }
        }
        self.tell_end(&attempt, end);
    }

    fn pace(&self, attempt: &str) -> StreamPace {
        let place = &self.state.place;
        StreamPace(match place.load {
            EngineLoad::Light => None,
            EngineLoad::Heavy { seed } => {
                let mut hasher = DefaultHasher::new();
                (seed, attempt, place.number).hash(&mut hasher);
                Some(StdRng::seed_from_u64(hasher.finish()))
            }
        })
    }

    fn tell_end(&self, attempt: &str, end: RunEnd) {
        let ended = EndedRun {
            attempt: attempt.to_owned(),
            backend: self.state.place.number,
            end,
            at: clock_now(),
        };
        let _ = self.state.words.send(RunEvent::Ended(ended));
    }
}

impl Drop for RunPlace {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The pauses before the events of a stream.
struct StreamPace(Option<StdRng>);

impl StreamPace {
    fn next_pause(&mut self) -> Duration {
        let Some(chance) = &mut self.0 else {
            return EVENT_PAUSE;
        };
        let is_long = chance.random_range(0..LONG_PAUSE_ONE_IN) == 0;
        let long = is_long.then(|| Duration::from_millis(chance.random_range(LONG_PAUSE_MS)));
        LOADED_EVENT_PAUSE + long.unwrap_or_default()
    }
}

/// Event `event` of the stream that answers `attempt`, and whether it is the last.
pub(crate) fn stream_event(attempt: &str, event: u64) -> (Bytes, bool) {
    let text = format!("id: {event}\ndata: {attempt} {event} of {STREAM_EVENTS}\n\n");
    (text.into(), event == STREAM_EVENTS)
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn set(reply: &mut Response, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        reply.headers_mut().insert(name, value);
    }
}
