//! Settings of every program: each is a flag and an environment variable, read and checked
//! together at the start, so that an operator sees all faults at once, each with the flag's name,
//! what was given and what would do.

mod reader;
mod spec;

pub(crate) use reader::{SettingReader, SettingsFaults};
pub(crate) use spec::SettingSpec;
