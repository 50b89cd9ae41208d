//! A fake origin of weights for the lab and for tests in other folders, and the server that the
//! other fakes share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::daemon::DrainState;
use crate::transport::{HttpServer, bind_listener, json_response};

/// The number of chunks of a version.
pub(super) const CHUNKS: u32 = 6;
/// The number of layers of the model.
pub(super) const LAYERS: u32 = 4;

/// A fake origin of weights; clones share its state.
#[derive(Clone)]
pub(crate) struct FakeOrigin {
    /// The address on which it serves.
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<OriginState>>,
}

struct OriginState {
    chunks_served: usize,
    /// The number of chunks that it serves before it refuses further ones.
    chunks_max: usize,
    /// Whether it refuses digests.
    refuses_digests: bool,
}

impl FakeOrigin {
    /// Starts an origin that serves every version of the model `m`.
    pub(crate) async fn start() -> Self {
        let state = Arc::new(Mutex::new(OriginState {
            chunks_served: 0,
            chunks_max: usize::MAX,
            refuses_digests: false,
        }));
        let served_state = state.clone();
        let address = serve_calls(move |request| {
            let response = respond(&mut lock(&served_state), &request);
            async move { response }
        });
        Self {
            address: address.await,
            state,
        }
    }

    /// The number of chunks that it has served.
    pub(crate) fn chunks_served(&self) -> usize {
        lock(&self.state).chunks_served
    }

    /// Makes it refuse chunks once it has served `chunks` in total.
    pub(crate) fn limit_chunks(&self, chunks: usize) {
        lock(&self.state).chunks_max = chunks;
    }
}

/// Methods for tests only.
#[cfg(test)]
impl FakeOrigin {
    /// Makes it refuse digests.
    pub(crate) fn refuse_digests(&self) {
        lock(&self.state).refuses_digests = true;
    }

    /// A document with this origin and a service `s` whose engines have the model `m`.
    pub(crate) fn document(&self) -> String {
        let address = self.address;
        let engine = json!({ "models": [{ "name": "m" }], "layers": LAYERS });
        json!({ "version": 1, "services": [
            { "name": "s", "engine": engine },
            { "name": "o", "origin": address.to_string() },
        ] })
        .to_string()
    }
}

fn lock(state: &Mutex<OriginState>) -> MutexGuard<'_, OriginState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn respond(state: &mut OriginState, request: &Request) -> Response {
    let version = query_number(request, "version").expect("the query has a version");
    let (path, index) = path_and_index(request);
    match (path.as_str(), index) {
        ("/v1/manifest/m", _) if state.refuses_digests => {
            json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}))
        }
        ("/v1/manifest/m", _) => json_response(StatusCode::OK, &digests_text(version)),
        ("/v1/piece/m", Some(_)) if state.chunks_served >= state.chunks_max => {
            json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}))
        }
        ("/v1/piece/m", Some(index)) => {
            state.chunks_served += 1;
            Response::new(Body::from(chunk_bytes(version, index)))
        }
        _ => json_response(StatusCode::NOT_FOUND, &json!({})),
    }
}

fn digests_text(version: u64) -> Value {
    let digest = |index| {
        let digest = Sha256::digest(chunk_bytes(version, index));
        let bytes = digest.iter().map(|byte| format!("{byte:02x}"));
        bytes.collect::<String>()
    };
    let digests: Vec<String> = (0..CHUNKS).map(digest).collect();
    json!({ "model": "m", "version": version, "digests": digests })
}

/// The bytes of chunk `index` of `version`.
pub(super) fn chunk_bytes(version: u64, index: u32) -> Bytes {
    format!("chunk {index} of version {version}").into()
}

/// The path of a call, and the index of the chunk in its query.
pub(super) fn path_and_index(request: &Request) -> (String, Option<u32>) {
    let index = query_number(request, "item_count");
    let index = index.and_then(|index| u32::try_from(index).ok());
    (request.uri().path().to_owned(), index)
}

fn query_number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| *field == name)?;
    value.parse().ok()
}

/// Serves calls on a free loopback port until the process ends; returns the address.
pub(super) async fn serve_calls<F>(
    respond: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = Response> + Send + 'static,
{
    let listener = bind_listener(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    serve_calls_on(listener, respond);
    address
}

/// Serves calls on `listener` until the process ends.
pub(super) fn serve_calls_on<F>(
    listener: TcpListener,
    respond: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response> + Send + 'static,
{
    let router = Router::new().fallback(move |request: Request| respond(request));
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    tokio::spawn(HttpServer::on(listener, router).run(drain));
}
