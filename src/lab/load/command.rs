//! `savory-lab load`.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use super::parts::{HopReport, LoadParts, RetryReport, ShareReport, UrgentReport};
use crate::errors::SwitchResult;
use crate::lab::calls::CallClass;
use crate::lab::launch::{Company, LabSystem, SystemShape};
use crate::lab::quickstart::{new_call_runner, roll_out_first_version, wait_until_served};
use crate::lab::run_lab;

/// Engines slow enough that their places, not the machine, are what is short.
const RUNNING_MAX: u64 = 4;
const TOKENS_PER_SECOND: u64 = 100;
/// Between two parts, so that the queues of one do not reach into the next.
const SETTLE: Duration = Duration::from_secs(12);

/// The subcommand.
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
                .help("How long each part lasts"),
        )
        .arg(
            Arg::new("urgent-rate")
                .long("urgent-rate")
                .value_name("NUMBER")
                .default_value("8")
                .value_parser(value_parser!(f64))
                .help("Urgent calls a second; the engines can answer 57 calls of any kind"),
        )
        .arg(
            Arg::new("part")
                .long("part")
                .value_parser(["urgent", "shares", "retries", "hop"])
                .help("Only this part"),
        )
        .arg(
            Arg::new("company")
                .long("company")
                .default_value("auroras")
                .value_parser(["auroras", "skupno"])
                .help("Whose data centres and services it has"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the result as JSON on one line"),
        )
}

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
    /// The machine's load average over a minute, before and after; others may work on it too.
    machine_load: Vec<String>,
}

/// Runs it.
pub(crate) fn run_load(matches: &ArgMatches) -> ExitCode {
    let company = matches.get_one::<String>("company");
    let company = Company::named(company.map_or("", String::as_str));
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(15);
    let urgent_rate = matches.get_one::<f64>("urgent-rate").copied();
    let urgent_rate = urgent_rate.unwrap_or(1.0).max(0.1);
    let part = matches.get_one::<String>("part").cloned();
    let prints_json = matches.get_flag("json");
    run_lab(async move {
        let shape = SystemShape {
            running_max: RUNNING_MAX,
            tokens_per_second: TOKENS_PER_SECOND,
            ..SystemShape::small(company)
        };
        let system = LabSystem::start(shape, || {}).await?;
        let parts = LoadParts {
            system: &system,
            span: Duration::from_secs(seconds),
            urgent_rate,
        };
        let report = measure(&parts, part.as_deref()).await;
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

async fn measure(parts: &LoadParts<'_>, part: Option<&str>) -> SwitchResult<LoadReport> {
    roll_out_first_version(parts.system).await?;
    wait_until_served(&new_call_runner(parts.system)?, &[CallClass::Stream]).await?;
    let is_wanted = |name| part.is_none_or(|part| part == name);
    let mut report = LoadReport::default();
    report.machine_load.push(machine_load());
    if is_wanted("hop") {
        report.hop = Some(parts.hop().await?);
    }
    if is_wanted("urgent") {
        report.urgent = Some(parts.urgent().await?);
        tokio::time::sleep(SETTLE).await;
    }
    if is_wanted("shares") {
        report.shares = Some(parts.shares().await?);
        tokio::time::sleep(SETTLE).await;
    }
    if is_wanted("retries") {
        report.retries = Some(parts.retries().await?);
    }
    report.machine_load.push(machine_load());
    Ok(report)
}

fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}
