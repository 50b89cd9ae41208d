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
pub(crate) struct KeyHash([u8; 16]);

impl KeyHash {
    /// The hash of `key` of `account` at `service`.
    pub(crate) fn of(service: &str, account: &str, key: &str) -> Self {
        Self(name_digest(&[service, account, key]))
    }

    /// The table's key of the claim on this key.
    pub(crate) fn claim_key(self, service: &str) -> String {
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
pub(crate) fn claim_prefix(service: &str, slot: u16) -> String {
    format!("claims/{service}/{slot:02}/")
}

/// An order key within its service and account.
#[apply(key!)]
pub(crate) struct OrderHash([u8; 16]);

impl OrderHash {
    /// The hash of `order_key` of `account` at `service`.
    pub(crate) fn of(service: &str, account: &str, order_key: &str) -> Self {
        Self(name_digest(&[service, account, order_key]))
    }
}

/// An unrepeatable call with a key.
#[apply(plain!)]
pub(crate) struct KeyedCall {
    pub(crate) key: KeyHash,
    pub(crate) order: OrderHash,
    pub(crate) slot: u16,
    pub(crate) fingerprint: [u8; 16],
    /// When the caller made the key, by its clock.
    pub(crate) made: Option<WallTime>,
    pub(crate) in_outage: OutageRule,
}

impl KeyedCall {
    /// The keyed call of `order`, if it is one.
    pub(crate) fn of(order: &RunOrder) -> Option<Self> {
        let call = order.call_key.as_ref().filter(|_| !order.repeatable)?;
        let (service, account) = (&*order.service, &*order.account);
        Some(Self {
            key: KeyHash::of(service, account, &call.key),
            order: OrderHash::of(service, account, &call.order_key),
            slot: slot_of(service, account, &call.order_key),
            fingerprint: call.fingerprint,
            made: call.made_ms.map(WallTime),
            in_outage: call.in_outage,
        })
    }
}

/// What the lease on a slot allows its holder now.
#[apply(plain!)]
pub(crate) struct SlotGrant {
    /// The lease's fencing number.
    pub(crate) fence: u64,
    /// Whether calls may run without a claim while the table is away.
    pub(crate) runs_unclaimed: bool,
    /// When this process took the lease, by its wall clock.
    pub(crate) taken: WallTime,
    /// When earlier holders may have run calls without a claim.
    pub(crate) doubts: Vec<DoubtWindow>,
}
