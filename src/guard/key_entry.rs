//! What the book of keyed calls knows of one key, and what it answers.

use macro_rules_attribute::apply;

use super::claim_record::{ClaimRecord, KeptAnswer};
use super::claim_rules::may_run_unclaimed;
use super::keyed_call::{KeyHash, KeyedCall, SlotGrant};
use crate::delivery::AttemptId;
use crate::derives::{key, plain};
use crate::errors::{ErrorKind, RunOutcome};
use crate::stores::RowRevision;
use crate::time::{ClockTime, WallTime};

/// What an arriving keyed call gets.
#[apply(key!)]
pub(crate) enum CallAnswer {
    /// It is new, and runs when its turn comes.
    New {
        /// Whether that is now.
        has_turn: bool,
    },
    /// The key is known: it gets the answer of the run that is under way or over.
    Joins {
        /// How far that run is.
        phase: KeyPhase,
    },
    /// It did not run and does not.
    Refuse(ErrorKind, RunOutcome),
}

/// How far a key's run is, for those that join it.
#[apply(key!)]
pub(crate) enum KeyPhase {
    /// Not handed over.
    Before,
    /// Handed over.
    Running,
    /// Over; its answer is kept.
    Ran,
}

/// How to make sure that nobody ran the key.
#[apply(plain!)]
pub(crate) enum ClaimPlan {
    /// Write this claim if there is none, then tell [`KeyBook::on_claim`].
    Create(ClaimRecord),
    /// Only read the claim, then tell [`KeyBook::on_claim`].
    Read,
}

/// What the table said.
#[apply(plain!)]
pub(crate) enum ClaimResult {
    /// The claim was written.
    Written(RowRevision),
    /// There is a claim.
    Found(RowRevision, ClaimRecord),
    /// There is one, but it does not read.
    Unreadable,
    /// There is none, and none was written.
    Absent,
    /// The table does not answer; the claim may or may not be written.
    Away,
}

/// What to do with a call whose turn it is.
#[apply(plain!)]
pub(crate) enum ClaimVerdict {
    /// Hand it over now, under this fencing number.
    HandOver(u64),
    /// It ran; this is its answer.
    Replay(KeptAnswer),
    /// It is claimed by this process already, but an order to remove the claim may still be on its
    /// way, and would take the trace of this run away: write this record over the one at this
    /// revision, then tell [`super::key_book::KeyBook::on_claim`].
    Reclaim(RowRevision, ClaimRecord),
    /// Refuse it, and remove the claim that stands at this revision if there is one.
    Refuse(ErrorKind, RunOutcome, Option<RowRevision>),
}

/// How a handed-over call ended.
#[apply(key!)]
pub(crate) enum KeyEnd {
    /// To its end.
    Ran,
    /// The backend server did not begin it.
    NotRun,
    /// Nobody knows.
    NotKnown,
}

/// A record that waits to be written.
#[apply(plain!)]
pub(crate) struct PendingRecord {
    pub(crate) key: KeyHash,
    /// What the row is expected at.
    pub(crate) expected: RowRevision,
    /// The record; a finished call's answer is filled in by whoever writes it.
    pub(crate) record: ClaimRecord,
    /// Whether the call has ended and its answer is to be written.
    pub(crate) has_ended: bool,
}

/// What became of the writing of a record.
#[apply(key!)]
pub(crate) enum RecordEnd {
    /// It stands, or an earlier writing of it does.
    Written,
    /// It has to be written again.
    Waits,
    /// Another's claim stands where nobody else's should.
    Doubled,
}

/// One key.
#[derive(Clone, Debug)]
pub(crate) struct KeyEntry {
    pub(crate) call: KeyedCall,
    pub(crate) nonce: u64,
    pub(crate) state: KeyState,
    /// The claim as it stands, if one is known to stand.
    pub(crate) claim: Option<RowRevision>,
    /// Whether it was once answered that it may have run: it never runs without a claim.
    pub(super) may_have_run: bool,
    /// The revision of a row of ours that is no trace to count on, if one was seen.
    pub(super) standing: Option<RowRevision>,
    /// The revision at which an order to remove its claim may still be on its way.
    pub(crate) removing: Option<RowRevision>,
    pub(crate) fence: u64,
    pub(crate) attempts: Vec<AttemptId>,
    /// Bytes of its kept answer.
    pub(crate) kept_bytes: usize,
    pub(crate) touched: ClockTime,
}

/// How far a key is.
#[apply(key!)]
pub(crate) enum KeyState {
    /// Behind others in its lane, or before its claim.
    Waiting,
    /// Handed over.
    Running,
    /// Over, with its answer kept.
    Ran { recorded: bool },
    /// Over, and nobody knows how.
    NotKnown,
    /// Never handed over, but a claim of this process may stand or still be written.
    Abandoned,
}

