//! The platform's balancer, as far as the lab needs one: which entry hosts say that they are ready.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::lab::launch::LabClient;
use crate::time::{WallTime, wall_now};

const PROBE_PAUSE: Duration = Duration::from_millis(200);
/// How long before and after its disturbance an entry host's broken connections are put down to it.
const DISTURBANCE_MARGIN_MS: u64 = 2_000;

/// The entry hosts as the balancer sees them. Clones share it.
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

/// A time in which an entry host was killed or frozen.
#[apply(plain!)]
#[derive(Copy)]
struct EntryDisturbance {
    entry: usize,
    from: WallTime,
    until: WallTime,
}

impl EntryBalancer {
    /// A board over the entry hosts at `addresses`, all of them ready.
    pub(crate) fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let balancer = Self::default();
        let entries = addresses.into_iter().map(|address| BalancedEntry {
            address,
            ready: true,
        });
        balancer.lock().entries = entries.collect();
        balancer
    }

    /// Asks the entry hosts for their readiness, for ever.
    pub(crate) async fn keep_probing(self) {
        let client = LabClient::default();
        loop {
            let entries = self.lock().entries.clone();
            for (index, entry) in entries.iter().enumerate() {
                let probe = client.is_ok(entry.address, "/readyz");
                let ready = tokio::time::timeout(PROBE_PAUSE, probe).await;
                let mut state = self.lock();
                // The entry host may have been replaced meanwhile.
                if state.entries[index].address == entry.address {
                    state.entries[index].ready = ready.unwrap_or(false);
                }
            }
            tokio::time::sleep(PROBE_PAUSE).await;
        }
    }

    /// The next ready entry host, in turn; any when none is.
    pub(crate) fn pick(&self) -> (usize, SocketAddr) {
        let mut state = self.lock();
        let count = state.entries.len();
        let first = state.next;
        state.next = (first + 1) % count;
        let places = (0..count).map(|step| (first + step) % count);
        let mut ready = places.filter(|place| state.entries[*place].ready);
        let place = ready.next().unwrap_or(first);
        (place, state.entries[place].address)
    }

    /// Puts a new process's address in the place of entry host `index`.
    pub(crate) fn replace(&self, index: usize, address: SocketAddr) {
        let entry = BalancedEntry {
            address,
            ready: false,
        };
        self.lock().entries[index] = entry;
    }

    /// Notes that entry host `index` is disturbed from now on.
    pub(crate) fn begin_disturbance(&self, index: usize) {
        let disturbance = EntryDisturbance {
            entry: index,
            from: wall_now(),
            until: WallTime(u64::MAX),
        };
        self.lock().disturbances.push(disturbance);
    }

    /// Notes that entry host `index` is well again.
    pub(crate) fn end_disturbance(&self, index: usize) {
        let mut state = self.lock();
        let mut disturbances = state.disturbances.iter_mut().rev();
        if let Some(last) = disturbances.find(|disturbance| disturbance.entry == index) {
            last.until = wall_now();
        }
    }

    /// Whether entry host `index` was killed or frozen at some time between `from` and `until`.
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
