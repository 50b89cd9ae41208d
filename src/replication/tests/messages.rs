//! Corrupt messages between hosts of backend servers.

use crate::fleet::{ModelVersion, WeightsVersion};
use crate::replication::chunk_messages::{ChunkQuery, ChunkResponse};
use crate::test_support::{corrupt_bytes, run_cases};
use crate::transport::{decode_message, encode_message};
use crate::weights::{ChunkAnnouncement, ChunkMap};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

#[test]
fn corrupt_chunk_messages_cause_no_panic() {
    let query = ChunkQuery {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(2),
        },
        index: Some(u32::MAX),
    };
    let response = ChunkResponse {
        announcement: ChunkAnnouncement {
            host: "h".into(),
            held: ChunkMap::full(96),
            claimed: ChunkMap::empty(96),
            backlog_ms: u64::MAX,
        },
        bytes: vec![7; 200],
    };
    let messages = [encode_message(&query), encode_message(&response)];
    let messages = messages.map(|message| message.expect("it encodes"));
    run_cases(CASES, CASE_BYTES, |u| {
        let mut bytes = u.choose(&messages)?.to_vec();
        corrupt_bytes(u, &mut bytes)?;
        let _ = decode_message::<ChunkQuery>(&bytes);
        if let Ok(response) = decode_message::<ChunkResponse>(&bytes) {
            let _ = (
                response.announcement.held.fits(96),
                response.announcement.held.contains(95),
            );
            let _ = (
                response.announcement.claimed.is_full(),
                response.announcement.held.len(),
            );
        }
        Ok(())
    });
}
