//! Log events about the host process's traffic (numbers 400 to 499).

use crate::events::LogEvent;

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[];
