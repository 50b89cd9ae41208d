//! Log events about membership (numbers 700 to 799).

use crate::events::LogEvent;

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[];
