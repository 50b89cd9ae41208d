//! Reads settings into typed values and collects every fault on the way.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::spec::{SettingSpec, add_settings};

const CHECK_FLAG: &str = "check-settings";

/// All faults found in one start, ready to be printed.
pub(crate) type SettingsFaults = Vec<String>;

/// Reads one program's settings. Values that do not read become faults and a stand-in value, so
/// that the reading goes on and all faults are told at once.
pub(crate) struct SettingReader {
    matches: ArgMatches,
    specs: &'static [SettingSpec],
    faults: SettingsFaults,
}

impl SettingReader {
    /// The command line of `command` with `specs` and `--check-settings` added.
    pub(crate) fn command(command: Command, specs: &'static [SettingSpec]) -> Command {
        let check = Arg::new(CHECK_FLAG)
            .long(CHECK_FLAG)
            .action(ArgAction::SetTrue)
            .help("Check the settings, say what is wrong with them, and exit");
        add_settings(command, specs).arg(check)
    }

    /// A reader over what clap matched for [`SettingReader::command`].
    pub(crate) fn new(matches: ArgMatches, specs: &'static [SettingSpec]) -> Self {
        Self {
            matches,
            specs,
            faults: Vec::new(),
        }
    }

    /// Whether `--check-settings` was given.
    pub(crate) fn is_check_only(&self) -> bool {
        self.matches.get_flag(CHECK_FLAG)
    }

    /// The text of setting `flag`; empty when it is optional and not set.
    pub(crate) fn text(&mut self, flag: &'static str) -> String {
        let spec = self.spec(flag);
        if let Some(given) = self.matches.get_one::<String>(flag) {
            return given.clone();
        }
        if let Some(default) = spec.default {
            return default.to_owned();
        }
        self.faults.push(format!(
            "--{flag}: not given; give {} (or set {})",
            spec.shape,
            spec.variable()
        ));
        String::new()
    }

    /// The value of setting `flag`, read as a `T`.
    pub(crate) fn value<T>(&mut self, flag: &'static str, stand_in: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let faults_before = self.faults.len();
        let text = self.text(flag);
        if self.faults.len() > faults_before {
            return stand_in;
        }
        match text.parse() {
            Ok(value) => value,
            Err(fault) => {
                let shape = self.spec(flag).shape;
                self.faults.push(format!(
                    "--{flag}: \"{text}\" does not read as {shape}: {fault}"
                ));
                stand_in
            }
        }
    }

    /// The value of an optional setting `flag`; `None` when it is not set.
    pub(crate) fn optional_value<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(flag);
        if text.is_empty() {
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(fault) => {
                let shape = self.spec(flag).shape;
                self.faults.push(format!(
                    "--{flag}: \"{text}\" does not read as {shape}: {fault}"
                ));
                None
            }
        }
    }

    /// A whole number within `range`.
    pub(crate) fn number(&mut self, flag: &'static str, range: RangeInclusive<u64>) -> u64 {
        let number = self.value(flag, *range.start());
        if !range.contains(&number) {
            self.faults.push(format!(
                "--{flag}: {number} is out of range; give {} to {}",
                range.start(),
                range.end()
            ));
        }
        number
    }

    /// Adds a fault that concerns several settings together.
    pub(crate) fn fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// The value built from the settings, or every fault found.
    ///
    /// # Errors
    ///
    /// All faults, one line each.
    pub(crate) fn finish<T>(self, settings: T) -> Result<T, SettingsFaults> {
        if self.faults.is_empty() {
            Ok(settings)
        } else {
            Err(self.faults)
        }
    }

    fn spec(&self, flag: &str) -> SettingSpec {
        let found = self.specs.iter().find(|spec| spec.flag == flag);
        *found.expect("every setting that is read is listed in its program's specs")
    }
}
