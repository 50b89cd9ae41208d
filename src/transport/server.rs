//! Serving HTTP until a graceful stop.

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

/// One listener with its routes.
pub(crate) struct HttpServer {
    listener: TcpListener,
    router: Router,
}

impl HttpServer {
    /// Binds `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when the address cannot be had.
    pub(crate) async fn bind(address: SocketAddr, router: Router) -> SwitchResult<Self> {
        let listener = bind_listener(address).await?;
        Ok(Self::on(listener, router))
    }

    /// Serves `router` on a listener that was bound before, by a process that tells its address to
    /// others and so has to know it before its routes are made.
    pub(crate) const fn on(listener: TcpListener, router: Router) -> Self {
        Self { listener, router }
    }

    /// The address that it listens on.
    pub(crate) fn local_address(&self) -> SwitchResult<SocketAddr> {
        self.listener
            .local_addr()
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
    }

    /// Serves until the process is told to stop and `drain` says that nothing is under way.
    ///
    /// The library gives open connections at most 28 s after its shutdown hooks. A stream of
    /// several minutes would be cut, and its caller would see a broken answer at each planned
    /// stop. The hook therefore waits for the process's own count of requests under way.
    ///
    /// The library also calls its hooks after SIGHUP, with which a platform tells that a settings
    /// file has changed: processes would end one after the other. It goes on accepting until the
    /// hook returns, so the hook waits for a stop that this process itself has begun.
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
            // First, so that the library listens for signals before it is looked whether one came.
            biased;
            outcome = serving => {
                if let Err(fault) = outcome {
                    log_event!(events::SERVER_FAILED, "{fault}");
                }
            }
            () = drain.handle_signals() => {}
        }
    }
}

/// Serves counters and histograms at `address`, if there is one, until the process stops.
///
/// # Errors
///
/// `SettingInvalid` when the address cannot be had.
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

/// Binds `address`; port 0 takes a free one.
///
/// # Errors
///
/// `SettingInvalid` when the address cannot be had.
pub(crate) async fn bind_listener(address: SocketAddr) -> SwitchResult<TcpListener> {
    TcpListener::bind(address).await.map_err(|fault| {
        let detail = format!("cannot listen on {address}: {fault}; give a free address");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    })
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// `BodyTooLarge` over the limit, `AnswerCut` when the sender broke off.
pub(crate) async fn read_body(body: Body, limit: usize) -> SwitchResult<Bytes> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(fault) if fault.downcast_ref::<LengthLimitError>().is_some() => {
            let detail = format!("the body is over the limit of {limit} bytes");
            Err(SwitchError::new(ErrorKind::BodyTooLarge, detail))
        }
        Err(fault) => Err(SwitchError::new(ErrorKind::AnswerCut, fault.to_string())),
    }
}

/// Reads a whole body of at most `limit` bytes for as long as bytes of it arrive, with no pause over `idle`.
///
/// A body that is given up and asked for anew takes its way twice. Over a link that was full, no large one
/// ever arrived, though the link carried nothing else.
///
/// # Errors
///
/// `BodyTooLarge` over the limit, `AnswerCut` when the sender broke off, `PeerSilent` behind a pause.
pub(crate) async fn read_body_with_idle_timeout(
    body: Body,
    limit: usize,
    idle: Duration,
) -> SwitchResult<Bytes> {
    let mut body = pin!(body);
    let mut read = BytesMut::new();
    loop {
        let Ok(frame) = stall_tolerant_timeout(idle, body.frame()).await else {
            let detail = format!("no more bytes within {idle:?}, after {}", read.len());
            return Err(SwitchError::new(ErrorKind::PeerSilent, detail));
        };
        match frame {
            None => return Ok(read.freeze()),
            Some(Err(fault)) => {
                return Err(SwitchError::new(ErrorKind::AnswerCut, fault.to_string()));
            }
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    read.extend_from_slice(&bytes);
                }
            }
        }
        if read.len() > limit {
            let detail = format!("the body is over the limit of {limit} bytes");
            return Err(SwitchError::new(ErrorKind::BodyTooLarge, detail));
        }
    }
}

/// Reads a message from one of our own processes.
pub(crate) async fn read_message<M: DeserializeOwned>(body: Body, limit: usize) -> SwitchResult<M> {
    decode_message(&read_body(body, limit).await?)
}
