//! `savory-lab soak`.

use std::panic::catch_unwind;
use std::process::ExitCode;
use std::time::Duration;

use arbitrary::Unstructured;
use clap::{Arg, ArgMatches, Command, value_parser};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{SLICES, SoakSlice};
use crate::time::{ClockTime, clock_now};

/// Cases of one slice between two looks at the clock.
const CASES_A_TURN: u64 = 50;
const MINUTE: Duration = Duration::from_mins(1);

/// The subcommand.
pub(crate) fn soak_command() -> Command {
    Command::new("soak")
        .about("Drives every state machine through random cases until the time is over")
        .after_help(
            "Example:\n  savory-lab soak --seed 7 --minutes 10\n  \
             savory-lab soak --slice weights --case 12345",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Makes the cases"),
        )
        .arg(
            Arg::new("minutes")
                .long("minutes")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(f64))
                .help("How long, for all slices together"),
        )
        .arg(
            Arg::new("slice")
                .long("slice")
                .value_name("NAME")
                .help("Only this slice"),
        )
        .arg(
            Arg::new("case")
                .long("case")
                .value_name("SEED")
                .value_parser(value_parser!(u64))
                .requires("slice")
                .help("Only this case, by the seed that a failed run printed"),
        )
}

/// Runs it.
pub(crate) fn run_soak(matches: &ArgMatches) -> ExitCode {
    let wanted = matches.get_one::<String>("slice");
    let slices: Vec<&SoakSlice> = SLICES
        .iter()
        .filter(|slice| wanted.is_none_or(|name| name == slice.name))
        .collect();
    if slices.is_empty() {
        let names: Vec<&str> = SLICES.iter().map(|slice| slice.name).collect();
        eprintln!("savory-lab: --slice: no such slice; give one of {names:?}");
        return ExitCode::FAILURE;
    }
    if let Some(case) = matches.get_one::<u64>("case") {
        return exit_code(run_one(slices[0], *case));
    }
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let minutes = matches.get_one::<f64>("minutes").copied().unwrap_or(1.0);
    let span = MINUTE.mul_f64(minutes.max(0.0));
    exit_code(soak(&slices, seed, span))
}

fn exit_code(held: bool) -> ExitCode {
    if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Takes the slices in turn until `span` is over; stops at the first failure.
fn soak(slices: &[&SoakSlice], seed: u64, span: Duration) -> bool {
    let begun = clock_now();
    let mut seeds = StdRng::seed_from_u64(seed);
    let mut counts = vec![0_u64; slices.len()];
    while !is_over(begun, span) {
        for (slice, count) in slices.iter().zip(&mut counts) {
            for _ in 0..CASES_A_TURN {
                if !run_one(slice, seeds.next_u64()) {
                    return false;
                }
                *count += 1;
            }
        }
    }
    println!("seed {seed}, {:?}", clock_now().since(begun));
    for (slice, count) in slices.iter().zip(&counts) {
        println!("{:12} {count} cases held", slice.name);
    }
    true
}

fn is_over(begun: ClockTime, span: Duration) -> bool {
    clock_now().since(begun) >= span
}

/// Runs the case that `case_seed` makes; tells how to run it again when it fails.
fn run_one(slice: &SoakSlice, case_seed: u64) -> bool {
    let mut bytes = vec![0; slice.case_bytes];
    StdRng::seed_from_u64(case_seed).fill_bytes(&mut bytes);
    let run = || (slice.run_case)(&mut Unstructured::new(&bytes));
    // A case that runs out of bytes has simply ended.
    let held = catch_unwind(run).is_ok();
    if !held {
        println!(
            "failed: savory-lab soak --slice {} --case {case_seed}",
            slice.name
        );
    }
    held
}
