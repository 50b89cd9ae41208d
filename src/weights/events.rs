//! Log events about weights (numbers 500 to 599).

use crate::events::LogEvent;

pub(crate) const VERSION_TARGETED: LogEvent = LogEvent::info(500, "a version is wanted");
pub(crate) const VERSION_COMPLETE: LogEvent = LogEvent::info(501, "a version is whole");
pub(crate) const VERSION_SERVED: LogEvent = LogEvent::info(502, "a version is served");
pub(crate) const VERSION_EVICTED: LogEvent = LogEvent::info(503, "a version was let go");
pub(crate) const MANIFEST_REFUSED: LogEvent = LogEvent::error(510, "a manifest was refused");
pub(crate) const CHUNK_REFUSED: LogEvent = LogEvent::warn(511, "a chunk was refused");
pub(crate) const VERSION_REFUSED: LogEvent =
    LogEvent::error(512, "the whole does not match the document's digest");
pub(crate) const SOURCE_FAILED: LogEvent = LogEvent::debug(513, "a source did not deliver");
pub(crate) const MEMORY_TOO_SMALL: LogEvent =
    LogEvent::error(514, "the version does not fit into memory");
pub(crate) const LOAD_FAILED: LogEvent = LogEvent::error(520, "the engine did not load a version");
pub(crate) const GATE_CLOSE_PENDING: LogEvent =
    LogEvent::info(521, "requests of the old version are still under way");
pub(crate) const ORDER_READ_BACK: LogEvent =
    LogEvent::warn(522, "an order's outcome is read back from the engine");
pub(crate) const ENGINE_UNREADABLE: LogEvent =
    LogEvent::warn(523, "the engine's state cannot be read");
pub(crate) const ORDER_GIVEN: LogEvent = LogEvent::info(524, "the engine was ordered to load");
pub(crate) const ROLLOUT_STOPPED: LogEvent =
    LogEvent::error(525, "the rollout of a version was stopped");

/// All of this slice's events.
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
