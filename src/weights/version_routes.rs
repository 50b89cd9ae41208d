//! HTTP routes for the engine on this host, which reads complete versions.

use bytes::Bytes;
use http_body::Frame;
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get};

use super::digest::WeightsDigest;
use super::staged_version::VersionCache;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::error_response;

/// The engine's routes, under `/engine/weights/`.
pub(crate) fn engine_routes(versions: VersionCache) -> Router {
    let all_bytes = move |PathParams(digest): PathParams<String>| {
        let reply = version_reply(&versions, &digest);
        async move { reply }
    };
    Router::new().route("/engine/weights/{digest}", get(all_bytes))
}

fn version_reply(versions: &VersionCache, digest: &str) -> Response {
    match find_version(versions, digest) {
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

fn find_version(versions: &VersionCache, digest: &str) -> SwitchResult<Vec<Bytes>> {
    let digest = read_digest(digest)?;
    let all_bytes = versions
        .find(digest)
        .and_then(|version| version.all_bytes());
    all_bytes.ok_or_else(|| {
        SwitchError::new(
            ErrorKind::WeightsNotReady,
            format!("version {digest} is not complete on this host"),
        )
    })
}

/// Parses the digest in a path.
pub(super) fn read_digest(text: &str) -> SwitchResult<WeightsDigest> {
    text.parse().map_err(|error| {
        SwitchError::new(
            ErrorKind::BadRequest,
            format!("\"{text}\" is not a digest: {error}"),
        )
    })
}
