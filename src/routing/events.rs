//! Log events of routing (numbers 300 to 399).

use crate::events::LogEvent;

pub(crate) const BREAKER_OPENED: LogEvent = LogEvent::warn(
    300,
    "circuit breaker opened: no requests to a backend server for some time",
);

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[BREAKER_OPENED];
