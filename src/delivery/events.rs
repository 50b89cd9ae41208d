//! Log events about requests on their way (numbers 200 to 299).

use crate::events::LogEvent;

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[];
