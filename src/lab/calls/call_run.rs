//! One call from its first attempt to its last: refused calls are sent again when the answer says
//! to, through another entry host, as a well-behaved caller does.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use macro_rules_attribute::apply;
use rand::RngExt;

use super::entry_board::EntryBoard;
use super::lab_call::{CallAsk, CallOrder, CallOutcome, LabCaller};
use crate::derives::{key, plain};
use crate::errors::RunOutcome;
use crate::lab::launch::CompanyNames;
use crate::time::{WallTime, clock_now, wall_now};

const LONGEST_WAIT: Duration = Duration::from_secs(3);
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// The classes of calls.
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
    /// A plain call each attempt of which may run at most once.
    Once,
}

impl CallClass {
    /// All classes.
    pub(crate) const ALL: [Self; 6] = [
        Self::Urgent,
        Self::Normal,
        Self::Batch,
        Self::Stream,
        Self::Repeatable,
        Self::Once,
    ];

    /// Its name in tables.
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

    /// Whether it may be sent again when it is not known whether it ran.
    pub(crate) const fn may_ask_again(self) -> bool {
        !matches!(self, Self::Once)
    }

    /// Whether it runs at most once.
    pub(crate) const fn is_once(self) -> bool {
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

/// One attempt at a call.
#[apply(plain!)]
pub(crate) struct CallAttempt {
    /// When it was sent.
    pub(crate) sent: WallTime,
    /// When its answer had come to its end.
    pub(crate) answered: WallTime,
    /// Through which entry host.
    pub(crate) entry: usize,
    /// What was sent as the body, or as the prompt.
    pub(crate) text: String,
    /// Tokens that were asked for.
    pub(crate) max_tokens: u32,
    /// What came of it.
    pub(crate) outcome: CallOutcome,
    /// The id that the system gave it.
    pub(crate) request_id: String,
}

/// A call with all of its attempts.
#[apply(plain!)]
pub(crate) struct FinishedCall {
    /// Its class.
    pub(crate) class: CallClass,
    /// Its attempts in order.
    pub(crate) attempts: Vec<CallAttempt>,
    /// From the first attempt to the last answer.
    pub(crate) whole: Duration,
}

/// Runs calls.
#[derive(Clone)]
pub(crate) struct CallRunner {
    /// The names of services and accounts.
    pub(crate) names: CompanyNames,
    /// The balancer.
    pub(crate) board: EntryBoard,
    /// The client.
    pub(crate) caller: Arc<LabCaller>,
    /// How long a call is tried.
    pub(crate) patience: Duration,
}

impl CallRunner {
    /// Sends call number `number` of `class` until it is answered for good or patience ends.
    pub(crate) async fn run(&self, class: CallClass, number: u64) -> FinishedCall {
        let begun = clock_now();
        let mut call = FinishedCall {
            class,
            attempts: Vec::new(),
            whole: Duration::ZERO,
        };
        loop {
            self.attempt(&mut call, number).await;
            let spent = clock_now().since(begun);
            match next_wait(&call) {
                Some(wait) if spent + wait < self.patience => tokio::time::sleep(wait).await,
                _ => break,
            }
        }
        call.whole = clock_now().since(begun);
        call
    }

    async fn attempt(&self, call: &mut FinishedCall, number: u64) {
        let count = call.attempts.len() + 1;
        // Each attempt is a call of its own and must be told apart.
        let text = format!("call-{number}-{count}");
        let max_tokens = 8 + u32::try_from(number % 24).unwrap_or_default();
        let order = CallOrder {
            account: self.names.accounts[usize::try_from(number).unwrap_or(0) % 10],
            service: self.service(call.class),
            priority: call.class.priority(),
            ask: self.ask(call.class, &text, max_tokens),
        };
        let (entry, address) = self.board.pick();
        let sent = wall_now();
        let record = self.caller.call(address, &order).await;
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

    fn ask(&self, class: CallClass, text: &str, max_tokens: u32) -> CallAsk {
        match class {
            CallClass::Urgent | CallClass::Normal | CallClass::Batch | CallClass::Stream => {
                CallAsk::Complete {
                    prompt: text.to_owned(),
                    max_tokens,
                    stream: class == CallClass::Stream,
                }
            }
            CallClass::Repeatable => CallAsk::Plain {
                method: Method::POST,
                path: "/lookups".to_owned(),
                body: text.to_owned(),
            },
            CallClass::Once => CallAsk::Plain {
                method: Method::POST,
                path: self.names.at_most_once_path.to_owned(),
                body: text.to_owned(),
            },
        }
    }
}

/// How long to wait before the next attempt; `None` when the last answer is final.
fn next_wait(call: &FinishedCall) -> Option<Duration> {
    let last = call.attempts.last()?;
    let wait = match &last.outcome {
        CallOutcome::Whole { .. } | CallOutcome::ServiceFault { .. } => return None,
        CallOutcome::Refused {
            run, retry_after, ..
        } => {
            if *run != RunOutcome::NotRun && !call.class.may_ask_again() {
                return None;
            }
            (*retry_after)?
        }
        _ if !call.class.may_ask_again() => return None,
        _ => SHORTEST_WAIT,
    };
    let wait = wait.clamp(SHORTEST_WAIT, LONGEST_WAIT);
    // Full jitter above half, so that refused callers do not come back together.
    let jitter = rand::rng().random_range(0.5..1.0);
    Some(wait.mul_f64(jitter))
}
