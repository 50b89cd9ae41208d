//! Takes load reports and digests of them, and passes them on while this entry host is a relay.

use std::net::SocketAddr;
use std::sync::Arc;

use bytestring::ByteString;
use rand::RngExt;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::events;
use super::gateway_state::GatewayState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::LimitWord;
use crate::load_reports::{
    DigestQueue, DigestReach, LEASE_RENEWAL, LimitDigest, LoadDigest, ReportDatagram, ReportLease,
};
use crate::sync::{ControlSnapshot, ControlState, EntryRecord, SharedControlState};
use crate::time::{ClockTime, clock_now};
use crate::transport::{decode_message, encode_datagram};

const DATAGRAM_BYTES_MAX: usize = 8 * 1024;
/// Limits in a datagram at most; with some 40 bytes each it fits into one packet of 1,500 bytes.
const LIMITS_MAX: usize = 32;

/// What the relay works with.
pub(super) struct ReportRelay {
    gateway: Arc<GatewayState>,
    book: SharedControlState,
    me: EntryRecord,
    /// The port at which hosts of backend servers take leases.
    host_port: u16,
    socket: UdpSocket,
    queue: DigestQueue,
    relays: bool,
}

impl ReportRelay {
    /// A relay that listens where `me` says.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when the address cannot be had.
    pub(super) async fn bind(
        gateway: Arc<GatewayState>,
        book: SharedControlState,
        me: EntryRecord,
    ) -> SwitchResult<Self> {
        let socket = UdpSocket::bind(me.reports).await.map_err(|fault| {
            let detail = format!("cannot listen on {}: {fault}; free the port", me.reports);
            SwitchError::new(ErrorKind::SettingInvalid, detail)
        })?;
        Ok(Self {
            gateway,
            book,
            host_port: me.reports.port(),
            me,
            socket,
            queue: DigestQueue::default(),
            relays: false,
        })
    }

