//! Parses settings into typed values and collects all faults.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::spec::{SettingSpec, add_settings};

const CHECK_FLAG: &str = "check-settings";

/// All faults of the settings, one printable line each.
pub(crate) type SettingsFaults = Vec<String>;

/// Parses the settings of a program. An invalid value is recorded as a fault and replaced by a
/// placeholder, so that parsing continues and all faults are reported together.
pub(crate) struct SettingReader {
    matches: ArgMatches,
    specs: &'static [SettingSpec],
    faults: SettingsFaults,
}

impl SettingReader {
    /// Adds the settings of `specs` and the flag `--check-settings` to `command`.
    pub(crate) fn command(command: Command, specs: &'static [SettingSpec]) -> Command {
        let check = Arg::new(CHECK_FLAG)
            .long(CHECK_FLAG)
            .action(ArgAction::SetTrue)
            .help("Check the settings, list all faults, and exit");
        add_settings(command, specs).arg(check)
    }

    /// Creates a reader of the arguments matched by [`SettingReader::command`].
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

    /// Returns the text of setting `flag`: the given value or the default. A required setting that
    /// is not given is recorded as a fault and read as an empty text.
    pub(crate) fn text(&mut self, flag: &'static str) -> String {
        let spec = self.spec(flag);
        if let Some(text) = self.matches.get_one::<String>(flag) {
            return text.clone();
        }
        if let Some(default) = spec.default {
            return default.to_owned();
        }
        self.faults.push(format!(
            "--{flag}: not given; give {} (or set {})",
            spec.value_format,
            spec.variable()
        ));
        String::new()
    }

    /// Parses the value of setting `flag`; returns `placeholder` after a fault.
    pub(crate) fn value<T>(&mut self, flag: &'static str, placeholder: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let faults_before = self.faults.len();
        let text = self.text(flag);
        if self.faults.len() > faults_before {
            return placeholder;
        }
        match text.parse() {
            Ok(value) => value,
            Err(error) => {
                let value_format = self.spec(flag).value_format;
                self.faults.push(format!(
                    "--{flag}: \"{text}\" is not a valid {value_format}: {error}"
                ));
                placeholder
            }
        }
    }

    /// Parses the value of optional setting `flag`; `None` when it is not set or invalid.
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
            Err(error) => {
                let value_format = self.spec(flag).value_format;
                self.faults.push(format!(
                    "--{flag}: \"{text}\" is not a valid {value_format}: {error}"
                ));
                None
            }
        }
    }

    /// Parses an integer; one outside of `range` is recorded as a fault.
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

    /// Records a fault that the caller found, for instance in a combination of settings.
    pub(crate) fn fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Returns `settings` if no fault was recorded.
    ///
    /// # Errors
    ///
    /// All recorded faults.
    pub(crate) fn finish<T>(self, settings: T) -> Result<T, SettingsFaults> {
        if self.faults.is_empty() {
            Ok(settings)
        } else {
            Err(self.faults)
        }
    }

    fn spec(&self, flag: &str) -> SettingSpec {
        let found = self.specs.iter().find(|spec| spec.flag == flag);
        *found.expect("every setting that is read is declared in the specs of its program")
    }
}
