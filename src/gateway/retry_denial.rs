//! Reasons why a request may not be sent again.

use std::fmt::{self, Display, Formatter};

use macro_rules_attribute::apply;

use crate::derives::key;

/// Why a request is not sent to another backend server after a send that may have run.
#[apply(key!)]
pub(super) enum RetryDenial {
    Route,
    Attempts,
    Time,
    Budget,
}

impl Display for RetryDenial {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Route => "the route allows one run",
            Self::Attempts => "no attempt is left",
            Self::Time => "no time is left",
            Self::Budget => "no retry is left",
        })
    }
}
