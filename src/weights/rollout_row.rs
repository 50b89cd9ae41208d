//! The rollout state of a service, kept in one row of the table: which hosts may be out of service,
//! which failed to load the version, and whether the rollout was stopped.

use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::target_version::TargetVersion;
use crate::derives::{message, plain};
use crate::stores::RowRevision;
use crate::time::ClockTime;
use crate::weights::LeaseHolder;

/// How long a permit is valid after each renewal.
pub(crate) const PERMIT_DURATION: Duration = Duration::from_secs(10);
/// One fifth of the validity is a safety margin against clocks of different speed: the holder does
/// not use it, and other hosts wait that much longer before they revoke the permit.
const MARGIN_DIVISOR: u32 = 5;
/// Maximum number of failures in the row, which limits its size.
const FAILURES_MAX: usize = 16;

/// The row `rollouts/SERVICE`, in JSON.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct RolloutRow {
    /// Version of the newest service document that the row reflects.
    pub(crate) document: u64,
    /// The version that is rolled out.
    pub(crate) version: ByteString,
    /// The greatest fencing number issued so far; never decreases.
    pub(crate) fence: u64,
    /// Permits of the hosts that may be out of service now.
    pub(crate) permits: Vec<RolloutPermit>,
    /// The hosts whose engines failed to load the version.
    pub(crate) failures: Vec<RolloutFailure>,
    /// Why the rollout was stopped; `None` while it continues.
    pub(crate) stopped: Option<ByteString>,
}

/// Permission of a host to be out of service.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct RolloutPermit {
    /// The process that holds the permit.
    pub(crate) holder: LeaseHolder,
    /// Its fencing number.
    pub(crate) fence: u64,
    /// Incremented at each renewal.
    pub(crate) renewals: u64,
}

/// A host whose engine failed to load the version.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct RolloutFailure {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The engine's error.
    pub(crate) reason: ByteString,
}

/// Result of a request for a permit.
#[apply(plain!)]
pub(crate) enum PermitDecision {
    /// Write this row. Once it is written, the permit is held with this fencing number.
    Write(RolloutRow, u64),
    /// The maximum number of hosts is out of service.
    Full,
    /// The rollout was stopped, for this reason.
    Stopped(ByteString),
    /// The row reflects a newer document than this host has.
    Outdated,
}

impl RolloutRow {
    /// The row updated for `target`. A newer document with another version starts a new rollout,
    /// for which previous failures no longer count but permits still do.
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

    /// Why `target` must not be loaded; `None` if it may.
    pub(crate) fn refusal(&self, target: &TargetVersion) -> Option<PermitDecision> {
        if self.document > target.document && self.version != target.spec.version {
            return Some(PermitDecision::Outdated);
        }
        let row = self.for_target(target);
        row.stopped.map(PermitDecision::Stopped)
    }

    /// Requests a permit for `holder`, whose engine has seen `engine_fence`. `is_lapsed` says
    /// whether a permit of another holder may be revoked.
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
        // A previous process on this host may have held a permit; the host counts only once.
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

    /// The row after a renewal by `holder`; `None` if its permit is no longer in the row.
    pub(crate) fn renewed(&self, holder: &LeaseHolder) -> Option<Self> {
        let mut row = self.clone();
        let permit = row
            .permits
            .iter_mut()
            .find(|permit| permit.holder == *holder)?;
        permit.renewals += 1;
        Some(row)
    }

    /// The row without the permits of all processes on `host`.
    pub(crate) fn released(&self, host: &ByteString) -> Self {
        let mut row = self.clone();
        row.permits.retain(|permit| permit.holder.host != *host);
        row
    }

    /// The row after the engine of `host` failed to load `target`. The rollout is stopped once as
    /// many hosts have failed as the document allows.
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
        let is_known = row.failures.iter().any(|failure| failure.host == *host);
        if !is_known && row.failures.len() < FAILURES_MAX {
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

/// Tracks the permits of all hosts, in order to detect expired ones.
///
/// Wall clocks of hosts differ and jump. The age of a permit is therefore counted by this host's
/// monotonic clock, from when this host first saw the permit in its present state.
#[derive(Clone, Debug, Default)]
pub(crate) struct PermitTracker {
    observed: Vec<(RolloutPermit, ClockTime)>,
}

impl PermitTracker {
    /// Records the permits of a row that was read at `now`.
    pub(crate) fn observe(&mut self, row: &RolloutRow, now: ClockTime) {
        let previous = std::mem::take(&mut self.observed);
        self.observed = row
            .permits
            .iter()
            .map(|permit| {
                let unchanged = previous.iter().find(|(observed, _)| observed == permit);
                let since = unchanged.map_or(now, |(_, since)| *since);
                (permit.clone(), since)
            })
            .collect();
    }

    /// Whether `permit` has been unchanged for its validity and the safety margin.
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

/// The permit that this host holds.
#[apply(plain!)]
pub(crate) struct HeldPermit {
    /// Its fencing number.
    pub(crate) fence: u64,
    /// When the write that acquired or renewed it was sent.
    pub(crate) renewed_at: ClockTime,
}

impl HeldPermit {
    /// Whether the permit may be used; the last fifth of its validity is not used.
    pub(crate) fn is_valid(&self, now: ClockTime) -> bool {
        now < self.renewed_at + PERMIT_DURATION - PERMIT_DURATION / MARGIN_DIVISOR
    }

    /// Whether the permit should be renewed.
    pub(crate) fn is_renewal_due(&self, now: ClockTime) -> bool {
        now >= self.renewed_at + PERMIT_DURATION / 3
    }
}

/// The row with its revision, as it was read.
#[apply(plain!)]
pub(crate) struct RowSnapshot {
    /// The revision to expect in the next write.
    pub(crate) revision: RowRevision,
    /// The row; empty if it does not exist.
    pub(crate) row: RolloutRow,
}

impl RowSnapshot {
    /// The snapshot of a row that does not exist.
    pub(crate) fn absent() -> Self {
        Self {
            revision: RowRevision::ABSENT,
            row: RolloutRow::default(),
        }
    }
}

/// Result of a write that the table answered.
#[apply(plain!)]
pub(crate) enum RowWriteResult {
    /// The write took effect.
    Written,
    /// Another write came first and left this row.
    Conflict(RowSnapshot),
}
