//! A proxy to the store, or to another process, that can fail while other connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 64 * 1024;
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\n{}";

/// What the proxy does to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProxyFault {
    /// Forwards them.
    None,
    /// Answers 503.
    Refused,
    /// Closes connections, and new ones at once.
    Reset,
    /// Returns nothing, on existing and new connections.
    Unresponsive,
    /// Delays each part of an answer by this time.
    Slow(Duration),
}

/// The proxy; clones share it.
#[derive(Clone)]
pub(super) struct StoreProxy {
    pub(super) address: SocketAddr,
    fault: Arc<watch::Sender<ProxyFault>>,
}

impl StoreProxy {
    /// Starts a working proxy to `target`.
    pub(super) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).await;
        let listener = listener.expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("it is bound"),
            fault: Arc::new(watch::Sender::new(ProxyFault::None)),
        };
        let fault = proxy.fault.clone();
        tokio::spawn(async move {
            while let Ok((client_side, _)) = listener.accept().await {
                tokio::spawn(pass(client_side, target, fault.subscribe()));
            }
        });
        proxy
    }

    pub(super) fn set(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

async fn pass(client_side: TcpStream, target: SocketAddr, mut fault: watch::Receiver<ProxyFault>) {
    let far = TcpStream::connect(target).await;
    let (mut far_reader, mut far_writer) = far.expect("the target listens").into_split();
    let (mut near_reader, mut near_writer) = client_side.into_split();
    let mut request = vec![0; BUFFER_BYTES];
    let mut response = vec![0; BUFFER_BYTES];
    loop {
        let current = *fault.borrow_and_update();
        if current == ProxyFault::Reset {
            return;
        }
        tokio::select! {
            read = near_reader.read(&mut request) => {
                let Ok(read @ 1..) = read else { return };
                let passed = match current {
                    ProxyFault::Refused => near_writer.write_all(REFUSAL).await,
                    ProxyFault::Unresponsive => Ok(()),
                    _ => far_writer.write_all(&request[..read]).await,
                };
                if passed.is_err() {
                    return;
                }
            }
            read = far_reader.read(&mut response) => {
                let Ok(read @ 1..) = read else { return };
                match current {
                    ProxyFault::Slow(span) => sleep(span).await,
                    ProxyFault::Unresponsive => continue,
                    _ => {}
                }
                if near_writer.write_all(&response[..read]).await.is_err() {
                    return;
                }
            }
            changed = fault.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
