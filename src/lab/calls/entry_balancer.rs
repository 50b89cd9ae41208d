//! Stand-in for the platform's load balancer: probes the readiness of the entry hosts and selects
//! one per request. It also records when entry hosts were disturbed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::lab::launch::LabClient;
use crate::time::{WallTime, wall_now};

const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Connections that break this long before or after a disturbance of their entry host are
/// attributed to the disturbance.
const DISTURBANCE_MARGIN_MS: u64 = 2_000;

/// Selects entry hosts in turn among the ready ones. Clones share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryBalancer {
    state: Arc<Mutex<BalancerState>>,
}

#[derive(Debug, Default)]
struct BalancerState {
    entries: Vec<BalancedEntry>,
    next: usize,
    disturbances: Vec<EntryDisturbance>,
}

#[apply(plain!)]
#[derive(Copy)]
struct BalancedEntry {
    address: SocketAddr,
    ready: bool,
}

/// A period in which an entry host was killed or frozen.
#[apply(plain!)]
#[derive(Copy)]
struct EntryDisturbance {
    entry: usize,
    from: WallTime,
    until: WallTime,
}

impl EntryBalancer {
    /// Creates a balancer for the entry hosts at `addresses`, all of them assumed to be ready.
    pub(crate) fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let balancer = Self::default();
        let entries = addresses.into_iter().map(|address| BalancedEntry {
            address,
            ready: true,
        });
        balancer.lock().entries = entries.collect();
        balancer
    }

    /// Probes the readiness of the entry hosts until the task is aborted.
    pub(crate) async fn keep_probing(self) {
        let client = LabClient::default();
        loop {
            let entries = self.lock().entries.clone();
            for (index, entry) in entries.iter().enumerate() {
                let probe = client.is_ok(entry.address, "/readyz");
                let ready = tokio::time::timeout(PROBE_INTERVAL, probe).await;
                let mut state = self.lock();
                // The process of the entry host may have been replaced during the probe.
                if state.entries[index].address == entry.address {
                    state.entries[index].ready = ready.unwrap_or(false);
                }
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Selects the next ready entry host in turn, or the next one if none is ready.
    pub(crate) fn pick(&self) -> (usize, SocketAddr) {
        let mut state = self.lock();
        let count = state.entries.len();
        let first = state.next;
        state.next = (first + 1) % count;
        let indexes = (0..count).map(|step| (first + step) % count);
        let mut ready = indexes.filter(|index| state.entries[*index].ready);
        let index = ready.next().unwrap_or(first);
        (index, state.entries[index].address)
    }

    /// Replaces the address of entry host `index` by that of its new process, not yet ready.
    pub(crate) fn replace(&self, index: usize, address: SocketAddr) {
        let entry = BalancedEntry {
            address,
            ready: false,
        };
        self.lock().entries[index] = entry;
    }

    /// Records that entry host `index` is disturbed from now on.
    pub(crate) fn begin_disturbance(&self, index: usize) {
        let disturbance = EntryDisturbance {
            entry: index,
            from: wall_now(),
            until: WallTime(u64::MAX),
        };
        self.lock().disturbances.push(disturbance);
    }

    /// Records that the last disturbance of entry host `index` has ended.
    pub(crate) fn end_disturbance(&self, index: usize) {
        let mut state = self.lock();
        let mut disturbances = state.disturbances.iter_mut().rev();
        if let Some(last) = disturbances.find(|disturbance| disturbance.entry == index) {
            last.until = wall_now();
        }
    }

    /// Whether entry host `index` was killed or frozen between `from` and `until`, extended by
    /// `DISTURBANCE_MARGIN_MS`.
    pub(crate) fn was_disturbed(&self, index: usize, from: WallTime, until: WallTime) -> bool {
        self.lock().disturbances.iter().any(|disturbance| {
            disturbance.entry == index
                && disturbance.from.0 <= until.0.saturating_add(DISTURBANCE_MARGIN_MS)
                && from.0 <= disturbance.until.0.saturating_add(DISTURBANCE_MARGIN_MS)
        })
    }

    fn lock(&self) -> MutexGuard<'_, BalancerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
