//! The whole path on real processes, as the quickstart drives it: documents accepted, a version on
//! every engine, calls of every class, a host process killed, one drained, a second version, bad
//! requests refused. What is asserted are counts, never times.

use std::process::Command;

#[test]
fn quickstart_holds_and_leaves_nothing_running() {
    let output = Command::new(env!("CARGO_BIN_EXE_savory-lab"))
        .args(["quickstart", "--company", "skupno"])
        .output()
        .expect("the lab starts");
    let shown = String::from_utf8_lossy(&output.stdout);
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{shown}\n{told}");
    assert!(
        shown.contains(
            "lost 0, doubled 0, falsely \"not run\" 0, cut 0, mixed versions 0, crossed 0"
        )
    );
    assert!(shown.contains("processes left running: 0"));
}
