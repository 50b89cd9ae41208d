//! Messages and exit codes of the programs for missing, invalid and unknown settings.

use std::process::{Command, Output};

const ENTRY: &str = env!("CARGO_BIN_EXE_savory-entry");
const HOST: &str = env!("CARGO_BIN_EXE_savory-host");
const LAB: &str = env!("CARGO_BIN_EXE_savory-lab");
const OPERATOR: &str = env!("CARGO_BIN_EXE_savoryctl");

const COMMON: &[&str] = &[
    "--host-name=entry-1",
    "--data-centre=lima-hall-a",
    "--region=costa",
    "--peer-address=127.0.0.1:0",
    "--table-address=127.0.0.1:1",
    "--list-address=127.0.0.1:1",
];

fn run(program: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(program);
    for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("SAVORY_")) {
        command.env_remove(name);
    }
    command
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn entry_arguments<'a>(extra: &[&'a str]) -> Vec<&'a str> {
    let entry_only = [
        "--caller-address=127.0.0.1:0",
        "--admin-address=127.0.0.1:0",
    ];
    [COMMON, &entry_only, extra].concat()
}

const DIGEST: &str =
    "--operator-key-digest=af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

#[test]
fn all_missing_settings_are_reported_at_once() {
    for (program, flags) in [
        (
            ENTRY,
            [
                "host-name",
                "region",
                "caller-address",
                "operator-key-digest",
            ],
        ),
        (HOST, ["host-name", "region", "service", "engine-address"]),
    ] {
        let output = run(program, &[]);
        assert!(!output.status.success());
        let text = error_text(&output);
        for flag in flags {
            let variable = format!("SAVORY_{}", flag.replace('-', "_").to_uppercase());
            let is_reported = text.lines().any(|line| {
                line.contains(&format!("--{flag}: not given")) && line.contains(&variable)
            });
            assert!(is_reported, "{flag} in:\n{text}");
        }
    }
}

#[test]
fn all_invalid_values_are_reported_at_once_with_the_given_value() {
    let arguments = [
        "--host-name=no name",
        "--peer-address=nowhere",
        "--leave-linger-ms=-1",
    ];
    let output = run(ENTRY, &arguments);
    assert!(!output.status.success());
    let text = error_text(&output);
    for expected in [
        "--host-name: \"no name\"",
        "--peer-address: \"nowhere\"",
        "--leave-linger-ms: \"-1\"",
    ] {
        assert!(text.contains(expected), "{expected} in:\n{text}");
    }
}

#[test]
fn check_settings_reports_whether_the_settings_are_valid() {
    let valid = run(ENTRY, &entry_arguments(&[DIGEST, "--check-settings"]));
    assert!(valid.status.success(), "{}", error_text(&valid));
    let short_digest = entry_arguments(&["--operator-key-digest=abc", "--check-settings"]);
    let invalid = run(ENTRY, &short_digest);
    assert!(!invalid.status.success());
    assert!(error_text(&invalid).contains("--operator-key-digest"));
}

#[test]
fn settings_are_read_from_the_environment() {
    let output = Command::new(ENTRY)
        .args(entry_arguments(&["--check-settings"]))
        .env(
            "SAVORY_OPERATOR_KEY_DIGEST",
            DIGEST.split_once('=').expect("a value").1,
        )
        .output()
        .expect("the program starts");
    assert!(output.status.success(), "{}", error_text(&output));
}

#[test]
fn an_unknown_flag_is_named() {
    for program in [ENTRY, HOST, LAB, OPERATOR] {
        let output = run(program, &["--no-such-flag"]);
        assert_eq!(output.status.code(), Some(2));
        assert!(error_text(&output).contains("--no-such-flag"));
    }
}

#[test]
fn help_shows_an_example() {
    for arguments in [
        &["stand-in", "--help"][..],
        &["quickstart", "--help"],
        &["faults", "--help"],
        &["load", "--help"],
        &["soak", "--help"],
    ] {
        let output = run(LAB, arguments);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(text.contains("Example"), "{arguments:?}:\n{text}");
    }
}
