mod backend_host;
mod digest_lines;
mod host_waits;
mod incarnations;
mod messages;
mod reports;
mod restarts;
mod retire;
