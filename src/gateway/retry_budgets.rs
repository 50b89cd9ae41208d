//! The retry budget shares of all services, with the counters, the gauge and the log lines by which
//! an operator follows them.

use std::sync::{Mutex, PoisonError};

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::events;
use crate::derives::{key, plain};
use crate::events::log_event;
use crate::fleet::{RetryBudgetShare, RetryShareLimits};
use crate::metrics;
use crate::time::ClockTime;

/// Why a request is sent to another backend server.
#[apply(key!)]
pub(super) enum ResendReason {
    /// The send before it did not leave this host. Such sends use no budget.
    NotSent,
    /// There is no response head yet.
    ResponseLate,
    /// The send ended without a response.
    NoResponse,
    /// The backend server answered that it did not run the request.
    NotRun,
    /// The backend server answered with an error.
    ErrorResponse,
    /// The response was truncated before any of it was passed on.
    ResponseTruncated,
    /// The stream paused.
    StreamPaused,
    /// The stream was interrupted.
    StreamInterrupted,
}

impl ResendReason {
    /// The label in metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::ResponseLate => "response_late",
            Self::NoResponse => "no_response",
            Self::NotRun => "not_run",
            Self::ErrorResponse => "error_response",
            Self::ResponseTruncated => "response_truncated",
            Self::StreamPaused => "stream_paused",
            Self::StreamInterrupted => "stream_interrupted",
        }
    }
}

/// A retry that a request has taken from the budget of its service.
#[apply(key!)]
pub(super) struct RetryCharge {
    pub(super) reason: ResendReason,
    /// When it was taken.
    pub(super) claimed_at: ClockTime,
}

/// What a request did with the retry budget.
#[apply(key!)]
enum BudgetAction {
    /// Took a retry.
    Charged,
    /// Returned one that was not used.
    Refunded,
    /// Found none left.
    Denied,
    /// Was sent again without one.
    Free,
}

impl BudgetAction {
    /// The label in metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Charged => "charged",
            Self::Refunded => "refunded",
            Self::Denied => "denied",
            Self::Free => "free",
        }
    }
}

/// Counts since the last log line.
#[apply(plain!)]
#[derive(Copy, Default)]
struct BudgetCounts {
    requests: u64,
    charged: u64,
    refunded: u64,
    denied: u64,
    free: u64,
}

impl BudgetCounts {
    const fn add(&mut self, action: BudgetAction) {
        match action {
            BudgetAction::Charged => self.charged += 1,
            BudgetAction::Refunded => self.refunded += 1,
            BudgetAction::Denied => self.denied += 1,
            BudgetAction::Free => self.free += 1,
        }
    }

    /// Whether any request was sent again or denied it.
    const fn has_resends(&self) -> bool {
        self.charged + self.denied + self.free > 0
    }
}

/// The retry budget of one service at this entry host.
struct ServiceBudget {
    service: ByteString,
    share: RetryBudgetShare,
    /// Number of entry hosts that shared the budget when it was last used.
    entries: usize,
    /// The digest of their list.
    list_digest: u64,
    counts: BudgetCounts,
    counted_since: ClockTime,
}

impl ServiceBudget {
    fn new(service: ByteString, now: ClockTime) -> Self {
        Self {
            service,
            share: RetryBudgetShare::default(),
            entries: 0,
            list_digest: 0,
            counts: BudgetCounts::default(),
            counted_since: now,
        }
    }

    /// Reports a changed list of entry hosts, and the counts of the last window if any request was
    /// sent again.
    fn report(&mut self, shared: SharedLimits, now: ClockTime) {
        let limits = shared.limits;
        if self.list_digest != shared.list_digest {
            let entries = u64::try_from(limits.entries).unwrap_or(u64::MAX);
            metrics::set_gauge("retry_budget_entry_hosts", &self.service, entries);
            log_event!(
                events::RETRY_SHARERS,
                "service={} entry_hosts={} before={} list={:016x}",
                self.service,
                limits.entries,
                self.entries,
                shared.list_digest
            );
            self.entries = limits.entries;
            self.list_digest = shared.list_digest;
        }
        if now.since(self.counted_since) < limits.window {
            return;
        }
        if self.counts.has_resends() {
            let counts = self.counts;
            log_event!(
                events::RETRY_COUNTS,
                "service={} ms={} requests={} charged={} refunded={} denied={} free={} entry_hosts={} list={:016x} fixed={:.1}",
                self.service,
                now.since(self.counted_since).as_millis(),
                counts.requests,
                counts.charged,
                counts.refunded,
                counts.denied,
                counts.free,
                self.entries,
                self.list_digest,
                RetryBudgetShare::fixed_part(limits, now)
            );
        }
        self.counts = BudgetCounts::default();
        self.counted_since = now;
    }

