//! The subcommand.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::run::{DocumentsOrder, measure_documents};
use crate::lab::launch::SampleCompany;
use crate::lab::run_lab;

/// The subcommand.
pub(crate) fn documents_command() -> Command {
    Command::new("documents")
        .about("Changes documents on real processes and measures until when each is in force")
        .after_help("Example:\n  savory-lab documents --seed 1 --changes 40 --faults --json")
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Whose data centres and services"),
        )
        .arg(number("seed", "1", "Makes the changes and the faults"))
        .arg(number("changes", "40", "Changes, one after another"))
        .arg(number("entries", "6", "Entry hosts"))
        .arg(number(
            "workers",
            "12",
            "Backend servers with their host processes",
        ))
        .arg(
            Arg::new("faults")
                .long("faults")
                .action(ArgAction::SetTrue)
                .help("Kills, freezes, restarts and outages of the table on the way"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Runs it.
pub(crate) fn run_documents(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let company = matches.get_one::<String>("company");
    let order = DocumentsOrder {
        company: SampleCompany::from_flag(company.map_or("", String::as_str)),
        seed: number("seed"),
        changes: number("changes"),
        entries: count("entries").clamp(1, 60),
        workers: count("workers").clamp(3, 120),
        has_faults: matches.get_flag("faults"),
    };
    let is_json = matches.get_flag("json");
    run_lab(async move {
        let report = measure_documents(order).await?;
        report.print(is_json);
        Ok(report.held())
    })
}
