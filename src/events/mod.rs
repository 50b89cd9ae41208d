//! Log events with stable numbers, by which operators search the log and look events up in
//! `docs/EVENTS.md`; a test compares that page with [`catalogue`]. Each folder has its own list
//! with its own range of a hundred numbers.

use log::Level;
use macro_rules_attribute::apply;

use crate::derives::key;

/// A kind of log line.
#[apply(key!)]
pub struct LogEvent {
    /// Number in the catalogue. Its meaning never changes.
    pub number: u16,
    /// Log level.
    pub level: Level,
    /// Fixed text of the line, in front of the details.
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

    /// An event that the system handles by itself, but that should not recur.
    pub(crate) const fn warn(number: u16, text: &'static str) -> Self {
        Self {
            number,
            level: Level::Warn,
            text,
        }
    }

    /// A change of state that is relevant in normal operation.
    pub(crate) const fn info(number: u16, text: &'static str) -> Self {
        Self {
            number,
            level: Level::Info,
            text,
        }
    }

    /// A detail for diagnosis.
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

/// All log events, sorted by number.
#[must_use]
pub fn catalogue() -> Vec<LogEvent> {
    let mut events = Vec::new();
    for list in EVENT_LISTS {
        events.extend_from_slice(list);
    }
    events.sort_unstable();
    events
}

const EVENT_LISTS: [&[LogEvent]; 14] = [
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
    crate::capacity::events::ALL,
];
