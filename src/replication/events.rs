//! Log events about weights on the users' platform (numbers 1300 to 1399).

use crate::events::LogEvent;

pub(crate) const SERVING: LogEvent = LogEvent::info(1300, "listening");
pub(crate) const ENGINE_UNRESPONSIVE: LogEvent = LogEvent::warn(1301, "the engine does not answer");
pub(crate) const ENGINE_RESPONSIVE: LogEvent = LogEvent::info(1302, "the engine answers");
pub(crate) const FETCH_STARTED: LogEvent = LogEvent::info(1303, "a version is being fetched");
pub(crate) const VERSION_STAGED: LogEvent = LogEvent::info(1304, "a version is staged whole");
pub(crate) const CHUNK_CORRUPT: LogEvent =
    LogEvent::warn(1305, "a chunk does not match its digest");
pub(crate) const CHUNK_FETCH_FAILED: LogEvent = LogEvent::info(1306, "a chunk did not come");
pub(crate) const STAGED_CHUNK_CORRUPT: LogEvent =
    LogEvent::warn(1307, "a staged chunk has gone bad and is fetched again");
pub(crate) const LOAD_ORDERED: LogEvent = LogEvent::info(1308, "the engine was ordered to load");
pub(crate) const LOAD_REFUSED: LogEvent = LogEvent::warn(1309, "the engine refused an order");
pub(crate) const VERSION_SERVED: LogEvent = LogEvent::info(1310, "the engine serves a version");
pub(crate) const DIGESTS_FAILED: LogEvent =
    LogEvent::warn(1311, "the digests of a version were not read");
pub(crate) const DIGESTS_SUSPECT: LogEvent = LogEvent::warn(
    1312,
    "the digests are read again: chunks of several sources do not match",
);
pub(crate) const FETCH_ABANDONED: LogEvent = LogEvent::info(1313, "a version is no longer wanted");
pub(crate) const ENTRIES_UNRESPONSIVE: LogEvent =
    LogEvent::warn(1314, "no entry host answers; the store is read instead");
pub(crate) const STORE_READ_FAILED: LogEvent = LogEvent::warn(1315, "the store was not read");
pub(crate) const LINK_SLOW: LogEvent = LogEvent::warn(
    1316,
    "the link carries less than it should; weights get less of it",
);
pub(crate) const WAIT_CHANGED: LogEvent = LogEvent::info(1317, "the host waits for something else");
pub(crate) const ENGINE_RESTARTED: LogEvent = LogEvent::warn(
    1318,
    "the engine has started again; what was known of it is looked at anew",
);
pub(crate) const LEASE_UNREADABLE: LogEvent =
    LogEvent::warn(1319, "a lease on load reports does not read");
pub(crate) const PREVIOUS_RETIRED: LogEvent = LogEvent::info(
    1320,
    "the engine was ordered off weights that may answer no more",
);

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[
    SERVING,
    ENGINE_UNRESPONSIVE,
    ENGINE_RESPONSIVE,
    FETCH_STARTED,
    VERSION_STAGED,
    CHUNK_CORRUPT,
    CHUNK_FETCH_FAILED,
    STAGED_CHUNK_CORRUPT,
    LOAD_ORDERED,
    LOAD_REFUSED,
    VERSION_SERVED,
    DIGESTS_FAILED,
    DIGESTS_SUSPECT,
    FETCH_ABANDONED,
    ENTRIES_UNRESPONSIVE,
    STORE_READ_FAILED,
    LINK_SLOW,
    WAIT_CHANGED,
    ENGINE_RESTARTED,
    LEASE_UNREADABLE,
    PREVIOUS_RETIRED,
];
