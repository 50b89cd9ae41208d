//! The budget that limits retries to a small percentage of the requests.

use macro_rules_attribute::apply;

use crate::derives::{key, plain};

/// The units of balance that one retry costs. A request adds the percentage of the budget times the
/// share of the cause.
const RETRY_COST: u32 = 1_000;

/// The failure that a retry follows.
#[apply(key!)]
pub(crate) enum RetryCause {
    /// An attempt that was refused before it started. In an outage nearly all requests fail like
    /// this.
    Refused,
    /// An attempt that was interrupted after it had started. When a host fails, all its attempts
    /// are interrupted at once, after the callers have received part of their responses.
    Interrupted,
}

impl RetryCause {
    /// The share of this cause in the budget, in tenths.
    const fn share(self) -> u32 {
        match self {
            Self::Refused => 8,
            Self::Interrupted => 2,
        }
    }

    /// The most retries that can be accumulated.
    const fn burst(self) -> u32 {
        match self {
            Self::Refused => 2,
            Self::Interrupted => 16,
        }
    }
}

/// The retries that remain for one cause. Each first attempt adds a percentage of a retry, and each
/// retry takes one. If all requests fail, retries thus stay at that percentage of the requests,
/// whereas a fixed number of attempts per request would multiply the load during an overload.
#[apply(plain!)]
#[derive(Copy)]
struct CauseBudget {
    cause: RetryCause,
    balance: u32,
}

impl CauseBudget {
    /// Creates a full budget, so that a service with few requests can retry at once.
    const fn new(cause: RetryCause) -> Self {
        Self {
            cause,
            balance: cause.burst() * RETRY_COST,
        }
    }

    fn credit(&mut self, percent: u32) {
        let full = self.cause.burst() * RETRY_COST;
        let earned = percent.saturating_mul(self.cause.share());
        self.balance = self.balance.saturating_add(earned).min(full);
    }

    const fn can_spend(self) -> bool {
        self.balance >= RETRY_COST
    }

    fn spend(&mut self) {
        assert!(self.can_spend(), "the budget has no retry left");
        self.balance -= RETRY_COST;
    }
}

/// The retry budget of a service or account. It is separate for each cause, so that an outage in
/// which all requests are refused does not use up the retries for interrupted ones.
#[apply(plain!)]
#[derive(Copy)]
pub(super) struct RetryBudget {
    refused: CauseBudget,
    interrupted: CauseBudget,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            refused: CauseBudget::new(RetryCause::Refused),
            interrupted: CauseBudget::new(RetryCause::Interrupted),
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which adds `percent` of a retry, split among the causes.
    pub(super) fn credit(&mut self, percent: u32) {
        self.refused.credit(percent);
        self.interrupted.credit(percent);
    }

    fn budget_for(&mut self, cause: RetryCause) -> &mut CauseBudget {
        match cause {
            RetryCause::Refused => &mut self.refused,
            RetryCause::Interrupted => &mut self.interrupted,
        }
    }
}

/// Takes one retry from both budgets, or from neither unless both have one. Returns whether it did.
pub(super) fn spend_both(
    service: &mut RetryBudget,
    account: &mut RetryBudget,
    cause: RetryCause,
) -> bool {
    let service = service.budget_for(cause);
    let account = account.budget_for(cause);
    let can_spend = service.can_spend() && account.can_spend();
    if can_spend {
        service.spend();
        account.spend();
    }
    can_spend
}
