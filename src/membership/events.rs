//! Log events about membership (numbers 700 to 799).

use crate::events::LogEvent;

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[];
