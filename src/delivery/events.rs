//! Log events about requests on their way (numbers 200 to 299).

use crate::events::LogEvent;

pub(crate) const CONNECTION_UNRESPONSIVE: LogEvent = LogEvent::warn(
    200,
    "a connection to a host went silent; its pool was dropped",
);
pub(crate) const FOREIGN_FRAME: LogEvent =
    LogEvent::warn(201, "a frame of another attempt was dropped");
pub(crate) const OUTCOME_UNANSWERED: LogEvent =
    LogEvent::warn(202, "a host gave no word about an attempt");
pub(crate) const OUTCOME_UNKNOWN: LogEvent =
    LogEvent::warn(203, "a request ended without knowing whether it ran");
pub(crate) const SERVING: LogEvent = LogEvent::info(204, "requests are taken");
pub(crate) const ENTRY_REFUSING: LogEvent =
    LogEvent::info(205, "new requests are refused from now on");

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[
    CONNECTION_UNRESPONSIVE,
    FOREIGN_FRAME,
    OUTCOME_UNANSWERED,
    OUTCOME_UNKNOWN,
    SERVING,
    ENTRY_REFUSING,
];
