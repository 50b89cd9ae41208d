//! The budget that keeps retries a small part of the traffic.

use macro_rules_attribute::apply;

use crate::derives::plain;

/// Hundredths of a retry.
const RETRY_COST: u32 = 100;
/// What a budget holds at first: a quiet service may retry at once.
const RESERVE: u32 = 5 * RETRY_COST;
/// What a budget holds at most: a long quiet time does not save up a storm.
const FULL: u32 = 50 * RETRY_COST;

/// Retries that may still be made. Each first attempt adds the budget's percentage of a retry,
/// each retry takes one away. While everything fails, retries thus stay that percentage of the
/// requests, where a fixed count of attempts would multiply the traffic just when there is too
/// much of it.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: RESERVE }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which earns `percent` of a retry.
    pub(crate) fn earn(&mut self, percent: u32) {
        self.balance = self.balance.saturating_add(percent).min(FULL);
    }

    /// Whether a retry may be made.
    pub(crate) const fn can_spend(self) -> bool {
        self.balance >= RETRY_COST
    }

    /// Takes one retry; call only after [`Self::can_spend`].
    pub(crate) fn spend(&mut self) {
        assert!(self.can_spend(), "a retry was made that the budget lacks");
        self.balance -= RETRY_COST;
    }
}

/// Takes one retry from both budgets or from neither.
pub(crate) fn spend_both(service: &mut RetryBudget, account: &mut RetryBudget) -> bool {
    let both = service.can_spend() && account.can_spend();
    if both {
        service.spend();
        account.spend();
    }
    both
}
