//! The interfaces to the platform's services: the table, the host list and the sources of weights.
//!
//! Each service has a narrow trait with one HTTP client that implements it, so that another
//! implementation can be substituted by replacing one file. `docs/PLATFORM.md` describes the
//! protocols of the clients.

pub(crate) mod events;
pub(crate) mod host_list;
pub(crate) mod http;
pub(crate) mod table_store;
pub(crate) mod weight_source;

pub(crate) use host_list::{HostEntry, HostList, HostRole, ListedState};
pub(crate) use table_store::{RowRevision, TableRow, TableStore, WriteResult};
pub(crate) use weight_source::WeightSource;
