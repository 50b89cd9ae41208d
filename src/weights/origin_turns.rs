//! Whose turn it is to read a chunk from the origin, as one host sees it.
//!
//! The first in a chunk's line reads it. The next looks after it when nobody seems to hold the
//! chunk after a while: it asks those before it, and reads only if none of them answers that it
//! holds or is about to read the chunk. Two hosts read the same chunk only where their views of the
//! live hosts differ or one is silent to the other.

use std::time::Duration;

use bytestring::ByteString;

use super::digest::WeightsDigest;
use super::peer_table::{PeerHost, PeerKey, PeerPresence, PeerTable};
use super::source_line::{HostLocation, SourceLine};
use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;

const LISTEN_SPAN: Duration = Duration::from_millis(500);
const TURN_DOUBLINGS: u32 = 5;
/// Turns after which a host that comes later looks after a chunk whose first hosts fell silent.
const PASSED_TURNS: u32 = 2;
const REST_FIRST: Duration = Duration::from_millis(100);
/// Doublings of the rest after an origin that has too much to do, up to 3.2 s.
const LIMIT_DOUBLINGS: u32 = 5;
/// The same after one that does not answer, up to 0.8 s. It refuses a connection at once, which costs
/// nobody anything, and each moment that it is back unnoticed no engine may have weights to answer with:
/// with rests of 3.2 s it was read 1.5 s late.
const AWAY_DOUBLINGS: u32 = 3;
/// Failures in a row after which this host counts itself as cut off from the origin.
const CUT_OFF_FAILURES: u32 = 2;
/// How long a word of another host counts as fresh.
const FRESH_SPAN: Duration = Duration::from_secs(3);
/// Until when a host that was just asked is waited for.
const ANSWER_SPAN: Duration = Duration::from_millis(700);

/// One host's view of the lines for one version.
#[derive(Debug)]
pub(crate) struct OriginTurns {
    me: HostLocation,
    digest: WeightsDigest,
    objective: SpreadObjective,
    takeover_delay: Duration,
    begun: ClockTime,
    line: SourceLine,
    /// This host's turn for each chunk.
    turns: Vec<u32>,
    /// The same among the hosts that answer.
    live_turns: Vec<u32>,
    /// When this host looks after each chunk that is not its own.
    due_at: Vec<ClockTime>,
    watched: Vec<PeerKey>,
    rest_until: ClockTime,
    limits_in_row: u32,
    failures_in_row: u32,
}

