//! The command line of `savory-lab platform-soak`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::soak_run::SoakRun;
use crate::lab::run_lab;

const MINUTE: Duration = Duration::from_mins(1);

/// Defines the subcommand and its flags.
pub(crate) fn platform_soak_command() -> Command {
    Command::new("platform-soak")
        .about("Injects faults into the daemons in their platform mode and checks their promises")
        .after_help("Example:\n  savory-lab platform-soak --seed 7 --minutes 5 --json")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the random faults and of the clients' calls"),
        )
        .arg(
            Arg::new("minutes")
                .long("minutes")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(f64))
                .help("Duration; rounded down to complete waves of faults and quiet, at least one"),
        )
        .arg(
            Arg::new("processes")
                .long("processes")
                .value_name("NUMBER")
                .default_value("8")
                .value_parser(value_parser!(u64).range(4..=180))
                .help("Number of daemons: a third are entry hosts, the others serve an engine"),
        )
        .arg(
            Arg::new("loaded-engines")
                .long("loaded-engines")
                .action(ArgAction::SetTrue)
                .help(
                    "Engines pause for up to 2.5 s in the middle of streams, sometimes all at once",
                ),
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
                .value_name("FOLDER")
                .help("Write every daemon's log to this folder if a promise was broken"),
        )
}

/// Runs the soak test with the command line's settings.
pub(crate) fn run_platform_soak(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let minutes = matches.get_one::<f64>("minutes").copied().unwrap_or(1.0);
    let run = SoakRun {
        seed: number("seed"),
        span: MINUTE.mul_f64(minutes.max(0.0)),
        has_loaded_engines: matches.get_flag("loaded-engines"),
        processes: usize::try_from(number("processes")).unwrap_or(usize::MAX),
        prints_json: matches.get_flag("json"),
        logs: matches.get_one::<String>("logs").map(PathBuf::from),
    };
    run_lab(run.run())
}
