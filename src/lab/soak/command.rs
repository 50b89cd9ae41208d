//! The subcommand `savory-lab soak`: runs random cases of the slices until a time limit, or one
//! case by its seed.

use std::panic::catch_unwind;
use std::process::ExitCode;
use std::time::Duration;

use arbitrary::Unstructured;
use clap::{Arg, ArgMatches, Command, value_parser};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{SLICES, SoakSlice};
use crate::time::{ClockTime, clock_now};

/// Cases of each slice per round. The clock is read once per round.
const CASES_PER_ROUND: u64 = 50;
const MINUTE: Duration = Duration::from_mins(1);

/// Returns the definition of the subcommand.
pub(crate) fn soak_command() -> Command {
    Command::new("soak")
        .about("Drives every state machine through random cases for a given time")
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
                .help("Seed of the random cases"),
        )
        .arg(
            Arg::new("minutes")
                .long("minutes")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(f64))
                .help("Total run time in minutes, shared by all slices"),
        )
        .arg(
            Arg::new("slice")
                .long("slice")
                .value_name("NAME")
                .help("Runs only this slice"),
        )
        .arg(
            Arg::new("case")
                .long("case")
                .value_name("SEED")
                .value_parser(value_parser!(u64))
                .requires("slice")
                .help("Runs only the case with this seed, which a failed run prints"),
        )
}

/// Runs the subcommand. Fails if a case violates an invariant or `--slice` is unknown.
pub(crate) fn run_soak(matches: &ArgMatches) -> ExitCode {
    let slice_name = matches.get_one::<String>("slice");
    let slices: Vec<&SoakSlice> = SLICES
        .iter()
        .filter(|slice| slice_name.is_none_or(|name| name == slice.name))
        .collect();
    if slices.is_empty() {
        let known_names: Vec<&str> = SLICES.iter().map(|slice| slice.name).collect();
        eprintln!("savory-lab: --slice: unknown slice; expected one of {known_names:?}");
        return ExitCode::FAILURE;
    }
    if let Some(case) = matches.get_one::<u64>("case") {
        return exit_code(run_seeded_case(slices[0], *case));
    }
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let minutes = matches.get_one::<f64>("minutes").copied().unwrap_or(1.0);
    let time_limit = MINUTE.mul_f64(minutes.max(0.0));
    exit_code(run_rounds(&slices, seed, time_limit))
}

fn exit_code(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs rounds of cases of all slices until `time_limit` has elapsed, or until a case fails.
/// Returns whether all cases passed.
fn run_rounds(slices: &[&SoakSlice], seed: u64, time_limit: Duration) -> bool {
    let started_at = clock_now();
    let mut seeds = StdRng::seed_from_u64(seed);
    let mut counts = vec![0_u64; slices.len()];
    while !has_elapsed(started_at, time_limit) {
        for (slice, count) in slices.iter().zip(&mut counts) {
            for _ in 0..CASES_PER_ROUND {
                if !run_seeded_case(slice, seeds.next_u64()) {
                    return false;
                }
                *count += 1;
            }
        }
    }
    println!("seed {seed}, {:?}", clock_now().since(started_at));
    for (slice, count) in slices.iter().zip(&counts) {
        println!("{:12} {count} cases held", slice.name);
    }
    true
}

fn has_elapsed(started_at: ClockTime, time_limit: Duration) -> bool {
    clock_now().since(started_at) >= time_limit
}

/// Runs the case with the seed `case_seed` and returns whether it passed. If it fails, prints the
/// command that repeats it.
fn run_seeded_case(slice: &SoakSlice, case_seed: u64) -> bool {
    let mut bytes = vec![0; slice.case_bytes];
    StdRng::seed_from_u64(case_seed).fill_bytes(&mut bytes);
    let run_case = || (slice.run_case)(&mut Unstructured::new(&bytes));
    // An `Err` means that the random bytes are used up, which is a normal end of a case.
    let passed = catch_unwind(run_case).is_ok();
    if !passed {
        println!(
            "failed: savory-lab soak --slice {} --case {case_seed}",
            slice.name
        );
    }
    passed
}
