//! The subcommand `savory-lab quickstart`: starts and exercises a small system on real processes,
//! in less than a minute.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::quickstart_run::QuickstartRun;
use crate::lab::launch::SampleCompany;
use crate::lab::run_lab;

/// Defines the subcommand and its flags.
pub(crate) fn quickstart_command() -> Command {
    Command::new("quickstart")
        .about(
            "Starts the system with its stand-ins, sends calls, kills a host meanwhile, cleans up",
        )
        .after_help("Example:\n  savory-lab quickstart --company skupno")
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Company whose data centres and services are used"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .action(ArgAction::SetTrue)
                .help("Print the logs of all processes at the end"),
        )
}

/// Runs the quickstart with the flags in `matches`.
pub(crate) fn run_quickstart(matches: &ArgMatches) -> ExitCode {
    let company_name = matches.get_one::<String>("company");
    let company = SampleCompany::from_flag(company_name.map_or("", String::as_str));
    let quickstart = QuickstartRun::new(company, matches.get_flag("logs"));
    run_lab(quickstart.run())
}
