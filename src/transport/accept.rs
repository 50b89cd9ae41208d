//! Accepts connections and backs off after a failure.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::daemon::events;
use crate::events::log_event;

const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// Waits for the next connection, and pauses after a failed accept.
///
/// When the process has no file descriptor left, each accept fails immediately. Without a pause the
/// server's accept loop occupies a core and starves the requests that would release descriptors
/// when they end: the symptom is a busy core and no new connections.
pub(super) async fn accept_paced(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match accept(listener).await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log_event!(events::ACCEPT_FAILED, "{error}");
                tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            }
        }
    }
}

async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (stream, peer) = listener.accept().await?;
    // Nagle's algorithm would delay small frames until earlier ones are acknowledged.
    stream.set_nodelay(true)?;
    Ok((stream, peer))
}
