//! Gateway of an entry host: forwards requests from client connections to backend servers and
//! returns their responses.
//!
//! The entry host calls backend servers itself. Each attempt of a client arrives at one entry host
//! over one connection, so the local knowledge of an attempt suffices to decide whether it may be
//! sent again.

mod backend_connection;
mod backend_stream;
mod buffered_body;
mod connection_pool;
mod crash_detector;
mod crash_news;
mod daemon;
mod event_reader;
pub(crate) mod events;
mod forward;
mod forward_state;
mod gateway_state;
mod pending_sends;
mod reply;
mod report_relay;
mod request_intake;
mod request_job;
mod request_log;
mod retry_budgets;
mod retry_denial;
mod send_attempt;
mod stream_relay;
mod stream_source;
#[cfg(test)]
mod tests;

pub(crate) use daemon::run_gateway;
