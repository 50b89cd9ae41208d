//! HTTP routes `/livez`, `/readyz` and `/metrics`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::StatusCode;
use volo_http::server::route::{Router, get};

use super::DrainState;
use crate::metrics;

/// Routes for the liveness and readiness probes and for metrics. The process is ready once `ready`
/// is set and until its graceful stop begins, so that the load balancer stops sending requests
/// before any is refused.
pub(crate) fn probe_routes(drain: DrainState, ready: Arc<AtomicBool>) -> Router {
    let readiness = move || {
        let is_ready = ready.load(Ordering::Relaxed) && !drain.is_draining();
        async move { readiness_response(is_ready) }
    };
    Router::new()
        .route("/livez", get(async || "live\n"))
        .route("/readyz", get(readiness))
        .merge(metrics_routes())
}

/// Route that serves the metrics in the Prometheus text format.
pub(crate) fn metrics_routes() -> Router {
    Router::new().route("/metrics", get(async || metrics::render_text()))
}

fn readiness_response(is_ready: bool) -> (StatusCode, &'static str) {
    if is_ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
