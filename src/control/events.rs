//! Log events about the control thread and leases (numbers 800 to 899).

use crate::events::LogEvent;

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[];
