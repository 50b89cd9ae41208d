//! Settings of every program: each is a flag and an environment variable, read and checked
//! together at the start, so that an operator sees all faults at once, each with the flag's name,
//! what was given and what would do.

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
