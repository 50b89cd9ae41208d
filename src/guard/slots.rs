//! Slots of keys: each belongs to one host process at a time, under a lease.

use bytestring::ByteString;

/// Slots of each service. Enough that a service's hosts get even shares, few enough that one
/// reading of the table lists them all.
pub(crate) const SLOT_COUNT: u16 = 64;

/// The slot of the calls of `account` to `service` with `order_key`.
pub(crate) fn slot_of(service: &str, account: &str, order_key: &str) -> u16 {
    let digest = name_digest(&[service, account, order_key]);
    u16::from_be_bytes([digest[0], digest[1]]) % SLOT_COUNT
}

/// The first bytes of the digest of `names`, told apart by their lengths.
pub(crate) fn name_digest(names: &[&str]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for name in names {
        hasher.update(&(name.len() as u64).to_be_bytes());
        hasher.update(name.as_bytes());
    }
    let mut digest = [0; 16];
    hasher.finalize_xof().fill(&mut digest);
    digest
}

/// The table's key of the lease on `slot` of `service`.
pub(crate) fn lease_key(service: &ByteString, slot: u16) -> String {
    format!("{}{slot:02}", lease_prefix(service))
}

/// What the keys of all leases of `service` begin with.
pub(crate) fn lease_prefix(service: &ByteString) -> String {
    format!("leases/SLOTS/{service}/")
}
