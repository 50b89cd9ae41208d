//! The way of a request through an entry host, from the client's connection to a backend server and
//! back. The entry host calls backend servers itself; what it knows of an attempt is all that
//! decides whether the attempt may be sent again, because each attempt of a client comes to one
//! entry host over one connection.

mod backend_connection;
mod buffered_body;
mod connection_pool;
mod crash_detector;
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
mod retry_denial;
mod send_attempt;
mod stream_relay;
mod stream_source;
#[cfg(test)]
mod tests;

pub(crate) use daemon::run_gateway;
