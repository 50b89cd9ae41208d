//! Accepting connections without spinning.

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
/// When the process is out of file descriptors, accepting fails at once and goes on failing; the
/// server's loop would then take a whole core and starve the requests whose end would free the
/// descriptors. One would notice a busy core and no new connections. The pause leaves that core to
/// them.
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
    /// The library's loop over new connections has ended. If that was no stop, it has failed: the
    /// process would live on and take no connection. It stops instead, and is started anew.
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
                // Small frames must not wait for the acknowledgement of earlier ones.
                stream.set_nodelay(true)?;
                Ok(Some(conn_of(stream, peer)))
            }
            Err(fault) => {
                log_event!(events::ACCEPT_FAILED, "{fault}");
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
                Err(fault)
            }
        }
    }
}

fn conn_of(stream: TcpStream, peer: SocketAddr) -> Conn {
    let info = ConnInfo {
        peer_addr: Some(Address::Ip(peer)),
    };
    Conn::new(ConnStream::Tcp(stream), info)
}
