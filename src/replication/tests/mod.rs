mod backend_host;
mod host_waits;
mod incarnations;
mod messages;
mod reports;
mod restarts;