impl KeyEntry {
    /// A key that has just come, in `attempt`.
    pub(super) fn new(call: KeyedCall, nonce: u64, attempt: AttemptId, now: ClockTime) -> Self {
        Self {
            call,
            nonce,
            state: KeyState::Waiting,
            claim: None,
            may_have_run: false,
            standing: None,
            removing: None,
            fence: 0,
            attempts: vec![attempt],
            kept_bytes: 0,
            touched: now,
        }
    }

    /// A key that was given up before comes again, in `attempt`.
    pub(super) fn begin_again(&mut self, attempt: AttemptId, now: ClockTime) {
        assert!(
            self.state == KeyState::Abandoned,
            "a key began again that was {:?}",
            self.state
        );
        self.state = KeyState::Waiting;
        self.claim = None;
        self.attempts = vec![attempt];
        self.touched = now;
    }

    /// Hands the call over under `grant`, if its claim at `revision` still counts.
    ///
    /// Between the writing and now the lease may have lapsed: its next holder would start calls
    /// that belong behind this one.
    pub(crate) fn hand_over_claimed(
        &mut self,
        revision: RowRevision,
        grant: Option<&SlotGrant>,
        is_wanted: bool,
    ) -> ClaimVerdict {
        let grant = grant.filter(|grant| grant.fence == self.fence);
        if let Some(grant) = grant
            && is_wanted
        {
            self.claim = Some(revision);
            self.state = KeyState::Running;
            return ClaimVerdict::HandOver(grant.fence);
        }
        self.state = KeyState::Abandoned;
        self.removing = Some(revision);
        let kind = match grant {
            Some(_) => ErrorKind::CallerGone,
            None => ErrorKind::LeaseLapsed,
        };
        ClaimVerdict::Refuse(kind, RunOutcome::NotRun, Some(revision))
    }

    /// What to do while the table is away.
    pub(crate) fn outage_verdict(
        &mut self,
        grant: Option<&SlotGrant>,
        is_wanted: bool,
        wall: WallTime,
    ) -> ClaimVerdict {
        if self.may_have_run {
            return self.doubt();
        }
        let runs = |grant: &&SlotGrant| is_wanted && may_run_unclaimed(&self.call, grant, wall);
        if let Some(grant) = grant.filter(runs) {
            self.state = KeyState::Running;
            self.fence = grant.fence;
            return ClaimVerdict::HandOver(grant.fence);
        }
        self.state = KeyState::Abandoned;
        refuse(ErrorKind::ClaimUnavailable)
    }

    /// It may have run elsewhere, or may not.
    ///
    /// The next call looks again: whoever ran it may write its answer down later. What was found is
    /// remembered, or a call in an outage would run it.
    pub(super) const fn doubt(&mut self) -> ClaimVerdict {
        self.state = KeyState::Abandoned;
        self.may_have_run = true;
        ClaimVerdict::Refuse(ErrorKind::OutcomeUnknown, RunOutcome::NotKnown, None)
    }

    /// Its row stands at `revision`, with its answer if `has_ended`.
    ///
    /// A row that an order to remove it may still take away is no trace: it has to be written over
    /// first, or a lease would be renewed and passed on without the next holder's doubting the key.
    pub(crate) fn on_recorded(&mut self, revision: RowRevision, has_ended: bool) {
        if self.removing == Some(revision) {
            self.standing = Some(revision);
            return;
        }
        self.claim = Some(revision);
        if has_ended && matches!(self.state, KeyState::Ran { .. }) {
            self.state = KeyState::Ran { recorded: true };
        }
    }

    /// Whether the table lacks something of it.
    pub(crate) const fn needs_record(&self) -> bool {
        matches!(self.state, KeyState::Ran { recorded: false }) || self.is_untraced()
    }

    /// Whether the call was handed over and the table does not know it.
    pub(crate) const fn is_untraced(&self) -> bool {
        let handed_over = matches!(
            self.state,
            KeyState::Running | KeyState::Ran { .. } | KeyState::NotKnown
        );
        handed_over && self.claim.is_none()
    }

    /// Whether it is over, and the table says all that this process knows of it.
    pub(crate) const fn is_settled(&self) -> bool {
        match self.state {
            KeyState::Waiting | KeyState::Running => false,
            KeyState::Ran { recorded } => recorded,
            KeyState::NotKnown => self.claim.is_some(),
            KeyState::Abandoned => true,
        }
    }
}

/// The refusal of a call that does not run.
pub(crate) const fn refuse(kind: ErrorKind) -> ClaimVerdict {
    ClaimVerdict::Refuse(kind, RunOutcome::NotRun, None)
}
