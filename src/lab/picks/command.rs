//! The command line of the measurement.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Value, json};

use super::model::{ModelOutcome, ModelSize, PickWay, run_model};
use super::timing::{StepCosts, measure_steps};

const BACKENDS: usize = 600;
const ACCOUNTS: usize = 1_000;
const MODEL_BACKENDS: usize = 48;
const MODEL_ENTRIES: usize = 8;
const LOADS: [f64; 3] = [0.6, 0.8, 0.9];
const SECONDS: u64 = 120;

/// The subcommand.
pub(crate) fn picks_command() -> Command {
    Command::new("picks")
        .about("Measures picks and admissions, and compares picks with simpler ways")
        .after_help("Example:\n  savory-lab picks --seed 7 --json")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Makes the model's backend servers and arrivals"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
}

/// Runs it.
pub(crate) fn run_picks(matches: &ArgMatches) -> ExitCode {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let costs = measure_steps(BACKENDS, ACCOUNTS);
    let mut rows = Vec::new();
    for load in LOADS {
        for way in PickWay::ALL {
            let size = ModelSize {
                seed,
                backends: MODEL_BACKENDS,
                entries: MODEL_ENTRIES,
                load,
                seconds: SECONDS,
            };
            rows.push((load, way, run_model(size, way)));
        }
    }
    if matches.get_flag("json") {
        println!("{}", json_text(seed, &costs, &rows));
    } else {
        print_table(&costs, &rows);
    }
    ExitCode::SUCCESS
}

fn json_text(seed: u64, costs: &StepCosts, rows: &[(f64, PickWay, ModelOutcome)]) -> Value {
    let rows: Vec<Value> = rows
        .iter()
        .map(|(load, way, outcome)| {
            json!({
                "load": load,
                "way": way.name(),
                "requests": outcome.requests,
                "p50_ms": outcome.p50.as_millis(),
                "p99_ms": outcome.p99.as_millis(),
                "wait_p99_ms": outcome.wait_p99.as_millis(),
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
        "model_backends": MODEL_BACKENDS,
        "model_entries": MODEL_ENTRIES,
        "model_seconds": SECONDS,
        "ways": rows,
    })
}

fn print_table(costs: &StepCosts, rows: &[(f64, PickWay, ModelOutcome)]) {
    println!("at {BACKENDS} backend servers and {ACCOUNTS} accounts, nanoseconds each:");
    println!("  pick                {:>8}", costs.pick);
    println!("  pick by prefix      {:>8}", costs.pick_by_prefix);
    println!("  pick when all full  {:>8}", costs.pick_when_full);
    println!("  admission           {:>8}", costs.admission);
    println!("  refusal             {:>8}", costs.refusal);
    println!("load  way                requests    p50 ms    p99 ms  wait p99 ms");
    for (load, way, outcome) in rows {
        println!(
            "{load:<5} {:<18} {:>8} {:>9} {:>9} {:>12}",
            way.name(),
            outcome.requests,
            outcome.p50.as_millis(),
            outcome.p99.as_millis(),
            outcome.wait_p99.as_millis()
        );
    }
}
