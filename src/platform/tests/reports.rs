//! Reports of engines that came to harm on the way, or that something else sent.

use serde_json::{Value, json};

use crate::fleet::{EngineHoldings, WeightsVersion};
use crate::platform::engine_calls::read_report;
use crate::test_support::{any_json, run_cases, spoil_json};
use crate::time::WallTime;

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

fn whole_report() -> Value {
    json!({
        "stage": "both", "models": [{"name": "m", "version": 2, "adapters": []}],
        "layers": [{"from": 0, "to": 16, "version": 2}], "born": 1_790_000_000_000_u64,
        "busy": false, "sequence": 2, "queued": 1, "active": 12, "kv_used": 41000, "kv_total": 90000,
        "handles": 0,
    })
}

#[test]
fn a_report_is_read_with_the_incarnation_that_it_tells_of() {
    let report = read_report(whole_report().to_string().as_bytes()).expect("it is whole");
    assert_eq!(report.born, Some(WallTime(1_790_000_000_000)));
    assert_eq!(
        (report.orders_taken, report.active, report.queued),
        (2, 12, 1)
    );
    let held = report.holdings.complete_version("m", 16);
    assert_eq!(held, Some(WeightsVersion(2)));
    let empty = br#"{"models":[],"layers":null,"busy":false,"sequence":0}"#;
    let empty = read_report(empty).expect("an engine without weights writes so");
    assert_eq!(empty.holdings, EngineHoldings::default());
}

/// What does not read is no report, and what reads never holds a version that was not told.
#[test]
fn whatever_an_engine_sends_it_holds_nothing_by_default() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut report = whole_report();
        spoil_json(u, &mut report)?;
        let report = if u.ratio(1, 4)? { any_json(u)? } else { report };
        if let Ok(read) = read_report(report.to_string().as_bytes()) {
            let told = report.get("models").is_some_and(Value::is_array);
            assert!(told || read.holdings.models.is_empty(), "{report}");
            let _ = read.holdings.complete_version("m", u32::MAX);
        }
        let _ = read_report(u.bytes(u.len())?);
        Ok(())
    });
}
