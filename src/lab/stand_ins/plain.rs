//! Stand-in for a plain service. It records every request that it receives.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use volo_http::response::Response;

use super::stand_in::StandInRequest;
use crate::derives::message;
use crate::time::wall_now;
use crate::transport::json_response;

/// The plain service. `GET /lab/calls?after=N` lists the recorded requests without the first `N`.
#[derive(Debug, Default)]
pub(crate) struct PlainStandIn {
    service_time: Duration,
    calls: Mutex<Vec<PlainCall>>,
}

/// A request that the service received.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct PlainCall {
    /// Position in order of arrival, from 1.
    pub(crate) order: u64,
    /// The method.
    pub(crate) method: String,
    /// The path and query.
    pub(crate) path: String,
    /// The body, as text.
    pub(crate) body: String,
    /// Time of arrival, in Unix milliseconds.
    pub(crate) at_ms: u64,
}

/// The body of the service's response. `order` differs between executions, so a response that was
/// stored and returned again can be distinguished from a second execution.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct PlainAnswer {
    /// Position of the executed request in order of arrival, from 1.
    pub(crate) order: u64,
    /// The body of the request.
    pub(crate) body: String,
}

impl PlainStandIn {
    /// Creates a service that takes `service_time` for each request.
    pub(crate) const fn new(service_time: Duration) -> Self {
        Self {
            service_time,
            calls: Mutex::new(Vec::new()),
        }
    }

    /// Returns the recorded requests without the first `after`.
    pub(crate) fn calls(&self, after: u64) -> Vec<PlainCall> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let first = usize::try_from(after)
            .unwrap_or(usize::MAX)
            .min(calls.len());
        calls[first..].to_vec()
    }

    pub(super) async fn answer(&self, request: &StandInRequest) -> Response {
        if (&request.method, request.path.as_str()) == (&Method::GET, "/lab/calls") {
            return json_response(StatusCode::OK, &self.calls(request.number("after", 0)));
        }
        let answer = self.record(request);
        tokio::time::sleep(self.service_time).await;
        json_response(StatusCode::OK, &answer)
    }

    fn record(&self, request: &StandInRequest) -> PlainAnswer {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let query = if request.query.is_empty() { "" } else { "?" };
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let order = calls.len() as u64 + 1;
        calls.push(PlainCall {
            order,
            method: request.method.to_string(),
            path: format!("{}{query}{}", request.path, request.query),
            body: body.clone(),
            at_ms: wall_now().0,
        });
        PlainAnswer { order, body }
    }
}
