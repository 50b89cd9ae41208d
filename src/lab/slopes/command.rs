//! The command line of `savory-lab slopes` and its printed report.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::decision_cost::{DecisionCost, measure_decisions};
use super::measurement::{SlopesReport, measure_slopes};
use crate::lab::run_lab;

/// Defines the subcommand and its flags.
pub(crate) fn slopes_command() -> Command {
    Command::new("slopes")
        .about("Measures the cost of control for a daemon at several sizes; needs `ss` of iproute2")
        .after_help("Example:\n  savory-lab slopes --json")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("NUMBER")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..=300))
                .help("How long each point is measured"),
        )
        .arg(
            Arg::new("largest")
                .long("largest")
                .value_name("NUMBER")
                .default_value("24")
                .value_parser(value_parser!(u64).range(3..=60))
                .help("Entry hosts of the largest point; it has twice as many workers"),
        )
        .arg(
            Arg::new("decisions-only")
                .long("decisions-only")
                .action(ArgAction::SetTrue)
                .help("Measure only the decisions of the control thread, without processes"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
}

/// Runs the measurements with the flags in `matches`, and prints the report.
pub(crate) fn run_slopes(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let seconds = number("seconds");
    let largest = usize::try_from(number("largest")).unwrap_or(usize::MAX);
    let prints_json = matches.get_flag("json");
    if matches.get_flag("decisions-only") {
        print_decision_costs(&measure_decisions());
        return ExitCode::SUCCESS;
    }
    run_lab(async move {
        let report = measure_slopes(seconds, largest).await?;
        if prints_json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            print_points(&report);
        }
        Ok(true)
    })
}

fn print_decision_costs(costs: &[DecisionCost]) {
    for cost in costs {
        println!(
            "{:>5} hosts: a tick {:.1} us, a frame with its snapshot {:.1} us",
            cost.hosts, cost.tick_us, cost.frame_us
        );
    }
}

fn print_points(report: &SlopesReport) {
    print_decision_costs(&report.machine);
    println!(
        "a request with its answer costs {:.0} bytes on the wire, a frame of an open stream {:.0}",
        report.transport.exchange_bytes, report.transport.frame_bytes
    );
    println!(
        "{:>7} {:>7} {:>9} {:>8} {:>8} | {:>9} {:>8} {:>8} {:>8} {:>8} {:>7}",
        "entries",
        "workers",
        "documents",
        "accounts",
        "role",
        "peers B/s",
        "table",
        "list",
        "messages",
        "control%",
        "MB"
    );
    for point in &report.points {
        for cost in &point.costs {
            println!(
                "{:>7} {:>7} {:>9} {:>8} {:>8} | {:>9.0} {:>8.0} {:>8.0} {:>8.1} {:>8.3} {:>7.1}",
                point.entries,
                point.workers,
                point.documents,
                point.accounts,
                cost.role,
                cost.peer_bytes_per_s,
                cost.table_bytes_per_s,
                cost.list_bytes_per_s,
                cost.messages_per_s,
                cost.control_core_percent,
                cost.resident_mb
            );
        }
    }
}
