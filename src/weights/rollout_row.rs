//! A service's rollout as its one row in the table keeps it: who may be out of service, which hosts
//! failed, whether the version was stopped.

use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::target_version::TargetVersion;
use crate::derives::{message, plain};
use crate::stores::RowRevision;
use crate::time::ClockTime;
use crate::weights::LeaseHolder;

/// How long a permit holds from each renewal.
pub(crate) const PERMIT_DURATION: Duration = Duration::from_secs(10);
/// The part of it that a holder does not use and a taker adds, against clocks that differ in speed.
const MARGIN_DIVISOR: u32 = 5;
/// Failures that are kept, so that the row stays small.
const FAILURES_MAX: usize = 16;

/// The row `rollouts/SERVICE`, in JSON.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct RolloutRow {
    /// The newest document that the row knows of.
    pub(crate) document: u64,
    /// The version that is rolled out.
    pub(crate) version: ByteString,
    /// The greatest fencing number given out; never goes back.
    pub(crate) fence: u64,
    /// The hosts that may be out of service now.
    pub(crate) permits: Vec<RolloutPermit>,
    /// The hosts whose engines did not load the version.
    pub(crate) failures: Vec<RolloutFailure>,
    /// Why no further host takes the version, if so.
    pub(crate) stopped: Option<ByteString>,
}

/// A host's leave to be out of service.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct RolloutPermit {
    /// Who holds it.
    pub(crate) holder: LeaseHolder,
    /// Its fencing number.
    pub(crate) fence: u64,
    /// Grows with each renewal.
    pub(crate) renewals: u64,
}

/// A host whose engine did not load the version.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct RolloutFailure {
    /// The host.
    pub(crate) host: ByteString,
    /// What its engine said.
    pub(crate) reason: ByteString,
}

/// What a row says to a host that wants a permit.
#[apply(plain!)]
pub(crate) enum PermitDecision {
    /// Write this row; once written, the permit has this fencing number.
    Write(RolloutRow, u64),
    /// As many hosts as allowed are out of service.
    Full,
    /// The version was stopped.
    Stopped(ByteString),
    /// The row knows a newer document; this host's is old.
    Outdated,
}

impl RolloutRow {
    /// The row as it stands for `target`: a newer document with another version begins a new
    /// rollout, in which earlier failures no longer count but permits still do.
    pub(crate) fn for_target(&self, target: &TargetVersion) -> Self {
        let mut row = self.clone();
        if target.document <= row.document {
            return row;
        }
        row.document = target.document;
        if row.version != target.spec.version {
            row.version = target.spec.version.clone();
            row.failures.clear();
            row.stopped = None;
        }
        row
    }

    /// Why `target` must not be loaded, if so.
    pub(crate) fn refusal(&self, target: &TargetVersion) -> Option<PermitDecision> {
        if self.document > target.document && self.version != target.spec.version {
            return Some(PermitDecision::Outdated);
        }
        let row = self.for_target(target);
        row.stopped.map(PermitDecision::Stopped)
    }

    /// What the row says to `holder`, whose engine has seen `engine_fence`. `is_lapsed` tells of a
    /// permit whether it may be taken away.
    pub(crate) fn request_permit(
        &self,
        target: &TargetVersion,
        holder: &LeaseHolder,
        engine_fence: u64,
        is_lapsed: impl Fn(&RolloutPermit) -> bool,
    ) -> PermitDecision {
        if let Some(refusal) = self.refusal(target) {
            return refusal;
        }
        let mut row = self.for_target(target);
        // An earlier process on this host may have held one; there is only one host to count.
        row.permits
            .retain(|permit| permit.holder.host != holder.host && !is_lapsed(permit));
        let limit = usize::try_from(target.rollout.max_out_of_service).unwrap_or(usize::MAX);
        if row.permits.len() >= limit {
            return PermitDecision::Full;
        }
        row.fence = row.fence.max(engine_fence) + 1;
        row.permits.push(RolloutPermit {
            holder: holder.clone(),
            fence: row.fence,
            renewals: 0,
        });
        assert!(
            row.permits.len() <= limit,
            "more hosts than allowed would be out of service"
        );
        let fence = row.fence;
        PermitDecision::Write(row, fence)
    }

