//! Settings of the programs, as command-line flags and environment variables. All of them are read
//! and checked together at the start, so that an operator sees all faults at once, each with the
//! flag, the given value and the expected one.

mod common;
mod reader;
mod spec;
#[cfg(test)]
mod tests;

pub(crate) use common::CommonSettings;
pub(crate) use common::{
    DATA_CENTRE, HOST_NAME, LEAVE_LINGER, LEAVE_LONGEST, LIST_ADDRESS, PEER_ADDRESS,
    PLATFORM_TIMEOUT, REGION, TABLE_ADDRESS, TRAFFIC_THREADS,
};
pub(crate) use reader::{SettingReader, SettingsFaults};
pub(crate) use spec::SettingSpec;
