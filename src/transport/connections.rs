//! The open connections of a server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use motore::service::Service;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::route::Router;

use super::charged_response::ChargedResponse;
use super::response::error_response;
use super::served_stream::ServedStream;
use crate::capacity::ConnectionLease;
use crate::daemon::events;
use crate::errors::{ErrorKind, SwitchError};
use crate::events::log_event;
use crate::metrics;
use crate::time::clock_now;

/// Bytes of header fields for each field that is accepted. The HTTP library reserves memory for the
/// largest number of fields whenever it reads a head, so that a larger number costs every request.
const BYTES_PER_FIELD: usize = 64;
/// Bytes of a head beside its header fields. It is also the smallest read buffer that the HTTP
/// library allows.
const REQUEST_LINE_BYTES: usize = 8 * 1024;

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

    /// Serves the requests of one more connection, with header fields of up to `field_bytes`.
    pub(super) fn add(&self, stream: ServedStream, peer: SocketAddr, field_bytes: usize) {
        let service = RequestService {
            router: self.router.clone(),
            peer,
            lease: stream.lease().clone(),
        };
        tokio::spawn(serve(
            stream,
            service,
            field_bytes,
            self.closing.subscribe(),
        ));
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

/// Answers the requests of one connection.
#[derive(Clone)]
struct RequestService {
    router: Arc<Router>,
    peer: SocketAddr,
    lease: ConnectionLease,
}

impl RequestService {
    async fn call(self, request: Request<Incoming>) -> Result<Response, Infallible> {
        let fields = request.headers().capacity();
        let has_body = !request.body().is_end_stream();
        let Some(charge) = self.lease.begin_request(fields, has_body, clock_now()) else {
            metrics::count_refusal(ErrorKind::MemoryShort, "listener");
            let detail = "no memory for another request";
            let error = SwitchError::new(ErrorKind::MemoryShort, detail);
            return Ok(error_response(&error));
        };
        let mut request = request.map(Body::from_incoming);
        request.extensions_mut().insert(self.lease);
        let mut context = ServerContext::new(Address::from(self.peer));
        let response = self.router.call(&mut context, request).await?;
        Ok(response.map(|body| Body::from_body(ChargedResponse::new(body, charge))))
    }
}

/// Serves one connection until it is closed.
async fn serve(
    stream: ServedStream,
    service: RequestService,
    field_bytes: usize,
    mut closing: watch::Receiver<bool>,
) {
    let (lease, peer) = (service.lease.clone(), service.peer);
    let service = service_fn(move |request| service.clone().call(request));
    let mut builder = Builder::new();
    let head_bytes = field_bytes + REQUEST_LINE_BYTES;
    builder
        .max_headers(field_bytes / BYTES_PER_FIELD)
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes)
        .half_close(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let served = tokio::select! {
        biased;
        served = connection.as_mut() => Some(served),
        () = lease.wait_close() => return,
        () = wait_closing(&mut closing) => None,
    };
    let served = if let Some(served) = served {
        served
    } else {
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            served = connection => served,
            () = lease.wait_close() => return,
        }
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
