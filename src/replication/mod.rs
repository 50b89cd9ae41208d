//! Runs colocated with an engine on the users' platform. It reports the engine's load to entry
//! hosts, fetches the chunks of the target version from other hosts and the origin, checks and
//! stages them, and orders the engine to load the complete version.

mod chunk_fetch;
mod chunk_messages;
mod chunk_routes;
mod chunk_staging;
mod chunk_store;
mod digest_sources;
mod engine_incarnation;
mod engine_monitor;
mod engine_updater;
pub(crate) mod events;
mod host_daemon;
mod host_wait;
mod load_orders;
mod load_rank;
mod load_reports;
mod order_doubt;
#[cfg(test)]
mod tests;
mod version_fetcher;
mod view_poller;
mod weights_retirement;

pub(crate) use host_daemon::run_backend_host;
