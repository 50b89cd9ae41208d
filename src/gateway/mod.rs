//! The way of a request through an entry host, from the client's connection to a backend server and
//! back. The entry host calls backend servers itself; what it knows of an attempt is all that
//! decides whether the attempt may be sent again, because each attempt of a client comes to one
//! entry host over one connection.

mod backend_connection;
mod connection_shelf;
mod crash_watch;
mod daemon;
mod event_reader;
pub(crate) mod events;
mod forward;
mod forwarder;
mod gateway_state;
mod open_sends;
mod repeat_bar;
mod reply;
mod report_relay;
mod request_intake;
mod request_job;
mod request_log;
mod send_attempt;
mod stream_relay;
mod stream_source;
#[cfg(test)]
mod tests;
mod whole_body;

pub(crate) use daemon::run_gateway;
