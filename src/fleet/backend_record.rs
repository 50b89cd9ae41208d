//! What an entry host knows about one backend server, and its own requests in flight there.

use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::backend_facts::{BackendFacts, BackendPhase, EngineHoldings, LoadReport, ResponseLoad};
use super::cold_limit::ColdLimit;
use super::in_flight_history::InFlightHistory;
use super::pick::PickContext;
use super::request_limit::{RequestLimit, SendPermission};
use crate::derives::{key, plain};
use crate::overload::{EngineCandidate, unreported_load, usual_pace};
use crate::routing::CircuitBreaker;
use crate::time::{ClockTime, StoreTime, WallTime};

/// How long a reported number of requests counts. Model requests last one to three seconds, so that
/// most of them have ended after this time.
const REPORTED_LOAD_SPAN: Duration = Duration::from_secs(2);
/// Age of a load report when it arrives: the engine states its load of 200 ms ago, and a relay
/// forwards the report within 200 ms.
const REPORT_AGE: Duration = Duration::from_millis(300);
/// Pause after a backend server refused a request because it is full. Its queue shrinks by about
/// one request per 100 ms.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a backend server was unreachable or unresponsive. The circuit breaker alone does not
/// help where its link is congested: some calls still succeed and keep the breaker closed.
const FAILED_PAUSE: Duration = Duration::from_millis(400);
/// Pause after another backend server answered at its address. This one has stopped, and its entry
/// expires from the store within a few heartbeats; until then each send would be rejected.
const REPLACED_PAUSE: Duration = Duration::from_secs(6);
/// Longest pause that a backend server can request. An overload is over within seconds; after a
/// faulty value, one request in this time shows whether it still asks for a pause.
const REQUESTED_PAUSE_MAX: Duration = Duration::from_mins(1);
/// Longest time that a backend server can state to stay cold in a response. Backend servers are cold
/// for seconds; after a faulty value, a later response without it has no effect.
const STATED_COLD_MAX: Duration = Duration::from_secs(10);
/// How long an announced load of weights blocks new requests. The announcement is repeated five
/// times a second; without an expiry, a process that died after sending it would block its engine
/// forever.
const LOADING_EXPIRY: Duration = Duration::from_millis(1500);
/// How long the measured wait for a response head counts.
const HEAD_WAIT_SPAN: Duration = Duration::from_secs(2);
/// How long to prefer fresh connections after a connection delivered bytes that belong to no
/// request. Other pooled connections to the same backend server may be affected as well.
const FRESH_CONNECTIONS_SPAN: Duration = Duration::from_secs(10);

/// Outcome of a call, as far as it concerns the state of the backend server.
#[apply(key!)]
pub(crate) enum CallOutcome {
    /// It answered.
    Answered,
    /// It refused the request: it is full, or does not serve this model or version.
    Refused,
    /// A different backend server answered at its address.
    Replaced,
    /// It was unreachable, the connection broke, or the response was malformed.
    Failed,
    /// The client disconnected, or the outcome shows nothing about the backend server.
    Inconclusive,
}

/// The last reported number of requests, from all entry hosts together.
#[apply(plain!)]
#[derive(Copy)]
struct ReportedLoad {
    total: u32,
    own_at_report: u32,
    at: ClockTime,
}

/// State of one backend server.
#[derive(Debug)]
pub(crate) struct BackendRecord {
    /// Its entry in the store.
    pub(crate) facts: Arc<BackendFacts>,
    /// Weights that its engine has loaded, by the latest entry or report.
    pub(super) holdings: EngineHoldings,
    /// Until when it is considered to be about to load weights.
    loading_until: ClockTime,
    /// Requests of this entry host in flight there.
    pub(super) own_in_flight: u32,
    in_flight_history: InFlightHistory,
    /// Prompt tokens of those whose response has not started.
    unread_tokens: u32,
    /// Last reported slowdown factor relative to the published speed.
    pace: f64,
    /// Whether this entry host is the preferred one for it.
    pub(super) is_own: bool,
    reported: Option<ReportedLoad>,
    pub(super) breaker: CircuitBreaker,
    /// The longest recent wait for a response head, and when it was measured.
    head_wait: (Duration, ClockTime),
    paused_until: ClockTime,
    /// Until when it asked this entry host to send it no requests.
    requested_pause_until: ClockTime,
    /// Whether it announced in a response that it is leaving.
    has_announced_leaving: bool,
    fresh_connections_until: ClockTime,
    /// The request rate that it allows to all entry hosts together.
    pub(super) limit: RequestLimit,
    /// Until when it is cold, by its latest statement in a response.
    stated_cold_until: ClockTime,
    /// Since when it counts as cold, whatever it stated before.
    assumed_cold_since: Option<ClockTime>,
}