    /// Runs for as long as the process lives.
    pub(super) async fn run(mut self) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        let mut renewal = clock_now();
        loop {
            let wake = self.queue.due_at().map_or(renewal, |due| due.min(renewal));
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, peer)) => self.take(&buffer[..length], peer).await,
                    Err(fault) => log_event!(events::REPORT_UNREADABLE, "{fault}"),
                },
                () = sleep(wake.since(clock_now())) => {}
            }
            let now = clock_now();
            if now >= renewal {
                renewal = now + LEASE_RENEWAL;
                self.renew_leases().await;
                self.tell_limits(now).await;
            }
            self.send_due(now).await;
        }
    }

    async fn take(&mut self, bytes: &[u8], peer: SocketAddr) {
        let now = clock_now();
        match decode_message::<ReportDatagram>(bytes) {
            Ok(ReportDatagram::Report(report)) => {
                if self.relays {
                    self.queue.push(report.clone(), now);
                }
                self.gateway.note_reports([report], now);
            }
            Ok(ReportDatagram::Digest(digest)) => {
                self.gateway.note_reports(digest.unpack(), now);
                if digest.reach == DigestReach::DataCentre {
                    let digest = digest.into_receiver_only();
                    self.send_near(&ReportDatagram::Digest(digest)).await;
                }
            }
            Ok(ReportDatagram::Limits(digest)) => {
                self.gateway.take_limits(&digest.limits);
                if digest.reach == DigestReach::DataCentre {
                    self.send_limits_near(digest.limits).await;
                }
            }
            Err(error) => log_event!(events::REPORT_UNREADABLE, "from {peer}: {error}"),
        }
    }

    /// Tells the other entry hosts which limits were heard of since the last time.
    ///
    /// One that sends elsewhere hears of no limit, nor of its end.
    async fn tell_limits(&self, now: ClockTime) {
        for limits in self.gateway.take_untold_limits(now).chunks(LIMITS_MAX) {
            self.send_limits_near(limits.to_vec()).await;
            let digest = LimitDigest {
                reach: DigestReach::DataCentre,
                limits: limits.to_vec(),
            };
            let snapshot = self.gateway.newest();
            let receivers = one_of_each(&snapshot.entries, &self.me.data_centre);
            self.send_to_all(&ReportDatagram::Limits(digest), &receivers)
                .await;
        }
    }

    async fn send_limits_near(&self, limits: Vec<LimitWord>) {
        let reach = DigestReach::Receiver;
        let digest = LimitDigest { reach, limits };
        self.send_near(&ReportDatagram::Limits(digest)).await;
    }

    /// Entry hosts that read the store are relays as well: the same order among them, and the same
    /// neighbours take their place.
    async fn renew_leases(&mut self) {
        let relays = self.book.read(ControlState::reads_store);
        if std::mem::replace(&mut self.relays, relays) != relays {
            log_event!(events::RELAY_CHANGED, "relays={relays}");
            self.queue = DigestQueue::default();
        }
        if !relays {
            return;
        }
        let lease = ReportLease {
            relay: self.me.reports,
        };
        let snapshot = self.gateway.newest();
        let hosts = engine_hosts(&snapshot, &self.me.data_centre, self.host_port);
        self.send_to_all(&lease, &hosts).await;
    }

    async fn send_due(&mut self, now: ClockTime) {
        for digest in self.queue.take_due(now) {
            match digest.reach {
                DigestReach::Receiver => self.send_near(&ReportDatagram::Digest(digest)).await,
                DigestReach::DataCentre => self.send_far(digest).await,
            }
        }
    }

    /// To the other entry hosts of this data centre.
    async fn send_near(&self, datagram: &ReportDatagram) {
        let snapshot = self.gateway.newest();
        let others = snapshot.entries.iter().filter(|entry| {
            entry.data_centre == self.me.data_centre && entry.reports != self.me.reports
        });
        let others: Vec<SocketAddr> = others.map(|entry| entry.reports).collect();
        self.send_to_all(datagram, &others).await;
    }

    /// To one entry host of each other data centre. Another one each time, as any of them may be gone.
    async fn send_far(&self, digest: LoadDigest) {
        let snapshot = self.gateway.newest();
        let receivers = one_of_each(&snapshot.entries, &self.me.data_centre);
        self.send_to_all(&ReportDatagram::Digest(digest), &receivers)
            .await;
    }

    async fn send_to_all<M: Serialize>(&self, message: &M, receivers: &[SocketAddr]) {
        let datagram = match encode_datagram(message) {
            Ok(datagram) => datagram,
            Err(error) => {
                log_event!(events::REPORT_UNREADABLE, "{error}");
                return;
            }
        };
        for receiver in receivers {
            // One that is lost is followed by the next.
            let _ = self.socket.send_to(&datagram, receiver).await;
        }
    }
}

/// Where the hosts beside the engines of `data_centre` take leases.
fn engine_hosts(snapshot: &ControlSnapshot, data_centre: &str, port: u16) -> Vec<SocketAddr> {
    let has_engine = |service: &ByteString| {
        let catalog = snapshot.catalog.as_ref();
        let found = catalog.and_then(|catalog| catalog.service(service));
        found.is_some_and(|service| service.engine.is_some())
    };
    let backends = snapshot.fleet.backends.iter();
    let near = backends.filter(|facts| *facts.data_centre == *data_centre);
    let mut hosts: Vec<SocketAddr> = near
        .filter(|facts| has_engine(&facts.service))
        .map(|facts| SocketAddr::new(facts.address.ip(), port))
        .collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

/// One of the `entries` of each data centre but `data_centre`; `entries` are in any order.
fn one_of_each(entries: &[EntryRecord], data_centre: &str) -> Vec<SocketAddr> {
    let others = entries
        .iter()
        .filter(|entry| *entry.data_centre != *data_centre);
    let mut places: Vec<(&ByteString, SocketAddr)> = others
        .map(|entry| (&entry.data_centre, entry.reports))
        .collect();
    places.sort_unstable();
    let groups = places.chunk_by(|(left, _), (right, _)| left == right);
    let mut rng = rand::rng();
    groups
        .map(|group| group[rng.random_range(0..group.len())].1)
        .collect()
}
