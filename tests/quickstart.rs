//! End-to-end run of the quickstart on real processes: it puts documents, loads a version on every
//! engine, sends calls of every priority class, kills one host process, drains another, updates to
//! a second version and sends invalid requests. The test asserts counts, never times.

use std::process::Command;

#[test]
fn quickstart_succeeds_and_leaves_no_process_running() {
    let output = Command::new(env!("CARGO_BIN_EXE_savory-lab"))
        .args(["quickstart", "--company", "skupno"])
        .output()
        .expect("the lab starts");
    let report = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{report}\n{errors}");
    assert!(
        report.contains(
            "lost 0, doubled 0, falsely \"not run\" 0, cut 0, mixed versions 0, crossed 0"
        )
    );
    assert!(report.contains("processes left running: 0"));
}
