//! Rendezvous hashing: every process that knows the same names makes the same choice, and a name
//! that comes or goes moves only what it has to.

/// A short hash of a name, for sorted vectors and rendezvous weights.
pub(crate) fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}

/// The weight of `member` for `subject`; the greatest weight is the first choice. The finisher of
/// `SplitMix64` mixes the two well and costs a few nanoseconds.
pub(crate) const fn rendezvous_weight(subject: u64, member: u64) -> u64 {
    let mut mixed = subject ^ member.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
