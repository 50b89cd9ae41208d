//! What other processes may ask of this one's control thread. The routes run on the traffic
//! threads; they read what the control thread publishes and hand it what it should know.

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
    LoadChange, ORDER_BYTES_MAX, PULL_PATH, PeerFrame, PullRequest, PullResponse, WATCH_PATH,
    WatchRequest,
};
use crate::daemon::DrainState;
use crate::errors::SwitchResult;
use crate::membership::{HostStatus, StatusPublisher};
use crate::time::clock_now;
use crate::transport::{FrameWriter, error_reply, frame_channel, message_reply, read_message};

/// Frames that wait for a slow watcher; more are not made, since only the newest state is sent.
const STREAM_DEPTH: usize = 4;
/// The range that a watcher's pace is held to.
const PACE_SHORTEST: Duration = Duration::from_millis(200);
const PACE_LONGEST: Duration = Duration::from_secs(30);

/// What the routes work with.
#[derive(Clone)]
pub(super) struct PeerRouteState {
    pub(super) publisher: StatusPublisher,
    pub(super) gossip: GossipReceiver,
    pub(super) events: mpsc::Sender<ControlEvent>,
    pub(super) drain: DrainState,
    pub(super) fresh: DocumentFreshness,
    /// Told whenever a neighbour has taken over documents.
    pub(super) passed_on: Arc<Notify>,
}

/// The routes under `/peer/control/`.
pub(super) fn peer_routes(state: &PeerRouteState) -> Router {
    let watch_state = state.clone();
    let pull_state = state.clone();
    Router::new()
        .route(
            WATCH_PATH,
            post(move |request: Request| open_watch(watch_state.clone(), request)),
        )
        .route(
            PULL_PATH,
            post(move |request: Request| answer_pull(pull_state.clone(), request)),
        )
}

async fn answer_pull(state: PeerRouteState, request: Request) -> Response {
    match read_message::<PullRequest>(request.into_body(), ORDER_BYTES_MAX).await {
        Ok(order) => {
            let rows = state.gossip.borrow().rows_beyond(&order.have);
            if !rows.is_empty() {
                state.passed_on.notify_waiters();
            }
            message_reply(&PullResponse { rows })
        }
        Err(error) => error_reply(&error),
    }
}

async fn open_watch(state: PeerRouteState, request: Request) -> Response {
    let order: WatchRequest = match read_message(request.into_body(), ORDER_BYTES_MAX).await {
        Ok(order) => order,
        Err(error) => return error_reply(&error),
    };
    if let Some(watcher) = order.watcher {
        // A full channel means that the control thread is behind; the watcher's word comes again.
        let _ = state.events.try_send(ControlEvent::Watcher(watcher));
    }
    let pace = Duration::from_millis(order.pace_ms).clamp(PACE_SHORTEST, PACE_LONGEST);
    let (writer, body) = frame_channel(STREAM_DEPTH);
    tokio::spawn(async move {
        let drain = state.drain.clone();
        tokio::select! {
            // The watcher has left, or the process is about to end: an open stream would hold up
            // the end of a graceful stop.
            _ = feed_watcher(state, writer, pace) => {}
            () = drain.finished() => {}
        }
    });
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::OK;
    reply
}

/// Sends what changed, urgent things at once and load at the watcher's pace, until it leaves.
async fn feed_watcher(
    mut state: PeerRouteState,
    writer: FrameWriter,
    pace: Duration,
) -> SwitchResult<()> {
    let mut changes = state.publisher.watch();
    let mut status = changes.borrow_and_update().clone();
    writer
        .write(&PeerFrame::Status(Box::new(status.clone())))
        .await?;
    let mut sent = Arc::new(GossipState::default());
    send_spread(&mut state.gossip, &mut sent, &writer, true).await?;
    let mut next_due = Instant::now() + pace;
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
                    next_due = Instant::now() + pace;
                }
            }
            () = tokio::time::sleep_until(next_due) => {
                let newest = changes.borrow_and_update().clone();
                send_paced(&state, &writer, &status, &newest).await?;
                status = newest;
                next_due = Instant::now() + pace;
            }
        }
    }
}

/// Whether more than load and progress changed.
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
    let age = state.fresh.get().map(|at| clock_now().since(at));
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
