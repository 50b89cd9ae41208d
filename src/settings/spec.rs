//! Declaration of a setting: flag, format of its value, help text and default.

use clap::{Arg, Command};
use macro_rules_attribute::apply;

use crate::derives::key;

/// A setting. Its environment variable is `SAVORY_` followed by the flag in capitals.
#[apply(key!)]
pub(crate) struct SettingSpec {
    /// Flag without its leading dashes, such as `caller-address`.
    pub(crate) flag: &'static str,
    /// Format of the value, such as `IP:PORT`.
    pub(crate) value_format: &'static str,
    /// Description in `--help`.
    pub(crate) help: &'static str,
    /// Value if none is given; `None` for a required setting.
    pub(crate) default: Option<&'static str>,
}

impl SettingSpec {
    /// A required setting.
    pub(crate) const fn required(
        flag: &'static str,
        value_format: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            flag,
            value_format,
            help,
            default: None,
        }
    }

    /// An optional setting; an empty default means "not set".
    pub(crate) const fn optional(
        flag: &'static str,
        value_format: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            flag,
            value_format,
            help,
            default: Some(default),
        }
    }

    /// Name of the environment variable.
    pub(crate) fn variable(&self) -> String {
        format!("SAVORY_{}", self.flag.replace('-', "_").to_uppercase())
    }

    fn to_arg(self) -> Arg {
        let mut arg = Arg::new(self.flag)
            .long(self.flag)
            .value_name(self.value_format)
            .env(self.variable());
        arg = match self.default {
            Some("") => arg.help(self.help),
            Some(default) => arg.help(format!("{} [default: {default}]", self.help)),
            None => arg.help(format!("{} (required)", self.help)),
        };
        arg
    }
}

/// Adds the settings of `specs` to `command` as flags.
pub(super) fn add_settings(command: Command, specs: &'static [SettingSpec]) -> Command {
    command.args(specs.iter().map(|spec| spec.to_arg()))
}
