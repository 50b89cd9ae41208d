//! Entries of backend servers that another writer may have written.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::*;
use crate::fleet::{BackendFacts, HeldLayers};
use crate::platform::engine_calls::{HoldingsText, read_holdings};
use crate::test_support::{any_json, run_cases, spoil_json};
use crate::time::WallTime;

const CASES: u32 = 4000;
const CASE_BYTES: u32 = 512;

fn whole_entry() -> Value {
    json!({
        "service": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 16, "state": "ready",
        "born": 1_790_000_000_000_u64, "sequence": 4, "version": "v1", "cold_remaining_ms": 0,
        "stage": "both", "models": [{"name": "m", "version": 2, "adapters": []}],
        "layers": [{"from": 0, "to": 16, "version": 2}],
    })
}

fn read(entry: &Value) -> crate::errors::SwitchResult<BackendFacts> {
    read_backend_row("i-1", entry.to_string().as_bytes())
}

fn changed(field: &str, value: Value) -> Value {
    let mut entry = whole_entry();
    entry[field] = value;
    entry
}

fn without(field: &str) -> Value {
    let mut entry = whole_entry();
    let fields = entry.as_object_mut().expect("it is an object");
    fields.remove(field);
    entry
}

/// Symptom: requests went to an address where nothing served them. An entry of another writer had no
/// state, which was taken for one that serves, and no places, which was taken for none but for those
/// in the queue.
#[test]
fn an_entry_counts_only_with_all_that_a_backend_server_writes() {
    let facts = read(&whole_entry()).expect("it is whole");
    assert_eq!(facts.phase, BackendPhase::Serving);
    assert_eq!(
        (facts.slots, facts.born),
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

/// Symptom: an entry of another writer was taken for one of a backend server that had told nothing of
/// its start: the wrong type was the only thing that told them apart.
#[test]
fn fields_that_are_not_needed_may_be_missing_but_not_of_another_type() {
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
        // An engine without weights writes that it holds no layers so.
        let null = (field != "layers").then_some(Value::Null);
        let others = [json!(true), json!({"x": 1}), json!([1])];
        for value in others.into_iter().chain(null) {
            assert!(
                read(&changed(field, value.clone())).is_err(),
                "{field} {value}"
            );
        }
    }
    for born in [json!(-1), json!(1.5), json!(1e30), json!("1790000000000")] {
        assert!(read(&changed("born", born)).is_err());
    }
    let foreign = changed("something new", json!({"x": [1]}));
    assert!(
        read(&foreign).is_ok(),
        "fields that are not known say nothing"
    );
}

/// Symptom: an engine that was added, or had started again, was left out: `[1115] … data did not match any
/// variant of untagged enum LayersText`. As long as it holds no weights it writes `null` for its layers.
#[test]
fn an_engine_without_weights_is_a_backend_server() {
    let text = br#"{"service":"s","address":"10.3.0.34:87","zone":"z","version":"v1","slots":16,
        "state":"ready","sequence":1,"cold_remaining_ms":0,"stage":"both","models":[],"layers":null}"#;
    let facts = read_backend_row("i-1", text).expect("it is one");
    assert_eq!(facts.holdings, crate::fleet::EngineHoldings::default());
}

/// Symptom: a request ran at a backend server that was not meant. The name of the one that was meant
/// fitted no header field, so that the request went out without it.
#[test]
fn an_entry_under_a_name_that_no_header_field_carries_names_nobody() {
    let entry = whole_entry().to_string();
    assert!(read_backend_row("i-1", entry.as_bytes()).is_ok());
    for id in ["", "i\n1", "i\u{0}"] {
        assert!(read_backend_row(id, entry.as_bytes()).is_err(), "{id:?}");
    }
}

/// What an entry must hold for a backend server to be named, said a second time.
fn names_a_backend(entry: &Value) -> bool {
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
fn whatever_stands_in_an_entry_it_names_nobody_by_default() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut entry = whole_entry();
        spoil_json(u, &mut entry)?;
        if let Ok(facts) = read(&entry) {
            assert!(names_a_backend(&entry), "{entry}");
            assert_eq!(entry["service"], *facts.service);
            assert_eq!(entry["address"], facts.address.to_string());
            assert_eq!(entry["slots"], facts.slots);
            assert_eq!(
                entry.get("born").and_then(Value::as_u64),
                facts.born.map(|born| born.0)
            );
        }
        let other = any_json(u)?;
        assert!(read(&other).is_err() || names_a_backend(&other), "{other}");
        assert!(read_backend_row("i-1", u.bytes(u.len())?).is_err());
        Ok(())
    });
}

/// Symptom: a list of a text, an address, a text, a number and a word was taken for a backend server.
#[test]
fn an_entry_reads_by_the_names_of_its_fields_only() {
    let list = json!(["s", "10.0.0.9:80", "z", 16, "ready", 1, 4, [], []]);
    assert!(read(&list).is_err());
    assert!(read(&changed("models", json!([["m", 2]]))).is_err());
    assert!(read(&changed("layers", json!([[0, 16, 2]]))).is_err());
    assert!(read(&changed("layers", json!([0, 16, 2]))).is_err());
    assert!(read(&changed("state", json!({ "ready": null }))).is_err());
}

/// An engine reports what it holds beside other fields, and its layers as a list or as one.
#[test]
fn an_engines_report_and_its_entry_say_the_same_of_what_it_holds() {
    #[derive(serde::Deserialize)]
    struct Report {
        #[serde(flatten)]
        holdings: HoldingsText,
    }
    let held = |report: &Value| {
        let report: Report = serde_json::from_str(&report.to_string()).expect("it is one");
        read_holdings(report.holdings)
    };
    let whole = held(&whole_entry());
    assert_eq!(whole, read(&whole_entry()).expect("it is whole").holdings);
    let layers = HeldLayers {
        from: 0,
        to: 16,
        version: WeightsVersion(2),
    };
    assert_eq!(whole.layers, [layers]);
    let one = changed("layers", json!({ "from": 0, "to": 16, "version": 2 }));
    assert_eq!(held(&one), whole);
    assert!(held(&without("layers")).layers.is_empty());
}

#[test]
fn an_entry_that_is_nested_without_end_does_not_read() {
    let nested = format!("{{\"x\":{}", "[".repeat(100_000));
    assert!(read_backend_row("i-1", nested.as_bytes()).is_err());
}
