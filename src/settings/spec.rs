//! What one setting is called, means and defaults to.

use clap::{Arg, Command};
use macro_rules_attribute::apply;

use crate::derives::key;

/// One setting. The environment variable is the flag in capitals behind `SAVORY_`.
#[apply(key!)]
pub(crate) struct SettingSpec {
    /// The flag without its dashes, such as `caller-address`.
    pub(crate) flag: &'static str,
    /// What the value looks like, such as `IP:PORT`.
    pub(crate) shape: &'static str,
    /// One sentence for `--help`.
    pub(crate) help: &'static str,
    /// The value when none is given; `None` makes the setting required.
    pub(crate) default: Option<&'static str>,
}

impl SettingSpec {
    /// A setting that must be given.
    pub(crate) const fn required(
        flag: &'static str,
        shape: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            flag,
            shape,
            help,
            default: None,
        }
    }

    /// A setting with a default; an empty default means "not set".
    pub(crate) const fn optional(
        flag: &'static str,
        shape: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            flag,
            shape,
            help,
            default: Some(default),
        }
    }

    /// The environment variable that sets it.
    pub(crate) fn variable(&self) -> String {
        format!("SAVORY_{}", self.flag.replace('-', "_").to_uppercase())
    }

    fn to_arg(self) -> Arg {
        let mut arg = Arg::new(self.flag)
            .long(self.flag)
            .value_name(self.shape)
            .env(self.variable());
        arg = match self.default {
            Some("") => arg.help(self.help),
            Some(default) => arg.help(format!("{} [default: {default}]", self.help)),
            None => arg.help(format!("{} (required)", self.help)),
        };
        arg
    }
}

/// Adds every setting of `specs` to `command`.
pub(super) fn add_settings(command: Command, specs: &'static [SettingSpec]) -> Command {
    command.args(specs.iter().map(|spec| spec.to_arg()))
}
