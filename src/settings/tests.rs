//! All faults of the settings are reported at once, each with the flag, the given value and the
//! expected one.

use std::time::Duration;

use clap::Command;

use super::{CommonSettings, SettingReader, SettingSpec};

const SPECS: &[SettingSpec] = &[
    super::HOST_NAME,
    super::DATA_CENTRE,
    super::REGION,
    super::PEER_ADDRESS,
    super::TABLE_ADDRESS,
    super::LIST_ADDRESS,
    super::PLATFORM_TIMEOUT,
    super::TRAFFIC_THREADS,
    super::LEAVE_LINGER,
    super::LEAVE_LONGEST,
];

fn read(arguments: &[&str]) -> Result<CommonSettings, Vec<String>> {
    let command = SettingReader::command(Command::new("program"), SPECS);
    let command_line = std::iter::once(&"program").chain(arguments);
    let matches = command
        .try_get_matches_from(command_line)
        .expect("the flags exist");
    let mut reader = SettingReader::new(matches, SPECS);
    let settings = CommonSettings::read(&mut reader);
    reader.finish(settings)
}

const VALID_ARGUMENTS: &[&str] = &[
    "--host-name=entry-1",
    "--data-centre=cusco-hall-a",
    "--region=cusco",
    "--peer-address=127.0.0.1:0",
    "--table-address=127.0.0.1:1",
    "--list-address=127.0.0.1:3",
];

#[test]
fn valid_settings_are_parsed_with_their_defaults() {
    let settings = read(VALID_ARGUMENTS).unwrap_or_else(|faults| panic!("{faults:?}"));
    assert_eq!(settings.host, "entry-1");
    assert_eq!(settings.platform_timeout, Duration::from_secs(1));
    assert_eq!(settings.traffic_threads, 2);
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut arguments = VALID_ARGUMENTS[1..5].to_vec();
    arguments.extend([
        "--platform-timeout-ms=soon",
        "--traffic-threads=0",
        "--list-address=here",
    ]);
    let faults = read(&arguments).err().expect("four faults");
    let is_reported = |flag: &str| {
        faults
            .iter()
            .any(|fault| fault.starts_with(&format!("--{flag}: ")))
    };
    for flag in [
        "host-name",
        "platform-timeout-ms",
        "traffic-threads",
        "list-address",
    ] {
        assert!(is_reported(flag), "--{flag} is missing from {faults:?}");
    }
    assert_eq!(faults.len(), 4);
}

#[test]
fn a_fault_states_the_given_value_and_the_expected_format() {
    let mut arguments = VALID_ARGUMENTS.to_vec();
    arguments[3] = "--peer-address=nowhere";
    let faults = read(&arguments).err().expect("one fault");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].contains("\"nowhere\""));
    assert!(faults[0].contains("IP:PORT"));
}
