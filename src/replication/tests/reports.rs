//! To which entry hosts a host reports its engine's load, and how often.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use super::backend_host::BackendHost;
use crate::derives::message;
use crate::platform::StartTimeField;
use crate::sync::EntryRecord;
use crate::transport::encode_message;

/// Entry hosts of each data centre: that of the host and four others.
const ENTRIES: usize = 20;
const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Time after which the host knows the entry hosts and has their leases.
const SETTLE_SPAN: Duration = Duration::from_millis(3500);
const COUNT_SPAN: Duration = Duration::from_secs(2);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Reports of a host per second.
const REPORTS_PER_S: usize = 5;
const RELAYS: usize = 2;

/// A relay's request for reports in its wire format.
#[apply(message!)]
struct LeaseRequest {
    relay: SocketAddr,
}

/// Entry hosts that only receive datagrams.
struct ReportSinks {
    sockets: Vec<UdpSocket>,
    records: Vec<EntryRecord>,
}

impl ReportSinks {
    async fn start() -> Self {
        let mut sinks = Self {
            sockets: Vec::new(),
            records: Vec::new(),
        };
        for data_centre in DATA_CENTRES {
            for number in 0..ENTRIES {
                let socket = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a port");
                let reports = socket.local_addr().expect("it is bound");
                sinks.records.push(EntryRecord {
                    host: format!("{data_centre}{number}").into(),
                    data_centre: data_centre.into(),
                    control: ([127, 0, 0, 1], 1).into(),
                    reports,
                });
                sinks.sockets.push(socket);
            }
        }
        sinks
    }

    /// Sends requests for reports to `leases` from the first entry hosts of the data centre.
    async fn request_reports(&self, leases: SocketAddr) {
        for (socket, record) in self.sockets.iter().zip(&self.records).take(RELAYS) {
            let lease = LeaseRequest {
                relay: record.reports,
            };
            let datagram = encode_message(&lease).expect("it encodes");
            // A host that accepts no leases causes an ICMP error, which the next receive returns.
            let _ = socket.send_to(&datagram, leases).await;
        }
    }

    /// Number of datagrams that each entry host has received.
    fn take_all(&self) -> Vec<usize> {
        let mut buffer = [0; 2048];
        let count = |socket: &UdpSocket| {
            let mut count = 0;
            while socket.try_recv(&mut buffer).is_ok() {
                count += 1;
            }
            count
        };
        self.sockets.iter().map(count).collect()
    }
}

/// Guards against a reporting load that grows with the number of entry hosts: 138 hosts that
/// reported to each of 98 five times a second used up the links and processors that requests
/// needed.
#[tokio::test]
async fn a_host_reports_to_its_relays_only() {
    let sinks = ReportSinks::start().await;
    let host = BackendHost::start_among(StartTimeField::Present, &sinks.records).await;
    let until = Instant::now() + SETTLE_SPAN;
    while Instant::now() < until {
        sinks.request_reports(host.peers()).await;
        sleep(RENEWAL_INTERVAL).await;
    }
    sinks.take_all();
    let until = Instant::now() + COUNT_SPAN;
    while Instant::now() < until {
        sinks.request_reports(host.peers()).await;
        let _ = timeout_at(until, sleep(RENEWAL_INTERVAL)).await;
    }
    let counts = sinks.take_all();
    let most = REPORTS_PER_S * usize::try_from(COUNT_SPAN.as_secs() + 1).expect("small");
    for (count, record) in counts.iter().zip(&sinks.records).take(RELAYS) {
        assert!((1..=most).contains(count), "{}: {count}", record.host);
    }
    let others: usize = counts.iter().skip(RELAYS).sum();
    assert_eq!(others, 0, "{counts:?}");
    host.end();
}
