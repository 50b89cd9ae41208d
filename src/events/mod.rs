//! Log events. Each has a number that never changes its meaning, so that an operator can search
//! for it and look it up in `docs/EVENTS.md`; a test compares that page with [`catalogue`]. Each
//! slice keeps its own list, with a hundred numbers to itself.

use log::Level;
use macro_rules_attribute::apply;

use crate::derives::key;

/// One kind of line in the log.
#[apply(key!)]
pub struct LogEvent {
    /// Its number in the catalogue.
    pub number: u16,
    /// How urgent it is.
    pub level: Level,
    /// What it says, before the details.
    pub text: &'static str,
}

impl LogEvent {
    /// An event that an operator should act upon.
    pub(crate) const fn error(number: u16, text: &'static str) -> Self {
        Self {
            number,
            level: Level::Error,
            text,
        }
    }

    /// An event that the system handles, but that should not recur.
    pub(crate) const fn warn(number: u16, text: &'static str) -> Self {
        Self {
            number,
            level: Level::Warn,
            text,
        }
    }

    /// A change of state worth knowing.
    pub(crate) const fn info(number: u16, text: &'static str) -> Self {
        Self {
            number,
            level: Level::Info,
            text,
        }
    }

    /// A detail for finding a cause.
    pub(crate) const fn debug(number: u16, text: &'static str) -> Self {
        Self {
            number,
            level: Level::Debug,
            text,
        }
    }
}

/// Writes a [`LogEvent`] with its details to the log.
macro_rules! log_event {
    ($event:expr) => {{
        let event: $crate::events::LogEvent = $event;
        log::log!(event.level, "[{:04}] {}", event.number, event.text);
    }};
    ($event:expr, $($detail:tt)+) => {{
        let event: $crate::events::LogEvent = $event;
        log::log!(event.level, "[{:04}] {}: {}", event.number, event.text, format_args!($($detail)+));
    }};
}

pub(crate) use log_event;

/// Every event of the product, by slice.
#[must_use]
pub fn catalogue() -> Vec<LogEvent> {
    let mut events = Vec::new();
    for slice in SLICES {
        events.extend_from_slice(slice);
    }
    events.sort_unstable();
    events
}

const SLICES: [&[LogEvent]; 13] = [
    crate::daemon::events::ALL,
    crate::delivery::events::ALL,
    crate::routing::events::ALL,
    crate::guard::events::ALL,
    crate::weights::events::ALL,
    crate::documents::events::ALL,
    crate::membership::events::ALL,
    crate::control::events::ALL,
    crate::stores::events::ALL,
    crate::fleet::events::ALL,
    crate::sync::events::ALL,
    crate::gateway::events::ALL,
    crate::replication::events::ALL,
];
