//! Log events of request delivery (numbers 200 to 299).

use crate::events::LogEvent;

pub(crate) const CONNECTION_UNRESPONSIVE: LogEvent = LogEvent::warn(
    200,
    "a host sent nothing within the silence limit; its connection pool was dropped",
);
pub(crate) const FOREIGN_FRAME: LogEvent =
    LogEvent::warn(201, "a frame that belongs to another attempt was dropped");
pub(crate) const OUTCOME_UNANSWERED: LogEvent = LogEvent::warn(
    202,
    "a host did not answer the query for the outcome of an attempt",
);
pub(crate) const OUTCOME_UNKNOWN: LogEvent =
    LogEvent::warn(203, "an unrepeatable request failed and may have run");
pub(crate) const SERVING: LogEvent = LogEvent::info(204, "accepting requests");
pub(crate) const ENTRY_REFUSING: LogEvent = LogEvent::info(205, "refusing new requests");

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[
    CONNECTION_UNRESPONSIVE,
    FOREIGN_FRAME,
    OUTCOME_UNANSWERED,
    OUTCOME_UNKNOWN,
    SERVING,
    ENTRY_REFUSING,
];
