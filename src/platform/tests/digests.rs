//! Digests that may have come to harm on their way from the origin or from another host.

use bytes::Bytes;
use serde_json::{Value, json};

use super::*;
use crate::fleet::ModelVersion;
use crate::platform::weights_origin::read_digests;
use crate::test_support::{any_json, run_cases, spoil_bytes, spoil_json};
use crate::transport::{decode_message, encode_message};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

fn target() -> ModelVersion {
    ModelVersion {
        model: "m".into(),
        version: WeightsVersion(2),
    }
}

fn whole_list() -> Value {
    json!({
        "model": "m", "version": 2, "chunk_bytes": 32768, "layers": 16,
        "digests": ["ab".repeat(32), "cd".repeat(32)],
    })
}

fn read(list: &Value) -> crate::errors::SwitchResult<ChunkDigests> {
    read_digests(&target(), list.to_string().as_bytes())
}

/// Symptom: an engine was ordered to load what was staged, of whatever version. The list of digests had
/// come empty, so that all chunks of the version counted as held.
#[test]
fn a_version_without_digests_is_none() {
    assert_eq!(read(&whole_list()).expect("it is whole").count(), 2);
    let mut empty = whole_list();
    empty["digests"] = json!([]);
    assert!(read(&empty).is_err());
}

#[test]
fn a_digest_that_is_no_digest_does_not_read() {
    for digest in [
        "ab".repeat(31),
        format!("+a{}", "ab".repeat(31)),
        format!("ä{}", "ab".repeat(31)),
        "zz".repeat(32),
    ] {
        let mut list = whole_list();
        list["digests"][1] = json!(digest);
        assert!(read(&list).is_err(), "{digest}");
    }
}

/// As the origin's, when another host sends them.
#[test]
fn digests_of_another_host_need_to_be_whole_ones() {
    let good = read(&whole_list()).expect("it is whole");
    let message = encode_message(&good).expect("it encodes");
    assert_eq!(decode_message::<ChunkDigests>(&message).ok(), Some(good));
    let sent = |digests: &[u8]| {
        let message = json!({ "digests": digests });
        let bytes: Bytes = encode_message(&message).expect("it encodes");
        decode_message::<ChunkDigests>(&bytes)
    };
    assert!(sent(&[7; 64]).is_ok());
    assert!(sent(&[7; 63]).is_err());
    assert!(sent(&[]).is_err());
}

#[test]
fn whatever_is_sent_for_digests_they_are_whole_or_none() {
    let message = encode_message(&read(&whole_list()).expect("it is whole")).expect("it encodes");
    run_cases(CASES, CASE_BYTES, |u| {
        let mut list = whole_list();
        spoil_json(u, &mut list)?;
        if let Ok(digests) = read(&list) {
            let listed = list["digests"].as_array().map(Vec::len);
            assert_eq!(usize::try_from(digests.count()).ok(), listed);
            assert!(digests.count() > 0 && !digests.matches(u32::MAX, b""));
        }
        let _ = read(&any_json(u)?);
        let mut bytes = message.to_vec();
        spoil_bytes(u, &mut bytes)?;
        if let Ok(digests) = decode_message::<ChunkDigests>(&bytes) {
            assert!(digests.count() > 0);
        }
        assert!(read_digests(&target(), u.bytes(u.len())?).is_err());
        Ok(())
    });
}
