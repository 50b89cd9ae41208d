//! The `savory-lab load` subcommand: starts a system, runs the selected parts of the measurement
//! and prints the report.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use super::measurement::{HopReport, LoadMeasurement, RetryReport, ShareReport, UrgentReport};
use crate::errors::SwitchResult;
use crate::lab::calls::CallClass;
use crate::lab::launch::{LabSystem, SampleCompany, SystemShape};
use crate::lab::quickstart::{new_call_runner, roll_out_first_version, wait_until_served};
use crate::lab::run_lab;

/// Slots per engine. Slots and token rate are low enough that the engines limit the throughput, not
/// the machine's processors.
const ENGINE_SLOTS: u64 = 4;
const ENGINE_TOKENS_PER_SECOND: u64 = 100;
/// Pause after a part, so that its queues are empty before the next part starts.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// The `load` subcommand.
pub(crate) fn load_command() -> Command {
    Command::new("load")
        .about("Measures live requests on real processes")
        .after_help("Example:\n  savory-lab load --seconds 15 --json")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("NUMBER")
                .default_value("15")
                .value_parser(value_parser!(u64).range(2..))
                .help(
                    "Duration of each part in seconds; hop sends a fixed number of calls instead",
                ),
        )
        .arg(
            Arg::new("urgent-rate")
                .long("urgent-rate")
                .value_name("NUMBER")
                .default_value("8")
                .value_parser(value_parser!(f64))
                .help(
                    "Urgent calls per second; the engines can answer 57 calls per second in total",
                ),
        )
        .arg(
            Arg::new("part")
                .long("part")
                .value_parser(["urgent", "shares", "retries", "hop"])
                .help("Runs only this part"),
        )
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Company whose data centres and services the system uses"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the report as JSON on one line"),
        )
}

/// Results of the parts that ran.
#[derive(Debug, Default, Serialize)]
struct LoadReport {
    #[serde(skip_serializing_if = "Option::is_none")]
    urgent: Option<UrgentReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    shares: Option<ShareReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retries: Option<RetryReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hop: Option<HopReport>,
    /// The machine's one-minute load average before and after the parts. Other programs count too.
    machine_load: Vec<String>,
}

/// Runs the `load` subcommand.
pub(crate) fn run_load(matches: &ArgMatches) -> ExitCode {
    let company = matches.get_one::<String>("company");
    let company = SampleCompany::from_flag(company.map_or("", String::as_str));
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(15);
    let urgent_rate = matches.get_one::<f64>("urgent-rate").copied();
    let urgent_rate = urgent_rate.unwrap_or(1.0).max(0.1);
    let part = matches.get_one::<String>("part").cloned();
    let prints_json = matches.get_flag("json");
    run_lab(async move {
        let shape = SystemShape {
            running_max: ENGINE_SLOTS,
            tokens_per_second: ENGINE_TOKENS_PER_SECOND,
            ..SystemShape::small(company)
        };
        let system = LabSystem::start(shape, || {}).await?;
        let measurement = LoadMeasurement {
            system: &system,
            duration: Duration::from_secs(seconds),
            urgent_rate,
        };
        let report = measure_parts(&measurement, part.as_deref()).await;
        system.end().await;
        let text = if prints_json {
            serde_json::to_string(&report?)
        } else {
            serde_json::to_string_pretty(&report?)
        };
        println!("{}", text.unwrap_or_default());
        Ok(true)
    })
}

/// Distributes the weights, waits until the service answers and runs all parts, or only `part`.
async fn measure_parts(
    measurement: &LoadMeasurement<'_>,
    part: Option<&str>,
) -> SwitchResult<LoadReport> {
    roll_out_first_version(measurement.system).await?;
    wait_until_served(&new_call_runner(measurement.system)?, &[CallClass::Stream]).await?;
    let is_selected = |name| part.is_none_or(|part| part == name);
    let mut report = LoadReport::default();
    report.machine_load.push(machine_load());
    if is_selected("hop") {
        report.hop = Some(measurement.hop().await?);
    }
    if is_selected("urgent") {
        report.urgent = Some(measurement.urgent().await?);
        tokio::time::sleep(SETTLE_TIME).await;
    }
    if is_selected("shares") {
        report.shares = Some(measurement.shares().await?);
        tokio::time::sleep(SETTLE_TIME).await;
    }
    if is_selected("retries") {
        report.retries = Some(measurement.retries().await?);
    }
    report.machine_load.push(machine_load());
    Ok(report)
}

/// Reads the one-minute load average; empty if `/proc/loadavg` is unavailable.
fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}
