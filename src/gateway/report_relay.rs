//! Receives load reports and load digests, and forwards them while this entry host is a relay.

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
use crate::fleet::LimitAnnouncement;
use crate::load_reports::{
    CrashNotice, DigestQueue, DigestReach, LEASE_RENEWAL, LimitDigest, LoadDigest, ReportDatagram,
    ReportLease,
};
use crate::quarantine::{AnswerCount, CrashRecord};
use crate::sync::{DeploymentSnapshot, DeploymentState, EntryRecord, SharedDeploymentState};
use crate::time::{ClockTime, clock_now};
use crate::transport::{decode_message, encode_datagram};

const DATAGRAM_BYTES_MAX: usize = 8 * 1024;
/// Largest number of limits in a datagram. At about 40 bytes each they fit into one packet of 1,500
/// bytes.
const LIMITS_MAX: usize = 32;

/// Largest number of crash records that are repeated each time while the store does not answer.
const REPEATED_CRASHES_MAX: usize = 3 * CrashNotice::RECORDS_MAX;

/// Receives and forwards load reports, rate limits and notices of crashes over UDP.
pub(super) struct ReportRelay {
    gateway: Arc<GatewayState>,
    deployment_state: SharedDeploymentState,
    own_entry: EntryRecord,
    /// Port at which the hosts of backend servers receive leases.
    host_port: u16,
    socket: UdpSocket,
    queue: DigestQueue,
    is_relay: bool,
}

