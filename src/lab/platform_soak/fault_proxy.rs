//! A TCP proxy on loopback between two processes that injects network faults: delays, resets, and
//! bytes that are withheld in one or both directions. The processes need no change for it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::derives::key;
use crate::errors::SwitchResult;
use crate::transport::bind_listener;

const BUFFER_BYTES: usize = 16 * 1024;
/// Covers the method and the begin of the path of a request.
const PEEKED_BYTES: usize = 10;
/// Path prefix of a host's requests to its colocated engine. These use no link between hosts, so
/// link faults do not apply to them.
const ENGINE_PATH_PREFIX: &[u8] = b" /v1/";
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
const PEEK_TIMEOUT: Duration = Duration::from_secs(2);

/// The faults that a proxy injects into its connections.
#[apply(key!)]
#[derive(Default)]
pub(super) struct LinkRule {
    /// Delay of each chunk of bytes, in both directions.
    pub(super) delay: Duration,
    /// Bytes from the caller to the target are withheld.
    pub(super) holds_requests: bool,
    /// Bytes from the target to the caller are withheld.
    pub(super) holds_responses: bool,
    /// All connections are reset and new ones refused, as by the host of a crashed process.
    pub(super) is_down: bool,
    /// Connections with a lower number transfer nothing any more.
    pub(super) silent_before: u64,
    /// Connections with a lower number are reset.
    pub(super) reset_before: u64,
    /// Number of connections opened so far; also the number of the next one.
    opened: u64,
}

/// A running proxy. Clones share its state.
#[derive(Clone)]
pub(super) struct FaultProxy {
    rule: Arc<watch::Sender<LinkRule>>,
}

/// How a proxy treats the requests of a host to its colocated engine.
#[apply(key!)]
pub(super) enum HostCallPolicy {
    /// They are exempt from all faults but `LinkRule::is_down` and resets.
    Exempt,
    /// This link carries none.
    Absent,
}

impl FaultProxy {
    /// Starts a proxy from `address` to `target`.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when `address` cannot be bound.
    pub(super) async fn start(
        address: SocketAddr,
        target: SocketAddr,
        host_calls: HostCallPolicy,
    ) -> SwitchResult<Self> {
        let listener = bind_listener(address).await?;
        let rule = Arc::new(watch::Sender::new(LinkRule::default()));
        tokio::spawn(accept_all(
            listener,
            address,
            (target, host_calls),
            rule.clone(),
        ));
        Ok(Self { rule })
    }

    /// Changes the injected faults.
    pub(super) fn change(&self, change: impl FnOnce(&mut LinkRule)) {
        self.rule.send_modify(change);
    }

    /// Stops all bytes on the open connections for good; new connections work.
    pub(super) fn silence_open(&self) {
        self.change(|rule| rule.silent_before = rule.opened);
    }

    /// Resets all open connections.
    pub(super) fn reset_open(&self) {
        self.change(|rule| rule.reset_before = rule.opened);
    }
}

async fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    (target, host_calls): (SocketAddr, HostCallPolicy),
    rule: Arc<watch::Sender<LinkRule>>,
) {
    let mut changes = rule.subscribe();
    let mut listener = Some(listener);
    loop {
        let Some(listening) = &listener else {
            // The sender lives as long as this task.
            let _ = changes.wait_for(|rule| !rule.is_down).await;
            listener = bind_listener(address).await.ok();
            if listener.is_none() {
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
            continue;
        };
        let accepted = tokio::select! {
            biased;
            _ = changes.wait_for(|rule| rule.is_down) => {
                listener = None;
                continue;
            }
            accepted = listening.accept() => accepted,
        };
        let Ok((caller, _)) = accepted else {
            sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let mut number = 0;
        rule.send_modify(|rule| {
            number = rule.opened;
            rule.opened += 1;
        });
        let connection = ProxyConnection {
            number,
            rule: rule.subscribe(),
        };
        tokio::spawn(connection.forward(caller, target, host_calls));
    }
}

/// One connection through a proxy.
#[derive(Clone)]
struct ProxyConnection {
    number: u64,
    rule: watch::Receiver<LinkRule>,
}

impl ProxyConnection {
    async fn forward(
        mut self,
        mut caller: TcpStream,
        target: SocketAddr,
        host_calls: HostCallPolicy,
    ) {
        // Zero linger makes dropping a connection reset it: an orderly close would look like the
        // end of a response without a length. The borrowing `split` is needed, since dropping owned
        // halves shuts the connection down in order.
        if caller.set_zero_linger().is_err() || self.is_reset() {
            return;
        }
        let Ok(mut far) = TcpStream::connect(target).await else {
            return;
        };
        let options = (
            far.set_zero_linger(),
            far.set_nodelay(true),
            caller.set_nodelay(true),
        );
        if let (Err(_), ..) | (_, Err(_), _) | (.., Err(_)) = options {
            return;
        }
        let is_exempt = host_calls == HostCallPolicy::Exempt && is_host_call(&caller).await;
        let (near_read, near_write) = caller.split();
        let (far_read, far_write) = far.split();
        let requests = self
            .clone()
            .copy_one_way((near_read, far_write), is_exempt, |rule| {
                rule.holds_requests
            });
        let responses = self
            .clone()
            .copy_one_way((far_read, near_write), is_exempt, |rule| {
                rule.holds_responses
            });
        tokio::select! {
            _ = async { tokio::try_join!(requests, responses) } => {}
            () = self.wait_for_reset() => {}
        }
    }

    fn is_reset(&self) -> bool {
        let rule = self.rule.borrow();
        rule.is_down || self.number < rule.reset_before
    }

    async fn wait_for_reset(&mut self) {
        let number = self.number;
        let is_reset = |rule: &LinkRule| rule.is_down || number < rule.reset_before;
        // The sender lives as long as the proxy, that is, for the complete run.
        let _ = self.rule.wait_for(is_reset).await;
    }

    /// Copies bytes in one direction until the end of the stream, which it passes on. An error
    /// means that either side was reset; it ends the other direction too.
    async fn copy_one_way(
        mut self,
        (mut from, mut to): (ReadHalf<'_>, WriteHalf<'_>),
        is_exempt: bool,
        holds: fn(&LinkRule) -> bool,
    ) -> io::Result<()> {
        let number = self.number;
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            let passes = |rule: &LinkRule| !holds(rule) && number >= rule.silent_before;
            if !is_exempt {
                let delay = match self.rule.wait_for(passes).await {
                    Ok(rule) => rule.delay,
                    Err(fault) => return Err(io::Error::other(fault)),
                };
                sleep(delay).await;
            }
            if count == 0 {
                // An error means that the connection is closed already.
                let _ = to.shutdown().await;
                return Ok(());
            }
            to.write_all(&buffer[..count]).await?;
        }
    }
}

/// Whether the first request on a connection goes from a host to its colocated engine.
async fn is_host_call(caller: &TcpStream) -> bool {
    let mut peeked = [0; PEEKED_BYTES];
    let peeking = async {
        loop {
            match caller.peek(&mut peeked).await {
                Ok(count) if count == 0 || count == PEEKED_BYTES => return count,
                Ok(_) => sleep(Duration::from_millis(1)).await,
                Err(_) => return 0,
            }
        }
    };
    let count = timeout(PEEK_TIMEOUT, peeking).await.unwrap_or(0);
    peeked[..count]
        .windows(ENGINE_PATH_PREFIX.len())
        .any(|window| window == ENGINE_PATH_PREFIX)
}
