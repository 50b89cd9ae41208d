//! Log events about weights (numbers 500 to 599).

use crate::events::LogEvent;

pub(crate) const VERSION_TARGETED: LogEvent = LogEvent::info(500, "target version set");
pub(crate) const VERSION_COMPLETE: LogEvent = LogEvent::info(501, "version complete");
pub(crate) const VERSION_SERVED: LogEvent = LogEvent::info(502, "version served");
pub(crate) const VERSION_EVICTED: LogEvent = LogEvent::info(503, "version evicted");
pub(crate) const MANIFEST_REFUSED: LogEvent = LogEvent::error(510, "manifest rejected");
pub(crate) const CHUNK_REFUSED: LogEvent = LogEvent::warn(511, "chunk rejected");
pub(crate) const VERSION_REFUSED: LogEvent = LogEvent::error(
    512,
    "complete version does not match the digest in the service document",
);
pub(crate) const SOURCE_FAILED: LogEvent = LogEvent::debug(513, "fetch from a source failed");
pub(crate) const MEMORY_TOO_SMALL: LogEvent =
    LogEvent::error(514, "version does not fit into memory");
pub(crate) const LOAD_FAILED: LogEvent = LogEvent::error(520, "engine failed to load a version");
pub(crate) const GATE_CLOSE_PENDING: LogEvent = LogEvent::info(
    521,
    "gate closed; requests of the previous version still in progress",
);
pub(crate) const ORDER_READ_BACK: LogEvent = LogEvent::warn(
    522,
    "outcome of a load order unknown; reading it back from the engine",
);
pub(crate) const ENGINE_UNREADABLE: LogEvent = LogEvent::warn(523, "engine state cannot be read");
pub(crate) const ORDER_GIVEN: LogEvent = LogEvent::info(524, "load order sent to the engine");
pub(crate) const ROLLOUT_STOPPED: LogEvent = LogEvent::error(525, "rollout of a version stopped");

/// All log events of this module.
pub(crate) const ALL: &[LogEvent] = &[
    VERSION_TARGETED,
    VERSION_COMPLETE,
    VERSION_SERVED,
    VERSION_EVICTED,
    MANIFEST_REFUSED,
    CHUNK_REFUSED,
    VERSION_REFUSED,
    SOURCE_FAILED,
    MEMORY_TOO_SMALL,
    LOAD_FAILED,
    GATE_CLOSE_PENDING,
    ORDER_READ_BACK,
    ENGINE_UNREADABLE,
    ORDER_GIVEN,
    ROLLOUT_STOPPED,
];
