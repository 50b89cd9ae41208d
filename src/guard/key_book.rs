//! The keyed calls of the slots that this process holds: each runs at most once, and calls with one
//! order key run one after another.

use std::collections::VecDeque;
use std::time::Duration;

use super::claim_record::{ClaimRecord, ClaimState};
use super::claim_rules::{is_ahead, is_doubtful};
use super::key_entry::{
    CallAnswer, ClaimPlan, ClaimResult, ClaimVerdict, KeyEnd, KeyEntry, KeyPhase, KeyState, refuse,
};
use super::keyed_call::{KeyHash, KeyedCall, OrderHash, SlotGrant};
use crate::delivery::AttemptId;
use crate::errors::{ErrorKind, RunOutcome};
use crate::leases::LeaseHolder;
use crate::stores::RowRevision;
use crate::time::{ClockTime, WallTime};

/// How long an ended call is remembered here after its record was written.
const KEPT_FOR: Duration = Duration::from_mins(10);
/// How long it is remembered when there are many: longer than a key is young enough to run without
/// a claim, since then only this memory says that it ran.
const KEPT_AT_LEAST: Duration = Duration::from_mins(2);
/// Calls remembered at most; further ones are refused.
const KEYS_MAX: usize = 50_000;
/// Bytes of answers kept here, beyond which they are forgotten sooner.
const KEPT_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The keyed calls that this process knows, sorted by key.
///
/// A call that may not be repeated is sent again by its caller when the answer was lost, perhaps
/// through another data centre. One would notice two wake-up calls. All calls of one slot meet in
/// the one process that holds the slot's lease, and a claim in the table goes ahead of each, so
/// that a later holder of the slot knows of it.
#[derive(Debug)]
pub(crate) struct KeyBook {
    holder: LeaseHolder,
    pub(super) entries: Vec<KeyEntry>,
    /// Calls by order key; the first of each lane has its turn.
    lanes: Vec<(OrderHash, VecDeque<KeyHash>)>,
    next_nonce: u64,
}

impl KeyBook {
    /// The book of `holder`.
    pub(crate) const fn new(holder: LeaseHolder) -> Self {
        Self {
            holder,
            entries: Vec::new(),
            lanes: Vec::new(),
            next_nonce: 0,
        }
    }

    /// A keyed call has come in `attempt`; `grant` is the lease on its slot, if it is held.
    pub(crate) fn on_call(
        &mut self,
        call: &KeyedCall,
        attempt: AttemptId,
        grant: Option<&SlotGrant>,
        now: ClockTime,
        wall: WallTime,
    ) -> CallAnswer {
        self.forget(now);
        if is_ahead(call, wall) {
            return CallAnswer::Refuse(ErrorKind::BadHeader, RunOutcome::NotRun);
        }
        let found = self.find(call.key);
        if let Ok(at) = found
            && let Some(answer) = self.join(at, call, attempt, now)
        {
            return answer;
        }
        if grant.is_none() {
            return CallAnswer::Refuse(ErrorKind::NotSlotHolder, RunOutcome::NotRun);
        }
        if found.is_err() && self.entries.len() >= KEYS_MAX {
            return CallAnswer::Refuse(ErrorKind::BackendBusy, RunOutcome::NotRun);
        }
        match found {
            // An earlier claim of ours may stand: under the same nonce it counts as this one.
            Ok(at) => self.entries[at].begin_again(attempt, now),
            Err(at) => {
                let nonce = self.new_nonce();
                let entry = KeyEntry::new(call.clone(), nonce, attempt, now);
                self.entries.insert(at, entry);
            }
        }
        let has_turn = self.enter_lane(call);
        CallAnswer::New { has_turn }
    }

