//! Rendezvous hashing: processes that know the same names make the same choice, and adding or
//! removing a name changes only the choices that involve it.

/// Returns a 64-bit hash of a name, for sorted vectors and rendezvous weights.
pub(crate) fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}

/// Returns the weight of `member` for `subject`; the member with the greatest weight is the first
/// choice. The finaliser of `SplitMix64` mixes both values well and takes a few nanoseconds.
pub(crate) const fn rendezvous_weight(subject: u64, member: u64) -> u64 {
    let mut mixed = subject ^ member.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
