//! Tests of the checks on untrusted manifests and chunks.

use bytes::Bytes;

use crate::errors::ErrorKind;
use crate::weights::{StagedVersion, VersionManifest, WeightsDigest};

const MEMORY: u64 = 1024;

fn manifest(data: &[u8], chunk_size: usize) -> VersionManifest {
    VersionManifest {
        name: "weights".into(),
        size: data.len() as u64,
        chunk_size: chunk_size as u64,
        chunks: data.chunks(chunk_size).map(WeightsDigest::of).collect(),
        digest: WeightsDigest::of(data),
    }
}

fn read(manifest: &VersionManifest, expected: WeightsDigest) -> Result<VersionManifest, ErrorKind> {
    let text = serde_json::to_vec(manifest).expect("a manifest serialises to JSON");
    VersionManifest::read(&text, expected, MEMORY).map_err(|error| error.kind)
}

/// Guards against hosts that fetch chunks which do not exist, or request memory that they do not
/// have, because they accept a manifest with inconsistent sizes.
#[test]
fn inconsistent_manifests_are_rejected() {
    let valid = manifest(b"some weights", 4);
    assert_eq!(read(&valid, valid.digest).as_ref(), Ok(&valid));
    let wrong_manifests = [
        VersionManifest {
            size: 13,
            ..valid.clone()
        },
        VersionManifest {
            size: 0,
            ..valid.clone()
        },
        VersionManifest {
            size: u64::MAX,
            ..valid.clone()
        },
        VersionManifest {
            chunk_size: 0,
            ..valid.clone()
        },
        VersionManifest {
            chunk_size: 6,
            ..valid.clone()
        },
        VersionManifest {
            chunk_size: u64::MAX,
            ..valid.clone()
        },
        VersionManifest {
            chunks: Vec::new(),
            ..valid.clone()
        },
    ];
    for wrong_manifest in wrong_manifests {
        assert_eq!(
            read(&wrong_manifest, valid.digest),
            Err(ErrorKind::ManifestInvalid),
            "{wrong_manifest:?}"
        );
    }
    let other = WeightsDigest::of(b"other weights");
    assert_eq!(read(&valid, other), Err(ErrorKind::ManifestInvalid));
    let large = manifest(&[7; 2048], 512);
    assert_eq!(read(&large, large.digest), Err(ErrorKind::MemoryTooSmall));
}

#[test]
fn chunks_are_stored_only_if_they_match_the_manifest() {
    let data = b"some weights";
    let version = StagedVersion::new(manifest(data, 5));
    let wrong: [&'static [u8]; 4] = [b"some", b"some w", b"Some ", b""];
    for bytes in wrong {
        let stored = version.store_chunk(0, Bytes::from_static(bytes));
        assert_eq!(
            stored.map_err(|error| error.kind),
            Err(ErrorKind::ChunkCorrupt)
        );
        assert_eq!(version.chunk(0), None);
    }
    let beyond = version.store_chunk(3, Bytes::from_static(b"some "));
    assert_eq!(
        beyond.map_err(|error| error.kind),
        Err(ErrorKind::ChunkCorrupt)
    );
    for (index, chunk) in (0..).zip(data.chunks(5)) {
        assert!(
            version.all_bytes().is_none(),
            "an incomplete version was handed out"
        );
        let early = version.verify().map_err(|error| error.kind);
        assert_eq!(early, Err(ErrorKind::ChunkMissing));
        version
            .store_chunk(index, Bytes::copy_from_slice(chunk))
            .expect("the chunk matches the manifest");
    }
    version.verify().expect("all chunks are stored");
    assert_eq!(
        version.all_bytes().map(|all_bytes| all_bytes.concat()),
        Some(data.to_vec())
    );
}

/// Guards against hosts that serve weights which were never published. The manifest states the
/// digest of the service document but lists the chunks of other weights; every chunk matches, so
/// that checking chunks alone is not enough.
#[test]
fn chunks_of_other_weights_fail_verification() {
    let mut wrong_manifest = manifest(b"wrong weights", 5);
    wrong_manifest.digest = WeightsDigest::of(b"right weights");
    assert!(
        wrong_manifest.check(wrong_manifest.digest, MEMORY).is_ok(),
        "the manifest is consistent"
    );
    let version = StagedVersion::new(wrong_manifest);
    for (index, chunk) in (0..).zip(b"wrong weights".chunks(5)) {
        version
            .store_chunk(index, Bytes::copy_from_slice(chunk))
            .expect("the chunk matches the manifest");
    }
    let verified = version.verify().map_err(|error| error.kind);
    assert_eq!(verified, Err(ErrorKind::ManifestInvalid));
    assert!(!version.is_complete() && version.all_bytes().is_none());
}
