//! A fake backend server for the lab. It registers itself in the store, runs requests and reports
//! each run. With an engine it serves streams, and responds to the calls of its host.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use super::fake_engine::{FakeEngine, StagedAfterRestart};
use super::fake_origin::serve_calls_on;
use super::fake_store::FakeStore;
use super::sample_files::{ENGINE_SERVICE, PLAIN_SERVICE, data_centre_of};
use super::samples::{
    ACCOUNT, ATTEMPT, BACKEND_ID, EXPECTED_VERSION, LAST_EVENT, LEAVING, NOT_RUN, PROMPT_PARTS,
    SEAL, TARGET_ID, VERSIONS,
};
use super::store_client::TableName;
use crate::errors::SwitchResult;
use crate::time::{ClockTime, clock_now};
use crate::transport::{FrameWriter, bind_listener, frame_channel, read_body};

const BODY_BYTES_MAX: usize = 64 * 1024;
/// The duration of a request to a plain service.
const PLAIN_DURATION: Duration = Duration::from_millis(30);
/// The pause before each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The pause before each event of a heavily loaded engine.
const LOADED_EVENT_PAUSE: Duration = Duration::from_millis(150);
/// A heavily loaded engine makes a longer pause before one event in this many.
const LONG_PAUSE_ONE_IN: u32 = 24;
/// The milliseconds that are added to such a pause.
const LONG_PAUSE_MS: std::ops::Range<u64> = 500..2500;
/// The number of events of a stream.
pub(super) const STREAM_EVENTS: u64 = 12;
/// The ids of the parts of prompts that crash an engine begin with this.
pub(crate) const HARMFUL_PREFIX: &str = "bad";
/// The slots of a backend server. They are so few that requests wait or are refused while most
/// backend servers are down, but suffice for the lab's usual clients with half of the engines.
const SLOTS: u32 = 8;
/// The interval at which the entry is compared with the current state.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time between writes of the entry, if nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// A request that a backend server started to run.
#[derive(Clone, Debug)]
pub(crate) struct BackendRun {
    /// The id of the client's attempt.
    pub(crate) attempt: String,
    /// The number of the backend server.
    pub(crate) backend: usize,
    /// The client account in the request.
    pub(crate) account: Option<String>,
    /// Whether the request contained the client's key, which must not be forwarded.
    pub(crate) has_key: bool,
    /// The version of the weights that serve it.
    pub(crate) version: Option<u64>,
    /// The part of its prompt that crashes engines, if it has one.
    pub(crate) harmful_part: Option<String>,
    /// The time at which it started.
    pub(crate) begun: ClockTime,
    /// How and when it ended; none while it is running.
    pub(crate) end: Option<(RunEnd, ClockTime)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The complete response was written.
    Complete,
    /// The caller closed the connection.
    CallerDisconnected,
    /// The backend server crashed.
    Crashed,
}

/// The end of a run.
#[derive(Clone, Debug)]
pub(crate) struct EndedRun {
    /// The id of the client's attempt.
    pub(crate) attempt: String,
    /// The number of the backend server.
    pub(crate) backend: usize,
    /// How it ended.
    pub(crate) end: RunEnd,
    /// The time at which it ended.
    pub(crate) at: ClockTime,
}

/// A request that arrived at a backend server, whether it ran or not.
#[derive(Clone, Debug)]
pub(crate) struct RequestArrival {
    /// The id of the client's attempt.
    pub(crate) attempt: String,
    /// The time at which it arrived.
    pub(crate) at: ClockTime,
}

/// The arrival of a request at a backend server, or the start or end of its run.
#[derive(Clone, Debug)]
pub(crate) enum RunEvent {
    /// A request arrived.
    Arrived(RequestArrival),
    /// A run started.
    Started(BackendRun),
    /// A run ended. Not sent by a plain service whose caller closes the connection.
    Ended(EndedRun),
}

/// How regularly engines write the events of their streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineLoad {
    /// With short, equal pauses.
    Light,
    /// With occasional long pauses, as of engines that process other prompts or whose host is busy.
    Heavy {
        /// The seed for the choice of the pauses.
        seed: u64,
    },
}

/// The configuration of a fake backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FakeBackendConfig {
    /// Its number, counted from 0 over all backend servers.
    pub(crate) number: usize,
    /// The address in its entry, at which others reach it.
    pub(crate) advertised_address: SocketAddr,
    /// The address on which it listens.
    pub(crate) listen_address: SocketAddr,
    /// How regularly it writes streams.
    pub(crate) load: EngineLoad,
}

