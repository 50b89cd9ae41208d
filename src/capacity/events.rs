//! Log events of the account of what the process holds (numbers 1400 to 1499).

use crate::events::LogEvent;

pub(crate) const HOST_LIMITED: LogEvent = LogEvent::warn(
    1400,
    "connections, requests or bodies gave way or were refused to stay within the host's limits",
);

/// All log events of this folder.
pub(crate) const ALL: &[LogEvent] = &[HOST_LIMITED];
