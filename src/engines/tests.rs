//! Tests of the dialects against minimal servers that respond as `docs/ENGINES.md` specifies.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::task::JoinHandle;
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::Server;
use volo_http::server::route::{Router, get, post};

use super::{EngineAdapter, EngineCall, EnginePart, JsonStateAdapter, MetricsTextAdapter};
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, RunOutcome};
use crate::transport::{ClientLimits, PeerClient};
use crate::weights::WeightsDigest;

/// A server on a free port, which stops when dropped.
struct TestServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl TestServer {
    fn start(router: Router) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        listener.set_nonblocking(true).expect("non-blocking mode");
        let listener = tokio::net::TcpListener::from_std(listener).expect("a running runtime");
        let incoming = volo::net::incoming::DefaultIncoming::from(listener);
        let task = tokio::spawn(async move {
            let _ = Server::new(router).run(incoming).await;
        });
        Self { address, task }
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn client() -> Arc<PeerClient> {
    Arc::new(PeerClient::new(ClientLimits::default()))
}

/// Returns a response with these server-sent events.
fn event_response(lines: &str) -> Response {
    let mut response = Response::new(Body::from(lines.to_owned()));
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn call() -> EngineCall {
    EngineCall {
        request: "r1".into(),
        prompt: "sky".into(),
        max_tokens: 2,
        resume_from: 0,
        priority: RequestPriority::Urgent,
    }
}

async fn parts_of(engine: &dyn EngineAdapter) -> Vec<EnginePart> {
    let stream = engine.generate(call()).await.expect("the request starts");
    let parts: Vec<_> = stream.collect().await;
    parts
        .into_iter()
        .map(|part| part.expect("a valid part"))
        .collect()
}

fn expected_parts() -> Vec<EnginePart> {
    vec![
        EnginePart::Token {
            request: "r1".into(),
            index: 0,
            text: "dark".into(),
        },
        EnginePart::Finish {
            request: "r1".into(),
            tokens: 1,
            reason: "stop".into(),
        },
    ]
}

#[tokio::test]
async fn metrics_text_state_and_answer_are_parsed() {
    let digest = WeightsDigest::of(b"weights");
    let metrics = format!(
        "# HELP engine_requests_running x\nengine_requests_running 3\n\
         engine_requests_waiting 2\nengine_max_running 8\nengine_load_fence 7\n\
         engine_report_age_ms 1500\nengine_weights_info{{version=\"v1\",digest=\"{digest}\"}} 1\n"
    );
    let stream = "data: {\"request_id\":\"r1\",\"index\":0,\"text\":\"dark\"}\n\n\
                  data: {\"request_id\":\"r1\",\"finish_reason\":\"stop\",\"tokens\":1}\n\n\
                  data: [DONE]\n\n";
    let router = Router::new()
        .route("/metrics", get(async move || metrics.clone()))
        .route(
            "/v1/completions",
            post(async move || event_response(stream)),
        );
    let server = TestServer::start(router);
    let engine = MetricsTextAdapter::new(server.address, client(), "sky-writer".into());
    let state = engine.read_state().await.expect("a valid state");
    assert_eq!((state.load.running, state.load.waiting), (3, 2));
    assert_eq!((state.fence, state.age_ms), (7, 1500));
    assert_eq!(state.serving.expect("a loaded version").digest, digest);
    assert_eq!(parts_of(&engine).await, expected_parts());
}

#[tokio::test]
async fn json_state_state_and_answer_are_parsed() {
    let state = "{\"engine\":\"json_state\",\"fencing\":false,\
                 \"slots\":{\"busy\":1,\"queued\":4,\"total\":6},\"model\":null,\"age_ms\":20}";
    let stream = "data: {\"id\":\"r1\",\"n\":0,\"t\":\"dark\"}\n\n\
                  data: {\"id\":\"r1\",\"done\":\"stop\",\"count\":1}\n\n";
    let router = Router::new()
        .route("/state", get(async move || state))
        .route("/generate", post(async move || event_response(stream)));
    let server = TestServer::start(router);
    let engine = JsonStateAdapter::new(server.address, client());
    let profile = engine.read_profile().await.expect("a valid profile");
    assert_eq!((profile.checks_fencing, profile.running_max), (false, 6));
    let state = engine.read_state().await.expect("a valid state");
    assert_eq!((state.load.waiting, state.serving), (4, None));
    assert_eq!(parts_of(&engine).await, expected_parts());
}

/// Guards against the outcome "not known" for a request that the engine never started: the refusal
/// of a full engine has a status of its own and must not count as a failure during the run.
#[tokio::test]
async fn a_full_engine_did_not_run_the_request() {
    let full = async || (StatusCode::SERVICE_UNAVAILABLE, "{\"error\":\"full\"}");
    let server = TestServer::start(Router::new().route("/v1/completions", post(full)));
    let engine = MetricsTextAdapter::new(server.address, client(), "sky-writer".into());
    let error = engine.generate(call()).await.err().expect("a refusal");
    assert_eq!(error.kind, ErrorKind::EngineRefused);
    assert_eq!(error.run_outcome(), RunOutcome::NotRun);
}

#[tokio::test]
async fn metrics_text_sets_roles_and_reads_cache_changes() {
    let changes = "{\"events\":[{\"prefix\":\"p1\",\"held\":true},\
                {\"prefix\":\"p2\",\"held\":false}],\"next\":9,\"gap\":true}";
    let stale = async || (StatusCode::CONFLICT, "{\"fence\":8}");
    let router = Router::new()
        .route("/control/role", post(stale))
        .route("/cache/events", get(async move || changes));
    let server = TestServer::start(router);
    let engine = MetricsTextAdapter::new(server.address, client(), "sky-writer".into());
    let error = engine
        .set_role("decode", 7)
        .await
        .expect_err("the engine has received 8");
    assert_eq!(error.kind, ErrorKind::OrderStale);
    check_cache(&engine).await;
}

#[tokio::test]
async fn json_state_sets_roles_and_reads_cache_changes() {
    let changes = "{\"added\":[\"p1\"],\"dropped\":[\"p2\"],\"cursor\":9,\"lost\":true}";
    let router = Router::new()
        .route("/role", post(async || "{}"))
        .route("/prefixes", get(async move || changes));
    let server = TestServer::start(router);
    let engine = JsonStateAdapter::new(server.address, client());
    engine
        .set_role("decode", 7)
        .await
        .expect("accepted, as the dialect has no fencing");
    check_cache(&engine).await;
}

async fn check_cache(engine: &dyn EngineAdapter) {
    let changes = engine.read_cache_changes(0).await.expect("valid changes");
    let mut events: Vec<_> = changes
        .events
        .iter()
        .map(|event| (&*event.prefix, event.is_cached))
        .collect();
    // The dialects list added and evicted prefixes in different orders.
    events.sort_unstable();
    assert_eq!(events, [("p1", true), ("p2", false)]);
    assert_eq!((changes.next_cursor, changes.has_gap), (9, true));
}
