//! The error type of the crate: an error kind, a human-readable detail, and values of this failure
//! that override the defaults of its kind.

use std::time::Duration;

use snafu::Snafu;

use super::{ErrorKind, RetryAdvice, RunOutcome, error_spec};

/// A failed or refused request or operation.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{}: {detail}", error_spec(*kind).code))]
pub struct SwitchError {
    /// Selects the row of the error table.
    pub kind: ErrorKind,
    /// Human-readable description. Never contains an API key or a request or response body.
    pub detail: String,
    /// Whether the request ran, where this is known more exactly than by the table.
    pub outcome: Option<RunOutcome>,
    /// When to retry, where this is known more exactly than by the table.
    pub retry_after: Option<Duration>,
}

impl SwitchError {
    /// Creates an error with the defaults of `kind`.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            outcome: None,
            retry_after: None,
        }
    }

    /// Overrides the retry time of the table.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Overrides the run outcome of the table.
    #[must_use]
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Whether the request ran, as far as it is known.
    #[must_use]
    pub fn run_outcome(&self) -> RunOutcome {
        self.outcome.unwrap_or(error_spec(self.kind).outcome)
    }

    /// Time to wait before a retry; `None` when a retry gives the same result.
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
