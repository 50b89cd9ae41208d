//! `savory-lab stand-in`: runs one stand-in as a separate process.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::engine::{EngineShape, EngineStandIn, LabDialect};
use super::plain::PlainStandIn;
use super::stand_in::{StandIn, StandInKind};
use super::weights::WeightsStandIn;
use crate::daemon::run_process;
use crate::errors::SwitchResult;

const THREADS: usize = 2;

/// Defines the subcommand and its flags.
pub(crate) fn stand_in_command() -> Command {
    Command::new("stand-in")
        .about("Runs one stand-in until it is signalled to stop; prints `listening IP:PORT`")
        .after_help("Example:\n  savory-lab stand-in engine --dialect json_state --running-max 4")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(["table", "origin", "store", "hosts", "engine", "plain"])
                .help("The service that it replaces"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(std::net::SocketAddr))
                .help("Address to listen on; port 0 binds to any free port"),
        )
        .arg(
            Arg::new("dialect")
                .long("dialect")
                .default_value("metrics_text")
                .value_parser(["metrics_text", "json_state"])
                .help("engine: the vendor protocol that it speaks"),
        )
        .arg(number(
            "running-max",
            "8",
            "engine: limit of concurrently running requests",
        ))
        .arg(number(
            "waiting-max",
            "16",
            "engine: limit of requests waiting in its queue",
        ))
        .arg(number(
            "tokens-per-second",
            "200",
            "engine: tokens per second and running request",
        ))
        .arg(number(
            "prefill-ms",
            "10",
            "engine: prefill time of a prompt that is not cached",
        ))
        .arg(number(
            "service-ms",
            "5",
            "plain: service time of a request",
        ))
        .arg(number(
            "link-bytes-per-second",
            "0",
            "origin, store: bandwidth of the link; 0 means no pacing",
        ))
        .arg(number(
            "backlog-max-ms",
            "4000",
            "origin, store: answers 429 while the link is backlogged for longer",
        ))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Runs the stand-in that the command line in `matches` selects.
pub(crate) fn run_stand_in(matches: &ArgMatches) -> ExitCode {
    run_process("savory-lab stand-in", THREADS, listen(matches))
}

async fn listen(matches: &ArgMatches) -> SwitchResult<()> {
    let address = matches.get_one("listen").copied();
    let address = address.unwrap_or(super::ANY_PORT);
    let stand_in = StandIn::start(address, read_kind(matches)).await?;
    println!("listening {}", stand_in.address());
    // The HTTP server installs its own handler of the stop signals, so they don't end the process
    // by default. A stand-in has no work to complete and exits at once.
    crate::lab::wait_for_termination().await;
    Ok(())
}

fn read_kind(matches: &ArgMatches) -> StandInKind {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let millis = |name: &str| Duration::from_millis(number(name));
    let kind = matches.get_one::<String>("kind").map_or("", String::as_str);
    match kind {
        "table" => StandInKind::Table(Arc::default()),
        "hosts" => StandInKind::Hosts(Arc::default()),
        "origin" | "store" => StandInKind::Weights(Arc::new(WeightsStandIn::new(
            number("link-bytes-per-second"),
            millis("backlog-max-ms"),
        ))),
        "plain" => StandInKind::Plain(Arc::new(PlainStandIn::new(millis("service-ms")))),
        _ => StandInKind::Engine(Arc::new(EngineStandIn::new(EngineShape {
            dialect: read_dialect(matches),
            running_max: count("running-max"),
            waiting_max: count("waiting-max"),
            tokens_per_second: number("tokens-per-second"),
            prefill: millis("prefill-ms"),
        }))),
    }
}

fn read_dialect(matches: &ArgMatches) -> LabDialect {
    match matches.get_one::<String>("dialect").map(String::as_str) {
        Some("json_state") => LabDialect::JsonState,
        _ => LabDialect::MetricsText,
    }
}
