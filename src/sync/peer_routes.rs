//! The HTTP endpoint through which an entry host answers other processes of the system.

use std::time::Duration;

use http::StatusCode;
use tokio::time::timeout;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use super::peer_messages::{PeerQuery, VIEW_PATH};
use super::shared_deployment_state::SharedDeploymentState;
use crate::time::clock_now;
use crate::transport::{error_response, message_response, read_request_message};

const QUERY_BYTES_MAX: usize = 64 * 1024;
/// The longest time a response is held. A connection that fails silently meanwhile is noticed only
/// at the end.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// The routes of the endpoint.
pub(super) fn peer_routes(state: &SharedDeploymentState) -> Router {
    let state = state.clone();
    let handler = move |request: Request| answer_view(state.clone(), request);
    Router::new()
        .route(VIEW_PATH, post(handler))
        .fallback(async || StatusCode::NOT_FOUND)
}

/// Waits until there is an urgent change for the querying process, for as long as the query allows.
async fn await_urgent_changes(state: &SharedDeploymentState, query: &PeerQuery) {
    let mut changes = state.changes();
    let urgent_update = async {
        while !state.read(|state| state.has_urgent_changes(query)) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let wait = Duration::from_millis(query.wait_ms).min(WAIT_MAX);
    // After a timeout the response contains the less urgent changes.
    let _ = timeout(wait, urgent_update).await;
}

/// Merges target versions that only the querying process knows. This happens when all entry hosts
/// have restarted while hosts of backend servers kept running.
fn merge_targets(state: &SharedDeploymentState, query: &PeerQuery) {
    let now = clock_now();
    if state.read(|state| state.is_updated_by(&query.targets)) {
        state.change(|state| state.merge_targets(&query.targets, now));
    }
}

/// Adds the entry host that sent `query`, if it is unknown.
fn note_sender(state: &SharedDeploymentState, query: &PeerQuery) {
    if let Some(sender) = &query.sender
        && state.read(|state| !state.entries().contains(sender))
    {
        state.change(|state| state.add_entries(vec![sender.clone()]));
    }
}

/// Merges what the querying entry host knows of the agreement about the list of entry hosts.
fn merge_agreement(state: &SharedDeploymentState, query: &PeerQuery) {
    let now = clock_now();
    if let Some(agreement) = &query.agreement
        && state.read(|state| state.is_agreement_updated_by(agreement))
    {
        state.change(|state| state.merge_agreement(agreement, false, now));
    }
}

async fn answer_view(state: SharedDeploymentState, request: Request) -> Response {
    match read_request_message::<PeerQuery>(request, QUERY_BYTES_MAX).await {
        Ok(query) => {
            let sent_at = clock_now();
            merge_targets(&state, &query);
            note_sender(&state, &query);
            merge_agreement(&state, &query);
            await_urgent_changes(&state, &query).await;
            let now = clock_now();
            let view = state.read(|state| state.answer(&query, now.since(sent_at), now));
            message_response(&view)
        }
        Err(error) => error_response(&error),
    }
}
