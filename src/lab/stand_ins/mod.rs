//! Stand-ins for what the platform and the backend servers offer: small, honest, and nasty on
//! demand by `POST /lab/fault`. Each runs inside the lab's process or as a process of its own.

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

use crate::transport::json_reply;

const FRAMES_WAITING: usize = 8;

/// One frame of a body, or the fault that cuts the connection.
type FrameResult = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

/// A body fed by the sender; an error sent through it cuts the connection.
fn body_channel() -> (mpsc::Sender<FrameResult>, Body) {
    let (sender, receiver) = mpsc::channel(FRAMES_WAITING);
    (sender, Body::from_stream(ReceiverStream::new(receiver)))
}

/// One server-sent event.
fn event_text<T: Serialize>(event: &T) -> String {
    let text = serde_json::to_string(event).unwrap_or_default();
    format!("data: {text}\n\n")
}

/// A reply of server-sent events.
fn event_reply(body: Body) -> Response {
    let mut reply = Response::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    reply
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    reply
}

#[derive(Serialize)]
struct Done {}

/// The reply `{}`.
fn done() -> Response {
    json_reply(StatusCode::OK, &Done {})
}
