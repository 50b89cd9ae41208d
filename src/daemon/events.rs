//! Log events about a process's life (numbers 100 to 199).

use crate::events::LogEvent;

pub(crate) const STARTED: LogEvent = LogEvent::info(100, "process started");
pub(crate) const DRAIN_BEGUN: LogEvent = LogEvent::info(101, "graceful stop begun");
pub(crate) const DRAIN_DONE: LogEvent = LogEvent::info(102, "graceful stop done");
pub(crate) const DRAIN_CUT_SHORT: LogEvent =
    LogEvent::warn(103, "graceful stop ended with requests under way");
pub(crate) const ACCEPT_FAILED: LogEvent = LogEvent::warn(104, "a connection was not accepted");
pub(crate) const SERVER_FAILED: LogEvent = LogEvent::error(105, "a listener stopped");

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[
    STARTED,
    DRAIN_BEGUN,
    DRAIN_DONE,
    DRAIN_CUT_SHORT,
    ACCEPT_FAILED,
    SERVER_FAILED,
];
