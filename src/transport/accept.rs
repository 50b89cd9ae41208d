//! Accepts connections and backs off after a failure.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use volo::net::Address;
use volo::net::conn::{Conn, ConnInfo, ConnStream};
use volo::net::incoming::{Incoming, MakeIncoming};

use crate::daemon::{DrainState, events};
use crate::events::log_event;

const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// A listener that pauses after a failed accept.
///
/// When the process has no file descriptor left, each accept fails immediately. Without a pause the
/// server's accept loop occupies a core and starves the requests that would release descriptors
/// when they end: the symptom is a busy core and no new connections.
#[derive(Debug)]
pub(super) struct PacedIncoming {
    listener: TcpListener,
    drain: DrainState,
}

impl PacedIncoming {
    pub(super) const fn new(listener: TcpListener, drain: DrainState) -> Self {
        Self { listener, drain }
    }
}

impl Drop for PacedIncoming {
    /// The library drops the listener when its accept loop ends. If no stop was begun, the loop has
    /// failed, and the process would run on without accepting connections. It therefore stops, to
    /// be restarted.
    fn drop(&mut self) {
        self.drain.begin();
    }
}

impl MakeIncoming for PacedIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for PacedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.listener.accept().await {
            Ok((stream, peer)) => {
                // Nagle's algorithm would delay small frames until earlier ones are acknowledged.
                stream.set_nodelay(true)?;
                Ok(Some(into_conn(stream, peer)))
            }
            Err(error) => {
                log_event!(events::ACCEPT_FAILED, "{error}");
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
                Err(error)
            }
        }
    }
}

fn into_conn(stream: TcpStream, peer: SocketAddr) -> Conn {
    let info = ConnInfo {
        peer_addr: Some(Address::Ip(peer)),
    };
    Conn::new(ConnStream::Tcp(stream), info)
}
