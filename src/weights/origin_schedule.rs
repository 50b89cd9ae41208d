//! Schedule of reads from the origin, as one host sees it.
//!
//! The host ranked first for a chunk reads it. If no known host holds the chunk after a while, the
//! host ranked next queries those before it, and reads the chunk only if none of them responds that
//! it holds it or is about to read it. Two hosts read the same chunk only if their views of the
//! live hosts differ or one cannot reach the other.

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
/// Priority up to which the takeover delay grows after the hosts ranked before this one became
/// unresponsive.
const SKIPPED_PRIORITY_MAX: u32 = 2;
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// Doublings of the back-off from an overloaded origin, up to 3.2 s.
const LIMITED_BACKOFF_DOUBLINGS: u32 = 5;
/// Doublings of the back-off from an unavailable origin, up to 0.8 s. It refuses connections at
/// once, so that attempts are cheap, and engines may have no weights to serve until its return is
/// noticed. With back-offs of 3.2 s it was read 1.5 s late.
const UNAVAILABLE_BACKOFF_DOUBLINGS: u32 = 3;
/// Longest pause between two takeovers by a host that cannot reach the origin.
const TAKEOVER_RETRY_MAX: Duration = Duration::from_millis(3200);
/// Consecutive failures after which the origin counts as unreachable from this host.
const UNREACHABLE_FAILURES: u32 = 2;
/// How long an announcement of another host counts as recent.
const ANNOUNCEMENT_FRESHNESS: Duration = Duration::from_secs(3);
/// How long the response to a query is waited for.
const QUERY_RESPONSE_WAIT: Duration = Duration::from_millis(700);

/// One host's view of the origin rankings for one version.
#[derive(Debug)]
pub(crate) struct OriginSchedule {
    local: HostLocation,
    digest: WeightsDigest,
    objective: SpreadObjective,
    takeover_delay: Duration,
    started_at: ClockTime,
    ranking: HostRanking,
    /// This host's priority for each chunk.
    priorities: Vec<u32>,
    /// The same, counting only responsive hosts.
    live_priorities: Vec<u32>,
    /// When this host considers taking over the read of each chunk.
    takeover_at: Vec<ClockTime>,
    pending_queries: Vec<PeerKey>,
    retry_at: ClockTime,
    /// When this host may next take over a read while it cannot reach the origin.
    takeover_retry_at: ClockTime,
    consecutive_limits: u32,
    consecutive_failures: u32,
}

