//! HTTP server that runs until the graceful stop of its process, and readers of request bodies.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use http::Extensions;
use http_body::Body as _;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::error::Elapsed;
use tokio::time::{MissedTickBehavior, interval};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::server::route::Router;

use super::accept::accept_paced;
use super::connections::OpenConnections;
use super::frames::decode_message;
use super::served_stream::{ServedStream, WriteTracking};
use super::stall_tolerant_timeout::stall_tolerant_timeout;
use crate::capacity::{
    BodyBuffer, ConnectionLease, ListenerRole, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES,
    SharedAccount,
};
use crate::daemon::{DrainState, events, metrics_routes};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::time::clock_now;

/// How long open connections still carry requests after the graceful stop, for peers that have not
/// noticed it.
const LATE_SPAN: Duration = Duration::from_secs(2);
/// How long after that connections may take to close.
const CLOSE_SPAN: Duration = Duration::from_secs(28);
/// How often overdue connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A bound listener with its routes.
pub(crate) struct HttpServer {
    listener: TcpListener,
    router: Router,
    tracking: WriteTracking,
    late_span: Duration,
    close_span: Duration,
    account: SharedAccount,
    role: ListenerRole,
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
    pub(crate) fn on(listener: TcpListener, router: Router) -> Self {
        Self {
            listener,
            router,
            tracking: WriteTracking::Untracked,
            late_span: LATE_SPAN,
            close_span: CLOSE_SPAN,
            account: SharedAccount::default(),
            role: ListenerRole::Peers,
        }
    }

    /// Charges what the server holds to `account`, as a listener of `role`.
    pub(crate) fn charged_to(self, account: &SharedAccount, role: ListenerRole) -> Self {
        Self {
            account: account.clone(),
            role,
            ..self
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
        limit_socket_buffers(&self.listener);
        let connections = OpenConnections::new(self.router);
        let accepting = async {
            loop {
                let (stream, peer) = accept_paced(&self.listener).await;
                // A connection for which there is no room is closed.
                let opened = self
                    .account
                    .open_connection(self.role, peer.ip(), clock_now());
                if let Some(lease) = opened {
                    let stream = ServedStream::new(stream, drain.clone(), self.tracking, lease);
                    connections.add(stream, peer, self.account.field_bytes(self.role));
                }
            }
        };
        let sweeping = async {
            let mut ticks = interval(SWEEP_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                self.account.sweep(self.role, clock_now());
            }
        };
        tokio::select! {
            () = drain.handle_signals() => {}
            () = stop_once_begun(&drain) => {}
            () = accepting => {}
            () = sweeping => {}
        }
        drop(self.listener);
        connections.close(self.late_span, self.close_span).await;
    }
}

async fn stop_once_begun(drain: &DrainState) {
    drain.wait_begun().await;
    drain.drain_and_wait().await;
}

/// Limits the kernel's buffers of the connections that `listener` accepts.
fn limit_socket_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let set = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(error) = set {
        log_event!(events::SOCKET_OPTION_FAILED, "{error}");
    }
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
    account: &SharedAccount,
    drain: DrainState,
) -> SwitchResult<()> {
    if let Some(address) = address {
        let server = HttpServer::bind(address, metrics_routes()).await?;
        let server = server.charged_to(account, ListenerRole::Metrics);
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

/// Reads a complete response body of at most `limit` bytes.
///
/// # Errors
///
/// `BodyTooLarge` over the limit, `AnswerCut` when the connection broke.
pub(crate) async fn read_body(body: Body, limit: usize) -> SwitchResult<Bytes> {
    collect(body, BodyBuffer::uncharged(limit), None).await
}

/// Reads a complete response body of at most `limit` bytes, however long it takes, as long as no
/// pause between two parts exceeds `idle_timeout`.
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
    collect(body, BodyBuffer::uncharged(limit), Some(idle_timeout)).await
}

/// Reads the complete body of a request with `extensions`, of at most `limit` bytes. It is charged
/// to `account`, or to the client's address.
///
/// # Errors
///
/// `BodyTooLarge` over the limit, `MemoryShort` if there is no room for it, `AnswerCut` when the
/// connection broke.
pub(crate) async fn read_request_body(
    extensions: &Extensions,
    body: Body,
    limit: usize,
    account: Option<&ByteString>,
) -> SwitchResult<Bytes> {
    let buffer = match extensions.get::<ConnectionLease>() {
        Some(lease) => BodyBuffer::charged(lease.clone(), account, limit, clock_now()),
        None => BodyBuffer::uncharged(limit),
    };
    collect(body, buffer, None).await
}

async fn collect(
    body: Body,
    mut buffer: BodyBuffer,
    idle_timeout: Option<Duration>,
) -> SwitchResult<Bytes> {
    if let Some(length) = body.size_hint().exact() {
        buffer.expect_length(length, clock_now())?;
    }
    let mut body = pin!(body);
    loop {
        let next = tokio::select! {
            biased;
            next = next_frame(body.frame(), idle_timeout) => next,
            () = buffer.wait_revoked() => return Err(BodyBuffer::revoked()),
        };
        let Ok(frame) = next else {
            let span = idle_timeout.unwrap_or_default();
            let read = buffer.len();
            let detail = format!("no more bytes within {span:?} after the first {read} bytes");
            return Err(SwitchError::new(ErrorKind::PeerSilent, detail));
        };
        match frame {
            None => return buffer.finish(clock_now()),
            Some(Err(error)) => {
                return Err(SwitchError::new(ErrorKind::AnswerCut, error.to_string()));
            }
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    buffer.push(bytes, clock_now())?;
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

/// Reads and decodes a response of another savoryswitch process.
pub(crate) async fn read_message<M: DeserializeOwned>(body: Body, limit: usize) -> SwitchResult<M> {
    decode_message(&read_body(body, limit).await?)
}

/// Reads and decodes the body of a request of another savoryswitch process.
pub(crate) async fn read_request_message<M: DeserializeOwned>(
    request: Request,
    limit: usize,
) -> SwitchResult<M> {
    let (parts, body) = request.into_parts();
    decode_message(&read_request_body(&parts.extensions, body, limit, None).await?)
}