    /// How to claim `key`, whose turn it is. `table_answers` is false while the table is known to
    /// be away; `is_wanted` says whether any caller still waits.
    ///
    /// # Errors
    ///
    /// What to do without asking the table.
    pub(crate) fn plan_claim(
        &mut self,
        key: KeyHash,
        grant: Option<&SlotGrant>,
        table_answers: bool,
        is_wanted: bool,
        wall: WallTime,
    ) -> Result<ClaimPlan, ClaimVerdict> {
        let entry = self.waiting_entry(key);
        let Some(grant) = grant.filter(|_| is_wanted) else {
            entry.state = KeyState::Abandoned;
            let kind = match grant {
                Some(_) => ErrorKind::CallerGone,
                None => ErrorKind::LeaseLapsed,
            };
            return Err(refuse(kind));
        };
        if !table_answers {
            return Err(entry.outage_verdict(Some(grant), is_wanted, wall));
        }
        if is_doubtful(&entry.call, grant, wall) {
            return Ok(ClaimPlan::Read);
        }
        entry.fence = grant.fence;
        Ok(ClaimPlan::Create(self.record_of(key, wall)))
    }

    /// The table answered to the plan for `key`, or did not.
    pub(crate) fn on_claim(
        &mut self,
        key: KeyHash,
        result: ClaimResult,
        grant: Option<&SlotGrant>,
        is_wanted: bool,
        wall: WallTime,
    ) -> ClaimVerdict {
        let entry = self.waiting_entry(key);
        match result {
            ClaimResult::Written(revision) => entry.hand_over_claimed(revision, grant, is_wanted),
            ClaimResult::Found(revision, record) => {
                self.on_found(key, revision, record, grant, is_wanted, wall)
            }
            ClaimResult::Absent | ClaimResult::Unreadable => entry.doubt(),
            ClaimResult::Away => entry.outage_verdict(grant, is_wanted, wall),
        }
    }

    fn on_found(
        &mut self,
        key: KeyHash,
        revision: RowRevision,
        record: ClaimRecord,
        grant: Option<&SlotGrant>,
        is_wanted: bool,
        wall: WallTime,
    ) -> ClaimVerdict {
        let is_own_holder = record.holder == self.holder;
        let entry = self.waiting_entry(key);
        let is_own = is_own_holder && record.nonce == entry.nonce;
        let in_doubt = grant.is_some_and(|grant| is_doubtful(&entry.call, grant, wall));
        if record.fingerprint != entry.call.fingerprint {
            self.remove(key);
            return refuse(ErrorKind::KeyReused);
        }
        match record.state {
            ClaimState::Finished(answer) => {
                entry.state = KeyState::Ran { recorded: true };
                entry.claim = Some(revision);
                ClaimVerdict::Replay(answer)
            }
            ClaimState::Started if is_own && !in_doubt => {
                if entry.removing == Some(revision) {
                    return ClaimVerdict::Reclaim(revision, self.record_of(key, wall));
                }
                entry.hand_over_claimed(revision, grant, is_wanted)
            }
            ClaimState::Started => entry.doubt(),
        }
    }

    /// `key`, whose turn it was or will be, does not run this time.
    pub(crate) fn give_up(&mut self, key: KeyHash) {
        self.waiting_entry(key).state = KeyState::Abandoned;
    }

    /// The run of `key` ended. After `NotRun` the claim at the returned revision is to be removed.
    ///
    /// # Panics
    ///
    /// When `key` was not handed over.
    pub(crate) fn on_end(
        &mut self,
        key: KeyHash,
        end: KeyEnd,
        kept_bytes: usize,
        now: ClockTime,
    ) -> Option<RowRevision> {
        let at = self.find(key).expect("a run that ends is in the book");
        let entry = &mut self.entries[at];
        assert!(
            entry.state == KeyState::Running,
            "a key ended that was {:?}",
            entry.state
        );
        entry.touched = now;
        entry.kept_bytes = kept_bytes;
        entry.state = match end {
            KeyEnd::Ran => KeyState::Ran { recorded: false },
            KeyEnd::NotKnown => KeyState::NotKnown,
            KeyEnd::NotRun => KeyState::Abandoned,
        };
        if end != KeyEnd::NotRun {
            return None;
        }
        // A run without a claim ends with none to remove; an earlier order to remove one may still be
        // on its way, and forgetting it would let the row pass for a trace of the next run.
        let claim = entry.claim.take();
        entry.removing = claim.or(entry.removing);
        claim
    }

