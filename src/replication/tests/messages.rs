//! Messages between hosts of backend servers that came to harm.

use crate::fleet::{ModelVersion, WeightsVersion};
use crate::replication::chunk_messages::{ChunkAsk, ChunkReply};
use crate::test_support::{corrupt_bytes, run_cases};
use crate::transport::{decode_message, encode_message};
use crate::weights::{ChunkMap, HaveWord};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

#[test]
fn whatever_another_host_sends_about_chunks_ends_no_thread() {
    let ask = ChunkAsk {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(2),
        },
        index: Some(u32::MAX),
    };
    let reply = ChunkReply {
        word: HaveWord {
            host: "h".into(),
            held: ChunkMap::full(96),
            claimed: ChunkMap::empty(96),
            backlog_ms: u64::MAX,
        },
        bytes: vec![7; 200],
    };
    let messages = [encode_message(&ask), encode_message(&reply)];
    let messages = messages.map(|message| message.expect("it encodes"));
    run_cases(CASES, CASE_BYTES, |u| {
        let mut bytes = u.choose(&messages)?.to_vec();
        corrupt_bytes(u, &mut bytes)?;
        let _ = decode_message::<ChunkAsk>(&bytes);
        if let Ok(reply) = decode_message::<ChunkReply>(&bytes) {
            let _ = (reply.word.held.fits(96), reply.word.held.contains(95));
            let _ = (reply.word.claimed.is_full(), reply.word.held.len());
        }
        Ok(())
    });
}