impl BackendRecord {
    pub(super) fn new(facts: Arc<BackendFacts>) -> Self {
        Self {
            holdings: facts.holdings.clone(),
            facts,
            loading_until: ClockTime(0),
            own_in_flight: 0,
            in_flight_history: InFlightHistory::default(),
            unread_tokens: 0,
            pace: usual_pace(),
            is_own: true,
            reported: None,
            breaker: CircuitBreaker::default(),
            head_wait: (Duration::ZERO, ClockTime(0)),
            paused_until: ClockTime(0),
            requested_pause_until: ClockTime(0),
            has_announced_leaving: false,
            fresh_connections_until: ClockTime(0),
            limit: RequestLimit::default(),
            stated_cold_until: ClockTime(0),
            assumed_cold_since: None,
        }
    }

    /// The facts of a new incarnation that only `report` has shown so far. The weights are those of
    /// the report. The phase stays as it was: it comes from the store, so that one that was leaving
    /// gets no requests before its new entry, which follows within a heartbeat.
    pub(super) fn facts_after_restart(&self, report: &LoadReport) -> BackendFacts {
        BackendFacts {
            start_time: report.start_time,
            sequence: None,
            holdings: report.holdings.clone(),
            cold_until: None,
            ..(*self.facts).clone()
        }
    }

    pub(super) fn set_facts(&mut self, facts: &Arc<BackendFacts>) {
        if self.facts.holdings != facts.holdings {
            self.holdings = facts.holdings.clone();
        }
        let start_time = facts.start_time.or(self.facts.start_time);
        self.facts = facts.clone();
        self.set_start_time(start_time);
    }

    fn set_start_time(&mut self, start_time: Option<WallTime>) {
        if self.facts.start_time != start_time {
            let mut facts = (*self.facts).clone();
            facts.start_time = start_time;
            self.facts = Arc::new(facts);
        }
    }

    /// Estimated number of its requests at `now`, from all entry hosts.
    pub(crate) fn load(&self, now: ClockTime) -> u32 {
        self.own_in_flight.saturating_add(self.others(now))
    }

    /// Counts a request whose prompt has `tokens` tokens as sent there at `now`.
    pub(super) fn note_sent(&mut self, tokens: u32, now: ClockTime) {
        self.set_in_flight(self.own_in_flight + 1, now);
        self.unread_tokens = self.unread_tokens.saturating_add(tokens);
    }

    /// Counts a request as ended at `now`. There must be one in flight.
    pub(super) fn note_ended(&mut self, now: ClockTime) {
        assert!(
            self.own_in_flight > 0,
            "a call ended that was not in flight"
        );
        self.set_in_flight(self.own_in_flight - 1, now);
    }

    fn set_in_flight(&mut self, count: u32, now: ClockTime) {
        self.own_in_flight = count;
        self.in_flight_history.push(count, now);
    }

