//! Short runs of the fault soak: the daemons run as processes as on the users' platform, and one
//! wave of faults is injected. The tests assert the verdict and that each check covered some calls.

use std::process::Command;

use serde_json::Value;

/// Runs one wave of faults drawn from `seed`, with the additional arguments `extra`, and asserts
/// that no check failed and that each of `checks` covered at least one call.
fn assert_guarantees_hold(seed: &str, extra: &[&str], checks: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_savory-lab"))
        .args([
            "platform-soak",
            "--minutes",
            "0.4",
            "--json",
            "--seed",
            seed,
        ])
        .args(extra)
        .output()
        .expect("the lab starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    assert!(output.status.success(), "{report:#}\n{errors}");
    assert_eq!(report["verdict"], "held");
    for check in checks {
        let count = report["counts"][check].as_u64();
        assert!(count > Some(0), "{check} covered no calls: {report:#}");
    }
}

const CHECKS: [&str; 8] = [
    "whole",
    "runs",
    "version_bound",
    "revoked",
    "evacuated",
    "homed",
    "after_recovery",
    "beside_work",
];

#[test]
fn guarantees_hold_through_a_wave_of_faults() {
    assert_guarantees_hold("2", &[], &CHECKS);
}

/// Guards against responses that are truncated around planned work while engines are paused.
#[test]
fn guarantees_hold_while_engines_pause() {
    assert_guarantees_hold("2", &["--loaded-engines"], &CHECKS);
}
