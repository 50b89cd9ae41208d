//! Names of keyed calls, and what a lease on a slot allows.

use macro_rules_attribute::apply;

use super::slots::{SLOT_COUNT, name_digest, slot_of};
use crate::delivery::RunOrder;
use crate::derives::{key, plain};
use crate::documents::OutageRule;
use crate::leases::DoubtWindow;
use crate::time::WallTime;

/// An idempotency key within its service and account.
#[apply(key!)]
pub(super) struct KeyHash([u8; 16]);

impl KeyHash {
    /// The table's key of the claim on this key.
    pub(super) fn claim_key(self, service: &str) -> String {
        let digits = uuid::Uuid::from_bytes(self.0).simple();
        format!("{}{digits}", claim_prefix(service, self.claim_slot()))
    }

    /// The slot under which the claim is kept. It follows from the key alone: a key that comes
    /// again with another order key must find the same claim.
    fn claim_slot(self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]]) % SLOT_COUNT
    }
}

/// What the keys of the claims under `slot` begin with.
pub(super) fn claim_prefix(service: &str, slot: u16) -> String {
    format!("claims/{service}/{slot:02}/")
}

/// An order key within its service and account.
#[apply(key!)]
pub(super) struct OrderHash([u8; 16]);

/// An unrepeatable call with a key.
#[apply(plain!)]
pub(super) struct KeyedCall {
    pub(super) key: KeyHash,
    pub(super) order: OrderHash,
    pub(super) slot: u16,
    pub(super) fingerprint: [u8; 16],
    /// When the caller made the key, by its clock.
    pub(super) made: Option<WallTime>,
    pub(super) in_outage: OutageRule,
}

impl KeyedCall {
    /// The keyed call of `order`, if it is one.
    pub(super) fn of(order: &RunOrder) -> Option<Self> {
        let call = order.call_key.as_ref().filter(|_| !order.repeatable)?;
        let (service, account) = (&*order.service, &*order.account);
        Some(Self {
            key: KeyHash(name_digest(&[service, account, &call.key])),
            order: OrderHash(name_digest(&[service, account, &call.order_key])),
            slot: slot_of(service, account, &call.order_key),
            fingerprint: call.fingerprint,
            made: call.made_ms.map(WallTime),
            in_outage: call.in_outage,
        })
    }

    #[cfg(test)]
    pub(super) fn named(key: u8, order: u8) -> Self {
        Self {
            key: KeyHash([key; 16]),
            order: OrderHash([order; 16]),
            slot: u16::from(order) % SLOT_COUNT,
            fingerprint: [0; 16],
            made: None,
            in_outage: OutageRule::Refuse,
        }
    }
}

/// What the lease on a slot allows its holder now.
#[apply(plain!)]
pub(super) struct SlotGrant {
    /// The lease's fencing number.
    pub(super) fence: u64,
    /// Whether calls may run without a claim while the table is away.
    pub(super) runs_unclaimed: bool,
    /// When this process took the lease, by its wall clock.
    pub(super) taken: WallTime,
    /// When earlier holders may have run calls without a claim.
    pub(super) doubts: Vec<DoubtWindow>,
}
