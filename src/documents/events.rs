//! Log events about documents (numbers 600 to 699).

use crate::events::LogEvent;

pub(crate) const ACCEPTED: LogEvent = LogEvent::info(600, "document accepted");
pub(crate) const REFUSED: LogEvent = LogEvent::warn(601, "document refused");
pub(crate) const IN_FORCE: LogEvent = LogEvent::info(602, "document in force");
pub(crate) const UNKNOWN_FIELDS: LogEvent = LogEvent::warn(
    603,
    "document has fields that this version of the program does not know; they have no effect here",
);
pub(crate) const UNREADABLE: LogEvent = LogEvent::error(
    604,
    "document row cannot be parsed; the document in force is kept",
);

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[ACCEPTED, REFUSED, IN_FORCE, UNKNOWN_FIELDS, UNREADABLE];
