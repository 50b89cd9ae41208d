//! Documents written by a newer program.

use bytes::Bytes;
use serde_json::{Value, json};

use super::super::unknown_fields::split_unknown;
use crate::documents::{ActiveDocuments, DocumentRecord};

fn newer_document() -> Value {
    json!({
        "format": 1,
        "service": "pisar",
        "team": "hosting",
        "change_key_digests": ["00"],
        "kind": "plain",
        "data_centres": ["lj-dvorana-a"],
        "hosts": "listed",
        "mirror": { "percent": 5 },
        "accounts": [{
            "name": "bakeries", "key_digest": "00", "requests_per_second": 1, "concurrency": 1,
            "weight": 1, "urgent_percent": 0, "colour": "blue",
        }],
        "retry": { "budget_percent": 5, "attempts_max": 2, "spread": true },
    })
}

// Symptom: after an upgrade of some entry hosts a new limit has no effect on the others, and nobody
// is told. Events: a newer host accepts a document with a field that older ones do not know. Cause,
// without the split: the older ones drop the field silently, or refuse the whole document.
#[test]
fn unknown_fields_are_named_and_the_rest_is_in_force() {
    let (document, unknown) = split_unknown(&newer_document()).expect("the rest reads");
    assert_eq!(document.retry.attempts_max, 2);
    assert_eq!(unknown, ["/accounts/0/colour", "/mirror", "/retry/spread"]);
}

#[test]
fn unknown_fields_are_passed_on() {
    let record = DocumentRecord {
        version: 1,
        nonce: "n".into(),
        changed_by: "someone".into(),
        changed_wall_ms: 0,
        recent: Vec::new(),
        document: newer_document(),
    };
    let row: Bytes = record.to_row().expect("it writes");
    let mut held = ActiveDocuments::default();
    held.install_if_newer(&row).expect("it reads");
    let held = held.get("pisar").expect("it is in force");
    assert_eq!(held.row, row);
    assert_eq!(held.unknown.len(), 3);
}
