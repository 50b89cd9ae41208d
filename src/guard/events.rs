//! Log events of the guard (numbers 400 to 499).

use crate::events::LogEvent;

pub(crate) const CANCEL_FAILED: LogEvent = LogEvent::debug(
    400,
    "the cancellation of a request could not be sent to the engine",
);
pub(crate) const ENGINE_CROSSED: LogEvent = LogEvent::warn(
    401,
    "the engine sent a part of another request's answer; it was dropped",
);
pub(crate) const ENGINE_PROFILED: LogEvent = LogEvent::info(402, "received the engine's profile");
pub(crate) const ENGINE_UNRESPONSIVE: LogEvent = LogEvent::warn(403, "the engine does not respond");
pub(crate) const ENGINE_RESPONSIVE: LogEvent = LogEvent::info(404, "the engine responds again");
pub(crate) const ORDER_UNREADABLE: LogEvent =
    LogEvent::warn(405, "an order from an entry host could not be decoded");

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[
    CANCEL_FAILED,
    ENGINE_CROSSED,
    ENGINE_PROFILED,
    ENGINE_UNRESPONSIVE,
    ENGINE_RESPONSIVE,
    ORDER_UNREADABLE,
];
