//! Reports of engines that are corrupt or that another program sent.

use serde_json::{Value, json};

use crate::fleet::{EngineHoldings, WeightsVersion};
use crate::platform::engine_calls::read_report;
use crate::test_support::{arbitrary_json, mutate_json, run_cases};
use crate::time::WallTime;

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

fn complete_report() -> Value {
    json!({
        "stage": "both", "models": [{"name": "m", "version": 2, "adapters": []}],
        "layers": [{"from": 0, "to": 16, "version": 2}], "born": 1_790_000_000_000_u64,
        "busy": false, "sequence": 2, "queued": 1, "active": 12, "kv_used": 41000,
        "kv_total": 90000, "handles": 0,
    })
}

#[test]
fn a_report_is_decoded_with_its_incarnation() {
    let report =
        read_report(complete_report().to_string().as_bytes()).expect("the report is complete");
    assert_eq!(report.start_time, Some(WallTime(1_790_000_000_000)));
    assert_eq!(
        (report.orders_accepted, report.active, report.queued),
        (2, 12, 1)
    );
    let held = report.holdings.complete_version("m", 16);
    assert_eq!(held, Some(WeightsVersion(2)));
    let empty = br#"{"models":[],"layers":null,"busy":false,"sequence":0}"#;
    let empty = read_report(empty).expect("a report of an engine without weights is valid");
    assert_eq!(empty.holdings, EngineHoldings::default());
}

/// Random contents are rejected, or decoded without a version that the report does not list.
#[test]
fn a_random_report_adds_no_holdings() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut report = complete_report();
        mutate_json(u, &mut report)?;
        let report = if u.ratio(1, 4)? {
            arbitrary_json(u)?
        } else {
            report
        };
        if let Ok(read) = read_report(report.to_string().as_bytes()) {
            let has_models = report.get("models").is_some_and(Value::is_array);
            assert!(has_models || read.holdings.models.is_empty(), "{report}");
            let _ = read.holdings.complete_version("m", u32::MAX);
        }
        let _ = read_report(u.bytes(u.len())?);
        Ok(())
    });
}
