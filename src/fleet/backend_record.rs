//! One backend server as this entry host knows it.

use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::backend_facts::{BackendFacts, EngineHoldings, LoadReport, LoadWord};
use super::pick::PickPlace;
use super::request_limit::{LimitTurn, RequestLimit};
use crate::derives::{key, plain};
use crate::overload::{EnginePlace, usual_pace};
use crate::routing::CircuitBreaker;
use crate::time::{ClockTime, WallTime};

/// How long a word about other entry hosts' requests is believed. Model requests last one to three
/// seconds, so that after this long most of them have ended.
const HEARD_SPAN: Duration = Duration::from_secs(2);
/// How long nothing new goes to a backend server that said it is full. Its queue gets shorter by a
/// request about each 100 ms.
const FULL_REST: Duration = Duration::from_millis(100);
/// How long nothing new goes to a backend server that could not be reached or fell silent. Where its
/// link has become narrow, some calls still succeed, so that the breaker stays closed.
const FAILED_REST: Duration = Duration::from_millis(400);
/// How long nothing goes to a backend server at whose address another one answered. It has ended, and
/// its entry in the store goes within some heartbeats; until then each send would be turned away.
const REPLACED_REST: Duration = Duration::from_secs(6);
/// How long the word that an engine is about to load weights holds. It is told five times a second; a
/// process that died right after it had told would keep requests from its engine for good.
const LOADING_SPAN: Duration = Duration::from_millis(1500);
/// For how long it counts that a request waited there for its answer to begin.
const HEAD_WAIT_SPAN: Duration = Duration::from_secs(2);
/// How long fresh connections are preferred after a connection delivered bytes that belong to no
/// request. More of them may be on their way on other connections of the same backend server.
const FRESH_SPAN: Duration = Duration::from_secs(10);

/// How a call at a backend server ended, as far as it tells about the backend server.
#[apply(key!)]
pub(crate) enum CallEnd {
    /// It answered.
    Answered,
    /// It said that it is full or does not serve this.
    Refused,
    /// Another one answers at its address.
    Replaced,
    /// It could not be reached, or broke off, or sent what does not read.
    Failed,
    /// The client left, or the end says nothing about the backend server.
    Nothing,
}

/// What was last heard of the load of all entry hosts together.
#[apply(plain!)]
#[derive(Copy)]
struct LoadHeard {
    total: u32,
    own_then: u32,
    at: ClockTime,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct BackendRecord {
    /// What the store says of it.
    pub(crate) facts: Arc<BackendFacts>,
    /// What its engine has loaded, from whoever said it last.
    pub(super) holdings: EngineHoldings,
    /// Until when it is taken to be about to load weights.
    loading_until: ClockTime,
    /// This entry host's requests under way there.
    pub(super) own: u32,
    /// Tokens of the prompts of those of them that have not begun.
    unread_tokens: u32,
    /// How many times slower than published it is, as was last told.
    pace: f64,
    /// Whether other entry hosts leave it to this one first.
    pub(super) is_own: bool,
    heard: Option<LoadHeard>,
    pub(super) breaker: CircuitBreaker,
    /// The longest that a request waited lately for its answer to begin, and when.
    head_wait: (Duration, ClockTime),
    rest_until: ClockTime,
    fresh_until: ClockTime,
    /// How many requests a second it takes from all entry hosts together.
    pub(super) limit: RequestLimit,
}

impl BackendRecord {
    pub(super) fn new(facts: Arc<BackendFacts>) -> Self {
        Self {
            holdings: facts.holdings.clone(),
            facts,
            loading_until: ClockTime(0),
            own: 0,
            unread_tokens: 0,
            pace: usual_pace(),
            is_own: true,
            heard: None,
            breaker: CircuitBreaker::default(),
            head_wait: (Duration::ZERO, ClockTime(0)),
            rest_until: ClockTime(0),
            fresh_until: ClockTime(0),
            limit: RequestLimit::default(),
        }
    }

    /// What is known of the incarnation that `report` tells of before the store says more: it holds
    /// what the report says. Whether it takes requests is for the store to say; a leaving one that
    /// starts again gets none before its new entry, which follows within a heartbeat.
    pub(super) fn restarted(&self, report: &LoadReport) -> BackendFacts {
        BackendFacts {
            born: report.born,
            told: None,
            holdings: report.holdings.clone(),
            ..(*self.facts).clone()
        }
    }

    pub(super) fn set_facts(&mut self, facts: &Arc<BackendFacts>) {
        if self.facts.holdings != facts.holdings {
            self.holdings = facts.holdings.clone();
        }
        let born = facts.born.or(self.facts.born);
        self.facts = facts.clone();
        self.set_born(born);
    }

