//! Log events about the control thread (numbers 800 to 899).

use crate::events::LogEvent;

pub(crate) const THREAD_FAILED: LogEvent = LogEvent::error(800, "the control thread cannot run");
pub(crate) const TABLE_UNAVAILABLE: LogEvent = LogEvent::warn(801, "the table is unavailable");
pub(crate) const TABLE_AVAILABLE: LogEvent = LogEvent::info(802, "the table is available");
pub(crate) const LIST_UNAVAILABLE: LogEvent = LogEvent::warn(803, "the host list is unavailable");

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[
    THREAD_FAILED,
    TABLE_UNAVAILABLE,
    TABLE_AVAILABLE,
    LIST_UNAVAILABLE,
];
