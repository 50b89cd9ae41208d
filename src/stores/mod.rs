//! The platform: what it offers, each offer behind a narrow trait, with one HTTP client for each.
//! Another form of the same thing is put in by replacing one file. `docs/PLATFORM.md` has the
//! protocols that the clients speak.

pub(crate) mod events;
pub(crate) mod host_list;
pub(crate) mod http;
pub(crate) mod table_store;
pub(crate) mod weight_source;

pub(crate) use host_list::{HostEntry, HostList, HostRole, ListedState};
pub(crate) use table_store::{RowRevision, TableRow, TableStore, WriteResult};
pub(crate) use weight_source::WeightSource;