impl OriginTurns {
    /// The view of `me` before it knows of others: it is the first in every line.
    pub(crate) fn new(
        me: HostLocation,
        (digest, objective): (WeightsDigest, SpreadObjective),
        chunks: u32,
        takeover_delay: Duration,
        now: ClockTime,
    ) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        let line = SourceLine::new(objective, digest, &me.region, std::slice::from_ref(&me));
        Self {
            me,
            digest,
            objective,
            takeover_delay,
            begun: now,
            line,
            turns: vec![0; chunks],
            live_turns: vec![0; chunks],
            due_at: vec![now; chunks],
            watched: Vec::new(),
            rest_until: now,
            limits_in_row: 0,
            failures_in_row: 0,
        }
    }

    /// A new view of the live hosts that want the version.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        let mut line: Vec<HostLocation> = hosts.iter().map(|host| host.location.clone()).collect();
        if !line.iter().any(|host| host.host == self.me.host) {
            line.push(self.me.clone());
        }
        let chunks = u32::try_from(self.turns.len()).unwrap_or(u32::MAX);
        self.line = SourceLine::new(self.objective, self.digest, &self.me.region, &line)
            .with_even_firsts(chunks);
        let places = self.turns.iter_mut().zip(self.live_turns.iter_mut());
        for (index, ((turn, live_turn), due_at)) in (0..).zip(places.zip(self.due_at.iter_mut())) {
            let mine = self.line.turn_of(&self.me.host, index).unwrap_or(0);
            if *turn != mine {
                *turn = mine;
                *live_turn = mine;
                *due_at = self.begun + turn_wait(self.takeover_delay, mine);
            }
        }
    }

    /// Counts this host's turns anew without the hosts that do not answer.
    ///
    /// Where most of the hosts lost power, a host that was up waited for the turns of those before it,
    /// which double, and left the origin idle for ten seconds beside chunks that nobody held. Whoever is
    /// the first now reads at once; the next give it the time to say so, or all of them would read.
    pub(crate) fn pass_over(&mut self, silent: &[ByteString], now: ClockTime) {
        let places = self.live_turns.iter_mut().zip(self.due_at.iter_mut());
        for (index, (turn, (live_turn, due_at))) in (0..).zip(self.turns.iter().zip(places)) {
            let mine = self.line.live_turn(*turn, index, silent);
            if mine < *live_turn {
                let passed_on = now + turn_wait(self.takeover_delay, mine.min(PASSED_TURNS));
                *due_at = passed_on.max(self.begun + turn_wait(self.takeover_delay, mine));
            }
            *live_turn = mine;
        }
    }

    /// Whether this host is the first in the line of chunk `index`, of those that answer.
    pub(crate) fn is_first(&self, index: u32) -> bool {
        let at = usize::try_from(index).unwrap_or(usize::MAX);
        self.live_turns.get(at).is_none_or(|turn| *turn == 0)
    }

    /// The host that reads chunk `index`, of those that are not `silent`.
    pub(crate) fn reader(&self, index: u32, silent: &[ByteString]) -> Option<&ByteString> {
        self.line.first(index, silent)
    }

    /// Whether this host should look after chunk `index`.
    pub(crate) fn is_due(&self, index: u32, now: ClockTime) -> bool {
        usize::try_from(index)
            .ok()
            .and_then(|at| self.due_at.get(at))
            .is_some_and(|due_at| *due_at <= now)
    }

    /// Whether this host reads chunk `index`, which is due and which nobody seems to hold, in place
    /// of those before it. If not yet, it looks again later, and those before it that are not known
    /// to be there are asked.
    pub(crate) fn takes_turn(&mut self, index: u32, peers: &mut PeerTable, now: ClockTime) -> bool {
        let mut look_again = None;
        for host in self.line.before(self.turn(index), index) {
            let Some(key) = peers.find(&host) else {
                continue;
            };
            let peer = peers.get(key);
            let is_fresh = peer
                .heard_at
                .is_some_and(|heard_at| now.since(heard_at) < FRESH_SPAN);
            if is_fresh && (peer.claims(index) || peer.holds(index)) {
                look_again = Some(now + self.takeover_delay);
                break;
            }
            if !is_fresh && peer.presence != PeerPresence::Silent {
                self.watched.push(key);
                look_again = Some(now + ANSWER_SPAN);
            }
        }
        let Some(look_again) = look_again else {
            return true;
        };
        if let Some(due_at) = usize::try_from(index)
            .ok()
            .and_then(|at| self.due_at.get_mut(at))
        {
            *due_at = look_again;
        }
        false
    }

    /// The hosts that should be asked because a turn depends on them.
    pub(crate) fn take_watched(&mut self) -> Vec<PeerKey> {
        self.watched.sort_unstable();
        self.watched.dedup();
        std::mem::take(&mut self.watched)
    }

    /// Whether there was time enough for the neighbours to say what they hold.
    pub(crate) fn has_listened(&self, now: ClockTime) -> bool {
        now.since(self.begun) >= LISTEN_SPAN
    }

    /// Whether the origin may be read now.
    pub(crate) fn may_read(&self, now: ClockTime) -> bool {
        self.rest_until <= now
    }

    /// Whether the origin does not answer this host.
    pub(crate) const fn is_cut_off(&self) -> bool {
        self.failures_in_row >= CUT_OFF_FAILURES
    }

    /// The origin delivered.
    pub(crate) fn on_delivered(&mut self) {
        self.limits_in_row = 0;
        self.failures_in_row = 0;
    }

    /// Another host holds a chunk that nobody held before: the origin answers. `jitter` is random.
    pub(crate) fn on_origin_seen(&mut self, jitter: f64, now: ClockTime) {
        if self.is_cut_off() {
            let soon = now + REST_FIRST.mul_f64(jitter.clamp(0.0, 1.0));
            self.rest_until = self.rest_until.min(soon);
        }
    }

    /// The origin did not deliver. Rests for a random part of a span that doubles (full jitter):
    /// without it, all hosts that were refused together would come back together.
    pub(crate) fn on_failed(
        &mut self,
        kind: ErrorKind,
        wait: Option<Duration>,
        jitter: f64,
        now: ClockTime,
    ) {
        let (count, doublings) = if kind == ErrorKind::OriginLimited {
            (&mut self.limits_in_row, LIMIT_DOUBLINGS)
        } else {
            (&mut self.failures_in_row, AWAY_DOUBLINGS)
        };
        let span = REST_FIRST * (1 << (*count).min(doublings));
        *count += 1;
        let asked = wait.unwrap_or(Duration::ZERO);
        self.rest_until = now + asked + span.mul_f64(jitter.clamp(0.0, 1.0));
    }

    fn turn(&self, index: u32) -> u32 {
        let at = usize::try_from(index).unwrap_or(usize::MAX);
        self.turns.get(at).copied().unwrap_or(0)
    }
}

fn turn_wait(span: Duration, turn: u32) -> Duration {
    match turn {
        0 => Duration::ZERO,
        turn => span * (1 << (turn - 1).min(TURN_DOUBLINGS)),
    }
}
