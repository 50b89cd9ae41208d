//! Log events about the deployment state of an entry host (numbers 1100 to 1199).

use crate::events::LogEvent;

pub(crate) const DOCUMENT_IN_FORCE: LogEvent = LogEvent::info(1100, "a document is in force");
pub(crate) const DOCUMENT_UNREADABLE: LogEvent = LogEvent::error(
    1101,
    "a document is unreadable; the earlier one stays in force",
);
pub(crate) const TARGET_UPDATED: LogEvent =
    LogEvent::info(1102, "a version of weights was set as target");
pub(crate) const STORE_UNREACHABLE: LogEvent = LogEvent::warn(1103, "the store does not answer");
pub(crate) const STORE_REACHABLE: LogEvent = LogEvent::info(1104, "the store answers again");
pub(crate) const HISTORY_LOST: LogEvent = LogEvent::info(
    1105,
    "the store has lost its history; the full table is read",
);
pub(crate) const NEIGHBOUR_NEWER: LogEvent =
    LogEvent::info(1107, "a neighbour reported newer state");
pub(crate) const STALE_READ: LogEvent =
    LogEvent::info(1108, "the store answered with an older state than before");
pub(crate) const THREAD_FAILED: LogEvent = LogEvent::error(1109, "the control thread failed");
pub(crate) const NEIGHBOUR_UNRESPONSIVE: LogEvent =
    LogEvent::debug(1110, "a neighbour did not answer");

pub(crate) const TARGET_OLDER: LogEvent = LogEvent::warn(
    1111,
    "the store has an older target version of weights than before",
);
pub(crate) const VERSION_RECORDED: LogEvent =
    LogEvent::info(1113, "the last target version was recorded in the store");
pub(crate) const RECORD_FAILED: LogEvent = LogEvent::warn(
    1114,
    "the record of a target version could not be written to the store; it is retried",
);
pub(crate) const DOCUMENT_OLDER: LogEvent =
    LogEvent::warn(1112, "an older document than the one in force was reported");

pub(crate) const ROW_UNREADABLE: LogEvent =
    LogEvent::warn(1115, "a row of the store is unreadable and has no effect");
pub(crate) const ROW_READABLE: LogEvent = LogEvent::info(
    1116,
    "an unreadable row of the store became readable or was removed",
);
pub(crate) const ENTRY_LATE: LogEvent = LogEvent::info(
    1117,
    "an entry of a backend server is older than the known one and is ignored",
);
pub(crate) const HISTORY_UNREAD: LogEvent = LogEvent::warn(
    1118,
    "the store's history could not be read at the start; it is retried in the background",
);

pub(crate) const TARGET_TIME_REFINED: LogEvent =
    LogEvent::info(1119, "the time of a target update is known more precisely");

pub(crate) const ENTRIES_UNREAD: LogEvent = LogEvent::warn(
    1120,
    "the entry hosts could not be read at the start; neighbours are queried for them",
);

pub(crate) const READER_CHANGED: LogEvent = LogEvent::info(
    1121,
    "this entry host starts or stops reading the store for its data centre",
);

pub(crate) const REQUEST_QUARANTINED: LogEvent = LogEvent::warn(
    1122,
    "requests are quarantined: backend servers crashed while running them",
);
pub(crate) const CRASH_SYNC_FAILED: LogEvent = LogEvent::warn(
    1123,
    "requests that crash backend servers could not be read from or written to the store",
);

pub(crate) const STORE_RETURNED: LogEvent = LogEvent::warn(
    1124,
    "the store returned from an older copy; what was written since is lost",
);
pub(crate) const REQUEST_RELEASED: LogEvent =
    LogEvent::info(1125, "requests are no longer quarantined");

pub(crate) const EVACUATION_BEGUN: LogEvent = LogEvent::warn(
    1126,
    "the operator evacuates a data centre; no requests are sent there",
);
pub(crate) const EVACUATION_ENDED: LogEvent =
    LogEvent::info(1127, "a data centre is no longer evacuated");
pub(crate) const EVACUATION_KEPT: LogEvent = LogEvent::warn(
    1128,
    "the returned store lacks an evacuation, which stays in force until its row is written and removed",
);

/// All events of this module.
pub(crate) const ALL: &[LogEvent] = &[
    DOCUMENT_IN_FORCE,
    DOCUMENT_UNREADABLE,
    TARGET_UPDATED,
    STORE_UNREACHABLE,
    STORE_REACHABLE,
    HISTORY_LOST,
    NEIGHBOUR_NEWER,
    STALE_READ,
    THREAD_FAILED,
    NEIGHBOUR_UNRESPONSIVE,
    TARGET_OLDER,
    DOCUMENT_OLDER,
    VERSION_RECORDED,
    RECORD_FAILED,
    ROW_UNREADABLE,
    ROW_READABLE,
    ENTRY_LATE,
    HISTORY_UNREAD,
    TARGET_TIME_REFINED,
    ENTRIES_UNREAD,
    READER_CHANGED,
    REQUEST_QUARANTINED,
    CRASH_SYNC_FAILED,
    STORE_RETURNED,
    REQUEST_RELEASED,
    EVACUATION_BEGUN,
    EVACUATION_ENDED,
    EVACUATION_KEPT,
];