    /// `key` leaves its lane; the one behind it gets its turn.
    pub(crate) fn next_turn(&mut self, key: KeyHash) -> Option<KeyHash> {
        let at = self
            .lanes
            .iter()
            .position(|(_, lane)| lane.contains(&key))?;
        let lane = &mut self.lanes[at].1;
        let had_turn = lane.front() == Some(&key);
        lane.retain(|other| *other != key);
        let next = lane.front().copied();
        if next.is_none() {
            self.lanes.remove(at);
        }
        next.filter(|_| had_turn)
    }

    /// Whether it is the turn of `key` in its lane.
    pub(crate) fn has_turn(&self, key: KeyHash) -> bool {
        let mut lanes = self.lanes.iter();
        lanes.any(|(_, lane)| lane.front() == Some(&key))
    }

    /// Whether `key` is remembered.
    pub(crate) fn knows(&self, key: KeyHash) -> bool {
        self.find(key).is_ok()
    }

    /// The attempts that brought `key`.
    pub(crate) fn attempts_of(&self, key: KeyHash) -> &[AttemptId] {
        match self.find(key) {
            Ok(at) => &self.entries[at].attempts,
            Err(_) => &[],
        }
    }

    fn join(
        &mut self,
        at: usize,
        call: &KeyedCall,
        attempt: AttemptId,
        now: ClockTime,
    ) -> Option<CallAnswer> {
        let entry = &mut self.entries[at];
        if entry.call.fingerprint != call.fingerprint {
            let refused = CallAnswer::Refuse(ErrorKind::KeyReused, RunOutcome::NotRun);
            return Some(refused);
        }
        let phase = match entry.state {
            KeyState::Abandoned => return None,
            KeyState::NotKnown => {
                let unknown = CallAnswer::Refuse(ErrorKind::OutcomeUnknown, RunOutcome::NotKnown);
                return Some(unknown);
            }
            KeyState::Waiting => KeyPhase::Before,
            KeyState::Running => KeyPhase::Running,
            KeyState::Ran { .. } => KeyPhase::Ran,
        };
        entry.attempts.push(attempt);
        entry.touched = now;
        Some(CallAnswer::Joins { phase })
    }

    fn enter_lane(&mut self, call: &KeyedCall) -> bool {
        match self
            .lanes
            .binary_search_by_key(&call.order, |(order, _)| *order)
        {
            Ok(at) => {
                self.lanes[at].1.push_back(call.key);
                false
            }
            Err(at) => {
                let lane = VecDeque::from([call.key]);
                self.lanes.insert(at, (call.order, lane));
                true
            }
        }
    }

    pub(super) fn record_of(&self, key: KeyHash, wall: WallTime) -> ClaimRecord {
        let at = self
            .find(key)
            .expect("a key that is recorded is in the book");
        let entry = &self.entries[at];
        ClaimRecord {
            nonce: entry.nonce,
            holder: self.holder.clone(),
            fence: entry.fence,
            fingerprint: entry.call.fingerprint,
            written_ms: wall.0,
            state: ClaimState::Started,
        }
    }

    fn waiting_entry(&mut self, key: KeyHash) -> &mut KeyEntry {
        let at = self
            .find(key)
            .expect("a key whose turn it is is in the book");
        let entry = &mut self.entries[at];
        assert!(
            entry.state == KeyState::Waiting,
            "a key has its turn that was {:?}",
            entry.state
        );
        entry
    }

    pub(super) fn find(&self, key: KeyHash) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&key, |entry| entry.call.key)
    }

    pub(super) fn remove(&mut self, key: KeyHash) {
        if let Ok(at) = self.find(key) {
            self.entries.remove(at);
        }
    }

    fn new_nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }

    /// Forgets what the table knows. What it does not know is kept, or a repeated call would run
    /// again.
    fn forget(&mut self, now: ClockTime) {
        let kept: usize = self.entries.iter().map(|entry| entry.kept_bytes).sum();
        let is_full = self.entries.len() > KEYS_MAX / 2 || kept > KEPT_BYTES_MAX;
        let kept_for = if is_full { KEPT_AT_LEAST } else { KEPT_FOR };
        self.entries.retain(|entry| {
            let is_old = now.since(entry.touched) > kept_for;
            !(entry.is_settled() && is_old)
        });
    }
}
