//! Tests of documents written by a newer version of the program.

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

// Guards against a new limit that silently has no effect on some entry hosts during an upgrade. A
// host with the newer version accepts a document with a field that older hosts do not know. Without
// special handling they would drop the field silently or reject the complete document.
#[test]
fn unknown_fields_are_reported_and_the_rest_is_in_force() {
    let (document, unknown) =
        split_unknown(&newer_document()).expect("the known part can be parsed");
    assert_eq!(document.retry.attempts_max, 2);
    assert_eq!(unknown, ["/accounts/0/colour", "/mirror", "/retry/spread"]);
}

#[test]
fn unknown_fields_are_forwarded() {
    let record = DocumentRecord {
        version: 1,
        nonce: "n".into(),
        changed_by: "someone".into(),
        changed_wall_ms: 0,
        recent: Vec::new(),
        document: newer_document(),
    };
    let row: Bytes = record.to_row().expect("the record can be serialised");
    let mut documents = ActiveDocuments::default();
    documents
        .install_if_newer(&row)
        .expect("the row can be parsed");
    let document = documents.get("pisar").expect("the document is in force");
    assert_eq!(document.row, row);
    assert_eq!(document.unknown.len(), 3);
}
