//! Entry hosts: callers' requests in, answers out.

mod caller_body;
mod caller_head;
mod completions;
mod daemon;
mod plain_call;
mod reply;
mod routes;
mod settings;
#[cfg(test)]
mod tests;
mod traffic;

pub use daemon::entry_main;
