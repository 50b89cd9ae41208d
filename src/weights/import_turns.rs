//! Which host brings a chunk into its data centre.
//!
//! Links between data centres are narrow and shared with live answers. If each host pulled chunks
//! from wherever they are, a version would cross them once for each host, and answers would wait
//! behind it. One would notice streams that pause while a version spreads. So one host of a data
//! centre brings a chunk in, by rendezvous hashing, and the others pull it from there. If it does
//! not come, the next in line brings it.

use std::time::Duration;

use bytestring::ByteString;

use super::digest::WeightsDigest;
use super::peer_table::PeerHost;
use super::source_line::{HostLocation, SourceLine};
use crate::documents::SpreadObjective;
use crate::time::ClockTime;

/// How long each in the line has before the next brings the chunk in: a chunk takes 27 ms on the
/// narrowest link in use, and hosts hear of each other's chunks within some 100 ms.
const IMPORT_SPAN: Duration = Duration::from_millis(500);
/// How long before its turn a host asks those before it: time for a few questions and answers.
const ASK_AHEAD: Duration = Duration::from_millis(400);
/// Hosts of a line that look for a chunk in other data centres, beside the first.
const LOOK_TURNS: u32 = 2;
/// How long each of them leaves it to those before it.
const LOOK_SPAN: Duration = Duration::from_millis(2500);

/// One host's view of its data centre's lines for one version.
#[derive(Debug)]
pub(crate) struct ImportTurns {
    me: HostLocation,
    digest: WeightsDigest,
    line: SourceLine,
    /// This host's turn for each chunk, among the hosts that answer; 0 is the first.
    turns: Vec<u32>,
    /// When each chunk was first seen in another data centre.
    seen_at: Vec<Option<ClockTime>>,
}

impl ImportTurns {
    /// The view of `me` before it knows of others: it is the first in every line.
    pub(crate) fn new(me: HostLocation, digest: WeightsDigest, chunks: u32) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        let near = std::slice::from_ref(&me);
        Self {
            line: SourceLine::new(SpreadObjective::Time, digest, &me.region, near),
            me,
            digest,
            turns: vec![0; chunks],
            seen_at: vec![None; chunks],
        }
    }

    /// A new view of the live hosts that want the version.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        let lines = hosts.iter().map(|host| &host.location);
        let near = lines.filter(|line| line.data_centre == self.me.data_centre);
        let mut near: Vec<HostLocation> = near.cloned().collect();
        if !near.iter().any(|line| line.host == self.me.host) {
            near.push(self.me.clone());
        }
        let chunks = u32::try_from(self.turns.len()).unwrap_or(u32::MAX);
        self.line = SourceLine::new(SpreadObjective::Time, self.digest, &self.me.region, &near)
            .with_even_firsts(chunks);
    }

    /// Counts this host's turns without the hosts that do not answer.
    pub(crate) fn pass_over(&mut self, silent: &[ByteString]) {
        for (index, turn) in (0..).zip(self.turns.iter_mut()) {
            let mine = self.line.turn_of(&self.me.host, index).unwrap_or(0);
            *turn = self.line.live_turn(mine, index, silent);
        }
    }

    /// Whether this host looks for chunk `index` in other data centres, `span` after it began.
    ///
    /// The first in the line looks at once. The next do later: until then the chunk is on its way to
    /// the first, or has not left the origin.
    pub(crate) fn looks_for(&self, index: u32, span: Duration) -> bool {
        let turn = usize::try_from(index)
            .ok()
            .and_then(|at| self.turns.get(at));
        turn.is_some_and(|turn| *turn <= LOOK_TURNS && span >= LOOK_SPAN * *turn)
    }

    /// The host that is to bring chunk `index` in, if this host is about to do so in its place.
    ///
    /// It has often done so, and this host has not heard of it.
    pub(crate) fn asked_before(
        &self,
        index: u32,
        silent: &[ByteString],
        now: ClockTime,
    ) -> Option<&ByteString> {
        let at = usize::try_from(index).ok()?;
        let (turn, seen_at) = (*self.turns.get(at)?, (*self.seen_at.get(at)?)?);
        let is_soon = turn > 0 && now + ASK_AHEAD >= seen_at + IMPORT_SPAN * turn;
        let first = self.line.first(index, silent).filter(|_| is_soon)?;
        (*first != self.me.host).then_some(first)
    }

    /// Whether this host may pull chunk `index` from another data centre, where it was seen.
    pub(crate) fn may_import(&mut self, index: u32, now: ClockTime) -> bool {
        let Ok(at) = usize::try_from(index) else {
            return false;
        };
        let (Some(turn), Some(seen_at)) = (self.turns.get(at), self.seen_at.get_mut(at)) else {
            return false;
        };
        let seen_at = *seen_at.get_or_insert(now);
        now.since(seen_at) >= IMPORT_SPAN * *turn
    }
}