struct BackendState {
    config: FakeBackendConfig,
    id: String,
    engine: Option<FakeEngine>,
    store: FakeStore,
    running: AtomicU32,
    /// The number of the current start, counted from 1; 0 while it is down.
    start: AtomicU64,
    /// The number of starts so far.
    starts: AtomicU64,
    run_events: UnboundedSender<RunEvent>,
    /// Notified when a request with a harmful part has begun.
    harmed: Notify,
    /// Whether its streams are stalled.
    is_stalled: watch::Sender<bool>,
    /// Whether it announces that it is leaving.
    is_leaving: AtomicBool,
    /// Until when it refuses requests and asks for a pause, on the clock of this process.
    paused_until: Mutex<ClockTime>,
}

impl BackendState {
    fn lock_pause(&self) -> MutexGuard<'_, ClockTime> {
        self.paused_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fake backend server; clones share its state.
#[derive(Clone)]
pub(crate) struct FakeBackend {
    state: Arc<BackendState>,
}

impl FakeBackend {
    /// Starts a backend server that registers itself in `store` and reports its runs to
    /// `run_events`.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` if its address cannot be bound.
    pub(crate) async fn start(
        config: FakeBackendConfig,
        engine: Option<FakeEngine>,
        store: &FakeStore,
        run_events: UnboundedSender<RunEvent>,
    ) -> SwitchResult<Self> {
        let listener: TcpListener = bind_listener(config.listen_address).await?;
        let backend = Self {
            state: Arc::new(BackendState {
                config,
                id: format!("i-{:04x}", config.number + 1),
                engine,
                store: store.clone(),
                running: AtomicU32::new(0),
                start: AtomicU64::new(1),
                starts: AtomicU64::new(1),
                run_events,
                harmed: Notify::new(),
                is_stalled: watch::Sender::new(false),
                is_leaving: AtomicBool::new(false),
                paused_until: Mutex::new(ClockTime(0)),
            }),
        };
        let served = backend.clone();
        serve_calls_on(listener, move |request| {
            let backend = served.clone();
            async move { backend.respond(request).await }
        });
        tokio::spawn(backend.clone().refresh_entry());
        Ok(backend)
    }

    /// Simulates a crash. The caller must close its connections.
    pub(crate) fn crash(&self) {
        self.state.start.store(0, Ordering::Relaxed);
        if let Some(engine) = &self.state.engine {
            engine.crash();
        }
    }

    /// Waits until a request with a harmful part has begun. The caller must then crash the backend
    /// server.
    pub(crate) async fn wait_harmed(&self) {
        self.state.harmed.notified().await;
    }

