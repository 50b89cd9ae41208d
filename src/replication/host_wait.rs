//! What a host waits for until its engine has the target weights, for the log and a gauge.

use std::sync::{Mutex, PoisonError};

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::events;
use crate::derives::key;
use crate::events::log_event;
use crate::metrics;

/// Name of the gauge. Its level is the index of the variant of [`HostWait`].
const GAUGE_NAME: &str = "host_waits_for";

/// What a host waits for. While its engine does not hold the target weights, a host always waits
/// for one of these other than `Nothing`.
#[apply(key!)]
pub(super) enum HostWait {
    /// The engine holds the target weights, and other hosts can fetch them here.
    Nothing,
    /// A document with the engine's model.
    Document,
    /// The engine, which does not answer.
    Engine,
    /// The digests of the target version, which are needed to check and pass on chunks.
    Digests,
    /// Chunks of the target version, including the check of staged ones.
    Chunks,
    /// Its load time, according to its rank among the hosts that load the version.
    Schedule,
    /// The staging of the complete version.
    Staging,
    /// The engine's response to the order.
    Order,
    /// The end of the load.
    Load,
}

impl HostWait {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Document => "document",
            Self::Engine => "engine",
            Self::Digests => "digests",
            Self::Chunks => "chunks",
            Self::Schedule => "turn",
            Self::Staging => "staging",
            Self::Order => "order",
            Self::Load => "load",
        }
    }
}

/// What the fetching task and the loading task wait for.
#[derive(Debug, Default)]
pub(super) struct WaitState {
    fetch: Option<HostWait>,
    load: Option<HostWait>,
    published: Option<HostWait>,
}

impl WaitState {
    /// Sets what the fetching task waits for. Returns the host's wait if it changed.
    pub(super) fn set_fetch(&mut self, wait: HostWait) -> Option<HostWait> {
        self.fetch = Some(wait);
        self.take_change()
    }

    /// Sets what the loading task waits for; none if no version is complete. Returns the host's
    /// wait if it changed.
    pub(super) fn set_load(&mut self, wait: Option<HostWait>) -> Option<HostWait> {
        self.load = wait;
        self.take_change()
    }

    /// Records that the engine holds the loaded version. Returns the host's wait if it changed.
    pub(super) fn end_load(&mut self) -> Option<HostWait> {
        if self.fetch == Some(HostWait::Schedule) {
            self.fetch = Some(HostWait::Nothing);
        }
        self.set_load(None)
    }

    /// The host's wait, if it was not published yet. A load can't proceed while the engine does not
    /// answer, so that this takes precedence.
    fn take_change(&mut self) -> Option<HostWait> {
        let wait = match self.fetch {
            Some(HostWait::Engine | HostWait::Document) => self.fetch,
            _ => self.load.or(self.fetch),
        };
        if wait == self.published {
            return None;
        }
        self.published = wait;
        wait
    }
}

/// Publishes what the host waits for whenever it changes.
#[derive(Debug)]
pub(super) struct WaitPublisher {
    service: ByteString,
    state: Mutex<WaitState>,
}

impl WaitPublisher {
    /// Creates the publisher of a host whose engine belongs to `service`.
    pub(super) fn new(service: ByteString) -> Self {
        Self {
            service,
            state: Mutex::default(),
        }
    }

    /// See [`WaitState::set_fetch`].
    pub(super) fn set_fetch(&self, wait: HostWait) {
        self.change(|state| state.set_fetch(wait));
    }

    /// See [`WaitState::set_load`].
    pub(super) fn set_load(&self, wait: Option<HostWait>) {
        self.change(|state| state.set_load(wait));
    }

    /// See [`WaitState::end_load`].
    pub(super) fn end_load(&self) {
        self.change(WaitState::end_load);
    }

    fn change(&self, change: impl FnOnce(&mut WaitState) -> Option<HostWait>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(wait) = change(&mut state) else {
            return;
        };
        metrics::set_gauge(GAUGE_NAME, &self.service, wait as u64);
        log_event!(events::WAIT_CHANGED, "for={}", wait.as_str());
    }
}
