//! The `savory-lab documents` subcommand: its flags and its entry point.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::documents_run::{DocumentsSettings, measure_documents};
use crate::lab::launch::SampleCompany;
use crate::lab::run_lab;

/// Returns the `documents` subcommand with its flags.
pub(crate) fn documents_command() -> Command {
    Command::new("documents")
        .about(
            "Changes documents on a running system and measures how long each takes to be in force",
        )
        .after_help("Example:\n  savory-lab documents --seed 1 --changes 40 --faults --json")
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Sample company whose data centres and services are used"),
        )
        .arg(number_arg(
            "seed",
            "1",
            "Seed of the changes and the faults",
        ))
        .arg(number_arg(
            "changes",
            "40",
            "Number of changes, made one after another",
        ))
        .arg(number_arg("entries", "6", "Number of entry hosts"))
        .arg(number_arg(
            "workers",
            "12",
            "Number of backend servers, each with its host process",
        ))
        .arg(
            Arg::new("faults")
                .long("faults")
                .action(ArgAction::SetTrue)
                .help("Inject process kills, freezes and restarts, and table outages"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Runs the subcommand with the parsed flags; the exit code is 0 if every check held.
pub(crate) fn run_documents(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let company = matches.get_one::<String>("company");
    let settings = DocumentsSettings {
        company: SampleCompany::from_flag(company.map_or("", String::as_str)),
        seed: number("seed"),
        change_count: number("changes"),
        entry_count: count("entries").clamp(1, 60),
        backend_count: count("workers").clamp(3, 120),
        injects_faults: matches.get_flag("faults"),
    };
    let prints_json = matches.get_flag("json");
    run_lab(async move {
        let report = measure_documents(settings).await?;
        report.print(prints_json);
        Ok(report.held())
    })
}