    /// Subtracts `tokens` of a request's prompt: the response has started or the request has ended.
    pub(super) fn note_read(&mut self, tokens: u32) {
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens);
    }

    /// State of the engine as a request would find it at `now`.
    pub(super) fn engine_state(
        &self,
        context: &PickContext<'_>,
        now: ClockTime,
    ) -> EngineCandidate {
        let engine = EngineCandidate {
            slots: self.facts.slots,
            load: self.load(now),
            unread_tokens: self.unread_tokens,
            pace: self.pace,
            is_near: *self.facts.data_centre == *context.data_centre,
            is_own: self.is_own,
            peers: context.peers,
            others: context.others,
        };
        let has_stopped_reporting = self
            .reported
            .is_some_and(|reported| now.since(reported.at) >= REPORTED_LOAD_SPAN);
        if !has_stopped_reporting {
            return engine;
        }
        let others = unreported_load(engine.slots, engine.is_filled_by_us(), engine.peers);
        EngineCandidate {
            load: engine.load.saturating_add(others),
            ..engine
        }
    }

    fn others(&self, now: ClockTime) -> u32 {
        match self.reported {
            Some(reported) if now.since(reported.at) < REPORTED_LOAD_SPAN => {
                reported.total.saturating_sub(reported.own_at_report)
            }
            _ => 0,
        }
    }

    /// Records at `now` that a request has waited for `wait` for its response head.
    pub(crate) fn note_head_wait(&mut self, wait: Duration, now: ClockTime) {
        if wait >= self.head_wait(now) {
            self.head_wait = (wait, now);
        }
    }

    /// The longest recent wait for a response head.
    pub(super) fn head_wait(&self, now: ClockTime) -> Duration {
        let (wait, at) = self.head_wait;
        if now.since(at) < HEAD_WAIT_SPAN {
            wait
        } else {
            Duration::ZERO
        }
    }

    /// Whether it was recently announced that it is about to load weights.
    fn is_loading(&self, now: ClockTime) -> bool {
        now < self.loading_until
    }

    /// Whether it takes new requests, by its entry and by its own responses.
    ///
    /// An entry that still says so does not undo the announcement of a response: the store may not
    /// have received the same announcement, or not report it. It ends with the incarnation or with
    /// the removal of the entry, both of which drop this record.
    pub(crate) fn is_serving(&self) -> bool {
        self.facts.phase == BackendPhase::Serving && !self.has_announced_leaving
    }

    /// Records that it announced in a response that it is leaving. Returns whether that is new.
    pub(super) fn note_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.has_announced_leaving, true)
    }

    /// Records that it asked at `now` for no requests for `pause`. Returns when the pause ends.
    pub(super) fn note_requested_pause(&mut self, pause: Duration, now: ClockTime) -> ClockTime {
        let until = now + pause.min(REQUESTED_PAUSE_MAX);
        self.requested_pause_until = self.requested_pause_until.max(until);
        self.requested_pause_until
    }

    /// When the pause that it asked for ends, if it lasts at `now`.
    pub(super) fn requested_pause_end(&self, now: ClockTime) -> Option<ClockTime> {
        Some(self.requested_pause_until).filter(|until| now < *until)
    }

    /// Whether requests may be sent there at `now`.
    pub(super) fn accepts_requests(&self, now: ClockTime) -> bool {
        !self.is_loading(now)
            && self.paused_until <= now
            && self.requested_pause_end(now).is_none()
            && self.breaker.allows_request(now)
    }

    /// Whether its advertised rate, and its limit while it is cold, allow this entry host to send a
    /// request at `now`.
    pub(super) fn send_permission(
        &self,
        cold_limit: Option<ColdLimit>,
        context: &PickContext<'_>,
        now: ClockTime,
    ) -> SendPermission {
        let cold_limit = cold_limit.filter(|limit| self.is_cold(*limit, context.picked_at, now));
        let schedule = || context.rate_sharers.schedule(&self.facts);
        self.limit
            .send_permission(cold_limit, schedule, context.picked_at)
    }

    /// Whether it is cold at `now`, which is `store_time` on the store's clock.
    fn is_cold(&self, limit: ColdLimit, store_time: StoreTime, now: ClockTime) -> bool {
        let is_assumed = self
            .assumed_cold_since
            .is_some_and(|since| now.since(since) < limit.span);
        let until = self.facts.cold_until;
        is_assumed || now < self.stated_cold_until || until.is_some_and(|until| store_time < until)
    }

    /// Records that it may have become cold at `now` without having stated it yet.
    pub(super) fn assume_cold(&mut self, now: ClockTime) {
        self.assumed_cold_since = Some(now);
    }

    /// Records its statement in a response at `now` that it stays cold for `left`.
    pub(crate) fn note_cold(&mut self, left: Duration, now: ClockTime) {
        self.stated_cold_until = now + left.min(STATED_COLD_MAX);
    }

    /// Whether to open a new connection rather than to reuse one.
    pub(crate) fn prefers_fresh_connection(&self, now: ClockTime) -> bool {
        now < self.fresh_connections_until
    }

    /// Records that a connection delivered bytes that belong to no request.
    pub(crate) fn note_stray_bytes(&mut self, now: ClockTime) {
        self.fresh_connections_until = now + FRESH_CONNECTIONS_SPAN;
    }

    /// Takes in the load stated in a response.
    pub(crate) fn note_load(&mut self, load: ResponseLoad, now: ClockTime) {
        let total = load.running.saturating_add(load.waiting);
        self.set_reported(total, self.own_in_flight, now);
    }

    /// Takes in a load report from the process colocated with it.
    pub(super) fn note_report(&mut self, report: LoadReport, now: ClockTime) {
        self.set_start_time(report.start_time.or(self.facts.start_time));
        let own_at_report = self.in_flight_history.count_before(REPORT_AGE, now);
        let total = report.active.saturating_add(report.queued);
        self.set_reported(total, own_at_report, now);
        let span = if report.is_loading {
            LOADING_EXPIRY
        } else {
            Duration::ZERO
        };
        self.loading_until = now + span;
        self.pace = report.pace;
        self.holdings = report.holdings;
    }

    fn set_reported(&mut self, total: u32, own_at_report: u32, now: ClockTime) {
        self.reported = Some(ReportedLoad {
            total,
            own_at_report,
            at: now,
        });
    }

    /// Records the outcome of a call. `jitter` is random. Returns whether the circuit breaker
    /// opened.
    pub(super) fn note_outcome(
        &mut self,
        outcome: CallOutcome,
        now: ClockTime,
        jitter: u32,
    ) -> bool {
        match outcome {
            CallOutcome::Answered => {
                self.breaker.note_success();
                false
            }
            CallOutcome::Replaced => {
                self.paused_until = now + REPLACED_PAUSE;
                self.breaker.note_inconclusive(now);
                false
            }
            CallOutcome::Refused => {
                self.paused_until = now + FULL_PAUSE;
                self.breaker.note_inconclusive(now);
                false
            }
            // An engine that loads other weights aborts the requests in progress.
            CallOutcome::Failed if self.is_loading(now) => {
                self.breaker.note_inconclusive(now);
                false
            }
            CallOutcome::Failed => {
                self.paused_until = now + FAILED_PAUSE;
                self.breaker.note_failure(now, jitter)
            }
            CallOutcome::Inconclusive => {
                self.breaker.note_inconclusive(now);
                false
            }
        }
    }
}
