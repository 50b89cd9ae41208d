//! What is asked of this host's weights: the whole by its own engine, chunks and maps by peers.

use bytes::Bytes;
use http_body::Frame;
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get};

use super::digest::WeightsDigest;
use super::staged_version::VersionShelf;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::error_response;

/// The engine's routes, under `/engine/weights/`.
pub(crate) fn engine_routes(shelf: VersionShelf) -> Router {
    let whole = move |PathParams(digest): PathParams<String>| {
        let reply = whole_reply(&shelf, &digest);
        async move { reply }
    };
    Router::new().route("/engine/weights/{digest}", get(whole))
}

fn whole_reply(shelf: &VersionShelf, digest: &str) -> Response {
    match find_whole(shelf, digest) {
        Ok(chunks) => {
            let frames = chunks.into_iter().map(|bytes| Ok(Frame::data(bytes)));
            Response::new(Body::from_stream(futures::stream::iter(frames)))
        }
        Err(error) => {
            metrics::count_refusal(error.kind, "weights");
            error_response(&error)
        }
    }
}

fn find_whole(shelf: &VersionShelf, digest: &str) -> SwitchResult<Vec<Bytes>> {
    let digest = read_digest(digest)?;
    let whole = shelf.find(digest).and_then(|version| version.whole());
    whole.ok_or_else(|| {
        SwitchError::new(
            ErrorKind::WeightsNotReady,
            format!("{digest} is not whole here"),
        )
    })
}

/// The digest in a path.
pub(super) fn read_digest(text: &str) -> SwitchResult<WeightsDigest> {
    text.parse().map_err(|fault| {
        SwitchError::new(
            ErrorKind::BadRequest,
            format!("\"{text}\" is no digest: {fault}"),
        )
    })
}
