//! Log events about backend servers as entry hosts see them (numbers 1000 to 1099).

use crate::events::LogEvent;

pub(crate) const BACKEND_ADDED: LogEvent = LogEvent::info(1000, "backend server added");
pub(crate) const BACKEND_LEAVING: LogEvent = LogEvent::info(
    1001,
    "backend server is leaving; no new requests are sent to it",
);
pub(crate) const BACKEND_REMOVED: LogEvent = LogEvent::info(1002, "backend server removed");
pub(crate) const BACKEND_PAUSED: LogEvent = LogEvent::warn(
    1003,
    "circuit breaker of a backend server opened; no requests are sent there for a while",
);

pub(crate) const BACKEND_RESTARTED: LogEvent = LogEvent::info(
    1004,
    "backend server restarted; its former state is discarded",
);

pub(crate) const BACKEND_LIMITED: LogEvent = LogEvent::info(
    1005,
    "the request rate that a backend server advertises has changed",
);

pub(crate) const BACKEND_ANNOUNCED_LEAVING: LogEvent = LogEvent::info(
    1006,
    "backend server announced in a response that it is leaving; no new requests are sent to it",
);

pub(crate) const BACKEND_REQUESTED_PAUSE: LogEvent = LogEvent::info(
    1007,
    "backend server asked this entry host to send it no requests for a while",
);

/// All log events of this module.
pub(crate) const ALL: &[LogEvent] = &[
    BACKEND_ADDED,
    BACKEND_LEAVING,
    BACKEND_REMOVED,
    BACKEND_PAUSED,
    BACKEND_RESTARTED,
    BACKEND_LIMITED,
    BACKEND_ANNOUNCED_LEAVING,
    BACKEND_REQUESTED_PAUSE,
];
