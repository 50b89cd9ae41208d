//! `savory-lab faults`.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::disturbance::FaultDeed;
use super::fault_run::FaultRun;
use crate::lab::launch::SampleCompany;
use crate::lab::run_lab;

const DEEDS: [&str; 12] = [
    FaultDeed::Kill.name(),
    FaultDeed::Freeze.name(),
    FaultDeed::Drain.name(),
    FaultDeed::Down.name(),
    FaultDeed::Slow.name(),
    FaultDeed::LoseAnswers.name(),
    FaultDeed::SilenceOpen.name(),
    FaultDeed::Lag.name(),
    FaultDeed::BadChunks.name(),
    FaultDeed::BadStreams.name(),
    FaultDeed::Refuse.name(),
    FaultDeed::NewVersion.name(),
];

/// The subcommand.
pub(crate) fn faults_command() -> Command {
    Command::new("faults")
        .about("Disturbs real processes under load and checks every answer")
        .after_help("Example:\n  savory-lab faults --seed 7 --seconds 60 --json")
        .arg(number("seed", "1", "Draws the disturbances"))
        .arg(number("seconds", "30", "How long the system is disturbed"))
        .arg(number(
            "rate",
            "40",
            "Calls a second, of all classes together",
        ))
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Whose data centres and services it has"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("DEED,…")
                .value_delimiter(',')
                .value_parser(DEEDS)
                .help("Do only these; all when it is not given"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the result as JSON"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .help("Write every process's log there"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
        .help(help)
}

/// Runs it.
pub(crate) fn run_faults(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let company = matches.get_one::<String>("company");
    let run = FaultRun {
        company: SampleCompany::from_flag(company.map_or("", String::as_str)),
        seed: number("seed"),
        span: Duration::from_secs(number("seconds")),
        rate: number("rate"),
        only: matches
            .get_many::<String>("only")
            .map(|deeds| deeds.cloned().collect())
            .unwrap_or_default(),
        prints_json: matches.get_flag("json"),
        logs: matches.get_one::<String>("logs").map(Into::into),
    };
    run_lab(run.run())
}
