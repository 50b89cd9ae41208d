//! What a host waits for on its way to the wanted weights, for the log and a gauge.

use std::sync::{Mutex, PoisonError};

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::events;
use crate::derives::key;
use crate::events::log_event;
use crate::metrics;

/// The gauge's name; its level is the place in [`HostWait`].
const GAUGE_NAME: &str = "host_waits_for";

/// What a host waits for. A live host beside an engine that does not hold the wanted weights waits
/// for one of these, and never for nothing.
#[apply(key!)]
pub(super) enum HostWait {
    /// The engine holds the wanted weights, and other hosts can be given them.
    Nothing,
    /// A document that names the engine's model.
    Document,
    /// The engine, which does not answer.
    Engine,
    /// The digests of the wanted version, without which no chunk can be checked or passed on.
    Digests,
    /// Chunks of it, those that lie staged included.
    Chunks,
    /// Its turn among the hosts that change their engines.
    Turn,
    /// The staging of the whole version.
    Staging,
    /// The engine's answer to the order.
    Order,
    /// The end of the order.
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
            Self::Turn => "turn",
            Self::Staging => "staging",
            Self::Order => "order",
            Self::Load => "load",
        }
    }
}

/// What the two tasks wait for that bring a version here and load it.
#[derive(Debug, Default)]
pub(super) struct WaitState {
    fetch: Option<HostWait>,
    load: Option<HostWait>,
    told: Option<HostWait>,
}

impl WaitState {
    /// The fetching task waits for `wait`.
    pub(super) fn set_fetch(&mut self, wait: HostWait) -> Option<HostWait> {
        self.fetch = Some(wait);
        self.news()
    }

    /// The loading task waits for `wait`; for none if no version is whole.
    pub(super) fn set_load(&mut self, wait: Option<HostWait>) -> Option<HostWait> {
        self.load = wait;
        self.news()
    }

    /// The engine holds what was loaded.
    pub(super) fn end_load(&mut self) -> Option<HostWait> {
        if self.fetch == Some(HostWait::Turn) {
            self.fetch = Some(HostWait::Nothing);
        }
        self.set_load(None)
    }

    /// What the host waits for, if that was not told yet. Without an answer of the engine no load
    /// goes on.
    fn news(&mut self) -> Option<HostWait> {
        let wait = match self.fetch {
            Some(HostWait::Engine | HostWait::Document) => self.fetch,
            _ => self.load.or(self.fetch),
        };
        if wait == self.told {
            return None;
        }
        self.told = wait;
        wait
    }
}

/// Tells what the host waits for whenever that changes.
#[derive(Debug)]
pub(super) struct WaitBoard {
    service: ByteString,
    state: Mutex<WaitState>,
}

impl WaitBoard {
    /// The board of a host beside an engine of `service`.
    pub(super) fn new(service: ByteString) -> Self {
        Self {
            service,
            state: Mutex::default(),
        }
    }

    /// As [`WaitState::set_fetch`].
    pub(super) fn set_fetch(&self, wait: HostWait) {
        self.change(|state| state.set_fetch(wait));
    }

    /// As [`WaitState::set_load`].
    pub(super) fn set_load(&self, wait: Option<HostWait>) {
        self.change(|state| state.set_load(wait));
    }

    /// As [`WaitState::end_load`].
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
