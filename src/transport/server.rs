//! HTTP server that runs until the graceful stop of its process, and readers of request bodies.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use volo_http::body::Body;
use volo_http::server::Server;
use volo_http::server::route::Router;

use super::accept::PacedIncoming;
use super::frames::decode_message;
use super::stall_tolerant_timeout::stall_tolerant_timeout;
use crate::daemon::{DrainState, events, metrics_routes};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;

const HEADERS_MAX: usize = 64;

/// A bound listener with its routes.
pub(crate) struct HttpServer {
    listener: TcpListener,
    router: Router,
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
        Self { listener, router }
    }

    /// Address of the listener, with the actual port.
    pub(crate) fn local_address(&self) -> SwitchResult<SocketAddr> {
        self.listener
            .local_addr()
            .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))
    }

    /// Serves until the graceful stop of `drain` is over.
    ///
    /// After its shutdown hooks the library closes open connections within 28 s. That would cut
    /// streams of several minutes, so that callers get a truncated response at each planned stop.
    /// The hook therefore waits until no request is in flight.
    ///
    /// The library also runs its hooks on SIGHUP, which a platform sends after changing a settings
    /// file; processes would exit one after another. The library accepts connections until the hook
    /// returns, so the hook first waits until this process has begun its stop.
    pub(crate) async fn run(self, drain: DrainState) {
        let mut server = Server::new(self.router).http1_only();
        server
            .http1_config()
            .set_max_headers(HEADERS_MAX)
            .set_half_close(false);
        let hook_drain = drain.clone();
        let stop = async move {
            hook_drain.wait_begun().await;
            hook_drain.drain_and_wait().await;
        };
        let serving = server
            .register_shutdown_hook(move || Box::pin(stop))
            .run(PacedIncoming::new(self.listener, drain.clone()));
        tokio::select! {
            // Polls the server first: the library's signal handlers have to be installed before
            // `handle_signals` checks for an earlier signal.
            biased;
            outcome = serving => {
                if let Err(error) = outcome {
                    log_event!(events::SERVER_FAILED, "{error}");
                }
            }
            () = drain.handle_signals() => {}
        }
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
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let detail = format!("body exceeds the limit of {limit} bytes");
            Err(SwitchError::new(ErrorKind::BodyTooLarge, detail))
        }
        Err(error) => Err(SwitchError::new(ErrorKind::AnswerCut, error.to_string())),
    }
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
    let mut body = pin!(body);
    let mut received = BytesMut::new();
    loop {
        let Ok(frame) = stall_tolerant_timeout(idle_timeout, body.frame()).await else {
            let detail = format!(
                "no more bytes within {idle_timeout:?} after the first {} bytes",
                received.len()
            );
            return Err(SwitchError::new(ErrorKind::PeerSilent, detail));
        };
        match frame {
            None => return Ok(received.freeze()),
            Some(Err(error)) => {
                return Err(SwitchError::new(ErrorKind::AnswerCut, error.to_string()));
            }
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    received.extend_from_slice(&bytes);
                }
            }
        }
        if received.len() > limit {
            let detail = format!("body exceeds the limit of {limit} bytes");
            return Err(SwitchError::new(ErrorKind::BodyTooLarge, detail));
        }
    }
}

/// Reads and decodes a message of another savoryswitch process.
pub(crate) async fn read_message<M: DeserializeOwned>(body: Body, limit: usize) -> SwitchResult<M> {
    decode_message(&read_body(body, limit).await?)
}
