//! A connection to a backend server. It carries one request at a time and is closed as soon as the
//! request is abandoned, so that the backend server stops working on it.

use std::error::Error;
use std::iter::successors;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::backend_stream::{BackendStream, HeadLimit};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::ClockTime;
use crate::transport::stall_tolerant_timeout;

/// Why a request got no response head.
#[derive(Debug)]
pub(super) enum SendFault {
    /// The backend server received nothing of the request.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

/// An HTTP/1.1 connection to a backend server.
#[derive(Debug)]
pub(super) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    head_limit: HeadLimit,
    /// Until when an idle connection may be reused; the backend server closes it later. Set when
    /// the connection is returned to the pool.
    pub(super) idle_until: ClockTime,
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `ConnectFailed` if the connection is not established within `timeout`.
    pub(super) async fn open(address: SocketAddr, timeout: Duration) -> SwitchResult<Self> {
        let failed = |detail: String| {
            let detail = format!("{address}: {detail}");
            SwitchError::new(ErrorKind::ConnectFailed, detail)
        };
        let connecting = TcpStream::connect(address);
        let stream = match stall_tolerant_timeout(timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) => return Err(failed(fault.to_string())),
            Err(_) => return Err(failed(format!("not open within {timeout:?}"))),
        };
        let set = stream.set_nodelay(true);
        set.map_err(|fault| failed(fault.to_string()))?;
        // An abandoned request must not arrive later. While its host is paused or its link is full,
        // the request waits in transit, and an orderly close would wait after it. The backend
        // server would then receive requests whose clients have long left. A reset discards the
        // waiting bytes.
        let set = stream.set_zero_linger();
        set.map_err(|fault| failed(fault.to_string()))?;
        let head_limit = HeadLimit::default();
        let stream = BackendStream::new(stream, head_limit.clone());
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|fault| failed(fault.to_string()))?;
        // The request on the connection reports how the connection ended.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            head_limit,
            idle_until: ClockTime(0),
        })
    }

    /// Returns whether the connection can carry another request: it is open and has received no
    /// unexpected bytes.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and returns the response head; the body follows. A head that is too long
    /// breaks the connection.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        self.head_limit.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.end();
                Ok(response)
            }
            Err(mut fault) => {
                let detail = error_chain(fault.error());
                // hyper hands back a request that it has not begun to write.
                if fault.take_message().is_some() {
                    Err(SendFault::NotSent(detail))
                } else {
                    Err(SendFault::Unknown(detail))
                }
            }
        }
    }
}

/// Returns the text of `error` and of its sources: the HTTP library tells only the kind of failure in
/// its own text.
fn error_chain(error: &dyn Error) -> String {
    let sources = successors(error.source(), |&source| source.source());
    sources.fold(error.to_string(), |text, source| {
        format!("{text}: {source}")
    })
}

impl Drop for BackendConnection {
    /// Closes the socket at once instead of after the rest of the response. A backend server works
    /// on a request as long as the connection is open.
    fn drop(&mut self) {
        self.driver.abort();
    }
}
