//! Log events about the platform (numbers 900 to 999).

use crate::events::LogEvent;

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[];
