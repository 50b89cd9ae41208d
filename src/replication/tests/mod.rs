mod backend_host;
mod restarts;
