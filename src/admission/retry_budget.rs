//! The budget that keeps retries a small part of the traffic.

use macro_rules_attribute::apply;

use crate::derives::{key, plain};

/// Parts of a retry; a request earns the budget's percentage times the cause's share of them.
const RETRY: u32 = 1_000;

/// What a retry follows.
#[apply(key!)]
pub(crate) enum RetryCause {
    /// An attempt that never started. In an outage nearly every request ends so.
    Refused,
    /// An attempt that broke off after it had started. When a host dies, all that it ran break off
    /// at once, and the callers have part of their answers.
    Interrupted,
}

impl RetryCause {
    /// Tenths of the budget that it earns.
    const fn share(self) -> u32 {
        match self {
            Self::Refused => 8,
            Self::Interrupted => 2,
        }
    }

    /// Retries that can be saved up.
    const fn burst(self) -> u32 {
        match self {
            Self::Refused => 2,
            Self::Interrupted => 16,
        }
    }
}

/// Retries that may still be made after one cause. Each first attempt adds its percentage of a
/// retry, each retry takes one away. While everything fails, retries thus stay that percentage of
/// the requests, where a fixed count of attempts would multiply the traffic just when there is too
/// much of it.
#[apply(plain!)]
#[derive(Copy)]
struct CauseBudget {
    cause: RetryCause,
    balance: u32,
}

impl CauseBudget {
    /// A new budget is full, so that a quiet service may retry at once.
    const fn new(cause: RetryCause) -> Self {
        Self {
            cause,
            balance: cause.burst() * RETRY,
        }
    }

    fn earn(&mut self, percent: u32) {
        let full = self.cause.burst() * RETRY;
        let earned = percent.saturating_mul(self.cause.share());
        self.balance = self.balance.saturating_add(earned).min(full);
    }

    const fn can_spend(self) -> bool {
        self.balance >= RETRY
    }

    fn spend(&mut self) {
        assert!(self.can_spend(), "a retry was made that the budget lacks");
        self.balance -= RETRY;
    }
}

/// The budgets of a service or an account, one for each cause, so that an outage in which all are
/// refused leaves what the cut ones need.
#[apply(plain!)]
#[derive(Copy)]
pub(super) struct RetryBudget {
    refused: CauseBudget,
    cut: CauseBudget,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            refused: CauseBudget::new(RetryCause::Refused),
            cut: CauseBudget::new(RetryCause::Interrupted),
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which earns `percent` of a retry over all causes.
    pub(super) fn earn(&mut self, percent: u32) {
        self.refused.earn(percent);
        self.cut.earn(percent);
    }

    fn of(&mut self, cause: RetryCause) -> &mut CauseBudget {
        match cause {
            RetryCause::Refused => &mut self.refused,
            RetryCause::Interrupted => &mut self.cut,
        }
    }
}

/// Takes one retry from both budgets or from neither.
pub(super) fn spend_both(
    service: &mut RetryBudget,
    account: &mut RetryBudget,
    cause: RetryCause,
) -> bool {
    let service = service.of(cause);
    let account = account.of(cause);
    let both = service.can_spend() && account.can_spend();
    if both {
        service.spend();
        account.spend();
    }
    both
}
