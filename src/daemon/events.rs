//! Log events of process start, stop, settings and logging (numbers 100 to 199).

use crate::events::LogEvent;

pub(crate) const STARTED: LogEvent = LogEvent::info(100, "process started");
pub(crate) const DRAIN_BEGUN: LogEvent = LogEvent::info(101, "graceful stop begun");
pub(crate) const DRAIN_DONE: LogEvent = LogEvent::info(102, "graceful stop complete");
pub(crate) const DRAIN_CUT_SHORT: LogEvent =
    LogEvent::warn(103, "graceful stop ended with requests in flight");
pub(crate) const ACCEPT_FAILED: LogEvent = LogEvent::warn(104, "accepting a connection failed");
pub(crate) const SETTINGS_RELOADED: LogEvent = LogEvent::info(106, "settings reloaded");
pub(crate) const SETTINGS_RELOAD_FAILED: LogEvent = LogEvent::error(
    107,
    "settings cannot be read; the previous settings stay in force",
);
pub(crate) const SIGNAL_HANDLER_FAILED: LogEvent =
    LogEvent::error(108, "cannot install signal handlers");
pub(crate) const LINES_DROPPED: LogEvent = LogEvent::warn(109, "log lines dropped");
pub(crate) const STALLED: LogEvent = LogEvent::warn(110, "process stalled");
pub(crate) const CONNECTION_FAILED: LogEvent =
    LogEvent::debug(111, "a client's connection ended with an error");
pub(crate) const SOCKET_OPTION_FAILED: LogEvent = LogEvent::warn(
    112,
    "the buffers of a listener's connections cannot be limited",
);

/// All events of this folder.
pub(crate) const ALL: &[LogEvent] = &[
    STARTED,
    DRAIN_BEGUN,
    DRAIN_DONE,
    DRAIN_CUT_SHORT,
    ACCEPT_FAILED,
    SETTINGS_RELOADED,
    SETTINGS_RELOAD_FAILED,
    SIGNAL_HANDLER_FAILED,
    LINES_DROPPED,
    STALLED,
    CONNECTION_FAILED,
    SOCKET_OPTION_FAILED,
];
