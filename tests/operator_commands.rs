//! Output and exit codes of `savoryctl`.

use std::path::PathBuf;
use std::process::{Command, Output};

fn savoryctl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_savoryctl"));
    for variable in ["SAVORY_ADMIN_ADDRESS", "SAVORY_KEY_FILE"] {
        command.env_remove(variable);
    }
    command.args(arguments).output().expect("savoryctl starts")
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn path_in_crate(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(name);
    path.to_string_lossy().into_owned()
}

#[test]
fn a_valid_document_passes_the_check() {
    let output = savoryctl(&[
        "document",
        "check",
        &path_in_crate("samples/skupno/nadzor.json"),
    ]);
    assert_eq!(exit_code(&output), Some(0), "{}", error_text(&output));
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "nadzor: no faults\n"
    );
}

#[test]
fn a_file_other_than_a_document_fails_the_check() {
    let output = savoryctl(&["document", "check", &path_in_crate("Cargo.toml")]);
    assert_eq!(exit_code(&output), Some(1));
    assert!(
        error_text(&output).contains("a JSON object"),
        "{}",
        error_text(&output)
    );
}

#[test]
fn a_missing_setting_is_reported_with_flag_and_variable() {
    let output = savoryctl(&["state"]);
    assert_eq!(exit_code(&output), Some(2));
    let text = error_text(&output);
    assert!(text.contains("--admin-address"), "{text}");
    assert!(text.contains("SAVORY_ADMIN_ADDRESS"), "{text}");
}

#[test]
fn an_invalid_address_is_reported_with_the_given_value() {
    let output = savoryctl(&["--admin-address", "lima", "state"]);
    assert_eq!(exit_code(&output), Some(2));
    assert!(
        error_text(&output).contains("\"lima\""),
        "{}",
        error_text(&output)
    );
}

#[test]
fn a_put_without_the_replaced_version_is_a_usage_error() {
    let output = savoryctl(&["document", "put", "any.json"]);
    assert_eq!(exit_code(&output), Some(2));
    assert!(error_text(&output).contains("--replaces"));
}

#[test]
fn a_file_without_a_key_is_rejected_before_a_request_is_sent() {
    let output = savoryctl(&[
        "--admin-address",
        "127.0.0.1:9",
        "--key-file",
        &path_in_crate("samples/skupno/nadzor.json"),
        "state",
    ]);
    assert_eq!(exit_code(&output), Some(2));
    assert!(
        error_text(&output).contains("holds no key"),
        "{}",
        error_text(&output)
    );
}

#[test]
fn every_command_has_an_example_in_its_help() {
    let commands: [&[&str]; 12] = [
        &["state"],
        &["hosts"],
        &["weights"],
        &["requests"],
        &["digest"],
        &["document", "check"],
        &["document", "schema"],
        &["document", "put"],
        &["document", "get"],
        &["document", "diff"],
        &["document", "history"],
        &["document", "watch"],
    ];
    for command in commands {
        let mut arguments = command.to_vec();
        arguments.push("--help");
        let output = savoryctl(&arguments);
        assert_eq!(exit_code(&output), Some(0), "{command:?}");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.contains("Example: savoryctl"), "{command:?}: {text}");
    }
}
