//! Tests of document validation, of the published schema and of the sample documents.

use std::fs;
use std::path::PathBuf;

use serde_json::{Value, json};

use crate::documents::{DocumentFault, check_document, json_schema};

const SAMPLES: [&str; 6] = [
    "auroras/sky-writer",
    "auroras/alert-desk",
    "auroras/franchise-portal",
    "skupno/pisar",
    "skupno/nadzor",
    "skupno/gostitelj",
];

fn path_of(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn sample(name: &str) -> Value {
    let text = fs::read(path_of(&format!("samples/{name}.json"))).expect("the sample file exists");
    serde_json::from_slice(&text).expect("the sample is valid JSON")
}

fn faults_of(document: &Value) -> Vec<DocumentFault> {
    check_document(document.to_string().as_bytes())
        .err()
        .unwrap_or_default()
}

fn paths_of(document: &Value) -> Vec<String> {
    let mut paths: Vec<String> = faults_of(document)
        .into_iter()
        .map(|fault| fault.path)
        .collect();
    paths.sort_unstable();
    paths
}

#[test]
fn samples_have_no_faults() {
    for name in SAMPLES {
        assert_eq!(faults_of(&sample(name)), [], "{name}");
    }
}

#[test]
fn published_schema_is_current() {
    let text =
        fs::read(path_of("docs/schema/service-document.json")).expect("the schema file exists");
    let published: Value = serde_json::from_slice(&text).expect("the schema file is valid JSON");
    let hint = "run `savoryctl document schema > docs/schema/service-document.json`";
    assert_eq!(published, json_schema(), "{hint}");
}

#[test]
fn all_structural_faults_are_reported_at_once() {
    let mut document = sample("auroras/sky-writer");
    document["team"] = json!(7);
    document["rollot"] = json!({});
    document["accounts"][0]["weight"] = json!("heavy");
    document["weights"]["objective"] = json!("money");
    let faults = faults_of(&document);
    let reported: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    assert!(reported.contains(&"/team"), "{faults:?}");
    assert!(reported.contains(&"/accounts/0/weight"), "{faults:?}");
    assert!(reported.contains(&"/rollot"), "{faults:?}");
    assert!(faults.iter().any(|fault| fault.given.contains("money")));
}

#[test]
fn semantics_are_validated_despite_unknown_fields() {
    let mut document = sample("auroras/sky-writer");
    document["rollot"] = json!({});
    document["team"] = json!("sky briefings");
    assert_eq!(paths_of(&document), ["/rollot", "/team"]);
}

#[test]
fn missing_fields_are_reported() {
    let mut document = sample("skupno/pisar");
    let fields = document.as_object_mut().expect("an object");
    fields.remove("team");
    fields.remove("kind");
    assert_eq!(paths_of(&document), ["/kind", "/team"]);
}

#[test]
fn all_semantic_faults_are_reported_at_once() {
    let mut document = sample("auroras/alert-desk");
    document["service"] = json!("alert desk");
    document["change_key_digests"] = json!([]);
    document["weights"] = sample("auroras/sky-writer")["weights"].clone();
    document["accounts"][1]["name"] = document["accounts"][0]["name"].clone();
    document["accounts"][0]["urgent_percent"] = json!(101);
    document["retry"] = json!({ "budget_percent": 10, "attempts_max": 0 });
    document["routes"][0]["path_prefix"] = json!("wake-ups");
    let expected = [
        "/accounts/0/urgent_percent",
        "/accounts/1/name",
        "/change_key_digests",
        "/retry/attempts_max",
        "/routes/0/path_prefix",
        "/service",
        "/weights",
    ];
    assert_eq!(paths_of(&document), expected);
}

#[test]
fn invalid_json_is_reported_as_one_fault() {
    let faults = check_document(b"{ not json").expect_err("the text is not valid JSON");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].wanted.contains("JSON"));
}
