//! `/livez`, `/readyz` and `/metrics`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::StatusCode;
use volo_http::server::route::{Router, get};

use super::DrainState;
use crate::metrics;

/// The probes of a process: live while it answers, ready from `ready` on until its graceful stop
/// begins, so that the balancer stops sending before anything is refused.
pub(crate) fn probe_routes(drain: DrainState, ready: Arc<AtomicBool>) -> Router {
    let readiness = move || {
        let is_ready = ready.load(Ordering::Relaxed) && !drain.is_draining();
        async move { readiness_answer(is_ready) }
    };
    Router::new()
        .route("/livez", get(async || "live\n"))
        .route("/readyz", get(readiness))
        .merge(metrics_routes())
}

/// Counters and histograms as Prometheus text.
pub(crate) fn metrics_routes() -> Router {
    Router::new().route("/metrics", get(async || metrics::render_text()))
}

fn readiness_answer(is_ready: bool) -> (StatusCode, &'static str) {
    if is_ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
