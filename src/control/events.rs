//! Log events about the control thread and leases (numbers 800 to 899).

use crate::events::LogEvent;

pub(crate) const THREAD_FAILED: LogEvent = LogEvent::error(800, "the control thread cannot run");
pub(crate) const TABLE_AWAY: LogEvent = LogEvent::warn(801, "the table does not answer");
pub(crate) const TABLE_BACK: LogEvent = LogEvent::info(802, "the table answers");
pub(crate) const LIST_AWAY: LogEvent = LogEvent::warn(803, "the list of hosts does not answer");

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[THREAD_FAILED, TABLE_AWAY, TABLE_BACK, LIST_AWAY];
