//! Log events about weights on the users' platform (numbers 1300 to 1399).

use crate::events::LogEvent;

pub(crate) const SERVING: LogEvent = LogEvent::info(1300, "listening");
pub(crate) const ENGINE_UNRESPONSIVE: LogEvent = LogEvent::warn(1301, "the engine does not answer");
pub(crate) const ENGINE_RESPONSIVE: LogEvent = LogEvent::info(1302, "the engine answers");
pub(crate) const FETCH_STARTED: LogEvent = LogEvent::info(1303, "fetch of a version started");
pub(crate) const VERSION_STAGED: LogEvent =
    LogEvent::info(1304, "all chunks of a version are present");
pub(crate) const CHUNK_CORRUPT: LogEvent =
    LogEvent::warn(1305, "a chunk does not match its digest");
pub(crate) const CHUNK_FETCH_FAILED: LogEvent = LogEvent::info(1306, "a chunk was not received");
pub(crate) const STAGED_CHUNK_CORRUPT: LogEvent =
    LogEvent::warn(1307, "a staged chunk is corrupt and is fetched again");
pub(crate) const LOAD_ORDERED: LogEvent = LogEvent::info(1308, "the engine was ordered to load");
pub(crate) const LOAD_REFUSED: LogEvent = LogEvent::warn(1309, "the engine refused an order");
pub(crate) const VERSION_SERVED: LogEvent = LogEvent::info(1310, "the engine serves a version");
pub(crate) const DIGESTS_FAILED: LogEvent =
    LogEvent::warn(1311, "reading the digests of a version failed");
pub(crate) const DIGESTS_SUSPECT: LogEvent = LogEvent::warn(
    1312,
    "chunks from several sources do not match; reading the digests again",
);
pub(crate) const FETCH_ABANDONED: LogEvent =
    LogEvent::info(1313, "fetch abandoned: the version is no longer the target");
pub(crate) const ENTRIES_UNRESPONSIVE: LogEvent =
    LogEvent::warn(1314, "no entry host answers; reading the store instead");
pub(crate) const STORE_READ_FAILED: LogEvent = LogEvent::warn(1315, "reading the store failed");
pub(crate) const LINK_SLOW: LogEvent = LogEvent::warn(
    1316,
    "the link is slower than configured; reducing the rate of weights",
);
pub(crate) const WAIT_CHANGED: LogEvent =
    LogEvent::info(1317, "what the host waits for has changed");
pub(crate) const ENGINE_RESTARTED: LogEvent = LogEvent::warn(
    1318,
    "the engine restarted; its staged chunks are checked again",
);
pub(crate) const LEASE_UNREADABLE: LogEvent =
    LogEvent::warn(1319, "a lease on load reports is malformed");
pub(crate) const PREVIOUS_RETIRED: LogEvent =
    LogEvent::info(1320, "the engine was ordered to release expired weights");
pub(crate) const STAGING_CHECK_OUTDATED: LogEvent = LogEvent::warn(
    1321,
    "the check of staged chunks is too old for an order; checking them again",
);
pub(crate) const ORDER_UNCONFIRMED: LogEvent = LogEvent::warn(
    1322,
    "it is unknown when the engine accepted an order; its staged chunks are checked again",
);
pub(crate) const LOAD_CORRUPT: LogEvent = LogEvent::warn(
    1323,
    "the engine may have loaded corrupt chunks; it releases them before it serves requests",
);

pub(crate) const LOAD_UNKNOWN: LogEvent = LogEvent::warn(
    1324,
    "the engine has loaded by an order that this process did not send; its staged chunks are checked",
);

pub(crate) const LOAD_UNVERIFIED: LogEvent =
    LogEvent::warn(1325, "the verification of a load failed and is repeated");

pub(crate) const LOAD_TRUSTED: LogEvent = LogEvent::warn(
    1326,
    "the digests of the weights that the engine served at the start are not known; it serves them unverified",
);

/// All log events of this module.
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
    STAGING_CHECK_OUTDATED,
    ORDER_UNCONFIRMED,
    LOAD_CORRUPT,
    LOAD_UNKNOWN,
    LOAD_UNVERIFIED,
    LOAD_TRUSTED,
];
