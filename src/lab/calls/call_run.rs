//! Sends a call until it gets a final answer. Like a well-behaved caller, it retries only when the
//! answer allows it, after about the delay that a refusal asks for, through the next entry host.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use macro_rules_attribute::apply;
use rand::RngExt;

use super::entry_balancer::EntryBalancer;
use super::lab_call::{CallOutcome, CallPayload, CallRequest, LabCaller};
use crate::derives::{key, plain};
use crate::errors::RunOutcome;
use crate::lab::launch::CompanyNames;
use crate::time::{WallTime, clock_now, wall_now};

const RETRY_DELAY_MAX: Duration = Duration::from_secs(3);
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Classes of calls, which differ in service, priority and retries.
#[apply(key!)]
pub(crate) enum CallClass {
    /// An urgent completion.
    Urgent,
    /// A normal completion.
    Normal,
    /// A batch completion.
    Batch,
    /// A streamed completion.
    Stream,
    /// A plain call that may be repeated.
    Repeatable,
    /// A plain call that may run at most once.
    Once,
}

impl CallClass {
    /// All classes, in the order of the reports.
    pub(crate) const ALL: [Self; 6] = [
        Self::Urgent,
        Self::Normal,
        Self::Batch,
        Self::Stream,
        Self::Repeatable,
        Self::Once,
    ];

    /// The name of the class in reports.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent completion",
            Self::Normal => "normal completion",
            Self::Batch => "batch completion",
            Self::Stream => "streamed completion",
            Self::Repeatable => "plain, repeatable",
            Self::Once => "plain, once",
        }
    }

    /// Whether the call may be sent again when it is not known whether it ran.
    pub(crate) const fn may_be_repeated(self) -> bool {
        !matches!(self, Self::Once)
    }

    /// Whether the call may run at most once.
    pub(crate) const fn runs_at_most_once(self) -> bool {
        matches!(self, Self::Once)
    }

    const fn priority(self) -> &'static str {
        match self {
            Self::Urgent | Self::Once => "urgent",
            Self::Normal | Self::Stream | Self::Repeatable => "normal",
            Self::Batch => "batch",
        }
    }
}

/// One attempt of a call.
#[apply(plain!)]
pub(crate) struct CallAttempt {
    /// When the attempt was sent.
    pub(crate) sent: WallTime,
    /// When the answer ended.
    pub(crate) answered: WallTime,
    /// Index of the entry host that received the attempt.
    pub(crate) entry: usize,
    /// The body of a plain call or the prompt of a completion.
    pub(crate) text: String,
    /// The requested number of tokens.
    pub(crate) max_tokens: u32,
    /// The outcome of the attempt.
    pub(crate) outcome: CallOutcome,
    /// The request id that the system assigned; empty if unknown.
    pub(crate) request_id: String,
}

/// A call with all of its attempts.
#[apply(plain!)]
pub(crate) struct FinishedCall {
    /// The class of the call.
    pub(crate) class: CallClass,
    /// The attempts in order.
    pub(crate) attempts: Vec<CallAttempt>,
    /// Time from the first attempt to the end of the last answer.
    pub(crate) total_time: Duration,
}

/// Sends calls with their retries.
#[derive(Clone)]
pub(crate) struct CallRunner {
    /// The names of services and accounts.
    pub(crate) names: CompanyNames,
    /// Selects the entry host of each attempt.
    pub(crate) balancer: EntryBalancer,
    /// Sends each attempt.
    pub(crate) caller: Arc<LabCaller>,
    /// How long a call is retried.
    pub(crate) retry_timeout: Duration,
}

impl CallRunner {
    /// Sends call number `number` of `class` until it gets a final answer, or until the next
    /// attempt would begin after `retry_timeout`.
    pub(crate) async fn run(&self, class: CallClass, number: u64) -> FinishedCall {
        let begun = clock_now();
        let mut call = FinishedCall {
            class,
            attempts: Vec::new(),
            total_time: Duration::ZERO,
        };
        loop {
            self.attempt(&mut call, number).await;
            let elapsed = clock_now().since(begun);
            match next_delay(&call) {
                Some(wait) if elapsed + wait < self.retry_timeout => tokio::time::sleep(wait).await,
                _ => break,
            }
        }
        call.total_time = clock_now().since(begun);
        call
    }

    async fn attempt(&self, call: &mut FinishedCall, number: u64) {
        let attempt_number = call.attempts.len() + 1;
        // The text identifies the attempt, so that its runs and answers cannot be mistaken for
        // others.
        let text = format!("call-{number}-{attempt_number}");
        let max_tokens = 8 + u32::try_from(number % 24).unwrap_or_default();
        let request = CallRequest {
            account: self.names.accounts[usize::try_from(number).unwrap_or(0) % 10],
            service: self.service(call.class),
            priority: call.class.priority(),
            payload: self.payload(call.class, &text, max_tokens),
        };
        let (entry, address) = self.balancer.pick();
        let sent = wall_now();
        let record = self.caller.call(address, &request).await;
        call.attempts.push(CallAttempt {
            sent,
            answered: wall_now(),
            entry,
            text,
            max_tokens,
            outcome: record.outcome,
            request_id: record.request_id,
        });
    }

    const fn service(&self, class: CallClass) -> &'static str {
        match class {
            CallClass::Urgent | CallClass::Normal | CallClass::Batch | CallClass::Stream => {
                self.names.model
            }
            CallClass::Repeatable => self.names.single_worker_service,
            CallClass::Once => self.names.at_most_once_service,
        }
    }

    fn payload(&self, class: CallClass, text: &str, max_tokens: u32) -> CallPayload {
        match class {
            CallClass::Urgent | CallClass::Normal | CallClass::Batch | CallClass::Stream => {
                CallPayload::Completion {
                    prompt: text.to_owned(),
                    max_tokens,
                    stream: class == CallClass::Stream,
                }
            }
            CallClass::Repeatable => CallPayload::Plain {
                method: Method::POST,
                path: "/lookups".to_owned(),
                body: text.to_owned(),
            },
            CallClass::Once => CallPayload::Plain {
                method: Method::POST,
                path: self.names.at_most_once_path.to_owned(),
                body: text.to_owned(),
            },
        }
    }
}

/// The delay before the next attempt; `None` when the last answer is final.
fn next_delay(call: &FinishedCall) -> Option<Duration> {
    let last = call.attempts.last()?;
    let delay = match &last.outcome {
        CallOutcome::Complete { .. } | CallOutcome::ServiceFault { .. } => return None,
        CallOutcome::Refused {
            run, retry_after, ..
        } => {
            if *run != RunOutcome::NotRun && !call.class.may_be_repeated() {
                return None;
            }
            (*retry_after)?
        }
        _ if !call.class.may_be_repeated() => return None,
        _ => RETRY_DELAY_MIN,
    };
    let delay = delay.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX);
    // Jitter between half and full delay, so that refused callers do not retry all at once.
    let jitter = rand::rng().random_range(0.5..1.0);
    Some(delay.mul_f64(jitter))
}
