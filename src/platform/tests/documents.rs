//! Documents, named versions and settings that another writer may have written.

use std::time::Duration;

use serde_json::{Value, json};

use super::*;
use crate::test_support::{any_json, run_cases, spoil_json};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;
const HOUR: Duration = Duration::from_hours(1);

fn whole_document() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "a", "host": "h.example", "prefix": "/a/", "kind": "streaming", "service": "s",
             "timeout_ms": 900.5, "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
             "gap_target_ms": 40, "stream_resume": true, "public": false},
            {"name": "b", "host": "h.example", "prefix": "/b/", "kind": "idempotent",
             "weighted_services": [{"service": "s", "weight": 9}, {"service": "t", "weight": 1}]},
        ],
        "services": [
            {"name": "s", "engine": {"models": [{"name": "m"}], "layers": 16}},
            {"name": "t", "origin": "10.0.0.1:80"},
        ],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536},
        "tenants": [{"name": "t", "api_keys": ["k"], "priority": 0}],
    })
}

/// Symptom: the thread that follows the store ended while it read a document, and with it all that the
/// entry host learned. A route gave a time of 1e300 ms, which is beyond what a span holds.
#[test]
fn spans_beyond_all_bounds_end_no_thread() {
    for value in [-1.0, -1e300, 1e300, f64::MAX] {
        let mut document = whole_document();
        for field in ["timeout_ms", "target_latency_ms", "gap_target_ms"] {
            document["routes"][0][field] = json!(value);
        }
        let catalog = read_document(document.to_string().as_bytes()).expect("it reads");
        let rule = catalog
            .routes
            .find("h.example", "/a/x")
            .expect("it is there");
        for span in [rule.timeout, rule.target, rule.pause] {
            assert_eq!(span, if value < 0.0 { Duration::ZERO } else { HOUR });
        }
    }
    assert!(read_document(br#"{"version":7,"routes":[1e999]}"#).is_err());
}

/// Symptom: a process ended at its start, at a bound of its settings file that is no span.
#[test]
fn bounds_of_the_settings_beyond_all_spans_end_no_process() {
    let file = |bound: &str| {
        format!(
            "node_name = \"n\"\nip = \"10.1.0.2\"\nzone = \"z\"\nport_range = [1,2]\n\
             [bounds]\ngrace_s = {bound}\nversion_ms = {bound}\n\
             [platform]\naddress = \"10.2.0.1:80\"\n"
        )
    };
    for (bound, span) in [
        ("nan", Duration::ZERO),
        ("-inf", Duration::ZERO),
        ("-3.0", Duration::ZERO),
        ("inf", HOUR),
        ("1e300", HOUR),
    ] {
        let settings = parse_settings(&file(bound)).expect("it is well formed");
        assert_eq!(settings.bounds.shutdown_grace, span, "{bound}");
        assert_eq!(settings.bounds.weights_deadline, span, "{bound}");
    }
}

/// Symptom: every engine of one model was to load a version that had never been named for it. It stood
/// in a row under the key of another model.
#[test]
fn a_named_version_reads_only_under_its_own_key() {
    let read = |key: &str, text: &str| read_target_version(key, text.as_bytes());
    let named = read("version/m", r#"{"model":"m","version":3}"#).expect("it is well formed");
    assert_eq!((&*named.model, named.version), ("m", WeightsVersion(3)));
    for (key, text) in [
        ("version/m", r#"{"model":"n","version":3}"#),
        ("version/", r#"{"model":"m","version":3}"#),
        ("version/m/m", r#"{"model":"m","version":3}"#),
        ("config", r#"{"model":"config","version":3}"#),
        ("version/m", r#"{"model":"m","version":0}"#),
        ("version/m", r#"{"model":"m","version":-1}"#),
        ("version/m", r#"{"model":"m","version":2.5}"#),
        ("version/m", r#"{"model":"m","version":"3"}"#),
        ("version/m", r#"{"model":"m"}"#),
        ("version/m", ""),
    ] {
        assert!(read(key, text).is_err(), "{key} {text}");
    }
}

/// Without a part that was meant, requests would be answered as if it had been taken away.
#[test]
fn a_document_with_one_part_that_does_not_read_is_not_taken() {
    for (list, field) in [
        ("routes", "prefix"),
        ("services", "name"),
        ("tenants", "name"),
    ] {
        let mut document = whole_document();
        document[list][0][field] = json!(5);
        assert!(
            read_document(document.to_string().as_bytes()).is_err(),
            "{list}"
        );
    }
}

/// Symptom: every request was answered as one for no route, and no later document was taken. A row with
/// nothing but a list of one number was read as a document of that version without any route.
#[test]
fn a_list_is_no_document_and_names_no_version() {
    assert!(read_document(b"[18446744073709551615]").is_err());
    assert!(read_target_version("version/m", br#"["m",3]"#).is_err());
}

#[test]
fn whatever_stands_in_a_document_it_reads_as_a_whole_or_not_at_all() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut document = whole_document();
        spoil_json(u, &mut document)?;
        if let Ok(catalog) = read_document(document.to_string().as_bytes()) {
            assert_eq!(document["version"], catalog.version.0);
            let routes = document["routes"].as_array().map_or(0, Vec::len);
            assert_eq!(catalog.routes.rules().len(), routes);
            for rule in catalog.routes.rules() {
                assert!(rule.timeout.max(rule.target).max(rule.pause) <= HOUR);
                let _ = rule.service_for(u64::MAX);
            }
            let _ = catalog.account_of("k");
        }
        let mut naming = json!({"model": "m", "version": 3});
        spoil_json(u, &mut naming)?;
        if let Ok(named) = read_target_version("version/m", naming.to_string().as_bytes()) {
            assert_eq!(naming["model"], "m");
            assert_eq!(naming["version"], named.version.0);
            assert!(named.version.0 > 0);
        }
        let other = any_json(u)?.to_string();
        let rest = u.bytes(u.len())?;
        for bytes in [other.as_bytes(), rest] {
            assert!(read_target_version("version/m", bytes).is_err());
            let _ = read_document(bytes);
        }
        Ok(())
    });
}
