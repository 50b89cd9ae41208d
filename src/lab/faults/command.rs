//! The `savory-lab faults` subcommand: its flags and its entry point.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::disturbance::DisturbanceKind;
use super::fault_run::FaultRun;
use crate::lab::launch::SampleCompany;
use crate::lab::run_lab;

/// Values of `--only`.
const KIND_NAMES: [&str; 12] = [
    DisturbanceKind::Kill.name(),
    DisturbanceKind::Freeze.name(),
    DisturbanceKind::Drain.name(),
    DisturbanceKind::Down.name(),
    DisturbanceKind::Slow.name(),
    DisturbanceKind::LoseAnswers.name(),
    DisturbanceKind::SilenceOpen.name(),
    DisturbanceKind::Lag.name(),
    DisturbanceKind::BadChunks.name(),
    DisturbanceKind::BadStreams.name(),
    DisturbanceKind::Refuse.name(),
    DisturbanceKind::NewVersion.name(),
];

/// Returns the `faults` subcommand with its flags.
pub(crate) fn faults_command() -> Command {
    Command::new("faults")
        .about("Disturbs a running system under load and checks the outcome of every call")
        .after_help("Example:\n  savory-lab faults --seed 7 --seconds 60 --json")
        .arg(number_arg("seed", "1", "Seed of the disturbances"))
        .arg(number_arg(
            "seconds",
            "30",
            "How long the system is disturbed",
        ))
        .arg(number_arg(
            "rate",
            "40",
            "Calls per second, of all classes together",
        ))
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Sample company whose data centres and services are used"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("KIND,…")
                .value_delimiter(',')
                .value_parser(KIND_NAMES)
                .help("Start only disturbances of these kinds; default: all kinds"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the result as JSON"),
        )
        .arg(
            Arg::new("logs").long("logs").value_name("FILE").help(
                "Write the timeline of disturbances and the logs of all processes to this file",
            ),
        )
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
        .help(help)
}

/// Runs the subcommand with the parsed flags; the exit code is 0 if every check held.
pub(crate) fn run_faults(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let company = matches.get_one::<String>("company");
    let run = FaultRun {
        company: SampleCompany::from_flag(company.map_or("", String::as_str)),
        seed: number("seed"),
        duration: Duration::from_secs(number("seconds")),
        rate: number("rate"),
        only_kinds: matches
            .get_many::<String>("only")
            .map(|kinds| kinds.cloned().collect())
            .unwrap_or_default(),
        prints_json: matches.get_flag("json"),
        logs: matches.get_one::<String>("logs").map(Into::into),
    };
    run_lab(run.run())
}
