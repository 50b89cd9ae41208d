//! Lists of digests that are corrupt or invalid, from the origin or from another host.

use bytes::Bytes;
use serde_json::{Value, json};

use super::*;
use crate::fleet::ModelVersion;
use crate::platform::weights_origin::read_digests;
use crate::test_support::{arbitrary_json, corrupt_bytes, mutate_json, run_cases};
use crate::transport::{decode_message, encode_message};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

fn target() -> ModelVersion {
    ModelVersion {
        model: "m".into(),
        version: WeightsVersion(2),
    }
}

fn complete_list() -> Value {
    json!({
        "model": "m", "version": 2, "chunk_bytes": 32768, "layers": 16,
        "digests": ["ab".repeat(32), "cd".repeat(32)],
    })
}

fn read(list: &Value) -> crate::errors::SwitchResult<ChunkDigests> {
    read_digests(&target(), list.to_string().as_bytes())
}

/// With an empty list of digests, all chunks of the version counted as present, and the engine was
/// ordered to load whatever was staged.
#[test]
fn an_empty_list_of_digests_is_rejected() {
    assert_eq!(
        read(&complete_list())
            .expect("the list is complete")
            .count(),
        2
    );
    let mut empty = complete_list();
    empty["digests"] = json!([]);
    assert!(read(&empty).is_err());
}

#[test]
fn a_malformed_digest_is_rejected() {
    for digest in [
        "ab".repeat(31),
        format!("+a{}", "ab".repeat(31)),
        format!("ä{}", "ab".repeat(31)),
        "zz".repeat(32),
    ] {
        let mut list = complete_list();
        list["digests"][1] = json!(digest);
        assert!(read(&list).is_err(), "{digest}");
    }
}

/// Digests from another host are validated like those of the origin.
#[test]
fn digests_from_another_host_are_validated() {
    let digests = read(&complete_list()).expect("the list is complete");
    let message = encode_message(&digests).expect("the message encodes");
    assert_eq!(decode_message::<ChunkDigests>(&message).ok(), Some(digests));
    let sent = |digests: &[u8]| {
        let message = json!({ "digests": digests });
        let bytes: Bytes = encode_message(&message).expect("the message encodes");
        decode_message::<ChunkDigests>(&bytes)
    };
    assert!(sent(&[7; 64]).is_ok());
    assert!(sent(&[7; 63]).is_err());
    assert!(sent(&[]).is_err());
}

#[test]
fn decoded_digests_are_never_empty_or_truncated() {
    let message = encode_message(&read(&complete_list()).expect("the list is complete"))
        .expect("the message encodes");
    run_cases(CASES, CASE_BYTES, |u| {
        let mut list = complete_list();
        mutate_json(u, &mut list)?;
        if let Ok(digests) = read(&list) {
            let listed = list["digests"].as_array().map(Vec::len);
            assert_eq!(usize::try_from(digests.count()).ok(), listed);
            assert!(digests.count() > 0 && !digests.matches(u32::MAX, b""));
        }
        let _ = read(&arbitrary_json(u)?);
        let mut bytes = message.to_vec();
        corrupt_bytes(u, &mut bytes)?;
        if let Ok(digests) = decode_message::<ChunkDigests>(&bytes) {
            assert!(digests.count() > 0);
        }
        assert!(read_digests(&target(), u.bytes(u.len())?).is_err());
        Ok(())
    });
}