    /// The row after a renewal by `holder`; `None` when its permit is no longer there.
    pub(crate) fn renewed(&self, holder: &LeaseHolder) -> Option<Self> {
        let mut row = self.clone();
        let permit = row
            .permits
            .iter_mut()
            .find(|permit| permit.holder == *holder)?;
        permit.renewals += 1;
        Some(row)
    }

    /// The row without a permit of `host`, of whatever process on it.
    pub(crate) fn released(&self, host: &ByteString) -> Self {
        let mut row = self.clone();
        row.permits.retain(|permit| permit.holder.host != *host);
        row
    }

    /// The row after the engine of `host` did not load `target`. When as many hosts failed as the
    /// document allows, the version is stopped.
    pub(crate) fn with_failure(
        &self,
        target: &TargetVersion,
        host: &ByteString,
        reason: &str,
    ) -> Self {
        let mut row = self.for_target(target);
        if row.version != target.spec.version {
            return row;
        }
        let known = row.failures.iter().any(|failure| failure.host == *host);
        if !known && row.failures.len() < FAILURES_MAX {
            row.failures.push(RolloutFailure {
                host: host.clone(),
                reason: reason.into(),
            });
        }
        let limit = usize::try_from(target.rollout.stop_after_failures).unwrap_or(usize::MAX);
        if row.stopped.is_none() && row.failures.len() >= limit.clamp(1, FAILURES_MAX) {
            let count = row.failures.len();
            let text = format!("{count} engines did not load it, the last on {host}: {reason}");
            row.stopped = Some(text.into());
        }
        row
    }
}

/// What one host has seen of the others' permits, to tell a lapsed one.
///
/// Wall clocks of hosts differ and jump, so a permit's age is counted from when this host first saw
/// it in its present state, by this host's monotonic clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct PermitTracker {
    observed: Vec<(RolloutPermit, ClockTime)>,
}

impl PermitTracker {
    /// Takes in the permits of a row read at `now`.
    pub(crate) fn observe(&mut self, row: &RolloutRow, now: ClockTime) {
        let known = std::mem::take(&mut self.observed);
        self.observed = row
            .permits
            .iter()
            .map(|permit| {
                let earlier = known.iter().find(|(observed, _)| observed == permit);
                let since = earlier.map_or(now, |(_, since)| *since);
                (permit.clone(), since)
            })
            .collect();
    }

    /// Whether `permit` was seen unchanged for its whole length and a margin.
    pub(crate) fn is_expired(&self, permit: &RolloutPermit, now: ClockTime) -> bool {
        let observed = self
            .observed
            .iter()
            .find(|(observed, _)| observed == permit);
        observed.is_some_and(|(_, since)| {
            now.since(*since) >= PERMIT_DURATION + PERMIT_DURATION / MARGIN_DIVISOR
        })
    }
}

/// This host's own permit.
#[apply(plain!)]
pub(crate) struct HeldPermit {
    /// Its fencing number.
    pub(crate) fence: u64,
    /// When the write that gave or renewed it was sent.
    pub(crate) renewed_at: ClockTime,
}

impl HeldPermit {
    /// Whether it still holds: a fifth of its length is not used.
    pub(crate) fn is_valid(&self, now: ClockTime) -> bool {
        now < self.renewed_at + PERMIT_DURATION - PERMIT_DURATION / MARGIN_DIVISOR
    }

    /// Whether it is time to renew it.
    pub(crate) fn is_renewal_due(&self, now: ClockTime) -> bool {
        now >= self.renewed_at + PERMIT_DURATION / 3
    }
}

/// A row as it was read.
#[apply(plain!)]
pub(crate) struct RowSnapshot {
    /// The revision to expect when writing.
    pub(crate) revision: RowRevision,
    /// The row; empty when it is absent.
    pub(crate) row: RolloutRow,
}

impl RowSnapshot {
    /// A row that is absent.
    pub(crate) fn absent() -> Self {
        Self {
            revision: RowRevision::ABSENT,
            row: RolloutRow::default(),
        }
    }
}

/// What became of a write that the table answered.
#[apply(plain!)]
pub(crate) enum RowWriteResult {
    /// It took effect.
    Written,
    /// Another write came first; this stands.
    Conflict(RowSnapshot),
}
