//! Entries of backend servers with invalid contents.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::*;
use crate::fleet::{BackendFacts, HeldLayers};
use crate::platform::engine_calls::{HoldingsText, read_holdings};
use crate::test_support::{arbitrary_json, mutate_json, run_cases};
use crate::time::{StoreTime, WallTime};

const CASES: u32 = 4000;
const CASE_BYTES: u32 = 512;

fn complete_entry() -> Value {
    json!({
        "service": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 16, "state": "ready",
        "born": 1_790_000_000_000_u64, "sequence": 4, "version": "v1", "cold_remaining_ms": 0,
        "stage": "both", "models": [{"name": "m", "version": 2, "adapters": []}],
        "layers": [{"from": 0, "to": 16, "version": 2}],
    })
}

fn read(entry: &Value) -> crate::errors::SwitchResult<BackendFacts> {
    read_backend_row("i-1", entry.to_string().as_bytes(), StoreTime::default())
}

fn changed(field: &str, value: Value) -> Value {
    let mut entry = complete_entry();
    entry[field] = value;
    entry
}

fn without(field: &str) -> Value {
    let mut entry = complete_entry();
    let fields = entry.as_object_mut().expect("the entry is an object");
    fields.remove(field);
    entry
}

/// An entry of another program had no state and no slots. The missing state was taken for a serving
/// one, and the missing slots for a backend server that only queues, so that requests went to an
/// address where nothing serves them.
#[test]
fn an_entry_without_a_required_field_is_rejected() {
    let facts = read(&complete_entry()).expect("the entry is complete");
    assert_eq!(facts.phase, BackendPhase::Serving);
    assert_eq!(
        (facts.slots, facts.start_time),
        (16, Some(WallTime(1_790_000_000_000)))
    );
    for field in ["service", "address", "zone", "slots", "state"] {
        assert!(read(&without(field)).is_err(), "without {field}");
        for value in [
            json!(null),
            json!(7.5),
            json!(["ready"]),
            json!({}),
            json!(-1),
        ] {
            assert!(read(&changed(field, value)).is_err(), "{field}");
        }
    }
    for state in ["", "READY", "starting", "gone", "ready "] {
        assert!(read(&changed("state", json!(state))).is_err(), "{state}");
    }
    for slots in [json!(0), json!(1.0), json!("16"), json!(u64::MAX)] {
        assert!(read(&changed("slots", slots)).is_err());
    }
    for address in ["10.0.0.9", "here:80", "10.0.0.9:80000", ""] {
        assert!(
            read(&changed("address", json!(address))).is_err(),
            "{address}"
        );
    }
}

/// An entry of another program was taken for that of a backend server that does not report its
/// start. Only the wrong type of an optional field distinguished the two.
#[test]
fn optional_fields_may_be_missing_but_not_of_another_type() {
    let optional = [
        "born",
        "sequence",
        "version",
        "cold_remaining_ms",
        "stage",
        "models",
        "layers",
    ];
    for field in optional {
        assert!(read(&without(field)).is_ok(), "without {field}");
        // An engine without weights writes `null` for its layers.
        let null = (field != "layers").then_some(Value::Null);
        let others = [json!(true), json!({"x": 1}), json!([1])];
        for value in others.into_iter().chain(null) {
            assert!(
                read(&changed(field, value.clone())).is_err(),
                "{field} {value}"
            );
        }
    }
    for start_time in [json!(-1), json!(1.5), json!(1e30), json!("1790000000000")] {
        assert!(read(&changed("born", start_time)).is_err());
    }
    let foreign = changed("something new", json!({"x": [1]}));
    assert!(read(&foreign).is_ok(), "unknown fields are ignored");
}

/// An engine without weights writes `null` for its layers. Its entry was rejected, so that an added
/// or restarted engine was missing: `[1115] … data did not match any variant of untagged enum
/// LayersText`.
#[test]
fn an_entry_of_an_engine_without_weights_is_accepted() {
    let text = br#"{"service":"s","address":"10.3.0.34:87","zone":"z","version":"v1","slots":16,
        "state":"ready","sequence":1,"cold_remaining_ms":0,"stage":"both","models":[],"layers":null}"#;
    let facts = read_backend_row("i-1", text, StoreTime::default()).expect("the entry is valid");
    assert_eq!(facts.holdings, crate::fleet::EngineHoldings::default());
}

/// The id of a backend server was no valid header value, so that its requests went out without the
/// id and ran at whichever backend server had the address.
#[test]
fn an_entry_with_an_id_that_is_no_header_value_is_rejected() {
    let entry = complete_entry().to_string();
    assert!(read_backend_row("i-1", entry.as_bytes(), StoreTime::default()).is_ok());
    for id in ["", "i\n1", "i\u{0}"] {
        assert!(
            read_backend_row(id, entry.as_bytes(), StoreTime::default()).is_err(),
            "{id:?}"
        );
    }
}

