//! `savoryctl` as a new user meets it: what it says, and with which exit code.

use std::path::PathBuf;
use std::process::{Command, Output};

fn savoryctl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_savoryctl"));
    for variable in ["SAVORY_ADMIN_ADDRESS", "SAVORY_KEY_FILE"] {
        command.env_remove(variable);
    }
    command.args(arguments).output().expect("it starts")
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn in_crate(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(name);
    path.to_string_lossy().into_owned()
}

#[test]
fn a_good_document_passes_the_check() {
    let output = savoryctl(&["document", "check", &in_crate("samples/skupno/nadzor.json")]);
    assert_eq!(code(&output), Some(0), "{}", errors(&output));
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "nadzor: no faults\n"
    );
}

#[test]
fn what_is_no_document_fails_the_check() {
    let output = savoryctl(&["document", "check", &in_crate("Cargo.toml")]);
    assert_eq!(code(&output), Some(1));
    assert!(
        errors(&output).contains("a JSON object"),
        "{}",
        errors(&output)
    );
}

#[test]
fn a_missing_setting_is_named_with_its_variable() {
    let output = savoryctl(&["state"]);
    assert_eq!(code(&output), Some(2));
    let text = errors(&output);
    assert!(text.contains("--admin-address"), "{text}");
    assert!(text.contains("SAVORY_ADMIN_ADDRESS"), "{text}");
}

#[test]
fn a_wrong_address_is_told_with_what_was_given() {
    let output = savoryctl(&["--admin-address", "lima", "state"]);
    assert_eq!(code(&output), Some(2));
    assert!(errors(&output).contains("\"lima\""), "{}", errors(&output));
}

#[test]
fn a_put_without_the_replaced_version_is_wrong_use() {
    let output = savoryctl(&["document", "put", "any.json"]);
    assert_eq!(code(&output), Some(2));
    assert!(errors(&output).contains("--replaces"));
}

#[test]
fn a_file_without_a_key_is_refused_before_anything_is_sent() {
    let output = savoryctl(&[
        "--admin-address",
        "127.0.0.1:9",
        "--key-file",
        &in_crate("samples/skupno/nadzor.json"),
        "state",
    ]);
    assert_eq!(code(&output), Some(2));
    assert!(
        errors(&output).contains("holds no key"),
        "{}",
        errors(&output)
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
        assert_eq!(code(&output), Some(0), "{command:?}");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.contains("Example: savoryctl"), "{command:?}: {text}");
    }
}