impl OriginSchedule {
    /// The schedule of `local` before any other host is known: it is ranked first for every chunk.
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
            takeover_retry_at: now,
            consecutive_limits: 0,
            consecutive_failures: 0,
        }
    }

    /// Sets the live hosts that have the version as target.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        let mut locations: Vec<HostLocation> =
            hosts.iter().map(|host| host.location.clone()).collect();
        if !locations.iter().any(|host| host.host == self.local.host) {
            locations.push(self.local.clone());
        }
        let chunks = u32::try_from(self.priorities.len()).unwrap_or(u32::MAX);
        self.ranking =
            HostRanking::new(self.objective, self.digest, &self.local.region, &locations)
                .with_balanced_readers(chunks);
        let entries = self
            .priorities
            .iter_mut()
            .zip(self.live_priorities.iter_mut());
        for (index, ((priority, live_priority), takeover_at)) in
            (0..).zip(entries.zip(self.takeover_at.iter_mut()))
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

    /// Recomputes this host's priorities without the `unresponsive` hosts.
    ///
    /// Without this, a host that was left after most of the hosts had lost power waited for the
    /// takeover delays of those ranked before it, which double, and the origin was idle for ten
    /// seconds while no host held some chunks. The host that is now ranked first reads at once. The
    /// next ones leave it time to announce this, so that they do not all read the chunk.
    pub(crate) fn skip_hosts(&mut self, unresponsive: &[ByteString], now: ClockTime) {
        let entries = self
            .live_priorities
            .iter_mut()
            .zip(self.takeover_at.iter_mut());
        for (index, (priority, (live_priority, takeover_at))) in
            (0..).zip(self.priorities.iter().zip(entries))
        {
            let own = self.ranking.live_priority(*priority, index, unresponsive);
            if own < *live_priority {
                let delayed_until =
                    now + takeover_wait(self.takeover_delay, own.min(SKIPPED_PRIORITY_MAX));
                *takeover_at =
                    delayed_until.max(self.started_at + takeover_wait(self.takeover_delay, own));
            }
            *live_priority = own;
        }
    }

    /// Whether this host is ranked first for chunk `index` among the responsive hosts.
    pub(crate) fn is_first(&self, index: u32) -> bool {
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        self.live_priorities
            .get(position)
            .is_none_or(|priority| *priority == 0)
    }

    /// The host that reads chunk `index`, not counting the `unresponsive` ones.
    pub(crate) fn reader(&self, index: u32, unresponsive: &[ByteString]) -> Option<&ByteString> {
        self.ranking.top_host(index, unresponsive)
    }

    /// Whether this host should consider reading chunk `index`.
    pub(crate) fn is_due(&self, index: u32, now: ClockTime) -> bool {
        usize::try_from(index)
            .ok()
            .and_then(|position| self.takeover_at.get(position))
            .is_some_and(|takeover_at| *takeover_at <= now)
    }

    /// Whether this host takes over the read of chunk `index`, which is due and which no known host
    /// holds. If not, the decision is postponed, and the hosts ranked before it without recent
    /// messages are queried.
    pub(crate) fn should_take_over(
        &mut self,
        index: u32,
        peers: &mut PeerTable,
        now: ClockTime,
    ) -> bool {
        let mut postponed_until = None;
        for host in self.ranking.hosts_before(self.priority(index), index) {
            let Some(key) = peers.find(&host) else {
                continue;
            };
            let peer = peers.get(key);
            let is_fresh = peer
                .last_message_at
                .is_some_and(|last_message_at| now.since(last_message_at) < ANNOUNCEMENT_FRESHNESS);
            if is_fresh && (peer.claims(index) || peer.holds(index)) {
                postponed_until = Some(now + self.takeover_delay);
                break;
            }
            if !is_fresh && peer.liveness != PeerLiveness::Unresponsive {
                self.pending_queries.push(key);
                postponed_until = Some(now + QUERY_RESPONSE_WAIT);
            }
        }
        let Some(postponed_until) = postponed_until else {
            return true;
        };
        if let Some(takeover_at) = usize::try_from(index)
            .ok()
            .and_then(|position| self.takeover_at.get_mut(position))
        {
            *takeover_at = postponed_until;
        }
        false
    }

    /// The hosts to query because a takeover depends on their responses.
    pub(crate) fn take_pending_queries(&mut self) -> Vec<PeerKey> {
        self.pending_queries.sort_unstable();
        self.pending_queries.dedup();
        std::mem::take(&mut self.pending_queries)
    }

    /// Whether the neighbours have had enough time to announce their chunks.
    pub(crate) fn is_initial_wait_over(&self, now: ClockTime) -> bool {
        now.since(self.started_at) >= INITIAL_WAIT
    }

    /// Whether the origin may be read now.
    pub(crate) fn may_read(&self, now: ClockTime) -> bool {
        self.retry_at <= now
    }

    /// Whether this host cannot reach the origin.
    pub(crate) const fn is_origin_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_FAILURES
    }

    /// Whether this host may take over reads from the hosts ranked before it.
    ///
    /// While the origin is unavailable, no host reads the chunks for which it is ranked first, and
    /// all of them become due at every host. A host that cannot reach the origin itself tries less
    /// often for those, or all hosts would read at once when the origin returns: their reads share
    /// its link and time out, and each chunk is sent several times.
    pub(crate) fn may_take_over(&self, now: ClockTime) -> bool {
        !self.is_origin_unreachable() || self.takeover_retry_at <= now
    }

    /// The origin delivered a chunk.
    pub(crate) fn on_delivered(&mut self, now: ClockTime) {
        if self.is_origin_unreachable() {
            self.restart_takeovers(now);
        }
        self.consecutive_limits = 0;
        self.consecutive_failures = 0;
    }

    /// Another host announced a chunk that no host held before, which shows that the origin
    /// responds. `jitter` is a random fraction.
    pub(crate) fn on_origin_available(&mut self, jitter: f64, now: ClockTime) {
        if self.is_origin_unreachable() {
            self.restart_takeovers(now);
            self.consecutive_failures = 0;
            let soon = now + BACKOFF_INITIAL.mul_f64(jitter.clamp(0.0, 1.0));
            self.retry_at = self.retry_at.min(soon);
        }
    }

    /// Gives the hosts ranked first for each chunk the time to read it that they have at the start.
    fn restart_takeovers(&mut self, now: ClockTime) {
        let entries = self.live_priorities.iter().zip(&mut self.takeover_at);
        for (priority, takeover_at) in entries {
            let restarted_at = now + takeover_wait(self.takeover_delay, *priority);
            *takeover_at = restarted_at.max(*takeover_at);
        }
    }

    /// A read from the origin failed. Backs off for a random part of a delay that doubles (full
    /// jitter), because otherwise all hosts that were refused at the same time would retry at the
    /// same time.
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
        let requested_wait = wait.unwrap_or(Duration::ZERO);
        let jitter = jitter.clamp(0.0, 1.0);
        self.retry_at = now + requested_wait + span.mul_f64(jitter);
        self.takeover_retry_at = now + requested_wait + TAKEOVER_RETRY_MAX.mul_f64(jitter);
    }

    fn priority(&self, index: u32) -> u32 {
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        self.priorities.get(position).copied().unwrap_or(0)
    }
}

fn takeover_wait(span: Duration, priority: u32) -> Duration {
    match priority {
        0 => Duration::ZERO,
        priority => span * (1 << (priority - 1).min(TAKEOVER_DOUBLINGS_MAX)),
    }
}
