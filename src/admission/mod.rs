//! Admission: which requests may enter, and in what order they go. Accounts have rates and a bound
//! on what they may call urgent; urgent goes before normal and normal before batch; within a class,
//! accounts share by weight; what cannot make it by its deadline is told at once.

mod account_key;
mod account_state;
mod admission_book;
mod fair_queue;
mod retry_budget;
mod service_rate;
#[cfg(test)]
mod tests;
mod token_bucket;

pub(crate) use account_key::find_account;
pub(crate) use admission_book::{AdmissionState, DispatchOutcome, QueuedRequest};
pub(crate) use fair_queue::{AccountKey, TicketKey};
pub(crate) use retry_budget::RetryCause;
