//! Log events about the choice of backend servers (numbers 300 to 399).

use crate::events::LogEvent;

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[];
