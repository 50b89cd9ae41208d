//! HTTP server that runs until the graceful stop of its process, and readers of request bodies.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::error::Elapsed;
use volo_http::body::Body;
use volo_http::server::route::Router;

use super::accept::accept_paced;
use super::connections::OpenConnections;
use super::frames::decode_message;
use super::served_stream::{ServedStream, WriteTracking};
use super::stall_tolerant_timeout::stall_tolerant_timeout;
use crate::daemon::{DrainState, events, metrics_routes};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;

/// How long open connections still carry requests after the graceful stop, for peers that have not
/// noticed it.
const LATE_SPAN: Duration = Duration::from_secs(2);
/// How long after that connections may take to close.
const CLOSE_SPAN: Duration = Duration::from_secs(28);

/// A bound listener with its routes.
pub(crate) struct HttpServer {
    listener: TcpListener,
    router: Router,
    tracking: WriteTracking,
    late_span: Duration,
    close_span: Duration,
}

impl HttpServer {
    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when the address cannot be bound.
    pub(crate) async fn bind(address: SocketAddr, router: Router) -> SwitchResult<Self> {
        let listener = bind_listener(address).await?;
        Ok(Self::on(listener, router))
    }

    /// Uses a listener that is bound already, for a process whose routes depend on its address
    /// because it announces the address to others.
    pub(crate) const fn on(listener: TcpListener, router: Router) -> Self {
        Self {
            listener,
            router,
            tracking: WriteTracking::Untracked,
            late_span: LATE_SPAN,
            close_span: CLOSE_SPAN,
        }
    }

    /// Lets the graceful stop wait for responses that are not written, and the server end within
    /// `close_span` after the stop.
    pub(crate) fn tracking_writes(self, close_span: Duration) -> Self {
        Self {
            tracking: WriteTracking::Tracked,
            late_span: Duration::ZERO,
            close_span,
            ..self
        }
    }

    /// Address of the listener, with the actual port.
    pub(crate) fn local_address(&self) -> SwitchResult<SocketAddr> {
        self.listener
            .local_addr()
            .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))
    }

    /// Serves until the graceful stop of `drain` is over and the connections are closed.
    ///
    /// The library's own server would close open connections within 30 s of a signal. That would
    /// cut streams of several minutes, so that callers get a truncated response at each planned
    /// stop. It also owns the sockets, so that nobody learns when a response is written.
    pub(crate) async fn run(self, drain: DrainState) {
        keep_on_hangup();
        let connections = OpenConnections::new(self.router);
        let accepting = async {
            loop {
                let (stream, peer) = accept_paced(&self.listener).await;
                let stream = ServedStream::new(stream, drain.clone(), self.tracking);
                connections.add(stream, peer);
            }
        };
        tokio::select! {
            () = drain.handle_signals() => {}
            () = stop_once_begun(&drain) => {}
            () = accepting => {}
        }
        drop(self.listener);
        connections.close(self.late_span, self.close_span).await;
    }
}

async fn stop_once_begun(drain: &DrainState) {
    drain.wait_begun().await;
    drain.drain_and_wait().await;
}

/// Installs a handler for SIGHUP, which a platform sends after changing a settings file. Without
/// one, the signal ends the process.
fn keep_on_hangup() {
    if let Err(error) = signal(SignalKind::hangup()) {
        log_event!(events::SIGNAL_HANDLER_FAILED, "SIGHUP: {error}");
    }
}

/// Starts a metrics server at `address`, if one is given. It runs until the process stops.
///
/// # Errors
///
/// `SettingInvalid` when the address cannot be bound.
pub(crate) async fn start_metrics(
    address: Option<SocketAddr>,
    drain: DrainState,
) -> SwitchResult<()> {
    if let Some(address) = address {
        let server = HttpServer::bind(address, metrics_routes()).await?;
        tokio::spawn(server.run(drain));
    }
    Ok(())
}

/// Binds `address`; port 0 selects a free port.
///
/// # Errors
///
/// `SettingInvalid` when the address cannot be bound.
pub(crate) async fn bind_listener(address: SocketAddr) -> SwitchResult<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        let detail = format!("cannot listen on {address}: {error}; give a free address");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    })
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// `BodyTooLarge` over the limit, `AnswerCut` when the connection broke.
pub(crate) async fn read_body(body: Body, limit: usize) -> SwitchResult<Bytes> {
    collect(body, limit, None).await
}

/// Reads a complete body of at most `limit` bytes, however long it takes, as long as no pause
/// between two parts exceeds `idle_timeout`.
///
/// A body that is abandoned and requested again is transferred twice. With a limit on the total
/// time, a saturated link carried nothing but such repeated transfers and no large body ever
/// arrived.
///
/// # Errors
///
/// `BodyTooLarge` over the limit, `AnswerCut` when the connection broke, `PeerSilent` after a pause
/// longer than `idle_timeout`.
pub(crate) async fn read_body_with_idle_timeout(
    body: Body,
    limit: usize,
    idle_timeout: Duration,
) -> SwitchResult<Bytes> {
    collect(body, limit, Some(idle_timeout)).await
}

/// Reads a body into one piece of memory. Each part would otherwise keep the buffer into which it
/// was read, up to thousands of times its own size.
async fn collect(body: Body, limit: usize, idle_timeout: Option<Duration>) -> SwitchResult<Bytes> {
    let mut body = pin!(body);
    let mut received = BytesMut::new();
    loop {
        let Ok(frame) = next_frame(body.frame(), idle_timeout).await else {
            let span = idle_timeout.unwrap_or_default();
            let read = received.len();
            let detail = format!("no more bytes within {span:?} after the first {read} bytes");
            return Err(SwitchError::new(ErrorKind::PeerSilent, detail));
        };
        match frame {
            None => return Ok(received.freeze()),
            Some(Err(error)) => {
                return Err(SwitchError::new(ErrorKind::AnswerCut, error.to_string()));
            }
            Some(Ok(frame)) => {
                if let Some(part) = frame.data_ref() {
                    if received.len() + part.len() > limit {
                        let detail = format!("body exceeds the limit of {limit} bytes");
                        return Err(SwitchError::new(ErrorKind::BodyTooLarge, detail));
                    }
                    received.extend_from_slice(part);
                }
            }
        }
    }
}

async fn next_frame<F: Future>(
    frame: F,
    idle_timeout: Option<Duration>,
) -> Result<F::Output, Elapsed> {
    match idle_timeout {
        Some(span) => stall_tolerant_timeout(span, frame).await,
        None => Ok(frame.await),
    }
}

/// Reads and decodes a message of another savoryswitch process.
pub(crate) async fn read_message<M: DeserializeOwned>(body: Body, limit: usize) -> SwitchResult<M> {
    decode_message(&read_body(body, limit).await?)
}
