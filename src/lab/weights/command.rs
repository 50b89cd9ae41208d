//! The command line of the measurement.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::baseline::run_baseline;
use super::live::LiveCalls;
use super::plot::plot_curve;
use super::report::{LiveReport, WeightsReport};
use super::shape::BurstShape;
use super::swarm::Swarm;
use crate::documents::SpreadObjective;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::run_lab;

/// How long live requests are measured before the burst.
const LIVE_BEFORE: Duration = Duration::from_secs(15);
const MIB: u64 = 1024 * 1024;

/// The subcommand.
pub(crate) fn weights_command() -> Command {
    Command::new("weights")
        .about("Measures a burst of new weights to N hosts against the fluid bound")
        .after_help(
            "Example:\n  savory-lab weights --hosts 64 --objective time --seed 1 --json\n  \
             savory-lab weights --curve 8,16,32,64 --plot docs/weights-curve.svg",
        )
        .arg(number("hosts", "64", "Host processes"))
        .arg(number(
            "seed",
            "1",
            "Makes the weights and what is left to chance",
        ))
        .arg(number(
            "kill",
            "0",
            "Host processes that are killed on the way",
        ))
        .arg(number(
            "corrupt",
            "0",
            "Chunks that arrive corrupted, in percent",
        ))
        .arg(number("size-mib", "8", "MiB of the weights"))
        .arg(number("chunk-kib", "32", "KiB of a chunk"))
        .arg(number(
            "window-ms",
            "40000",
            "Time in which the origin sends 4 copies, a host 2",
        ))
        .arg(
            Arg::new("objective")
                .long("objective")
                .default_value("time")
                .value_parser(["time", "origin_bytes"])
                .help("What the document wants to save"),
        )
        .arg(
            Arg::new("curve")
                .long("curve")
                .value_name("N,N,…")
                .value_delimiter(',')
                .value_parser(value_parser!(u64))
                .help("Bursts to so many hosts each, one after the other, without live requests"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draws the curve as SVG"),
        )
        .arg(flag("json", "Print JSON"))
        .arg(flag("no-live", "Leave out the burst under live requests"))
        .arg(flag("no-baseline", "Leave out the baseline"))
        .arg(flag("logs", "Print every host's log at the end"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Runs it.
pub(crate) fn run_weights(matches: &ArgMatches) -> ExitCode {
    let parts = RunParts {
        json: matches.get_flag("json"),
        live: !matches.get_flag("no-live"),
        baseline: !matches.get_flag("no-baseline"),
        logs: matches.get_flag("logs"),
    };
    let shape = read_shape(matches);
    let curve = matches
        .get_many::<u64>("curve")
        .map(|hosts| hosts.copied().collect());
    match curve {
        Some(hosts) => {
            let plot = matches.get_one::<PathBuf>("plot").cloned();
            run_lab(run_curve(shape, hosts, plot, parts))
        }
        None => run_lab(run_one(shape, parts)),
    }
}

/// What belongs to a run.
#[derive(Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the command line"
)]
struct RunParts {
    json: bool,
    live: bool,
    baseline: bool,
    logs: bool,
}

fn read_shape(matches: &ArgMatches) -> BurstShape {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let objective = matches.get_one::<String>("objective");
    BurstShape {
        hosts: count("hosts").max(1),
        objective: match objective.map(String::as_str) {
            Some("origin_bytes") => SpreadObjective::OriginBytes,
            _ => SpreadObjective::Time,
        },
        seed: number("seed"),
        size: number("size-mib").max(1) * MIB,
        chunk_size: number("chunk-kib").max(1) * 1024,
        window: Duration::from_millis(number("window-ms").max(1)),
        kill: count("kill"),
        corrupt_percent: number("corrupt"),
    }
}

async fn run_one(shape: BurstShape, parts: RunParts) -> SwitchResult<bool> {
    let report = measure(&shape, parts).await?;
    print_report(&report, parts);
    Ok(report.mixed == 0)
}

async fn run_curve(
    shape: BurstShape,
    hosts: Vec<u64>,
    plot: Option<PathBuf>,
    parts: RunParts,
) -> SwitchResult<bool> {
    let mut reports = Vec::new();
    for hosts in hosts {
        let shape = BurstShape {
            hosts: usize::try_from(hosts).unwrap_or(1),
            ..shape.clone()
        };
        let parts = RunParts {
            live: false,
            ..parts
        };
        let report = measure(&shape, parts).await?;
        print_report(&report, parts);
        reports.push(report);
    }
    if let Some(path) = plot {
        plot_curve(&path, &reports)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
    }
    Ok(true)
}

fn print_report(report: &WeightsReport, parts: RunParts) {
    if parts.json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        println!("{}", report.line());
    }
}

async fn measure(shape: &BurstShape, parts: RunParts) -> SwitchResult<WeightsReport> {
    let mut swarm = Swarm::start(shape).await?;
    let measured = measure_swarm(&mut swarm, shape, parts).await;
    if parts.logs {
        eprintln!("{}", swarm.logs());
    }
    measured
}

async fn measure_swarm(
    swarm: &mut Swarm,
    shape: &BurstShape,
    parts: RunParts,
) -> SwitchResult<WeightsReport> {
    let first = swarm.publish("weights-1", shape.seed);
    let burst = swarm.burst(shape, &first, ("v1", 0)).await?;
    let live = if parts.live {
        Some(measure_live(swarm, shape, first.digest).await?)
    } else {
        None
    };
    let baseline = if parts.baseline {
        Some(run_baseline(shape).await?)
    } else {
        None
    };
    let ratio = live
        .as_ref()
        .map(|live| live.during.p99_ms / live.before.p99_ms);
    let mixed = live
        .as_ref()
        .map_or(0, |live| live.before.mixed + live.during.mixed);
    Ok(WeightsReport {
        hosts: shape.hosts,
        objective: shape.objective,
        seed: shape.seed,
        killed: shape.kill,
        corrupt_percent: shape.corrupt_percent,
        weights_bytes: shape.size,
        chunk_bytes: shape.chunk_size,
        window_seconds: shape.window.as_secs_f64(),
        regions: swarm.regions(),
        burst,
        live,
        live_p99_ratio: ratio,
        mixed,
        baseline,
    })
}

async fn measure_live(
    swarm: &mut Swarm,
    shape: &BurstShape,
    first: crate::weights::WeightsDigest,
) -> SwitchResult<LiveReport> {
    let second = swarm.publish("weights-2", shape.seed + 1);
    let entry = swarm.entry.address("caller")?;
    let who = (swarm.service(), swarm.account());
    let versions = vec![first, second.digest];
    let gone = || SwitchError::new(ErrorKind::Internal, "the live calls ended early");
    let calls = LiveCalls::begin(entry, who, versions.clone(), "before");
    tokio::time::sleep(LIVE_BEFORE).await;
    let before = calls.end().await.ok_or_else(gone)?;
    let before = before.figures(Duration::ZERO, Duration::MAX);
    let calls = LiveCalls::begin(entry, who, versions, "during");
    let burst = swarm.burst(shape, &second, ("v2", 1)).await;
    let calls = calls.end().await.ok_or_else(gone)?;
    let burst = burst?;
    let first = Duration::from_secs_f64(burst.first_seconds);
    Ok(LiveReport {
        before,
        during: calls.figures(Duration::ZERO, Duration::MAX),
        transfer: calls.figures(Duration::ZERO, first),
        rollout: calls.figures(first, Duration::MAX),
        burst,
    })
}