impl ReportRelay {
    /// Binds a relay to the report address of `own_entry`.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` if the address cannot be bound.
    pub(super) async fn bind(
        gateway: Arc<GatewayState>,
        deployment_state: SharedDeploymentState,
        own_entry: EntryRecord,
    ) -> SwitchResult<Self> {
        let socket = UdpSocket::bind(own_entry.reports).await.map_err(|fault| {
            let detail = format!(
                "cannot bind the load report address {}: {fault}; free the port",
                own_entry.reports
            );
            SwitchError::new(ErrorKind::SettingInvalid, detail)
        })?;
        Ok(Self {
            gateway,
            deployment_state,
            host_port: own_entry.reports.port(),
            own_entry,
            socket,
            queue: DigestQueue::default(),
            is_relay: false,
        })
    }

    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        let mut renewal = clock_now();
        loop {
            let wake = self.queue.due_at().map_or(renewal, |due| due.min(renewal));
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, peer)) => self.handle_datagram(&buffer[..length], peer).await,
                    Err(fault) => log_event!(events::REPORT_UNREADABLE, "{fault}"),
                },
                () = self.gateway.crash_detector.news().wait() => {}
                () = sleep(wake.since(clock_now())) => {}
            }
            let now = clock_now();
            if now >= renewal {
                renewal = now + LEASE_RENEWAL;
                self.renew_leases().await;
                self.announce_limits(now).await;
                self.gateway
                    .crash_detector
                    .repeat_news(REPEATED_CRASHES_MAX);
                self.gateway.crash_detector.report_answers(now);
            }
            self.announce_crashes().await;
            self.send_due(now).await;
        }
    }

    async fn handle_datagram(&mut self, bytes: &[u8], peer: SocketAddr) {
        let now = clock_now();
        match decode_message::<ReportDatagram>(bytes) {
            Ok(ReportDatagram::Report(report)) => {
                if self.is_relay {
                    self.queue.push(report.clone(), now);
                }
                self.gateway.note_reports([report], now);
            }
            Ok(ReportDatagram::Digest(digest)) => {
                self.gateway.note_reports(digest.unpack(), now);
                if digest.reach == DigestReach::DataCentre {
                    let digest = digest.into_receiver_only();
                    self.send_locally(&ReportDatagram::Digest(digest)).await;
                }
            }
            Ok(ReportDatagram::Limits(digest)) => {
                self.gateway.apply_limits(&digest.limits);
                if digest.reach == DigestReach::DataCentre {
                    self.send_limits_locally(digest.limits).await;
                }
            }
            Ok(ReportDatagram::Crashes(notice)) => {
                self.gateway.crash_detector.merge_notice(&notice, now);
                if notice.reach == DigestReach::DataCentre {
                    let reach = DigestReach::Receiver;
                    let notice = CrashNotice { reach, ..notice };
                    self.send_locally(&ReportDatagram::Crashes(notice)).await;
                }
            }
            Err(error) => log_event!(events::REPORT_UNREADABLE, "from {peer}: {error}"),
        }
    }

    /// Tells the other entry hosts what this one saw of crashes. Each sees only its own requests, and
    /// the store may not answer.
    async fn announce_crashes(&self) {
        let news = self.gateway.crash_detector.news().take();
        let notice = |records: &[CrashRecord], answers: &[AnswerCount]| CrashNotice {
            reach: DigestReach::Receiver,
            records: records.to_vec(),
            answers: answers.to_vec(),
        };
        let crashes = news.records.chunks(CrashNotice::RECORDS_MAX);
        let answers = news.answers.chunks(CrashNotice::RECORDS_MAX);
        let notices = crashes
            .map(|records| notice(records, &[]))
            .chain(answers.map(|answers| notice(&[], answers)));
        for notice in notices {
            self.send_locally(&ReportDatagram::Crashes(notice.clone()))
                .await;
            let reach = DigestReach::DataCentre;
            let notice = CrashNotice { reach, ..notice };
            let snapshot = self.gateway.newest_snapshot();
            let receivers = one_per_data_centre(&snapshot.entries, &self.own_entry.data_centre);
            self.send_to_all(&ReportDatagram::Crashes(notice), &receivers)
                .await;
        }
    }

    /// Announces the limits received since the last call to the other entry hosts.
    ///
    /// An entry host that does not send to a backend server receives neither its limit nor the end
    /// of that limit from it.
    async fn announce_limits(&self, now: ClockTime) {
        for limits in self.gateway.take_pending_limits(now).chunks(LIMITS_MAX) {
            self.send_limits_locally(limits.to_vec()).await;
            let digest = LimitDigest {
                reach: DigestReach::DataCentre,
                limits: limits.to_vec(),
            };
            let snapshot = self.gateway.newest_snapshot();
            let receivers = one_per_data_centre(&snapshot.entries, &self.own_entry.data_centre);
            self.send_to_all(&ReportDatagram::Limits(digest), &receivers)
                .await;
        }
    }

    async fn send_limits_locally(&self, limits: Vec<LimitAnnouncement>) {
        let reach = DigestReach::Receiver;
        let digest = LimitDigest { reach, limits };
        self.send_locally(&ReportDatagram::Limits(digest)).await;
    }

    /// Renews the leases of the local hosts while this entry host is a relay. The entry hosts that
    /// read the store are the relays: both use the same order of entry hosts, and the same
    /// neighbours replace a failed one.
    async fn renew_leases(&mut self) {
        let is_relay = self.deployment_state.read(DeploymentState::reads_store);
        if std::mem::replace(&mut self.is_relay, is_relay) != is_relay {
            log_event!(events::RELAY_CHANGED, "relays={is_relay}");
            self.queue = DigestQueue::default();
        }
        if !is_relay {
            return;
        }
        let lease = ReportLease {
            relay: self.own_entry.reports,
        };
        let snapshot = self.gateway.newest_snapshot();
        let hosts = engine_hosts(&snapshot, &self.own_entry.data_centre, self.host_port);
        self.send_to_all(&lease, &hosts).await;
    }

    async fn send_due(&mut self, now: ClockTime) {
        for digest in self.queue.take_due(now) {
            match digest.reach {
                DigestReach::Receiver => self.send_locally(&ReportDatagram::Digest(digest)).await,
                DigestReach::DataCentre => self.send_remotely(digest).await,
            }
        }
    }

    /// Sends to the other entry hosts of this data centre.
    async fn send_locally(&self, datagram: &ReportDatagram) {
        let snapshot = self.gateway.newest_snapshot();
        let others = snapshot.entries.iter().filter(|entry| {
            entry.data_centre == self.own_entry.data_centre
                && entry.reports != self.own_entry.reports
        });
        let others: Vec<SocketAddr> = others.map(|entry| entry.reports).collect();
        self.send_to_all(datagram, &others).await;
    }

    /// Sends to one entry host in each other data centre. It is chosen at random each time, because
    /// any of them may have failed.
    async fn send_remotely(&self, digest: LoadDigest) {
        let snapshot = self.gateway.newest_snapshot();
        let receivers = one_per_data_centre(&snapshot.entries, &self.own_entry.data_centre);
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
            // The next datagram makes up for a lost one.
            let _ = self.socket.send_to(&datagram, receiver).await;
        }
    }
}

/// Returns the lease addresses of the hosts that run engines in `data_centre`.
fn engine_hosts(snapshot: &DeploymentSnapshot, data_centre: &str, port: u16) -> Vec<SocketAddr> {
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

/// Returns a random entry host of each data centre except `data_centre`; `entries` may be in any
/// order.
fn one_per_data_centre(entries: &[EntryRecord], data_centre: &str) -> Vec<SocketAddr> {
    let others = entries
        .iter()
        .filter(|entry| *entry.data_centre != *data_centre);
    let mut addresses: Vec<(&ByteString, SocketAddr)> = others
        .map(|entry| (&entry.data_centre, entry.reports))
        .collect();
    addresses.sort_unstable();
    let groups = addresses.chunk_by(|(left, _), (right, _)| left == right);
    let mut rng = rand::rng();
    groups
        .map(|group| group[rng.random_range(0..group.len())].1)
        .collect()
}
