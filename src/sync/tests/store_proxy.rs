//! A way to the store, or to another process, that comes to harm while the others stay whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 64 * 1024;
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\n{}";

/// What becomes of the calls that come this way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProxyFault {
    /// Nothing.
    None,
    /// They are answered 503.
    Refused,
    /// Their connections are closed, and new ones at once.
    Reset,
    /// Nothing comes back, on old connections and on new ones.
    Unresponsive,
    /// Each part of an answer takes that much longer.
    Slow(Duration),
}

/// The way; its clones are the same one.
#[derive(Clone)]
pub(super) struct StoreProxy {
    pub(super) address: SocketAddr,
    fault: Arc<watch::Sender<ProxyFault>>,
}

impl StoreProxy {
    /// A way to `target` that is whole.
    pub(super) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).await;
        let listener = listener.expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("it is bound"),
            fault: Arc::new(watch::Sender::new(ProxyFault::None)),
        };
        let fault = proxy.fault.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, target, fault.subscribe()));
            }
        });
        proxy
    }

    pub(super) fn set(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

async fn pass(near: TcpStream, target: SocketAddr, mut fault: watch::Receiver<ProxyFault>) {
    let far = TcpStream::connect(target).await;
    let (mut far_reader, mut far_writer) = far.expect("the target listens").into_split();
    let (mut near_reader, mut near_writer) = near.into_split();
    let mut sent_at = vec![0; BUFFER_BYTES];
    let mut answered = vec![0; BUFFER_BYTES];
    loop {
        let now = *fault.borrow_and_update();
        if now == ProxyFault::Reset {
            return;
        }
        tokio::select! {
            read = near_reader.read(&mut sent_at) => {
                let Ok(read @ 1..) = read else { return };
                let passed = match now {
                    ProxyFault::Refused => near_writer.write_all(REFUSAL).await,
                    ProxyFault::Unresponsive => Ok(()),
                    _ => far_writer.write_all(&sent_at[..read]).await,
                };
                if passed.is_err() {
                    return;
                }
            }
            read = far_reader.read(&mut answered) => {
                let Ok(read @ 1..) = read else { return };
                match now {
                    ProxyFault::Slow(span) => sleep(span).await,
                    ProxyFault::Unresponsive => continue,
                    _ => {}
                }
                if near_writer.write_all(&answered[..read]).await.is_err() {
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
