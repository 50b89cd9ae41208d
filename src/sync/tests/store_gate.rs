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
pub(super) enum GateHarm {
    /// Nothing.
    None,
    /// They are answered 503.
    Refused,
    /// Their connections are closed, and new ones at once.
    Reset,
    /// Nothing comes back, on old connections and on new ones.
    Silent,
    /// Each part of an answer takes that much longer.
    Slow(Duration),
}

/// The way; its clones are the same one.
#[derive(Clone)]
pub(super) struct StoreGate {
    pub(super) address: SocketAddr,
    harm: Arc<watch::Sender<GateHarm>>,
}

impl StoreGate {
    /// A way to `target` that is whole.
    pub(super) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).await;
        let listener = listener.expect("a free port");
        let gate = Self {
            address: listener.local_addr().expect("it is bound"),
            harm: Arc::new(watch::Sender::new(GateHarm::None)),
        };
        let harm = gate.harm.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, target, harm.subscribe()));
            }
        });
        gate
    }

    pub(super) fn set(&self, harm: GateHarm) {
        self.harm.send_replace(harm);
    }
}

async fn pass(near: TcpStream, target: SocketAddr, mut harm: watch::Receiver<GateHarm>) {
    let far = TcpStream::connect(target).await;
    let (mut far_reader, mut far_writer) = far.expect("the target listens").into_split();
    let (mut near_reader, mut near_writer) = near.into_split();
    let mut sent_at = vec![0; BUFFER_BYTES];
    let mut answered = vec![0; BUFFER_BYTES];
    loop {
        let now = *harm.borrow_and_update();
        if now == GateHarm::Reset {
            return;
        }
        tokio::select! {
            read = near_reader.read(&mut sent_at) => {
                let Ok(read @ 1..) = read else { return };
                let passed = match now {
                    GateHarm::Refused => near_writer.write_all(REFUSAL).await,
                    GateHarm::Silent => Ok(()),
                    _ => far_writer.write_all(&sent_at[..read]).await,
                };
                if passed.is_err() {
                    return;
                }
            }
            read = far_reader.read(&mut answered) => {
                let Ok(read @ 1..) = read else { return };
                match now {
                    GateHarm::Slow(span) => sleep(span).await,
                    GateHarm::Silent => continue,
                    _ => {}
                }
                if near_writer.write_all(&answered[..read]).await.is_err() {
                    return;
                }
            }
            changed = harm.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
