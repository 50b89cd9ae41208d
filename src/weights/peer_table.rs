//! What a host knows about the other hosts that fetch or hold the same version.

use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::chunk_map::ChunkMap;
use super::host_ranking::{HostLocation, hash_of, mix};
use super::messages::ChunkAnnouncement;
use crate::derives::{key, plain};
use crate::time::ClockTime;

/// Doublings of the back-off after consecutive failures.
const BACKOFF_DOUBLINGS_MAX: u32 = 6;
const BACKOFF_INITIAL: Duration = Duration::from_millis(200);
/// Doublings of the back-off from an unresponsive host, up to 0.8 s. A query to it costs almost
/// nothing, and until its return is noticed other hosts do without the chunks that it holds.
const UNRESPONSIVE_BACKOFF_DOUBLINGS: u32 = 2;

/// Index of a host in the [`PeerTable`].
#[apply(key!)]
pub(crate) struct PeerKey(u32);

/// A host that has the version as target.
#[apply(plain!)]
pub(crate) struct PeerHost {
    /// Its name and location.
    pub(crate) location: HostLocation,
    /// Peer address of its process.
    pub(crate) address: SocketAddr,
}

/// Whether a host responds, according to the latest sign.
#[apply(key!)]
pub(crate) enum PeerLiveness {
    /// It responded, or was never queried.
    Responsive,
    /// A chunk from it failed or is late; it is queried whether it still runs.
    Suspected,
    /// It did not answer.
    Unresponsive,
}

/// State of one other host.
#[derive(Debug)]
pub(crate) struct PeerRecord {
    /// Its identity.
    pub(crate) host: PeerHost,
    /// Whether the latest host list contains it.
    pub(crate) is_listed: bool,
    /// Whether this host queries it regularly.
    pub(crate) is_neighbour: bool,
    /// The chunks that it announced as held.
    pub(crate) held: Option<ChunkMap>,
    /// The chunks that it announced to read from the origin.
    pub(crate) claimed: Option<ChunkMap>,
    /// When the last message from it arrived.
    pub(crate) last_message_at: Option<ClockTime>,
    /// When it was last queried.
    pub(crate) queried_at: Option<ClockTime>,
    /// Whether a query to it is unanswered.
    pub(crate) is_query_pending: bool,
    /// Whether it responds.
    pub(crate) liveness: PeerLiveness,
    /// Pulls from it in progress.
    pub(crate) pulls: u32,
    /// When it may be used again after failures.
    pub(crate) retry_at: ClockTime,
    /// Until when its link is busy with uploads.
    pub(crate) busy_until: ClockTime,
    consecutive_failures: u32,
}

/// The other hosts; the index of each never changes.
#[derive(Debug)]
pub(crate) struct PeerTable {
    local: HostLocation,
    peers: Vec<PeerRecord>,
    /// Indexes sorted by host name.
    by_name: Vec<PeerKey>,
    /// For each chunk, the number of listed hosts that announced it.
    copy_counts: Vec<u16>,
    /// Whether a host was added or changed between responsive and unresponsive since the last
    /// [`PeerTable::take_liveness_change`].
    is_liveness_changed: bool,
}

