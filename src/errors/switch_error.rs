//! The crate's one error type: a kind from the closed list, a detail for people, and what is known
//! about this very failure beyond its kind.

use std::time::Duration;

use snafu::Snafu;

use super::{ErrorKind, RetryAdvice, RunOutcome, error_spec};

/// A failure or refusal on its way to whoever asked.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{}: {detail}", error_spec(*kind).code))]
pub struct SwitchError {
    /// Which row of the table answers it.
    pub kind: ErrorKind,
    /// What happened, for a person; never holds a key or a body.
    pub detail: String,
    /// Known better than the table's row: whether the request ran.
    pub outcome: Option<RunOutcome>,
    /// Known better than the table's row: when to come back.
    pub retry_after: Option<Duration>,
}

impl SwitchError {
    /// A failure of `kind`.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            outcome: None,
            retry_after: None,
        }
    }

    /// Says when to come back, in place of the table's advice.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Says whether the request ran, in place of the table's row.
    #[must_use]
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Whether the request ran, as far as this failure tells.
    #[must_use]
    pub fn run_outcome(&self) -> RunOutcome {
        self.outcome.unwrap_or(error_spec(self.kind).outcome)
    }

    /// How long to wait before asking again; `None` when asking again is no use.
    #[must_use]
    pub fn retry_wait(&self) -> Option<Duration> {
        self.retry_after.or(match error_spec(self.kind).retry {
            RetryAdvice::Never => None,
            RetryAdvice::After(wait) | RetryAdvice::RepeatableAfter(wait) => Some(wait),
        })
    }
}

/// The crate's result type.
pub type SwitchResult<T> = Result<T, SwitchError>;
