//! The `savory-lab picks` subcommand: runs the measurements and prints their results.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Value, json};

use super::operation_costs::{OperationCosts, measure_operations};
use super::simulation::{PickStrategy, SimulationConfig, SimulationResult, run_simulation};

/// Backend servers for the measurement of operation costs.
const BACKENDS: usize = 600;
/// Client accounts for the measurement of operation costs.
const ACCOUNTS: usize = 1_000;
const SIMULATED_BACKENDS: usize = 48;
const SIMULATED_ENTRY_HOSTS: usize = 8;
/// Requested fractions of the simulated backend servers' total capacity.
const SIMULATED_LOADS: [f64; 3] = [0.6, 0.8, 0.9];
const SIMULATED_SECONDS: u64 = 120;

/// The `picks` subcommand.
pub(crate) fn picks_command() -> Command {
    Command::new("picks")
        .about("Measures picks and admissions, and compares picks with simpler strategies")
        .after_help("Example:\n  savory-lab picks --seed 7 --json")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed for the simulated backend servers and arrivals"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the results as JSON on one line"),
        )
}

/// Runs the `picks` subcommand.
pub(crate) fn run_picks(matches: &ArgMatches) -> ExitCode {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let costs = measure_operations(BACKENDS, ACCOUNTS);
    let mut rows = Vec::new();
    for load in SIMULATED_LOADS {
        for strategy in PickStrategy::ALL {
            let config = SimulationConfig {
                seed,
                backends: SIMULATED_BACKENDS,
                entries: SIMULATED_ENTRY_HOSTS,
                load,
                seconds: SIMULATED_SECONDS,
            };
            rows.push((load, strategy, run_simulation(config, strategy)));
        }
    }
    if matches.get_flag("json") {
        println!("{}", json_report(seed, &costs, &rows));
    } else {
        print_table(&costs, &rows);
    }
    ExitCode::SUCCESS
}

fn json_report(
    seed: u64,
    costs: &OperationCosts,
    rows: &[(f64, PickStrategy, SimulationResult)],
) -> Value {
    let rows: Vec<Value> = rows
        .iter()
        .map(|(load, strategy, result)| {
            json!({
                "load": load,
                "way": strategy.name(),
                "requests": result.requests,
                "p50_ms": result.p50.as_millis(),
                "p99_ms": result.p99.as_millis(),
                "wait_p99_ms": result.wait_p99.as_millis(),
            })
        })
        .collect();
    json!({
        "seed": seed,
        "backends": BACKENDS,
        "accounts": ACCOUNTS,
        "pick_ns": costs.pick,
        "pick_by_prefix_ns": costs.pick_by_prefix,
        "pick_when_full_ns": costs.pick_when_full,
        "admission_ns": costs.admission,
        "refusal_ns": costs.refusal,
        "model_backends": SIMULATED_BACKENDS,
        "model_entries": SIMULATED_ENTRY_HOSTS,
        "model_seconds": SIMULATED_SECONDS,
        "ways": rows,
    })
}

fn print_table(costs: &OperationCosts, rows: &[(f64, PickStrategy, SimulationResult)]) {
    println!("at {BACKENDS} backend servers and {ACCOUNTS} accounts, nanoseconds each:");
    println!("  pick                {:>8}", costs.pick);
    println!("  pick by prefix      {:>8}", costs.pick_by_prefix);
    println!("  pick when all full  {:>8}", costs.pick_when_full);
    println!("  admission           {:>8}", costs.admission);
    println!("  refusal             {:>8}", costs.refusal);
    println!("load  way                requests    p50 ms    p99 ms  wait p99 ms");
    for (load, strategy, result) in rows {
        println!(
            "{load:<5} {:<18} {:>8} {:>9} {:>9} {:>12}",
            strategy.name(),
            result.requests,
            result.p50.as_millis(),
            result.p99.as_millis(),
            result.wait_p99.as_millis()
        );
    }
}
