//! `savory-lab quickstart`: the whole system once, in under a minute.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::show::QuickstartShow;
use crate::lab::launch::SampleCompany;
use crate::lab::run_lab;

/// The subcommand.
pub(crate) fn quickstart_command() -> Command {
    Command::new("quickstart")
        .about("Starts the system with its stand-ins, uses it, kills a host on the way, cleans up")
        .after_help("Example:\n  savory-lab quickstart --company skupno")
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Whose data centres and services it shows"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .action(ArgAction::SetTrue)
                .help("Print every process's log at the end"),
        )
}

/// Runs it.
pub(crate) fn run_quickstart(matches: &ArgMatches) -> ExitCode {
    let company = matches.get_one::<String>("company");
    let company = SampleCompany::from_flag(company.map_or("", String::as_str));
    let show = QuickstartShow::new(company, matches.get_flag("logs"));
    run_lab(show.run())
}