/// An independent check of whether an entry is valid.
fn is_valid_entry(entry: &Value) -> bool {
    let texts = ["service", "zone"];
    let absent_or =
        |field: &str, is_right: fn(&Value) -> bool| entry.get(field).is_none_or(is_right);
    let address = entry["address"].as_str();
    texts.iter().all(|field| entry[*field].is_string())
        && address.is_some_and(|text| text.parse::<SocketAddr>().is_ok())
        && entry["slots"]
            .as_u64()
            .is_some_and(|slots| (1..=u64::from(u32::MAX)).contains(&slots))
        && matches!(entry["state"].as_str(), Some("ready" | "draining"))
        && absent_or("born", Value::is_u64)
        && absent_or("sequence", Value::is_u64)
        && absent_or("models", Value::is_array)
        && absent_or("layers", |value| {
            value.is_array() || value.is_object() || value.is_null()
        })
}

#[test]
fn a_random_entry_is_accepted_only_if_valid() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut entry = complete_entry();
        mutate_json(u, &mut entry)?;
        if let Ok(facts) = read(&entry) {
            assert!(is_valid_entry(&entry), "{entry}");
            assert_eq!(entry["service"], *facts.service);
            assert_eq!(entry["address"], facts.address.to_string());
            assert_eq!(entry["slots"], facts.slots);
            assert_eq!(
                entry.get("born").and_then(Value::as_u64),
                facts.start_time.map(|start_time| start_time.0)
            );
        }
        let other = arbitrary_json(u)?;
        assert!(read(&other).is_err() || is_valid_entry(&other), "{other}");
        assert!(read_backend_row("i-1", u.bytes(u.len())?, StoreTime::default()).is_err());
        Ok(())
    });
}

/// An array of a string, an address, a string, a number and a state was accepted as an entry.
#[test]
fn fields_of_an_entry_are_read_by_name_only() {
    let list = json!(["s", "10.0.0.9:80", "z", 16, "ready", 1, 4, [], []]);
    assert!(read(&list).is_err());
    assert!(read(&changed("models", json!([["m", 2]]))).is_err());
    assert!(read(&changed("layers", json!([[0, 16, 2]]))).is_err());
    assert!(read(&changed("layers", json!([0, 16, 2]))).is_err());
    assert!(read(&changed("state", json!({ "ready": null }))).is_err());
}

/// The report of an engine contains the same fields for its holdings among others, and gives its
/// layers as a range or a list of ranges.
#[test]
fn holdings_are_read_alike_from_reports_and_entries() {
    #[derive(serde::Deserialize)]
    struct Report {
        #[serde(flatten)]
        holdings: HoldingsText,
    }
    let held = |report: &Value| {
        let report: Report =
            serde_json::from_str(&report.to_string()).expect("the report is valid");
        read_holdings(report.holdings)
    };
    let complete = held(&complete_entry());
    assert_eq!(
        complete,
        read(&complete_entry())
            .expect("the entry is complete")
            .holdings
    );
    let layers = HeldLayers {
        from: 0,
        to: 16,
        version: WeightsVersion(2),
    };
    assert_eq!(complete.layers, [layers]);
    let single_range = changed("layers", json!({ "from": 0, "to": 16, "version": 2 }));
    assert_eq!(held(&single_range), complete);
    assert!(held(&without("layers")).layers.is_empty());
}

#[test]
fn a_deeply_nested_entry_is_rejected() {
    let nested = format!("{{\"x\":{}", "[".repeat(100_000));
    assert!(read_backend_row("i-1", nested.as_bytes(), StoreTime::default()).is_err());
}

/// Guards against a cold time that is taken from another moment than the store's report, and against
/// figures out of range.
#[test]
fn the_time_until_which_a_backend_server_is_cold_counts_from_the_report() {
    let reported_at = StoreTime::from_millis(50_000);
    let cold_until = |entry: &Value| {
        let text = entry.to_string();
        let facts = read_backend_row("i-1", text.as_bytes(), reported_at);
        facts.map(|facts| facts.cold_until)
    };
    let stated = |value: Value| {
        cold_until(&changed("cold_remaining_ms", value))
            .ok()
            .flatten()
    };
    assert_eq!(stated(json!(1500)), Some(StoreTime::from_millis(51_500)));
    for value in [json!(0), json!(-3), json!(-1e300)] {
        assert_eq!(stated(value), Some(reported_at));
    }
    let absurd = stated(json!(1e300)).expect("it is a number");
    assert!(absurd.since(reported_at) <= std::time::Duration::from_hours(1));
    let missing = cold_until(&without("cold_remaining_ms"));
    assert_eq!(missing.expect("the field is optional"), None);
    for value in [json!(null), json!("1"), json!([1])] {
        assert!(cold_until(&changed("cold_remaining_ms", value)).is_err());
    }
}
