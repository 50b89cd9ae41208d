//! Log events about documents (numbers 600 to 699).

use crate::events::LogEvent;

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[];
