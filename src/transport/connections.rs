//! The open connections of a server.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use motore::service::Service;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::route::Router;

use super::served_stream::ServedStream;
use crate::daemon::events;
use crate::events::log_event;

const HEADERS_MAX: usize = 64;

/// The connections that a server has accepted. Each is served by a task of its own.
pub(super) struct OpenConnections {
    router: Arc<Router>,
    /// Whether the connections close. Each of them holds a receiver as long as it is open.
    closing: watch::Sender<bool>,
}

impl OpenConnections {
    pub(super) fn new(router: Router) -> Self {
        Self {
            router: Arc::new(router),
            closing: watch::Sender::new(false),
        }
    }

    /// Serves the requests of one more connection.
    pub(super) fn add(&self, stream: ServedStream, peer: SocketAddr) {
        let router = self.router.clone();
        tokio::spawn(serve(stream, peer, router, self.closing.subscribe()));
    }

    /// Closes the connections once their responses are written: idle ones after `late_span`, in
    /// which they may still carry requests, and all of them within `close_span` from then on.
    pub(super) async fn close(self, late_span: Duration, close_span: Duration) {
        if self.closing.receiver_count() > 0 {
            sleep(late_span).await;
        }
        self.closing.send_replace(true);
        // The process ends even if some remain; the graceful stop has reported requests in flight.
        let _ = timeout(close_span, self.closing.closed()).await;
    }
}

/// Serves one connection until it is closed.
async fn serve(
    stream: ServedStream,
    peer: SocketAddr,
    router: Arc<Router>,
    mut closing: watch::Receiver<bool>,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        async move {
            let mut context = ServerContext::new(Address::from(peer));
            let request = request.map(Body::from_incoming);
            router.call(&mut context, request).await
        }
    });
    let mut builder = Builder::new();
    builder.max_headers(HEADERS_MAX).half_close(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => Some(served),
        () = wait_closing(&mut closing) => None,
    };
    let served = if let Some(served) = served {
        served
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = served {
        log_event!(events::CONNECTION_FAILED, "{peer}: {error}");
    }
}

/// Waits until the connection is to close.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    // It also closes when the server is gone.
    let _ = closing.wait_for(|closing| *closing).await;
}
