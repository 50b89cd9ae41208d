//! What the traffic sees of the control state: whole, immutable, replaced at once.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;

use super::peer_messages::EntryRecord;
use super::store_clock::StoreClock;
use crate::catalog::ServiceCatalog;
use crate::fleet::{FleetView, WantedWeights, WeightsVersion};
use crate::quarantine::CrashLedger;
use crate::time::ClockTime;

/// The control state as of one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlSnapshot {
    /// The document in force; none before the first was read.
    pub(crate) catalog: Option<Arc<ServiceCatalog>>,
    /// The backend servers.
    pub(crate) fleet: Arc<FleetView>,
    /// The versions of weights that were named lately, sorted by model and version.
    pub(crate) targets: Arc<Vec<WantedWeights>>,
    /// The entry hosts, sorted.
    pub(crate) entries: Arc<Vec<EntryRecord>>,
    /// Which requests were under way at backend servers that crashed.
    pub(crate) crashes: Arc<CrashLedger>,
    /// The store's clock.
    pub(crate) clock: StoreClock,
}

impl ControlSnapshot {
    /// The newest version of `model`.
    pub(crate) fn newest_version(&self, model: &str) -> Option<&WantedWeights> {
        let mut newest_first = self.targets.iter().rev();
        newest_first.find(|weights| *weights.target.model == *model)
    }

    /// The oldest version of `model` on which requests may begin at `now`, if they may begin on an
    /// older one for `grace` after a version was named. Each version counts from its own naming: one
    /// that a newer one follows soon must still have replaced those before it in time.
    pub(crate) fn oldest_allowed_version(
        &self,
        model: &str,
        grace: Duration,
        now: ClockTime,
    ) -> Option<WeightsVersion> {
        let mut newest_first = self.targets.iter().rev();
        let is_due = |weights: &&WantedWeights| {
            *weights.target.model == *model && !weights.allows_older(grace, now)
        };
        newest_first
            .find(is_due)
            .map(|weights| weights.target.version)
    }

    /// Until when requests may begin on version `held` of `model`, if a newer one must have replaced
    /// it `bound` after it was named; none while nothing newer was named.
    pub(crate) fn usable_until(
        &self,
        model: &str,
        held: Option<WeightsVersion>,
        bound: Duration,
    ) -> Option<ClockTime> {
        let newer = self.targets.iter().filter(|weights| {
            *weights.target.model == *model && Some(weights.target.version) > held
        });
        newer.map(|weights| weights.named_at + bound).min()
    }
}

/// Where the newest snapshot stands. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedSnapshot {
    newest: Arc<ArcSwap<ControlSnapshot>>,
}

impl SharedSnapshot {
    /// The newest snapshot.
    pub(crate) fn load(&self) -> Arc<ControlSnapshot> {
        self.newest.load_full()
    }

    /// Puts a newer one in its place.
    pub(crate) fn store(&self, snapshot: ControlSnapshot) {
        self.newest.store(Arc::new(snapshot));
    }
}