    /// Announces in its entry and in each response that it is leaving, until the next restart.
    pub(crate) fn leave(&self) {
        self.state.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Refuses all requests for `pause` and asks for no more until its end.
    pub(crate) fn refuse_for(&self, pause: Duration) {
        *self.state.lock_pause() = clock_now() + pause;
    }

    /// Stalls its streams or lets them continue where they were.
    pub(crate) fn stall(&self, is_stalled: bool) {
        self.state.is_stalled.send_replace(is_stalled);
    }

    /// Removes its entry, as the platform does when several heartbeats after a crash are missing.
    pub(crate) fn remove_entry(&self) {
        self.state.store.remove(TableName::Backends, &self.state.id);
    }

    /// Restarts it under the same id.
    pub(crate) fn restart(&self, staged: StagedAfterRestart) {
        if let Some(engine) = &self.state.engine {
            engine.restart(staged);
        }
        self.state.is_leaving.store(false, Ordering::Relaxed);
        let start = self.state.starts.fetch_add(1, Ordering::Relaxed) + 1;
        self.state.start.store(start, Ordering::Relaxed);
    }

    /// The version of the weights that is loaded completely; none without an engine.
    pub(crate) fn held(&self) -> Option<u64> {
        self.state.engine.as_ref()?.held().map(|version| version.0)
    }

    /// Writes the entry on each change and as a heartbeat.
    async fn refresh_entry(self) {
        let (mut sequence, mut written, mut written_at) = (0_u64, String::new(), clock_now());
        loop {
            let start = self.state.start.load(Ordering::Relaxed);
            let now = clock_now();
            if start != 0 {
                let fields = self.entry_fields(start);
                if fields != written || now.since(written_at) >= HEARTBEAT_INTERVAL {
                    sequence += 1;
                    let text = fields.replacen('{', &format!("{{\"sequence\":{sequence},"), 1);
                    let (store, id) = (&self.state.store, &self.state.id);
                    store.put(TableName::Backends, id, &text);
                    (written, written_at) = (fields, now);
                }
            } else {
                written.clear();
            }
            sleep(ENTRY_CHECK_INTERVAL).await;
        }
    }

    fn entry_fields(&self, start: u64) -> String {
        let state = &self.state;
        let is_engine = state.engine.is_some();
        let service = if is_engine {
            ENGINE_SERVICE
        } else {
            PLAIN_SERVICE
        };
        let is_leaving = state.is_leaving.load(Ordering::Relaxed);
        let phase = if is_leaving { "draining" } else { "ready" };
        let mut entry = json!({
            "service": service, "address": state.config.advertised_address.to_string(),
            "zone": data_centre_of(state.config.number), "slots": SLOTS, "state": phase, "version": "1",
            "cold_remaining_ms": 0, "born": start,
        });
        if let Some(engine) = &state.engine {
            let report = engine.current_report();
            for field in ["born", "models", "layers"] {
                entry[field] = report[field].clone();
            }
        }
        entry.to_string()
    }

    async fn respond(&self, request: Request) -> Response {
        let is_engine_call = request.uri().path().starts_with("/v1/");
        if let (true, Some(engine)) = (is_engine_call, &self.state.engine) {
            engine.set_active(self.state.running.load(Ordering::Relaxed));
            return engine.respond(request).await;
        }
        let (parts, body) = request.into_parts();
        let attempt = text_of(&parts.headers, ATTEMPT).unwrap_or_default();
        self.report_arrival(&attempt);
        if let Some(refusal) = self.refusal(&parts.headers) {
            return refusal;
        }
        let Ok(body) = read_body(body, BODY_BYTES_MAX).await else {
            return self.reply(&parts.headers, StatusCode::BAD_REQUEST, Body::empty());
        };
        // The loaded weights may have changed while the body arrived.
        if let Some(refusal) = self.refusal(&parts.headers) {
            return refusal;
        }
        self.report_start(&attempt, &parts.headers);
        let slot = RunSlot::take(&self.state);
        let mut reply = if self.state.engine.is_some() {
            let (writer, body) = frame_channel(1);
            let last = text_of(&parts.headers, LAST_EVENT).and_then(|text| text.parse().ok());
            let first = last.map_or(1, |last: u64| last + 1);
            let is_harmful = harmful_part(&parts.headers).is_some();
            tokio::spawn(slot.write_events(attempt.clone(), (first, is_harmful), writer));
            self.reply(&parts.headers, StatusCode::OK, body)
        } else {
            sleep(PLAIN_DURATION).await;
            slot.report_end(&attempt, RunEnd::Complete);
            drop(slot);
            self.reply(&parts.headers, StatusCode::OK, Body::from(body))
        };
        set(&mut reply, SEAL, &format!("seal-of-{attempt}"));
        if let Some(version) = self.held() {
            set(&mut reply, VERSIONS, &version.to_string());
        }
        reply
    }

    /// The response to a request that it does not run; none if it runs the request.
    fn refusal(&self, headers: &HeaderMap) -> Option<Response> {
        let state = &self.state;
        let is_addressed = text_of(headers, TARGET_ID).is_none_or(|id| id == state.id);
        let expected = text_of(headers, EXPECTED_VERSION).and_then(|text| text.parse().ok());
        let has_version = expected.is_none() || expected == self.held();
        let has_slot = state.running.load(Ordering::Relaxed) < SLOTS;
        let engine = state.engine.as_ref();
        let can_run = engine.is_none_or(|engine| engine.held().is_some() && !engine.is_busy());
        let pause = state.lock_pause().since(clock_now());
        let status = if !is_addressed || !has_version {
            StatusCode::MISDIRECTED_REQUEST
        } else if !pause.is_zero()
            || !has_slot
            || !can_run
            || state.start.load(Ordering::Relaxed) == 0
        {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            return None;
        };
        let mut reply = self.reply(headers, status, Body::empty());
        set(&mut reply, NOT_RUN, "1");
        if !pause.is_zero() && status == StatusCode::SERVICE_UNAVAILABLE {
            set(&mut reply, "retry-after", &pause.as_secs_f64().to_string());
        }
        Some(reply)
    }

    fn report_arrival(&self, attempt: &str) {
        let arrival = RequestArrival {
            attempt: attempt.to_owned(),
            at: clock_now(),
        };
        // The receiver is dropped at the end of the soak test.
        let _ = self.state.run_events.send(RunEvent::Arrived(arrival));
    }

    fn report_start(&self, attempt: &str, headers: &HeaderMap) {
        let run = BackendRun {
            attempt: attempt.to_owned(),
            backend: self.state.config.number,
            account: text_of(headers, ACCOUNT),
            has_key: headers.contains_key(http::header::AUTHORIZATION),
            version: self.held(),
            harmful_part: harmful_part(headers),
            begun: clock_now(),
            end: None,
        };
        // The receiver is dropped at the end of the soak test.
        let _ = self.state.run_events.send(RunEvent::Started(run));
    }

    fn reply(&self, headers: &HeaderMap, status: StatusCode, body: Body) -> Response {
        let mut reply = Response::new(body);
        *reply.status_mut() = status;
        if let Some(attempt) = text_of(headers, ATTEMPT) {
            set(&mut reply, ATTEMPT, &attempt);
        }
        set(&mut reply, BACKEND_ID, &self.state.id);
        if self.state.is_leaving.load(Ordering::Relaxed) {
            set(&mut reply, LEAVING, "1");
        }
        reply
    }
}

/// The slot that a request occupies while it runs.
struct RunSlot {
    state: Arc<BackendState>,
    /// The number of the start of the backend server in which the request runs.
    start: u64,
}

impl RunSlot {
    fn take(state: &Arc<BackendState>) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
            start: state.start.load(Ordering::Relaxed),
        }
    }

