//! The limit on requests to cold backend servers.
//!
//! A backend server is cold for a while after its start and may become cold again. It then crashes
//! if all entry hosts together send it many more requests than its service states. Load pattern: an
//! idle backend server that has just come back looks best to all entry hosts at the same moment.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::catalog::ColdStart;
use crate::derives::plain;

/// What a cold backend server of a service accepts.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct ColdLimit {
    /// How long one counts as cold that states nothing.
    pub(super) span: Duration,
    /// Requests per second from all entry hosts together.
    pub(super) rate: f64,
    /// How long a send interval may be used after its start.
    pub(super) carry_span: Duration,
}

impl ColdLimit {
    /// The limit for backend servers with `cold_start`, which may exceed the stated rate by the
    /// factor `overshoot` in one second.
    ///
    /// In one second those intervals can be used that start in it, and those that start in the carry
    /// span before it. The two together allow the rate times the factor.
    pub(crate) fn new(cold_start: ColdStart, overshoot: f64) -> Self {
        let carry_s = (overshoot - 1.0).clamp(0.0, 1.0);
        Self {
            span: cold_start.span,
            rate: cold_start.rate,
            carry_span: Duration::from_secs_f64(carry_s),
        }
    }
}
