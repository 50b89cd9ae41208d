//! What a host knows of the others that want or hold the same version.

use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::chunk_map::ChunkMap;
use super::messages::ChunkAnnouncement;
use super::source_line::{HostLocation, hash_of, mix};
use crate::derives::{key, plain};
use crate::time::ClockTime;

/// Failures in a row after which the rest between two tries no longer grows.
const STRIKES_MAX: u32 = 6;
const REST_FIRST: Duration = Duration::from_millis(200);
/// Doublings of the rest of a host that does not answer, up to 0.8 s. A question to it costs nearly
/// nothing, and each moment that it is back unnoticed others do without what it holds.
const SILENT_DOUBLINGS: u32 = 2;

/// A host's place in the [`PeerTable`].
#[apply(key!)]
pub(crate) struct PeerKey(u32);

/// A host that wants the version.
#[apply(plain!)]
pub(crate) struct PeerHost {
    /// Where it stands.
    pub(crate) location: HostLocation,
    /// Where its process listens.
    pub(crate) address: SocketAddr,
}

/// Whether a host is there, by its last sign.
#[apply(key!)]
pub(crate) enum PeerPresence {
    /// It answered, or was never asked.
    There,
    /// A chunk did not come from it, or is late: it is asked whether it is there.
    Doubted,
    /// It did not answer.
    Silent,
}

/// What is known of one other host.
#[derive(Debug)]
pub(crate) struct PeerRecord {
    /// Who it is.
    pub(crate) host: PeerHost,
    /// Whether the newest view of the hosts has it.
    pub(crate) is_listed: bool,
    /// Whether this host asks it of its own accord.
    pub(crate) is_neighbour: bool,
    /// The chunks that it said it holds.
    pub(crate) held: Option<ChunkMap>,
    /// The chunks that it said it is about to read from the origin.
    pub(crate) claimed: Option<ChunkMap>,
    /// When it was last heard.
    pub(crate) heard_at: Option<ClockTime>,
    /// When it was last asked.
    pub(crate) asked_at: Option<ClockTime>,
    /// Whether its answer is outstanding.
    pub(crate) is_asked: bool,
    /// Whether it is there.
    pub(crate) presence: PeerPresence,
    /// Chunks under way from it.
    pub(crate) pulls: u32,
    /// Until when nothing is asked of it, after failures.
    pub(crate) rest_until: ClockTime,
    /// Until when its link is busy.
    pub(crate) busy_until: ClockTime,
    strikes: u32,
}

/// The other hosts, each in a fixed place.
#[derive(Debug)]
pub(crate) struct PeerTable {
    me: HostLocation,
    peers: Vec<PeerRecord>,
    /// Sorted by name.
    by_name: Vec<PeerKey>,
    /// For each chunk, how many of the listed hosts said that they hold it.
    copies: Vec<u16>,
    /// Whether a host came, fell silent, or was heard again since this was last taken.
    is_silence_changed: bool,
}