    /// Writes the events from `first` on, or only harms the backend server.
    async fn write_events(
        self,
        attempt: String,
        (first, is_harmful): (u64, bool),
        writer: FrameWriter,
    ) {
        let mut pace = self.pace(&attempt);
        let mut stalled = self.state.is_stalled.subscribe();
        let mut end = RunEnd::Complete;
        for event in first..=STREAM_EVENTS {
            sleep(pace.next_pause()).await;
            // Cannot fail: the state of the backend server owns the sender.
            let _ = stalled.wait_for(|is_stalled| !is_stalled).await;
            if is_harmful {
                self.state.harmed.notify_one();
                end = RunEnd::Crashed;
                writer.closed().await;
                break;
            }
            if self.state.start.load(Ordering::Relaxed) != self.start {
                end = RunEnd::Crashed;
                // Dropping the writer would end the response as a complete one. Wait until the
                // caller of `crash` has closed the connection.
                writer.closed().await;
                break;
            }
            let bytes = stream_event(&attempt, event).0;
            if writer.write_bytes(bytes).await.is_err() {
                end = RunEnd::CallerDisconnected;
                break;
            }
        }
        self.report_end(&attempt, end);
    }

    fn pace(&self, attempt: &str) -> StreamPace {
        let config = &self.state.config;
        StreamPace(match config.load {
            EngineLoad::Light => None,
            EngineLoad::Heavy { seed } => {
                let mut hasher = DefaultHasher::new();
                (seed, attempt, config.number).hash(&mut hasher);
                Some(StdRng::seed_from_u64(hasher.finish()))
            }
        })
    }

    fn report_end(&self, attempt: &str, end: RunEnd) {
        let ended = EndedRun {
            attempt: attempt.to_owned(),
            backend: self.state.config.number,
            end,
            at: clock_now(),
        };
        let _ = self.state.run_events.send(RunEvent::Ended(ended));
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The pauses before the events of a stream; random ones with a generator, otherwise equal ones.
struct StreamPace(Option<StdRng>);

impl StreamPace {
    fn next_pause(&mut self) -> Duration {
        let Some(rng) = &mut self.0 else {
            return EVENT_PAUSE;
        };
        let is_long = rng.random_range(0..LONG_PAUSE_ONE_IN) == 0;
        let long = is_long.then(|| Duration::from_millis(rng.random_range(LONG_PAUSE_MS)));
        LOADED_EVENT_PAUSE + long.unwrap_or_default()
    }
}

/// The bytes of event number `event` in the stream for `attempt`, and whether it is the last.
pub(crate) fn stream_event(attempt: &str, event: u64) -> (Bytes, bool) {
    let text = format!("id: {event}\ndata: {attempt} {event} of {STREAM_EVENTS}\n\n");
    (text.into(), event == STREAM_EVENTS)
}

/// The harmful part of the prompt of a request, if it has one.
fn harmful_part(headers: &HeaderMap) -> Option<String> {
    let parts = text_of(headers, PROMPT_PARTS)?;
    let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
    ids.find(|id| id.starts_with(HARMFUL_PREFIX))
        .map(str::to_owned)
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn set(reply: &mut Response, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        reply.headers_mut().insert(name, value);
    }
}
