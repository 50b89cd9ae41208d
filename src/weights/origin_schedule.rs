//! Whose turn it is to read a chunk from the origin, as one host sees it.
//!
//! The first in a chunk's line reads it. The next looks after it when nobody seems to hold the
//! chunk after a while: it asks those before it, and reads only if none of them answers that it
//! holds or is about to read the chunk. Two hosts read the same chunk only where their views of the
//! live hosts differ or one is silent to the other.

use std::time::Duration;

use bytestring::ByteString;

use super::digest::WeightsDigest;
use super::host_ranking::{HostLocation, HostRanking};
use super::peer_table::{PeerHost, PeerKey, PeerLiveness, PeerTable};
use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;

const INITIAL_WAIT: Duration = Duration::from_millis(500);
const TAKEOVER_DOUBLINGS_MAX: u32 = 5;
/// Turns after which a host that comes later looks after a chunk whose first hosts fell silent.
const SKIPPED_PRIORITY_MAX: u32 = 2;
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// Doublings of the rest after an origin that has too much to do, up to 3.2 s.
const LIMITED_BACKOFF_DOUBLINGS: u32 = 5;
/// The same after one that does not answer, up to 0.8 s. It refuses a connection at once, which costs
/// nobody anything, and each moment that it is back unnoticed no engine may have weights to answer with:
/// with rests of 3.2 s it was read 1.5 s late.
const UNAVAILABLE_BACKOFF_DOUBLINGS: u32 = 3;
/// Failures in a row after which this host counts itself as cut off from the origin.
const UNREACHABLE_FAILURES: u32 = 2;
/// How long a word of another host counts as fresh.
const ANNOUNCEMENT_FRESHNESS: Duration = Duration::from_secs(3);
/// Until when a host that was just asked is waited for.
const QUERY_RESPONSE_WAIT: Duration = Duration::from_millis(700);

/// One host's view of the lines for one version.
#[derive(Debug)]
pub(crate) struct OriginSchedule {
    local: HostLocation,
    digest: WeightsDigest,
    objective: SpreadObjective,
    takeover_delay: Duration,
    started_at: ClockTime,
    ranking: HostRanking,
    /// This host's turn for each chunk.
    priorities: Vec<u32>,
    /// The same among the hosts that answer.
    live_priorities: Vec<u32>,
    /// When this host looks after each chunk that is not its own.
    takeover_at: Vec<ClockTime>,
    pending_queries: Vec<PeerKey>,
    retry_at: ClockTime,
    consecutive_limits: u32,
    consecutive_failures: u32,
}