impl PeerTable {
    /// The table of `me`, without others yet, for a version of `chunks` chunks.
    pub(crate) fn new(me: HostLocation, chunks: u32) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        Self {
            me,
            peers: Vec::new(),
            by_name: Vec::new(),
            copies: vec![0; chunks],
            is_silence_changed: false,
        }
    }

    /// Takes over a new view of the hosts and chooses up to `neighbours` to ask: half of them in
    /// this data centre, half beyond, the same in each round by rendezvous hashing.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost], neighbours: usize) {
        for peer in &mut self.peers {
            peer.is_listed = false;
        }
        let me = self.me.host.clone();
        for host in hosts.iter().filter(|host| host.location.host != me) {
            self.list(host);
        }
        self.choose_neighbours(neighbours);
        self.count_copies();
        self.is_silence_changed = true;
    }

    /// The host called `name`.
    pub(crate) fn find(&self, name: &str) -> Option<PeerKey> {
        self.place(name).ok().map(|at| self.by_name[at])
    }

    /// The record at `key`.
    pub(crate) fn get(&self, key: PeerKey) -> &PeerRecord {
        &self.peers[key.at()]
    }

    /// The record at `key`, to be changed.
    pub(crate) fn get_mut(&mut self, key: PeerKey) -> &mut PeerRecord {
        &mut self.peers[key.at()]
    }

    /// Every listed host.
    pub(crate) fn listed(&self) -> impl Iterator<Item = (PeerKey, &PeerRecord)> {
        let all = (0..).map(PeerKey).zip(&self.peers);
        all.filter(|(_, peer)| peer.is_listed)
    }

    /// Whether the host at `key` stands in this host's data centre.
    pub(crate) fn is_near(&self, key: PeerKey) -> bool {
        self.get(key).host.location.data_centre == self.me.data_centre
    }

    /// How many hosts are known to hold chunk `index`.
    pub(crate) fn copies(&self, index: u32) -> u16 {
        let at = usize::try_from(index).unwrap_or(usize::MAX);
        self.copies.get(at).copied().unwrap_or(0)
    }

    /// Takes in what a host said of itself. Words whose maps do not fit the version are left out. Returns
    /// whether it holds a chunk that nobody was known to hold.
    pub(crate) fn hear(&mut self, word: &ChunkAnnouncement, now: ClockTime) -> bool {
        let chunks = u32::try_from(self.copies.len()).unwrap_or(u32::MAX);
        let Some(key) = self.find(&word.host) else {
            return false;
        };
        if !word.held.fits(chunks) || !word.claimed.fits(chunks) {
            return false;
        }
        let mut is_first_copy = false;
        let peer = &mut self.peers[key.at()];
        let before = peer.held.take();
        if peer.is_listed {
            for (index, copies) in (0..).zip(self.copies.iter_mut()) {
                let had = before.as_ref().is_some_and(|map| map.contains(index));
                let has = word.held.contains(index);
                is_first_copy |= has && *copies == 0;
                *copies = (*copies + u16::from(has)).saturating_sub(u16::from(had));
            }
        }
        peer.held = Some(word.held.clone());
        peer.claimed = Some(word.claimed.clone());
        peer.busy_until = now + Duration::from_millis(word.backlog_ms);
        self.find_there(key, now);
        is_first_copy
    }

    /// The host at `key` gave a sign of itself. What it holds can be had at once: it rested only
    /// because it was silent.
    pub(crate) fn find_there(&mut self, key: PeerKey, now: ClockTime) {
        let peer = &mut self.peers[key.at()];
        peer.heard_at = Some(now);
        if peer.presence == PeerPresence::Silent {
            peer.rest_until = now;
            self.is_silence_changed = true;
        }
        peer.presence = PeerPresence::There;
    }

    /// The host at `key` is there and holds nothing.
    pub(crate) fn find_empty(&mut self, key: PeerKey, now: ClockTime) {
        let peer = &mut self.peers[key.at()];
        peer.held = None;
        peer.claimed = None;
        self.count_copies();
        self.find_there(key, now);
    }

    /// The names of the listed hosts that did not answer when they were last asked.
    pub(crate) fn silent(&self) -> Vec<ByteString> {
        let silent = self.listed();
        let silent = silent.filter(|(_, peer)| peer.presence == PeerPresence::Silent);
        silent
            .map(|(_, peer)| peer.host.location.host.clone())
            .collect()
    }

    /// Whether a host came, fell silent, or was heard again since this was last asked.
    pub(crate) const fn take_silence_change(&mut self) -> bool {
        std::mem::replace(&mut self.is_silence_changed, false)
    }

    /// A host turned out not to hold a chunk that it said it holds.
    pub(crate) fn forget_chunk(&mut self, key: PeerKey, index: u32) {
        let peer = &mut self.peers[key.at()];
        if let Some(held) = peer.held.as_mut() {
            held.remove(index);
        }
        self.count_copies();
    }

    /// A host did not answer: what it said of itself counts no more until it is heard again.
    ///
    /// A host that was replaced, has lost power or is cut off stays listed for a while. As long as it
    /// counted as holding chunks, the others of its data centre neither brought them in from another one
    /// nor read them from the origin, and waited for it. One would notice data centres without weights
    /// beside others that have them whole.
    pub(crate) fn lose(&mut self, key: PeerKey, now: ClockTime, jitter: f64) {
        let peer = &mut self.peers[key.at()];
        self.is_silence_changed |= peer.presence != PeerPresence::Silent;
        peer.presence = PeerPresence::Silent;
        peer.held = None;
        peer.claimed = None;
        peer.strikes = peer.strikes.min(SILENT_DOUBLINGS);
        peer.strike(now, jitter);
        self.count_copies();
    }

    fn list(&mut self, host: &PeerHost) {
        match self.place(&host.location.host) {
            Ok(at) => {
                let peer = &mut self.peers[self.by_name[at].at()];
                if peer.host.address != host.address {
                    // Another process under the same name holds nothing of what the earlier said.
                    *peer = PeerRecord::new(host.clone());
                }
                peer.is_listed = true;
            }
            Err(at) => {
                let key = PeerKey(u32::try_from(self.peers.len()).unwrap_or(u32::MAX));
                self.by_name.insert(at, key);
                self.peers.push(PeerRecord::new(host.clone()));
            }
        }
    }

    fn choose_neighbours(&mut self, neighbours: usize) {
        let me = hash_of(self.me.host.as_bytes());
        let pair = |peer: &PeerRecord| mix(me ^ mix(hash_of(peer.host.location.host.as_bytes())));
        let mut order: Vec<(u64, usize)> = (0..)
            .zip(&self.peers)
            .filter(|(_, peer)| peer.is_listed)
            .map(|(at, peer)| (pair(peer), at))
            .collect();
        order.sort_unstable();
        for peer in &mut self.peers {
            peer.is_neighbour = false;
        }
        let (near, far): (Vec<usize>, Vec<usize>) = order
            .iter()
            .map(|(_, at)| *at)
            .partition(|at| self.peers[*at].host.location.data_centre == self.me.data_centre);
        let near_count = near
            .len()
            .min(neighbours.saturating_sub(far.len().min(neighbours / 2)));
        let far_count = far.len().min(neighbours - near_count);
        for at in near[..near_count].iter().chain(&far[..far_count]) {
            self.peers[*at].is_neighbour = true;
        }
    }

    fn count_copies(&mut self) {
        self.copies.fill(0);
        for peer in self.peers.iter().filter(|peer| peer.is_listed) {
            let Some(held) = peer.held.as_ref() else {
                continue;
            };
            for (index, copies) in (0..).zip(self.copies.iter_mut()) {
                *copies += u16::from(held.contains(index));
            }
        }
    }

    fn place(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|key| (*self.peers[key.at()].host.location.host).cmp(name))
    }
}

impl PeerKey {
    fn at(self) -> usize {
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
            heard_at: None,
            asked_at: None,
            is_asked: false,
            presence: PeerPresence::There,
            pulls: 0,
            rest_until: ClockTime(0),
            busy_until: ClockTime(0),
            strikes: 0,
        }
    }

    /// Whether it said that it holds chunk `index`.
    pub(crate) fn holds(&self, index: u32) -> bool {
        self.held.as_ref().is_some_and(|map| map.contains(index))
    }

    /// Whether it said that it is about to read chunk `index` from the origin.
    pub(crate) fn claims(&self, index: u32) -> bool {
        self.claimed.as_ref().is_some_and(|map| map.contains(index))
    }

    /// It delivered.
    pub(crate) fn clear_strikes(&mut self) {
        self.strikes = 0;
    }

    /// It failed: it loses its turn for a time that doubles with each failure in a row, less a
    /// random part (`jitter` is between 0 and 1).
    pub(crate) fn strike(&mut self, now: ClockTime, jitter: f64) {
        let span = REST_FIRST * (1 << self.strikes.min(STRIKES_MAX));
        self.strikes += 1;
        self.rest_until = now + span.mul_f64(jitter.clamp(0.0, 1.0).midpoint(1.0));
    }
}
