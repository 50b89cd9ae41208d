//! One connection to a backend server. It carries one request at a time and is closed at once when
//! the request is given up, so that the backend server stops working on it.

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

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::ClockTime;
use crate::transport::stall_tolerant_timeout;

/// Why a request brought no answer's head.
#[derive(Debug)]
pub(super) enum SendFault {
    /// Nothing of it was handed to the backend server.
    NotSent(String),
    /// It may have run.
    Unknown(String),
}

/// A connection.
#[derive(Debug)]
pub(super) struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// When it was last put away, and until when the backend server keeps it.
    pub(super) idle_until: ClockTime,
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `ConnectFailed` when it is not open within `within`.
    pub(super) async fn open(address: SocketAddr, within: Duration) -> SwitchResult<Self> {
        let failed = |detail: String| {
            let detail = format!("{address}: {detail}");
            SwitchError::new(ErrorKind::ConnectFailed, detail)
        };
        let connecting = TcpStream::connect(address);
        let stream = match stall_tolerant_timeout(within, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) => return Err(failed(fault.to_string())),
            Err(_) => return Err(failed(format!("not open within {within:?}"))),
        };
        let set = stream.set_nodelay(true);
        set.map_err(|fault| failed(fault.to_string()))?;
        // A request that is given up must not arrive later. While its host stands still, or its link is
        // full, it waits on the way, and an orderly close would wait behind it: the backend server would
        // be handed requests of clients that have long left. A reset drops what waits.
        let set = stream.set_zero_linger();
        set.map_err(|fault| failed(fault.to_string()))?;
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|fault| failed(fault.to_string()))?;
        // How the connection ended shows in the request that was on it.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            idle_until: ClockTime(0),
        })
    }

    /// Whether it can carry another request: it is open, and nothing arrived that was not asked for.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and returns the answer's head with its body to come.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut fault) => {
                let detail = fault.error().to_string();
                // The library gives a request back that it never began to write.
                if fault.take_message().is_some() {
                    Err(SendFault::NotSent(detail))
                } else {
                    Err(SendFault::Unknown(detail))
                }
            }
        }
    }
}

impl Drop for BackendConnection {
    /// The socket closes now rather than when the rest of an answer has been read: a backend server
    /// works on as long as it sees the connection open.
    fn drop(&mut self) {
        self.driver.abort();
    }
}
