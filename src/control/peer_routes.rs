//! The routes that serve requests of other processes to this process's control thread.
//!
//! They run on the traffic threads, read the state that the control thread publishes, and send it
//! events.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use super::control_thread::{ControlEvent, DocumentFreshness};
use super::gossip_state::{GossipReceiver, GossipState};
use super::peer_messages::{
    LoadChange, PULL_PATH, PeerFrame, PullRequest, PullResponse, REQUEST_BYTES_MAX, WATCH_PATH,
    WatchRequest,
};
use crate::daemon::DrainState;
use crate::errors::SwitchResult;
use crate::membership::{HostStatus, StatusPublisher};
use crate::time::clock_now;
use crate::transport::{
    FrameWriter, error_response, frame_channel, message_response, read_request_message,
};

/// Maximum number of frames that are queued for a slow watcher. No further frames are created
/// meanwhile, since only the newest state is sent.
const STREAM_QUEUE_CAPACITY: usize = 4;
/// Limits of the frame interval that a watcher may request.
const FRAME_INTERVAL_MIN: Duration = Duration::from_millis(200);
const FRAME_INTERVAL_MAX: Duration = Duration::from_secs(30);

/// The state that the routes share.
#[derive(Clone)]
pub(super) struct PeerRouteState {
    pub(super) publisher: StatusPublisher,
    pub(super) gossip: GossipReceiver,
    pub(super) events: mpsc::Sender<ControlEvent>,
    pub(super) drain: DrainState,
    pub(super) freshness: DocumentFreshness,
    /// Notified whenever a neighbour has fetched documents.
    pub(super) replicated: Arc<Notify>,
}

/// The routes under `/peer/control/`.
pub(super) fn peer_routes(state: &PeerRouteState) -> Router {
    let watch_state = state.clone();
    let pull_state = state.clone();
    Router::new()
        .route(
            WATCH_PATH,
            post(move |request: Request| serve_watch(watch_state.clone(), request)),
        )
        .route(
            PULL_PATH,
            post(move |request: Request| serve_pull(pull_state.clone(), request)),
        )
}

async fn serve_pull(state: PeerRouteState, request: Request) -> Response {
    match read_request_message::<PullRequest>(request, REQUEST_BYTES_MAX).await {
        Ok(order) => {
            let rows = state.gossip.borrow().rows_beyond(&order.have);
            if !rows.is_empty() {
                state.replicated.notify_waiters();
            }
            message_response(&PullResponse { rows })
        }
        Err(error) => error_response(&error),
    }
}

async fn serve_watch(state: PeerRouteState, request: Request) -> Response {
    let order: WatchRequest = match read_request_message(request, REQUEST_BYTES_MAX).await {
        Ok(order) => order,
        Err(error) => return error_response(&error),
    };
    if let Some(watcher) = order.watcher {
        // If the channel is full, the control thread is overloaded. The facts can be dropped, since
        // they are received again later.
        let _ = state.events.try_send(ControlEvent::Watcher(watcher));
    }
    let frame_interval =
        Duration::from_millis(order.pace_ms).clamp(FRAME_INTERVAL_MIN, FRAME_INTERVAL_MAX);
    let (writer, body) = frame_channel(STREAM_QUEUE_CAPACITY);
    tokio::spawn(async move {
        let drain = state.drain.clone();
        tokio::select! {
            // Ends when the watcher disconnects or this process finishes draining; an open stream
            // would delay the end of a graceful shutdown.
            _ = feed_watcher(state, writer, frame_interval) => {}
            () = drain.wait_finished() => {}
        }
    });
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::OK;
    response
}

/// Sends changes until the watcher disconnects: urgent ones immediately, the load at the watcher's
/// frame interval.
async fn feed_watcher(
    mut state: PeerRouteState,
    writer: FrameWriter,
    frame_interval: Duration,
) -> SwitchResult<()> {
    let mut changes = state.publisher.watch();
    let mut status = changes.borrow_and_update().clone();
    writer
        .write(&PeerFrame::Status(Box::new(status.clone())))
        .await?;
    let mut sent = Arc::new(GossipState::default());
    send_spread(&mut state.gossip, &mut sent, &writer, true).await?;
    let mut next_frame_due = Instant::now() + frame_interval;
    loop {
        tokio::select! {
            () = writer.closed() => return Ok(()),
            _ = state.gossip.changed() => {
                send_spread(&mut state.gossip, &mut sent, &writer, false).await?;
            }
            _ = changes.changed() => {
                let newest = changes.borrow_and_update().clone();
                if is_urgent(&status, &newest) {
                    status = newest;
                    writer.write(&PeerFrame::Status(Box::new(status.clone()))).await?;
                    next_frame_due = Instant::now() + frame_interval;
                }
            }
            () = tokio::time::sleep_until(next_frame_due) => {
                let newest = changes.borrow_and_update().clone();
                send_paced(&state, &writer, &status, &newest).await?;
                status = newest;
                next_frame_due = Instant::now() + frame_interval;
            }
        }
    }
}

/// Whether the status changed in more than load and staging progress.
fn is_urgent(sent: &HostStatus, newest: &HostStatus) -> bool {
    sent.leaving != newest.leaving || sent.serving != newest.serving
}

async fn send_paced(
    state: &PeerRouteState,
    writer: &FrameWriter,
    sent: &HostStatus,
    newest: &HostStatus,
) -> SwitchResult<()> {
    if sent.staging != newest.staging || is_urgent(sent, newest) {
        let status = PeerFrame::Status(Box::new(newest.clone()));
        writer.write(&status).await?;
    }
    let load = (sent.load != newest.load).then(|| load_change(newest));
    let age = state.freshness.get().map(|at| clock_now().since(at));
    let age_ms = age.and_then(|age| u64::try_from(age.as_millis()).ok());
    writer.write(&PeerFrame::Paced(load, age_ms)).await
}

const fn load_change(status: &HostStatus) -> LoadChange {
    let load = status.load;
    let numbers = [load.running, load.waiting, load.capacity, load.queue_room];
    (status.sequence, numbers)
}

async fn send_spread(
    gossip: &mut GossipReceiver,
    sent: &mut Arc<GossipState>,
    writer: &FrameWriter,
    is_first: bool,
) -> SwitchResult<()> {
    let newest = gossip.borrow_and_update().clone();
    let changed = newest.versions_beyond(sent);
    if is_first || !changed.is_empty() {
        writer.write(&PeerFrame::Documents(changed)).await?;
    }
    let facts = newest.facts_beyond(sent);
    if !facts.is_empty() {
        writer.write(&PeerFrame::Members(facts)).await?;
    }
    *sent = newest;
    Ok(())
}
