//! Log events about the host process's traffic (numbers 400 to 499).

use crate::events::LogEvent;

pub(crate) const CANCEL_FAILED: LogEvent = LogEvent::debug(400, "an engine was not told to cancel");
pub(crate) const ENGINE_CROSSED: LogEvent =
    LogEvent::warn(401, "an engine sent a part of another request's answer");
pub(crate) const ENGINE_MET: LogEvent = LogEvent::info(402, "the engine was met");
pub(crate) const ENGINE_SILENT: LogEvent = LogEvent::warn(403, "the engine does not answer");
pub(crate) const ENGINE_BACK: LogEvent = LogEvent::info(404, "the engine answers again");
pub(crate) const ORDER_UNREADABLE: LogEvent =
    LogEvent::warn(405, "an order from an entry host does not read");
pub(crate) const SLOT_TAKEN: LogEvent = LogEvent::debug(410, "the lease on a slot was taken");
pub(crate) const SLOT_RELEASED: LogEvent =
    LogEvent::debug(411, "the lease on a slot was given back");
pub(crate) const CLAIM_DOUBLED: LogEvent = LogEvent::error(
    412,
    "another host claimed a key that ran here without a claim",
);

/// All of this slice's events.
pub(crate) const ALL: &[LogEvent] = &[
    CANCEL_FAILED,
    ENGINE_CROSSED,
    ENGINE_MET,
    ENGINE_SILENT,
    ENGINE_BACK,
    ORDER_UNREADABLE,
    SLOT_TAKEN,
    SLOT_RELEASED,
    CLAIM_DOUBLED,
];
