mod backend_host;
mod digest_sources;
mod host_waits;
mod incarnations;
mod messages;
mod reports;
mod restarts;
mod retirement;
