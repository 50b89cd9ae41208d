//! The dialects against tiny servers that answer as `docs/ENGINES.md` says.

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

/// A server on a free port, ended when dropped.
struct TinyServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl TinyServer {
    fn start(router: Router) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        listener.set_nonblocking(true).expect("it can be set");
        let listener = tokio::net::TcpListener::from_std(listener).expect("a runtime runs");
        let incoming = volo::net::incoming::DefaultIncoming::from(listener);
        let task = tokio::spawn(async move {
            let _ = Server::new(router).run(incoming).await;
        });
        Self { address, task }
    }
}

impl Drop for TinyServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn client() -> Arc<PeerClient> {
    Arc::new(PeerClient::new(ClientLimits::default()))
}

fn events(lines: &str) -> Response {
    let mut answer = Response::new(Body::from(lines.to_owned()));
    let content_type = http::HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
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
    let stream = engine.generate(call()).await.expect("it starts");
    let parts: Vec<_> = stream.collect().await;
    parts
        .into_iter()
        .map(|part| part.expect("it reads"))
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
async fn metrics_text_is_read() {
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
        .route("/v1/completions", post(async move || events(stream)));
    let server = TinyServer::start(router);
    let engine = MetricsTextAdapter::new(server.address, client(), "sky-writer".into());
    let state = engine.read_state().await.expect("it reads");
    assert_eq!((state.load.running, state.load.waiting), (3, 2));
    assert_eq!((state.fence, state.age_ms), (7, 1500));
    assert_eq!(state.serving.expect("it serves").digest, digest);
    assert_eq!(parts_of(&engine).await, expected_parts());
}

#[tokio::test]
async fn json_state_is_read() {
    let state = "{\"engine\":\"json_state\",\"fencing\":false,\
                 \"slots\":{\"busy\":1,\"queued\":4,\"total\":6},\"model\":null,\"age_ms\":20}";
    let stream = "data: {\"id\":\"r1\",\"n\":0,\"t\":\"dark\"}\n\n\
                  data: {\"id\":\"r1\",\"done\":\"stop\",\"count\":1}\n\n";
    let router = Router::new()
        .route("/state", get(async move || state))
        .route("/generate", post(async move || events(stream)));
    let server = TinyServer::start(router);
    let engine = JsonStateAdapter::new(server.address, client());
    let profile = engine.read_profile().await.expect("it reads");
    assert_eq!((profile.checks_fencing, profile.running_max), (false, 6));
    let state = engine.read_state().await.expect("it reads");
    assert_eq!((state.load.waiting, state.serving), (4, None));
    assert_eq!(parts_of(&engine).await, expected_parts());
}

// Symptom: a request is told "not known" although the engine never began it. Events: the engine is
// full. Cause, if its answer were taken for a failure in mid-run: a refusal has a status of its own.
#[tokio::test]
async fn a_full_engine_did_not_run_the_request() {
    let full = async || (StatusCode::SERVICE_UNAVAILABLE, "{\"error\":\"full\"}");
    let server = TinyServer::start(Router::new().route("/v1/completions", post(full)));
    let engine = MetricsTextAdapter::new(server.address, client(), "sky-writer".into());
    let error = engine.generate(call()).await.err().expect("it is refused");
    assert_eq!(error.kind, ErrorKind::EngineRefused);
    assert_eq!(error.run_outcome(), RunOutcome::NotRun);
}

#[tokio::test]
async fn metrics_text_takes_roles_and_tells_of_its_cache() {
    let news = "{\"events\":[{\"prefix\":\"p1\",\"held\":true},\
                {\"prefix\":\"p2\",\"held\":false}],\"next\":9,\"gap\":true}";
    let stale = async || (StatusCode::CONFLICT, "{\"fence\":8}");
    let router = Router::new()
        .route("/control/role", post(stale))
        .route("/cache/events", get(async move || news));
    let server = TinyServer::start(router);
    let engine = MetricsTextAdapter::new(server.address, client(), "sky-writer".into());
    let error = engine.set_role("decode", 7).await.expect_err("8 was seen");
    assert_eq!(error.kind, ErrorKind::OrderStale);
    check_cache(&engine).await;
}

#[tokio::test]
async fn json_state_takes_roles_and_tells_of_its_cache() {
    let news = "{\"added\":[\"p1\"],\"dropped\":[\"p2\"],\"cursor\":9,\"lost\":true}";
    let router = Router::new()
        .route("/role", post(async || "{}"))
        .route("/prefixes", get(async move || news));
    let server = TinyServer::start(router);
    let engine = JsonStateAdapter::new(server.address, client());
    engine.set_role("decode", 7).await.expect("it takes any");
    check_cache(&engine).await;
}

async fn check_cache(engine: &dyn EngineAdapter) {
    let news = engine.read_cache_changes(0).await.expect("it reads");
    let mut events: Vec<_> = news
        .events
        .iter()
        .map(|event| (&*event.prefix, event.held))
        .collect();
    // The dialects tell what came and what went in different sequences.
    events.sort_unstable();
    assert_eq!(events, [("p1", true), ("p2", false)]);
    assert_eq!((news.next_cursor, news.has_gap), (9, true));
}
