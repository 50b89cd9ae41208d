//! Stand-ins for the platform's services and for backend servers.
//!
//! A stand-in follows the protocol of the service that it replaces. `POST /lab/fault` makes it
//! inject faults. It runs inside the lab's process or as a separate process.

mod batch;
mod command;
mod engine;
mod engine_stream;
mod fault;
mod host_list;
mod json_state;
mod metrics_text;
mod plain;
mod prefix_cache;
mod stand_in;
mod table;
#[cfg(test)]
mod tests;
mod weights;

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use http_body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use volo_http::body::Body;
use volo_http::response::Response;

pub(crate) use command::{run_stand_in, stand_in_command};
pub(crate) use engine::{EngineShape, EngineSnapshot, EngineStandIn, LabDialect};
pub(crate) use engine_stream::{answer_text, token_text};
pub(crate) use fault::FaultSettings;
pub(crate) use host_list::HostListStandIn;
pub(crate) use plain::{PlainAnswer, PlainCall};
pub(crate) use stand_in::{ANY_PORT, StandIn, StandInKind};
pub(crate) use weights::{PublishRequest, PublishedManifest, WeightsCounts, WeightsStandIn};

use crate::transport::json_response;

/// Frames that a streamed body buffers before its sender has to wait.
const FRAMES_BUFFERED_MAX: usize = 8;

/// One frame of a body, or the error that closes the connection before the body is complete.
type FrameResult = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

/// Returns a streamed body and the sender of its frames. Sending an error closes the connection
/// before the body is complete.
fn body_channel() -> (mpsc::Sender<FrameResult>, Body) {
    let (sender, receiver) = mpsc::channel(FRAMES_BUFFERED_MAX);
    (sender, Body::from_stream(ReceiverStream::new(receiver)))
}

/// Formats `event` as one server-sent event.
fn event_text<T: Serialize>(event: &T) -> String {
    let text = serde_json::to_string(event).unwrap_or_default();
    format!("data: {text}\n\n")
}

/// Returns a response whose `body` is a stream of server-sent events.
fn event_reply(body: Body) -> Response {
    let mut reply = Response::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    reply
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    reply
}

#[derive(Serialize)]
struct EmptyBody {}

/// Returns a 200 response with the body `{}`.
fn empty_reply() -> Response {
    json_response(StatusCode::OK, &EmptyBody {})
}
