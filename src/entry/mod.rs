//! The entry host process (`savory-entry`): takes callers' requests over HTTP, forwards each to a
//! host with a backend server for its service, and streams the answer to the caller.

mod caller_headers;
mod completions;
mod daemon;
mod entry_state;
mod plain_call;
mod reply;
mod response_body;
mod routes;
mod settings;
#[cfg(test)]
mod tests;

pub use daemon::entry_main;