    fn set_born(&mut self, born: Option<WallTime>) {
        if self.facts.born != born {
            let mut facts = (*self.facts).clone();
            facts.born = born;
            self.facts = Arc::new(facts);
        }
    }

    /// How many requests it has at `now`, from all entry hosts, as far as is known.
    pub(crate) fn load(&self, now: ClockTime) -> u32 {
        self.own + self.others(now)
    }

    /// A request with `tokens` of prompt is sent there.
    pub(super) fn note_sent(&mut self, tokens: u32) {
        self.own += 1;
        self.unread_tokens = self.unread_tokens.saturating_add(tokens);
    }

    /// Of a request's prompt, `tokens` are no longer to be read: it has begun, or is over.
    pub(super) fn note_read(&mut self, tokens: u32) {
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens);
    }

    /// The engine as a request finds it at `now`.
    pub(super) fn place(&self, place: &PickPlace<'_>, now: ClockTime) -> EnginePlace {
        EnginePlace {
            slots: self.facts.slots,
            load: self.load(now),
            unread_tokens: self.unread_tokens,
            pace: self.pace,
            is_near: *self.facts.data_centre == *place.data_centre,
            is_own: self.is_own,
            peers: place.peers,
        }
    }

    fn others(&self, now: ClockTime) -> u32 {
        match self.heard {
            Some(heard) if now.since(heard.at) < HEARD_SPAN => {
                heard.total.saturating_sub(heard.own_then)
            }
            _ => 0,
        }
    }

    /// A request has waited for `wait` at `now` for its answer to begin.
    pub(crate) fn note_head_wait(&mut self, wait: Duration, now: ClockTime) {
        if wait >= self.head_wait(now) {
            self.head_wait = (wait, now);
        }
    }

    /// The longest that a request waited lately for its answer to begin.
    pub(super) fn head_wait(&self, now: ClockTime) -> Duration {
        let (wait, at) = self.head_wait;
        if now.since(at) < HEAD_WAIT_SPAN {
            wait
        } else {
            Duration::ZERO
        }
    }

    /// Whether it is about to load weights, as far as was told lately.
    fn is_loading(&self, now: ClockTime) -> bool {
        now < self.loading_until
    }

    /// Whether it may get requests at `now`.
    pub(super) fn is_open(&self, now: ClockTime) -> bool {
        !self.is_loading(now) && self.rest_until <= now && self.breaker.allows_request(now)
    }

    /// Whether its limit leaves a request to this entry host.
    pub(super) fn turn(&self, place: &PickPlace<'_>) -> LimitTurn {
        let share = || place.turns.share(&self.facts);
        self.limit.turn(share, place.asked)
    }

    /// Whether a connection that was used before is to be avoided.
    pub(crate) fn wants_fresh(&self, now: ClockTime) -> bool {
        now < self.fresh_until
    }

    /// A connection delivered bytes that belong to no request.
    pub(crate) fn note_stray_bytes(&mut self, now: ClockTime) {
        self.fresh_until = now + FRESH_SPAN;
    }

    /// It told its load in an answer.
    pub(crate) fn note_load(&mut self, word: LoadWord, now: ClockTime) {
        self.hear(word.running.saturating_add(word.waiting), now);
    }

    /// The process beside it told its state.
    pub(super) fn note_report(&mut self, report: LoadReport, now: ClockTime) {
        self.set_born(report.born.or(self.facts.born));
        self.hear(report.active.saturating_add(report.queued), now);
        let span = if report.is_loading {
            LOADING_SPAN
        } else {
            Duration::ZERO
        };
        self.loading_until = now + span;
        self.pace = report.pace;
        self.holdings = report.holdings;
    }

    fn hear(&mut self, total: u32, now: ClockTime) {
        self.heard = Some(LoadHeard {
            total,
            own_then: self.own,
            at: now,
        });
    }

    /// A call ended. `jitter` is random. Returns whether nothing is sent there for a while now.
    pub(super) fn note_end(&mut self, end: CallEnd, now: ClockTime, jitter: u32) -> bool {
        match end {
            CallEnd::Answered => {
                self.breaker.note_success();
                false
            }
            CallEnd::Replaced => {
                self.rest_until = now + REPLACED_REST;
                self.breaker.note_inconclusive(now);
                false
            }
            CallEnd::Refused => {
                self.rest_until = now + FULL_REST;
                self.breaker.note_inconclusive(now);
                false
            }
            // An engine that changes its weights cuts off what it still works on.
            CallEnd::Failed if self.is_loading(now) => {
                self.breaker.note_inconclusive(now);
                false
            }
            CallEnd::Failed => {
                self.rest_until = now + FAILED_REST;
                self.breaker.note_failure(now, jitter)
            }
            CallEnd::Nothing => {
                self.breaker.note_inconclusive(now);
                false
            }
        }
    }
}
