//! Admission control of a service: which requests it accepts, and in which order it dispatches
//! them.
//!
//! Each account has a rate limit and a limit on its share of urgent requests. Urgent requests are
//! dispatched before normal ones, and normal ones before batch requests. Within a class, accounts
//! share the capacity by weight. A request that cannot start before its deadline is refused at
//! once.

mod account_lookup;
mod account_state;
mod admission_state;
mod fair_queue;
mod retry_budget;
mod service_rate;
#[cfg(test)]
mod tests;
mod token_bucket;

pub(crate) use account_lookup::find_account;
pub(crate) use admission_state::{AdmissionState, DispatchOutcome, QueuedRequest};
pub(crate) use fair_queue::{AccountKey, TicketKey};
pub(crate) use retry_budget::RetryCause;