impl OriginSchedule {
    /// The view of `local` before it knows of others: it is the first in every line.
    pub(crate) fn new(
        local: HostLocation,
        (digest, objective): (WeightsDigest, SpreadObjective),
        chunks: u32,
        takeover_delay: Duration,
        now: ClockTime,
    ) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        let ranking = HostRanking::new(
            objective,
            digest,
            &local.region,
            std::slice::from_ref(&local),
        );
        Self {
            local,
            digest,
            objective,
            takeover_delay,
            started_at: now,
            ranking,
            priorities: vec![0; chunks],
            live_priorities: vec![0; chunks],
            takeover_at: vec![now; chunks],
            pending_queries: Vec::new(),
            retry_at: now,
            consecutive_limits: 0,
            consecutive_failures: 0,
        }
    }

    /// A new view of the live hosts that want the version.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        let mut ranking: Vec<HostLocation> =
            hosts.iter().map(|host| host.location.clone()).collect();
        if !ranking.iter().any(|host| host.host == self.local.host) {
            ranking.push(self.local.clone());
        }
        let chunks = u32::try_from(self.priorities.len()).unwrap_or(u32::MAX);
        self.ranking = HostRanking::new(self.objective, self.digest, &self.local.region, &ranking)
            .with_balanced_readers(chunks);
        let places = self
            .priorities
            .iter_mut()
            .zip(self.live_priorities.iter_mut());
        for (index, ((priority, live_priority), takeover_at)) in
            (0..).zip(places.zip(self.takeover_at.iter_mut()))
        {
            let own = self
                .ranking
                .priority_of(&self.local.host, index)
                .unwrap_or(0);
            if *priority != own {
                *priority = own;
                *live_priority = own;
                *takeover_at = self.started_at + takeover_wait(self.takeover_delay, own);
            }
        }
    }

    /// Counts this host's turns anew without the hosts that do not answer.
    ///
    /// Where most of the hosts lost power, a host that was up waited for the turns of those before it,
    /// which double, and left the origin idle for ten seconds beside chunks that nobody held. Whoever is
    /// the first now reads at once; the next give it the time to say so, or all of them would read.
    pub(crate) fn skip_hosts(&mut self, unresponsive: &[ByteString], now: ClockTime) {
        let places = self
            .live_priorities
            .iter_mut()
            .zip(self.takeover_at.iter_mut());
        for (index, (priority, (live_priority, takeover_at))) in
            (0..).zip(self.priorities.iter().zip(places))
        {
            let own = self.ranking.live_priority(*priority, index, unresponsive);
            if own < *live_priority {
                let passed_on =
                    now + takeover_wait(self.takeover_delay, own.min(SKIPPED_PRIORITY_MAX));
                *takeover_at =
                    passed_on.max(self.started_at + takeover_wait(self.takeover_delay, own));
            }
            *live_priority = own;
        }
    }

    /// Whether this host is the first in the line of chunk `index`, of those that answer.
    pub(crate) fn is_first(&self, index: u32) -> bool {
        let at = usize::try_from(index).unwrap_or(usize::MAX);
        self.live_priorities
            .get(at)
            .is_none_or(|priority| *priority == 0)
    }

    /// The host that reads chunk `index`, of those that are not `unresponsive`.
    pub(crate) fn reader(&self, index: u32, unresponsive: &[ByteString]) -> Option<&ByteString> {
        self.ranking.top_host(index, unresponsive)
    }

    /// Whether this host should look after chunk `index`.
    pub(crate) fn is_due(&self, index: u32, now: ClockTime) -> bool {
        usize::try_from(index)
            .ok()
            .and_then(|at| self.takeover_at.get(at))
            .is_some_and(|takeover_at| *takeover_at <= now)
    }

    /// Whether this host reads chunk `index`, which is due and which nobody seems to hold, in place
    /// of those before it. If not yet, it looks again later, and those before it that are not known
    /// to be there are asked.
    pub(crate) fn should_take_over(
        &mut self,
        index: u32,
        peers: &mut PeerTable,
        now: ClockTime,
    ) -> bool {
        let mut look_again = None;
        for host in self.ranking.hosts_before(self.priority(index), index) {
            let Some(key) = peers.find(&host) else {
                continue;
            };
            let peer = peers.get(key);
            let is_fresh = peer
                .last_heard_at
                .is_some_and(|last_heard_at| now.since(last_heard_at) < ANNOUNCEMENT_FRESHNESS);
            if is_fresh && (peer.claims(index) || peer.holds(index)) {
                look_again = Some(now + self.takeover_delay);
                break;
            }
            if !is_fresh && peer.liveness != PeerLiveness::Unresponsive {
                self.pending_queries.push(key);
                look_again = Some(now + QUERY_RESPONSE_WAIT);
            }
        }
        let Some(look_again) = look_again else {
            return true;
        };
        if let Some(takeover_at) = usize::try_from(index)
            .ok()
            .and_then(|at| self.takeover_at.get_mut(at))
        {
            *takeover_at = look_again;
        }
        false
    }

    /// The hosts that should be asked because a turn depends on them.
    pub(crate) fn take_pending_queries(&mut self) -> Vec<PeerKey> {
        self.pending_queries.sort_unstable();
        self.pending_queries.dedup();
        std::mem::take(&mut self.pending_queries)
    }

    /// Whether there was time enough for the neighbours to say what they hold.
    pub(crate) fn is_initial_wait_over(&self, now: ClockTime) -> bool {
        now.since(self.started_at) >= INITIAL_WAIT
    }

    /// Whether the origin may be read now.
    pub(crate) fn may_read(&self, now: ClockTime) -> bool {
        self.retry_at <= now
    }

    /// Whether the origin does not answer this host.
    pub(crate) const fn is_origin_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_FAILURES
    }

    /// The origin delivered.
    pub(crate) fn on_delivered(&mut self) {
        self.consecutive_limits = 0;
        self.consecutive_failures = 0;
    }

    /// Another host holds a chunk that nobody held before: the origin answers. `jitter` is random.
    pub(crate) fn on_origin_available(&mut self, jitter: f64, now: ClockTime) {
        if self.is_origin_unreachable() {
            let soon = now + BACKOFF_INITIAL.mul_f64(jitter.clamp(0.0, 1.0));
            self.retry_at = self.retry_at.min(soon);
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
            (&mut self.consecutive_limits, LIMITED_BACKOFF_DOUBLINGS)
        } else {
            (
                &mut self.consecutive_failures,
                UNAVAILABLE_BACKOFF_DOUBLINGS,
            )
        };
        let span = BACKOFF_INITIAL * (1 << (*count).min(doublings));
        *count += 1;
        let asked = wait.unwrap_or(Duration::ZERO);
        self.retry_at = now + asked + span.mul_f64(jitter.clamp(0.0, 1.0));
    }

    fn priority(&self, index: u32) -> u32 {
        let at = usize::try_from(index).unwrap_or(usize::MAX);
        self.priorities.get(at).copied().unwrap_or(0)
    }
}

fn takeover_wait(span: Duration, priority: u32) -> Duration {
    match priority {
        0 => Duration::ZERO,
        priority => span * (1 << (priority - 1).min(TAKEOVER_DOUBLINGS_MAX)),
    }
}