impl PeerTable {
    /// The table of `local` for a version of `chunks` chunks, without other hosts yet.
    pub(crate) fn new(local: HostLocation, chunks: u32) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        Self {
            local,
            peers: Vec::new(),
            by_name: Vec::new(),
            copy_counts: vec![0; chunks],
            is_liveness_changed: false,
        }
    }

    /// Applies a new host list, and chooses up to `neighbours` hosts to query regularly: half of
    /// them in this data centre and half in others. Rendezvous hashing gives the same choice every
    /// time.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost], neighbours: usize) {
        for peer in &mut self.peers {
            peer.is_listed = false;
        }
        let local = self.local.host.clone();
        for host in hosts.iter().filter(|host| host.location.host != local) {
            self.add_or_update(host);
        }
        self.choose_neighbours(neighbours);
        self.count_copies();
        self.is_liveness_changed = true;
    }

    /// The key of the host called `name`.
    pub(crate) fn find(&self, name: &str) -> Option<PeerKey> {
        self.position(name)
            .ok()
            .map(|position| self.by_name[position])
    }

    /// The record at `key`.
    pub(crate) fn get(&self, key: PeerKey) -> &PeerRecord {
        &self.peers[key.position()]
    }

    /// The record at `key`, mutable.
    pub(crate) fn get_mut(&mut self, key: PeerKey) -> &mut PeerRecord {
        &mut self.peers[key.position()]
    }

    /// All listed hosts.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (PeerKey, &PeerRecord)> {
        let all = (0..).map(PeerKey).zip(&self.peers);
        all.filter(|(_, peer)| peer.is_listed)
    }

    /// Whether the host at `key` is in this host's data centre.
    pub(crate) fn is_local(&self, key: PeerKey) -> bool {
        self.get(key).host.location.data_centre == self.local.data_centre
    }

    /// Number of hosts known to hold chunk `index`.
    pub(crate) fn copy_count(&self, index: u32) -> u16 {
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        self.copy_counts.get(position).copied().unwrap_or(0)
    }

    /// Records a host's announcement. Announcements whose maps do not fit the version are ignored.
    /// Returns whether the host holds a chunk that no host was known to hold.
    pub(crate) fn record_announcement(
        &mut self,
        announcement: &ChunkAnnouncement,
        now: ClockTime,
    ) -> bool {
        let chunks = u32::try_from(self.copy_counts.len()).unwrap_or(u32::MAX);
        let Some(key) = self.find(&announcement.host) else {
            return false;
        };
        if !announcement.held.fits(chunks) || !announcement.claimed.fits(chunks) {
            return false;
        }
        let mut is_first_copy = false;
        let peer = &mut self.peers[key.position()];
        let before = peer.held.take();
        if peer.is_listed {
            for (index, count) in (0..).zip(self.copy_counts.iter_mut()) {
                let had = before.as_ref().is_some_and(|map| map.contains(index));
                let has = announcement.held.contains(index);
                is_first_copy |= has && *count == 0;
                *count = (*count + u16::from(has)).saturating_sub(u16::from(had));
            }
        }
        peer.held = Some(announcement.held.clone());
        peer.claimed = Some(announcement.claimed.clone());
        peer.busy_until = now + Duration::from_millis(announcement.backlog_ms);
        self.mark_responsive(key, now);
        is_first_copy
    }

    /// Records a sign of life of the host at `key`. If it was unresponsive, its back-off ends, so
    /// that its chunks can be pulled at once.
    pub(crate) fn mark_responsive(&mut self, key: PeerKey, now: ClockTime) {
        let peer = &mut self.peers[key.position()];
        peer.last_message_at = Some(now);
        if peer.liveness == PeerLiveness::Unresponsive {
            peer.retry_at = now;
            self.is_liveness_changed = true;
        }
        peer.liveness = PeerLiveness::Responsive;
    }

    /// Records that the host at `key` runs and holds no chunks.
    pub(crate) fn mark_empty(&mut self, key: PeerKey, now: ClockTime) {
        let peer = &mut self.peers[key.position()];
        peer.held = None;
        peer.claimed = None;
        self.count_copies();
        self.mark_responsive(key, now);
    }

    /// The names of the listed hosts that did not answer the last query.
    pub(crate) fn unresponsive(&self) -> Vec<ByteString> {
        let unresponsive = self.listed();
        let unresponsive =
            unresponsive.filter(|(_, peer)| peer.liveness == PeerLiveness::Unresponsive);
        unresponsive
            .map(|(_, peer)| peer.host.location.host.clone())
            .collect()
    }

    /// Whether a host was added or changed between responsive and unresponsive since the last call.
    pub(crate) const fn take_liveness_change(&mut self) -> bool {
        std::mem::replace(&mut self.is_liveness_changed, false)
    }

    /// Records that a host does not hold a chunk that it announced.
    pub(crate) fn forget_chunk(&mut self, key: PeerKey, index: u32) {
        let peer = &mut self.peers[key.position()];
        if let Some(held) = peer.held.as_mut() {
            held.remove(index);
        }
        self.count_copies();
    }

    /// Records that a host did not answer. Its announcement is discarded until another message from
    /// it arrives.
    ///
    /// A host that was replaced, has lost power or is cut off stays listed for a while. If it still
    /// counted as holding chunks, the other hosts of its data centre would neither import these
    /// chunks nor read them from the origin, and the data centre would stay without weights while
    /// others have them completely.
    pub(crate) fn mark_unresponsive(&mut self, key: PeerKey, now: ClockTime, jitter: f64) {
        let peer = &mut self.peers[key.position()];
        self.is_liveness_changed |= peer.liveness != PeerLiveness::Unresponsive;
        peer.liveness = PeerLiveness::Unresponsive;
        peer.held = None;
        peer.claimed = None;
        peer.consecutive_failures = peer
            .consecutive_failures
            .min(UNRESPONSIVE_BACKOFF_DOUBLINGS);
        peer.record_failure(now, jitter);
        self.count_copies();
    }

    fn add_or_update(&mut self, host: &PeerHost) {
        match self.position(&host.location.host) {
            Ok(position) => {
                let peer = &mut self.peers[self.by_name[position].position()];
                if peer.host.address != host.address {
                    // A new process under the same name holds none of the chunks that the previous
                    // one announced.
                    *peer = PeerRecord::new(host.clone());
                }
                peer.is_listed = true;
            }
            Err(position) => {
                let key = PeerKey(u32::try_from(self.peers.len()).unwrap_or(u32::MAX));
                self.by_name.insert(position, key);
                self.peers.push(PeerRecord::new(host.clone()));
            }
        }
    }

    fn choose_neighbours(&mut self, neighbours: usize) {
        let local = hash_of(self.local.host.as_bytes());
        let pair_hash =
            |peer: &PeerRecord| mix(local ^ mix(hash_of(peer.host.location.host.as_bytes())));
        let mut order: Vec<(u64, usize)> = (0..)
            .zip(&self.peers)
            .filter(|(_, peer)| peer.is_listed)
            .map(|(position, peer)| (pair_hash(peer), position))
            .collect();
        order.sort_unstable();
        for peer in &mut self.peers {
            peer.is_neighbour = false;
        }
        let (local_peers, remote_peers): (Vec<usize>, Vec<usize>) = order
            .iter()
            .map(|(_, position)| *position)
            .partition(|position| {
                self.peers[*position].host.location.data_centre == self.local.data_centre
            });
        let local_count = local_peers
            .len()
            .min(neighbours.saturating_sub(remote_peers.len().min(neighbours / 2)));
        let remote_count = remote_peers.len().min(neighbours - local_count);
        for position in local_peers[..local_count]
            .iter()
            .chain(&remote_peers[..remote_count])
        {
            self.peers[*position].is_neighbour = true;
        }
    }

    fn count_copies(&mut self) {
        self.copy_counts.fill(0);
        for peer in self.peers.iter().filter(|peer| peer.is_listed) {
            let Some(held) = peer.held.as_ref() else {
                continue;
            };
            for (index, count) in (0..).zip(self.copy_counts.iter_mut()) {
                *count += u16::from(held.contains(index));
            }
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|key| (*self.peers[key.position()].host.location.host).cmp(name))
    }
}