    fn count(&mut self, action: BudgetAction, reason: ResendReason) {
        self.counts.add(action);
        metrics::count_retry_budget(action.label(), reason.label());
    }
}

/// The limits of a share, and the list of entry hosts that share them.
#[apply(plain!)]
#[derive(Copy)]
pub(super) struct SharedLimits {
    pub(super) limits: RetryShareLimits,
    /// Digest of the list of entry hosts.
    pub(super) list_digest: u64,
}

/// The retry budget shares of an entry host.
#[derive(Default)]
pub(super) struct RetryBudgets {
    /// Sorted by service.
    services: Mutex<Vec<ServiceBudget>>,
}

impl RetryBudgets {
    /// Records a new request for `service`, which adds to its budget. It was sent at `sent_at` at the
    /// earliest.
    pub(super) fn credit(
        &self,
        service: &ByteString,
        sent_at: ClockTime,
        shared: SharedLimits,
        now: ClockTime,
    ) {
        self.with_service(service, shared, now, |budget| {
            let limits = shared.limits;
            budget.counts.requests += 1;
            budget.share.credit(limits, sent_at);
        });
    }

    /// Takes one retry from the budget of `service`, if one is left.
    pub(super) fn try_charge(
        &self,
        service: &ByteString,
        reason: ResendReason,
        shared: SharedLimits,
        now: ClockTime,
    ) -> Option<RetryCharge> {
        self.with_service(service, shared, now, |budget| {
            if budget.share.try_spend(shared.limits, now) {
                budget.count(BudgetAction::Charged, reason);
                Some(RetryCharge {
                    reason,
                    claimed_at: now,
                })
            } else {
                budget.count(BudgetAction::Denied, reason);
                None
            }
        })
    }

    /// Takes a retry at `now` instead of `charge`, if one is left; otherwise returns `charge` to the
    /// budget.
    pub(super) fn try_renew(
        &self,
        service: &ByteString,
        charge: RetryCharge,
        shared: SharedLimits,
        now: ClockTime,
    ) -> Option<RetryCharge> {
        let RetryCharge { reason, claimed_at } = charge;
        self.with_service(service, shared, now, |budget| {
            if budget.share.try_move(shared.limits, claimed_at, now) {
                Some(RetryCharge {
                    reason,
                    claimed_at: now,
                })
            } else {
                budget.count(BudgetAction::Refunded, reason);
                budget.count(BudgetAction::Denied, reason);
                None
            }
        })
    }

    /// Returns an unused retry to the budget of `service`.
    pub(super) fn refund(
        &self,
        service: &ByteString,
        charge: RetryCharge,
        shared: SharedLimits,
        now: ClockTime,
    ) {
        let RetryCharge { reason, claimed_at } = charge;
        self.with_service(service, shared, now, |budget| {
            budget.share.refund(shared.limits, claimed_at);
            budget.count(BudgetAction::Refunded, reason);
        });
    }

    /// Records a send that uses no budget.
    pub(super) fn note_free(
        &self,
        service: &ByteString,
        reason: ResendReason,
        shared: SharedLimits,
        now: ClockTime,
    ) {
        self.with_service(service, shared, now, |budget| {
            budget.count(BudgetAction::Free, reason);
        });
    }

    fn with_service<T>(
        &self,
        service: &ByteString,
        shared: SharedLimits,
        now: ClockTime,
        action: impl FnOnce(&mut ServiceBudget) -> T,
    ) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let found = services.binary_search_by(|budget| budget.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            services.insert(at, ServiceBudget::new(service.clone(), now));
            at
        });
        let budget = &mut services[at];
        budget.report(shared, now);
        action(budget)
    }
}
