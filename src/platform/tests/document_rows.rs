//! Documents, target versions and settings files with invalid contents.

use std::time::Duration;

use serde_json::{Value, json};

use super::*;
use crate::test_support::{arbitrary_json, mutate_json, run_cases};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;
const HOUR: Duration = Duration::from_hours(1);

fn complete_document() -> Value {
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

/// A route with a time of 1e300 ms, which exceeds the range of `Duration`, panicked the thread that
/// follows the store, so that the entry host received no further changes.
#[test]
fn durations_out_of_range_in_a_document_are_limited() {
    for value in [-1.0, -1e300, 1e300, f64::MAX] {
        let mut document = complete_document();
        for field in ["timeout_ms", "target_latency_ms", "gap_target_ms"] {
            document["routes"][0][field] = json!(value);
        }
        let catalog =
            read_document(document.to_string().as_bytes()).expect("the document is valid");
        let rule = catalog
            .routes
            .find("h.example", "/a/x")
            .expect("the route exists");
        for duration in [rule.timeout, rule.latency_target, rule.gap_target] {
            assert_eq!(duration, if value < 0.0 { Duration::ZERO } else { HOUR });
        }
    }
    assert!(read_document(br#"{"version":7,"routes":[1e999]}"#).is_err());
}

/// A limit in the settings file that is no valid duration panicked the process at its start.
#[test]
fn durations_out_of_range_in_the_settings_are_limited() {
    let file = |limit: &str| {
        format!(
            "node_name = \"n\"\nip = \"10.1.0.2\"\nzone = \"z\"\nport_range = [1,2]\n\
             [bounds]\ngrace_s = {limit}\nversion_ms = {limit}\n\
             [platform]\naddress = \"10.2.0.1:80\"\n"
        )
    };
    for (limit, duration) in [
        ("nan", Duration::ZERO),
        ("-inf", Duration::ZERO),
        ("-3.0", Duration::ZERO),
        ("inf", HOUR),
        ("1e300", HOUR),
    ] {
        let settings = parse_settings(&file(limit)).expect("the file is well formed");
        assert_eq!(settings.bounds.shutdown_grace, duration, "{limit}");
        assert_eq!(settings.bounds.weights_deadline, duration, "{limit}");
    }
}

/// A row under the key of another model set a target version for this model, so that all its
/// engines were to load a version that the operator had never set for it.
#[test]
fn a_target_version_is_accepted_only_under_the_key_of_its_model() {
    let read = |key: &str, text: &str| read_target_version(key, text.as_bytes());
    let target = read("version/m", r#"{"model":"m","version":3}"#).expect("the row is well formed");
    assert_eq!((&*target.model, target.version), ("m", WeightsVersion(3)));
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

/// If an invalid part were skipped, requests would be answered as if the operator had removed it.
#[test]
fn a_document_with_an_invalid_part_is_rejected() {
    for (list, field) in [
        ("routes", "prefix"),
        ("services", "name"),
        ("tenants", "name"),
    ] {
        let mut document = complete_document();
        document[list][0][field] = json!(5);
        assert!(
            read_document(document.to_string().as_bytes()).is_err(),
            "{list}"
        );
    }
}

/// An array of one number was decoded as a document of that version without routes. Every request
/// was then answered as having no route, and no later document replaced it.
#[test]
fn an_array_is_no_document_and_no_target_version() {
    assert!(read_document(b"[18446744073709551615]").is_err());
    assert!(read_target_version("version/m", br#"["m",3]"#).is_err());
}

#[test]
fn a_random_document_is_decoded_completely_or_rejected() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut document = complete_document();
        mutate_json(u, &mut document)?;
        if let Ok(catalog) = read_document(document.to_string().as_bytes()) {
            assert_eq!(document["version"], catalog.version.0);
            let routes = document["routes"].as_array().map_or(0, Vec::len);
            assert_eq!(catalog.routes.rules().len(), routes);
            for rule in catalog.routes.rules() {
                assert!(rule.timeout.max(rule.latency_target).max(rule.gap_target) <= HOUR);
                let _ = rule.service_for(u64::MAX);
            }
            let _ = catalog.account_of("k");
        }
        let mut row = json!({"model": "m", "version": 3});
        mutate_json(u, &mut row)?;
        if let Ok(target) = read_target_version("version/m", row.to_string().as_bytes()) {
            assert_eq!(row["model"], "m");
            assert_eq!(row["version"], target.version.0);
            assert!(target.version.0 > 0);
        }
        let other = arbitrary_json(u)?.to_string();
        let rest = u.bytes(u.len())?;
        for bytes in [other.as_bytes(), rest] {
            assert!(read_target_version("version/m", bytes).is_err());
            let _ = read_document(bytes);
        }
        Ok(())
    });
}

/// Guards against requests outside their home regions, and against a document that is lost for an
/// unknown region.
#[test]
fn home_regions_of_routes_and_accounts_are_read() {
    let mut document = complete_document();
    document["routes"][0]["allowed_regions"] = json!(["north", "nowhere"]);
    document["routes"][1]["allowed_regions"] = json!([]);
    document["tenants"][0]["allowed_regions"] = json!(["south"]);
    let read = |document: &Value| read_document(document.to_string().as_bytes());
    let catalog = read(&document).expect("the document is valid");
    let homes = |path: &str| {
        let rule = catalog.routes.find("h.example", path).expect("a route");
        rule.homes.clone()
    };
    assert!(homes("/a/x").allows(Some(&"north".into())));
    assert!(!homes("/a/x").allows(Some(&"south".into())));
    assert!(homes("/b/x").allows(Some(&"south".into())));
    let account = &catalog.accounts[0].homes;
    assert!(account.allows(Some(&"south".into())) && !account.allows(Some(&"north".into())));
    for value in [json!(null), json!("north"), json!([1])] {
        document["routes"][0]["allowed_regions"] = value;
        assert!(
            read(&document).is_err(),
            "homes that can't be read are not everywhere"
        );
    }
}

/// Guards against absurd figures of cold backend servers.
#[test]
fn figures_of_cold_backend_servers_are_read() {
    let cold_start = |fields: Value| {
        let mut document = complete_document();
        for (name, value) in fields.as_object().expect("an object") {
            document["services"][0][name] = value.clone();
        }
        let catalog = read_document(document.to_string().as_bytes()).expect("it is valid");
        catalog.service("s").expect("the service exists").cold_start
    };
    let figures = cold_start(json!({"cold_s": 3.0, "cold_per_s": 14.0})).expect("both are given");
    assert_eq!(figures.span, Duration::from_secs(3));
    assert!((figures.rate - 14.0).abs() < f64::EPSILON);
    for fields in [
        json!({}),
        json!({"cold_s": 0.0, "cold_per_s": 0.0}),
        json!({"cold_s": -1.0, "cold_per_s": 14.0}),
        json!({"cold_s": 3.0}),
    ] {
        assert!(cold_start(fields.clone()).is_none(), "{fields}");
    }
    let negative = cold_start(json!({"cold_s": 1e300, "cold_per_s": -5.0})).expect("it is cold");
    assert_eq!(negative.span, HOUR);
    assert!(negative.rate.abs() < f64::EPSILON);
}
