//! The `savory-lab weights` subcommand: reads its options, runs the bursts and prints the reports.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::baseline::run_baseline;
use super::burst_cluster::BurstCluster;
use super::burst_config::BurstConfig;
use super::live_calls::LiveCalls;
use super::plot::plot_curve;
use super::report::{LiveReport, WeightsReport};
use crate::documents::SpreadObjective;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::run_lab;

/// How long the latency of live requests is measured before the burst starts.
const LIVE_SPAN_BEFORE_BURST: Duration = Duration::from_secs(15);
const BYTES_PER_MIB: u64 = 1024 * 1024;

/// The `weights` subcommand.
pub(crate) fn weights_command() -> Command {
    Command::new("weights")
        .about("Compares a burst of new weights to N hosts with the fluid lower bound of its time")
        .after_help(
            "Example:\n  savory-lab weights --hosts 64 --objective time --seed 1 --json\n  \
             savory-lab weights --curve 8,16,32,64 --plot docs/weights-curve.svg",
        )
        .arg(number_arg("hosts", "64", "Number of host processes"))
        .arg(number_arg(
            "seed",
            "1",
            "Seed for the weights' content and the choice of killed hosts",
        ))
        .arg(number_arg(
            "kill",
            "0",
            "Number of host processes that are killed during the burst",
        ))
        .arg(number_arg(
            "corrupt",
            "0",
            "Percentage of chunks that are corrupted on their way",
        ))
        .arg(number_arg("size-mib", "8", "Size of the weights in MiB"))
        .arg(number_arg("chunk-kib", "32", "Size of a chunk in KiB"))
        .arg(number_arg(
            "window-ms",
            "40000",
            "Milliseconds in which the origin can send 4 copies and a host 2",
        ))
        .arg(
            Arg::new("objective")
                .long("objective")
                .default_value("time")
                .value_parser(["time", "origin_bytes"])
                .help("Whether the document asks to save time or bytes sent by the origin"),
        )
        .arg(
            Arg::new("curve")
                .long("curve")
                .value_name("N,N,…")
                .value_delimiter(',')
                .value_parser(value_parser!(u64))
                .help("Runs one burst per given number of hosts, without live requests"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the curve of --curve to this SVG file"),
        )
        .arg(flag_arg("json", "Print the report as JSON on one line"))
        .arg(flag_arg("no-live", "Skip the burst under live requests"))
        .arg(flag_arg(
            "no-baseline",
            "Skip the baseline in which every host reads the origin",
        ))
        .arg(flag_arg(
            "logs",
            "Print every host's recent log lines at the end",
        ))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Runs the `weights` subcommand. The exit code is a failure if a live answer was mixed or the run
/// ended with an error.
pub(crate) fn run_weights(matches: &ArgMatches) -> ExitCode {
    let options = RunOptions {
        prints_json: matches.get_flag("json"),
        measures_live: !matches.get_flag("no-live"),
        measures_baseline: !matches.get_flag("no-baseline"),
        prints_logs: matches.get_flag("logs"),
    };
    let config = read_config(matches);
    let curve = matches
        .get_many::<u64>("curve")
        .map(|hosts| hosts.copied().collect());
    match curve {
        Some(hosts) => {
            let plot = matches.get_one::<PathBuf>("plot").cloned();
            run_lab(run_curve(config, hosts, plot, options))
        }
        None => run_lab(run_burst(config, options)),
    }
}

/// What a run measures and prints.
#[derive(Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
struct RunOptions {
    prints_json: bool,
    measures_live: bool,
    measures_baseline: bool,
    prints_logs: bool,
}

fn read_config(matches: &ArgMatches) -> BurstConfig {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let objective = matches.get_one::<String>("objective");
    BurstConfig {
        hosts: count("hosts").max(1),
        objective: match objective.map(String::as_str) {
            Some("origin_bytes") => SpreadObjective::OriginBytes,
            _ => SpreadObjective::Time,
        },
        seed: number("seed"),
        size: number("size-mib").max(1) * BYTES_PER_MIB,
        chunk_size: number("chunk-kib").max(1) * 1024,
        window: Duration::from_millis(number("window-ms").max(1)),
        kill: count("kill"),
        corrupt_percent: number("corrupt"),
    }
}

async fn run_burst(config: BurstConfig, options: RunOptions) -> SwitchResult<bool> {
    let report = measure(&config, options).await?;
    print_report(&report, options);
    Ok(report.mixed == 0)
}

async fn run_curve(
    config: BurstConfig,
    hosts: Vec<u64>,
    plot: Option<PathBuf>,
    options: RunOptions,
) -> SwitchResult<bool> {
    let mut reports = Vec::new();
    for hosts in hosts {
        let config = BurstConfig {
            hosts: usize::try_from(hosts).unwrap_or(1),
            ..config.clone()
        };
        let options = RunOptions {
            measures_live: false,
            ..options
        };
        let report = measure(&config, options).await?;
        print_report(&report, options);
        reports.push(report);
    }
    if let Some(path) = plot {
        plot_curve(&path, &reports)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
    }
    Ok(true)
}

fn print_report(report: &WeightsReport, options: RunOptions) {
    if options.prints_json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        println!("{}", report.summary());
    }
}

/// Starts a cluster, measures it and stops it again.
async fn measure(config: &BurstConfig, options: RunOptions) -> SwitchResult<WeightsReport> {
    let mut cluster = BurstCluster::start(config).await?;
    let measured = measure_bursts(&mut cluster, config, options).await;
    if options.prints_logs {
        eprintln!("{}", cluster.logs());
    }
    measured
}

async fn measure_bursts(
    cluster: &mut BurstCluster,
    config: &BurstConfig,
    options: RunOptions,
) -> SwitchResult<WeightsReport> {
    let first = cluster.publish("weights-1", config.seed);
    let burst = cluster.burst(config, &first, ("v1", 0)).await?;
    let live = if options.measures_live {
        Some(measure_live_burst(cluster, config, first.digest).await?)
    } else {
        None
    };
    let baseline = if options.measures_baseline {
        Some(run_baseline(config).await?)
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
        hosts: config.hosts,
        objective: config.objective,
        seed: config.seed,
        killed: config.kill,
        corrupt_percent: config.corrupt_percent,
        weights_bytes: config.size,
        chunk_bytes: config.chunk_size,
        window_seconds: config.window.as_secs_f64(),
        regions: cluster.regions(),
        burst,
        live,
        live_p99_ratio: ratio,
        mixed,
        baseline,
    })
}

/// Measures live requests before and during a burst of a second version. `first` is the version
/// that the hosts already serve.
async fn measure_live_burst(
    cluster: &mut BurstCluster,
    config: &BurstConfig,
    first: crate::weights::WeightsDigest,
) -> SwitchResult<LiveReport> {
    let second = cluster.publish("weights-2", config.seed + 1);
    let entry = cluster.entry.address("caller")?;
    let service_and_account = (cluster.service(), cluster.account());
    let versions = vec![first, second.digest];
    let ended_early = || {
        SwitchError::new(
            ErrorKind::Internal,
            "the live calls' task ended unexpectedly",
        )
    };
    let calls = LiveCalls::begin(entry, service_and_account, versions.clone(), "before");
    tokio::time::sleep(LIVE_SPAN_BEFORE_BURST).await;
    let before = calls.end().await.ok_or_else(ended_early)?;
    let before = before.figures(Duration::ZERO, Duration::MAX);
    let calls = LiveCalls::begin(entry, service_and_account, versions, "during");
    let burst = cluster.burst(config, &second, ("v2", 1)).await;
    let calls = calls.end().await.ok_or_else(ended_early)?;
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