impl PeerKey {
    fn position(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl PeerRecord {
    const fn new(host: PeerHost) -> Self {
        Self {
            host,
            is_listed: true,
            is_neighbour: false,
            held: None,
            claimed: None,
            last_message_at: None,
            queried_at: None,
            is_query_pending: false,
            liveness: PeerLiveness::Responsive,
            pulls: 0,
            retry_at: ClockTime(0),
            busy_until: ClockTime(0),
            consecutive_failures: 0,
        }
    }

    /// Whether it announced that it holds chunk `index`.
    pub(crate) fn holds(&self, index: u32) -> bool {
        self.held.as_ref().is_some_and(|map| map.contains(index))
    }

    /// Whether it announced that it is about to read chunk `index` from the origin.
    pub(crate) fn claims(&self, index: u32) -> bool {
        self.claimed.as_ref().is_some_and(|map| map.contains(index))
    }

    /// Ends the sequence of failures after a successful transfer.
    pub(crate) fn clear_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure and starts a back-off that doubles with each consecutive failure, less a
    /// random part (`jitter` is between 0 and 1).
    pub(crate) fn record_failure(&mut self, now: ClockTime, jitter: f64) {
        let span = BACKOFF_INITIAL * (1 << self.consecutive_failures.min(BACKOFF_DOUBLINGS_MAX));
        self.consecutive_failures += 1;
        self.retry_at = now + span.mul_f64(jitter.clamp(0.0, 1.0).midpoint(1.0));
    }
}
