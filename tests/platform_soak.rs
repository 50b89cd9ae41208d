//! A short run of the fault soak: the daemons as they run on the users' platform, as processes,
//! disturbed by one wave of faults. What is asserted is the verdict, and that the checks had calls to
//! look at.

use std::process::Command;

use serde_json::Value;

#[test]
fn promises_hold_through_a_wave_of_faults() {
    let output = Command::new(env!("CARGO_BIN_EXE_savory-lab"))
        .args(["platform-soak", "--seed", "2", "--minutes", "0.4", "--json"])
        .output()
        .expect("the lab starts");
    let told = String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_slice(&output.stdout).expect("the report is JSON");
    assert!(output.status.success(), "{report:#}\n{told}");
    assert_eq!(report["verdict"], "held");
    for check in [
        "whole",
        "runs",
        "version_bound",
        "revoked",
        "after_recovery",
    ] {
        let count = report["counts"][check].as_u64();
        assert!(count > Some(0), "{check} looked at nothing: {report:#}");
    }
}
