//! A plain service that records every call that reaches it.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use volo_http::response::Response;

use super::stand_in::LabCall;
use crate::derives::message;
use crate::time::wall_now;
use crate::transport::json_response;

/// The plain service. `GET /lab/calls?after=N` lists what reached it.
#[derive(Debug, Default)]
pub(crate) struct PlainStandIn {
    service: Duration,
    calls: Mutex<Vec<PlainCall>>,
}

/// One call that reached the service.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct PlainCall {
    /// Its place in the order of arrival, from 1.
    pub(crate) order: u64,
    /// The method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// The body, as text.
    pub(crate) body: String,
    /// When it came, in Unix milliseconds.
    pub(crate) at_ms: u64,
}

/// What the service answers: different for each run, so that a kept answer is told from a second
/// run.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct PlainAnswer {
    /// The run's place in the order of arrival.
    pub(crate) order: u64,
    /// The body of the call.
    pub(crate) body: String,
}

impl PlainStandIn {
    /// A service that takes `service` for each call.
    pub(crate) const fn new(service: Duration) -> Self {
        Self {
            service,
            calls: Mutex::new(Vec::new()),
        }
    }

    /// The calls behind the first `after`.
    pub(crate) fn calls(&self, after: u64) -> Vec<PlainCall> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let first = usize::try_from(after)
            .unwrap_or(usize::MAX)
            .min(calls.len());
        calls[first..].to_vec()
    }

    pub(super) async fn answer(&self, call: &LabCall) -> Response {
        if (&call.method, call.path.as_str()) == (&Method::GET, "/lab/calls") {
            return json_response(StatusCode::OK, &self.calls(call.number("after", 0)));
        }
        let answer = self.record(call);
        tokio::time::sleep(self.service).await;
        json_response(StatusCode::OK, &answer)
    }

    fn record(&self, call: &LabCall) -> PlainAnswer {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let query = if call.query.is_empty() { "" } else { "?" };
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let order = calls.len() as u64 + 1;
        calls.push(PlainCall {
            order,
            method: call.method.to_string(),
            path: format!("{}{query}{}", call.path, call.query),
            body: body.clone(),
            at_ms: wall_now().0,
        });
        PlainAnswer { order, body }
    }
}
