//! Log events about the host process's traffic (numbers 400 to 499).

use crate::events::LogEvent;

pub(crate) const CANCEL_FAILED: LogEvent = LogEvent::debug(400, "an engine was not told to cancel");
pub(crate) const ENGINE_CROSSED: LogEvent =
    LogEvent::warn(401, "an engine sent a part of another request's answer");
pub(crate) const ENGINE_PROFILED: LogEvent = LogEvent::info(402, "the engine was met");
pub(crate) const ENGINE_UNRESPONSIVE: LogEvent = LogEvent::warn(403, "the engine does not answer");
pub(crate) const ENGINE_RESPONSIVE: LogEvent = LogEvent::info(404, "the engine answers again");
pub(crate) const ORDER_UNREADABLE: LogEvent =
    LogEvent::warn(405, "an order from an entry host does not read");

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[
    CANCEL_FAILED,
    ENGINE_CROSSED,
    ENGINE_PROFILED,
    ENGINE_UNRESPONSIVE,
    ENGINE_RESPONSIVE,
    ORDER_UNREADABLE,
];
