//! savoryswitch carries new model weights to every host that needs them during a burst, keeps live
//! requests getting whole and correct answers meanwhile, and serves urgent requests first.
//!
//! One library, thin daemons. Each duty is a folder with its state, its messages and its decisions;
//! decisions are plain functions of an event and the present time, and the edges carry them out.
//! What is public is listed here.

mod admission;
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
