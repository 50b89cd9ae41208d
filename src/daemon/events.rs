//! Log events about a process's life (numbers 100 to 199).

use crate::events::LogEvent;

pub(crate) const STARTED: LogEvent = LogEvent::info(100, "process started");
pub(crate) const DRAIN_BEGUN: LogEvent = LogEvent::info(101, "graceful stop begun");
pub(crate) const DRAIN_DONE: LogEvent = LogEvent::info(102, "graceful stop done");
pub(crate) const DRAIN_CUT_SHORT: LogEvent =
    LogEvent::warn(103, "graceful stop ended with requests under way");
pub(crate) const ACCEPT_FAILED: LogEvent = LogEvent::warn(104, "a connection was not accepted");
pub(crate) const SERVER_FAILED: LogEvent = LogEvent::error(105, "a listener stopped");
pub(crate) const SETTINGS_RELOADED: LogEvent = LogEvent::info(106, "settings read again");
pub(crate) const SETTINGS_RELOAD_FAILED: LogEvent =
    LogEvent::error(107, "the settings do not read; the earlier ones stay");
pub(crate) const SIGNAL_HANDLER_FAILED: LogEvent =
    LogEvent::error(108, "signals cannot be followed");
pub(crate) const LINES_DROPPED: LogEvent = LogEvent::warn(109, "log lines were left out");
pub(crate) const STALLED: LogEvent = LogEvent::warn(110, "this process did not run for a while");

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[
    STARTED,
    DRAIN_BEGUN,
    DRAIN_DONE,
    DRAIN_CUT_SHORT,
    ACCEPT_FAILED,
    SERVER_FAILED,
    SETTINGS_RELOADED,
    SETTINGS_RELOAD_FAILED,
    SIGNAL_HANDLER_FAILED,
    LINES_DROPPED,
    STALLED,
];
