//! The immutable snapshot of the deployment state that request handling uses; each change replaces
//! it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytestring::ByteString;

use super::entry_agreement::EntrySharing;
use super::peer_messages::EntryRecord;
use super::store_clock::StoreClock;
use crate::catalog::ServiceCatalog;
use crate::fleet::{FleetView, TargetWeights, WeightsVersion};
use crate::quarantine::CrashLedger;
use crate::time::ClockTime;

/// The deployment state at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeploymentSnapshot {
    /// The document in force; `None` before the first was read.
    pub(crate) catalog: Option<Arc<ServiceCatalog>>,
    /// The backend servers.
    pub(crate) fleet: Arc<FleetView>,
    /// The recent target versions, sorted by model and version.
    pub(crate) targets: Arc<Vec<TargetWeights>>,
    /// The entry hosts, sorted.
    pub(crate) entries: Arc<Vec<EntryRecord>>,
    /// Digest of their names.
    pub(crate) entries_digest: u64,
    /// How this entry host shares limits with the others.
    pub(crate) entry_sharing: EntrySharing,
    /// Set by request handling when it spends something of a limit that is shared.
    pub(crate) has_spent: Arc<AtomicBool>,
    /// The requests that were running on backend servers that crashed.
    pub(crate) crashes: Arc<CrashLedger>,
    /// The store's clock.
    pub(crate) clock: StoreClock,
    /// The evacuated data centres, sorted.
    pub(crate) evacuated: Arc<Vec<ByteString>>,
}

impl DeploymentSnapshot {
    /// The newest target version of `model`.
    pub(crate) fn newest_version(&self, model: &str) -> Option<&TargetWeights> {
        let mut newest_first = self.targets.iter().rev();
        newest_first.find(|weights| *weights.target.model == *model)
    }

    /// The oldest version of `model` on which requests may begin at `now`, if they may begin on an
    /// older one for `deadline_span` after a version was set as target. Each version has its own
    /// deadline: one that is soon followed by a newer one must still have replaced its predecessors
    /// in time.
    pub(crate) fn oldest_allowed_version(
        &self,
        model: &str,
        deadline_span: Duration,
        now: ClockTime,
    ) -> Option<WeightsVersion> {
        let mut newest_first = self.targets.iter().rev();
        let is_due = |weights: &&TargetWeights| {
            *weights.target.model == *model && !weights.allows_previous(deadline_span, now)
        };
        newest_first
            .find(is_due)
            .map(|weights| weights.target.version)
    }

    /// Until when requests may begin on version `held` of `model`, if a newer version must have
    /// replaced it `deadline_span` after it was set as target; `None` if there is no newer one.
    pub(crate) fn usable_until(
        &self,
        model: &str,
        held: Option<WeightsVersion>,
        deadline_span: Duration,
    ) -> Option<ClockTime> {
        let newer = self.targets.iter().filter(|weights| {
            *weights.target.model == *model && Some(weights.target.version) > held
        });
        newer
            .map(|weights| weights.target_set_at + deadline_span)
            .min()
    }
}

/// The newest snapshot. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedSnapshot {
    newest: Arc<ArcSwap<DeploymentSnapshot>>,
}

impl SharedSnapshot {
    /// Returns the newest snapshot.
    pub(crate) fn load(&self) -> Arc<DeploymentSnapshot> {
        self.newest.load_full()
    }

    /// Replaces the snapshot.
    pub(crate) fn store(&self, snapshot: DeploymentSnapshot) {
        self.newest.store(Arc::new(snapshot));
    }
}
