//! savoryswitch distributes new model weights to all hosts that need them during a burst of
//! requests. Meanwhile, live requests get complete and correct responses, and urgent requests are
//! served first.
//!
//! One library contains all code; the programs in `src/bin` only call it. Each folder covers one
//! area with its state, messages and decisions. Decisions are pure functions of an event and the
//! current time; separate adapters and drivers perform the I/O. This file lists the public
//! interface.

mod admission;
mod capacity;
mod catalog;
mod control;
mod daemon;
mod delivery;
mod derives;
mod documents;
mod engines;
mod entry;
mod errors;
mod events;
mod fleet;
mod gateway;
mod guard;
mod host;
mod lab;
mod load_reports;
mod membership;
mod metrics;
mod operator;
mod overload;
mod placement;
mod platform;
mod quarantine;
mod replication;
mod routing;
mod settings;
mod stores;
mod sync;
#[cfg(test)]
mod test_support;
mod time;
mod transport;
mod weights;

pub use documents::{
    AccountSpec, DeadlineSpec, HostSelection, OutageRule, RequestPriority, RetrySpec, RolloutSpec,
    RouteSpec, ServiceDocument, ServiceKind, SpreadObjective, TableAwayRule, WeightsSpec,
};
pub use entry::entry_main;
pub use errors::{
    ErrorKind, ErrorSpec, RetryAdvice, RunOutcome, SwitchError, SwitchResult, error_spec,
};
pub use events::{LogEvent, catalogue};
pub use host::host_main;
pub use lab::lab_main;
pub use operator::operator_main;
pub use time::{ClockTime, WallTime};
pub use weights::WeightsDigest;
