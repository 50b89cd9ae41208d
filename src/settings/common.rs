//! Settings that entry hosts and host processes share: identity, addresses, platform services,
//! threads and graceful stop.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;

use super::{SettingReader, SettingSpec};
use crate::daemon::DrainState;
use crate::errors::ErrorKind;
use crate::membership::HostIdentity;
use crate::stores::http::{HttpHostList, HttpTable, PlatformClient};
use crate::stores::{HostList, HostRole, TableStore};
use crate::time::wall_now;
use crate::transport::{ClientLimits, PeerClient};

/// Placeholder for an invalid address. It is never used, since the fault ends the start.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

pub(crate) const HOST_NAME: SettingSpec = SettingSpec::required(
    "host-name",
    "NAME",
    "This host's name, unique across data centres",
);
pub(crate) const DATA_CENTRE: SettingSpec =
    SettingSpec::required("data-centre", "NAME", "The data centre of this host");
pub(crate) const REGION: SettingSpec =
    SettingSpec::required("region", "NAME", "The region of that data centre");
pub(crate) const PEER_ADDRESS: SettingSpec = SettingSpec::required(
    "peer-address",
    "IP:PORT",
    "Address on which this process listens for other savoryswitch processes",
);
pub(crate) const TABLE_ADDRESS: SettingSpec = SettingSpec::required(
    "table-address",
    "IP:PORT",
    "Address of the platform's table",
);
pub(crate) const LIST_ADDRESS: SettingSpec = SettingSpec::required(
    "list-address",
    "IP:PORT",
    "Address of the platform's list of hosts",
);
pub(crate) const PLATFORM_TIMEOUT: SettingSpec = SettingSpec::optional(
    "platform-timeout-ms",
    "MILLISECONDS",
    "1000",
    "Time limit for responses of the platform, after which it counts as unavailable",
);
pub(crate) const TRAFFIC_THREADS: SettingSpec = SettingSpec::optional(
    "traffic-threads",
    "NUMBER",
    "2",
    "Number of threads that serve requests",
);
pub(crate) const LEAVE_LINGER: SettingSpec = SettingSpec::optional(
    "leave-linger-ms",
    "MILLISECONDS",
    "3000",
    "Minimum duration of a graceful stop, in which senders notice it",
);
pub(crate) const LEAVE_LONGEST: SettingSpec = SettingSpec::optional(
    "leave-longest-ms",
    "MILLISECONDS",
    "900000",
    "Maximum wait for requests in flight at a graceful stop; longer than the longest stream",
);

/// Values of the settings that entry hosts and host processes share.
pub(crate) struct CommonSettings {
    /// Name of the host, unique across data centres.
    pub(crate) host: ByteString,
    /// Data centre of the host.
    pub(crate) data_centre: ByteString,
    /// Region of the data centre.
    pub(crate) region: ByteString,
    /// Listen address for other savoryswitch processes.
    pub(crate) peer_address: SocketAddr,
    /// Address of the platform's table.
    pub(crate) table_address: SocketAddr,
    /// Address of the platform's list of hosts.
    pub(crate) list_address: SocketAddr,
    /// Time limit for responses of the platform.
    pub(crate) platform_timeout: Duration,
    /// Number of threads that serve requests.
    pub(crate) traffic_threads: usize,
    /// Minimum duration of a graceful stop.
    pub(crate) leave_linger: Duration,
    /// Maximum wait for requests in flight at a graceful stop.
    pub(crate) leave_longest: Duration,
}

impl CommonSettings {
    /// Parses all shared settings; `reader` collects the faults.
    pub(crate) fn read(reader: &mut SettingReader) -> Self {
        Self {
            host: reader.name(HOST_NAME.flag),
            data_centre: reader.name(DATA_CENTRE.flag),
            region: reader.name(REGION.flag),
            peer_address: reader.address(PEER_ADDRESS.flag),
            table_address: reader.address(TABLE_ADDRESS.flag),
            list_address: reader.address(LIST_ADDRESS.flag),
            platform_timeout: reader.millis(PLATFORM_TIMEOUT.flag, 50..=60_000),
            traffic_threads: reader.count(TRAFFIC_THREADS.flag, 1..=64),
            leave_linger: reader.millis(LEAVE_LINGER.flag, 0..=60_000),
            leave_longest: reader.millis(LEAVE_LONGEST.flag, 1_000..=86_400_000),
        }
    }

    /// Identity of this process. Its incarnation is the current wall-clock time in
    /// microseconds.
    pub(crate) fn identity(&self, role: HostRole, service: Option<ByteString>) -> HostIdentity {
        HostIdentity {
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            role,
            service,
            peer_address: self.peer_address,
            incarnation: wall_now().0 * 1000,
        }
    }

    /// Creates the state of the graceful stop.
    pub(crate) fn drain_state(&self) -> DrainState {
        DrainState::new(self.leave_linger, self.leave_longest)
    }

    /// Creates a client of the platform's table.
    pub(crate) fn table(&self) -> Arc<dyn TableStore> {
        Arc::new(HttpTable(
            self.client(self.table_address, ErrorKind::TableUnavailable),
        ))
    }

    /// Creates a client of the platform's list of hosts.
    pub(crate) fn host_list(&self) -> Arc<dyn HostList> {
        Arc::new(HttpHostList(
            self.client(self.list_address, ErrorKind::StoreUnavailable),
        ))
    }

    /// Creates a client of the platform service at `address` with the usual time limit.
    /// `unavailable_kind` is the kind of its failures.
    pub(crate) fn client(
        &self,
        address: SocketAddr,
        unavailable_kind: ErrorKind,
    ) -> PlatformClient {
        Self::client_with_timeout(address, unavailable_kind, self.platform_timeout)
    }

    /// Creates a client of the platform service at `address` with its own time limit.
    pub(crate) fn client_with_timeout(
        address: SocketAddr,
        unavailable_kind: ErrorKind,
        timeout: Duration,
    ) -> PlatformClient {
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        PlatformClient::new(address, client, timeout, unavailable_kind)
    }
}

impl SettingReader {
    /// Parses a name of a host, data centre, region or service.
    pub(crate) fn name(&mut self, flag: &'static str) -> ByteString {
        let text = self.text(flag);
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
        if !text.bytes().all(is_allowed) {
            self.fault(format!(
                "--{flag}: \"{text}\" is not a valid name; use letters, digits and -"
            ));
        }
        text.into()
    }

    /// Parses a socket address.
    pub(crate) fn address(&mut self, flag: &'static str) -> SocketAddr {
        self.value(flag, PLACEHOLDER_ADDRESS)
    }

    /// Parses a duration in milliseconds within `range`.
    pub(crate) fn millis(
        &mut self,
        flag: &'static str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(flag, range))
    }

    /// Parses a count within `range`.
    pub(crate) fn count(
        &mut self,
        flag: &'static str,
        range: std::ops::RangeInclusive<u64>,
    ) -> usize {
        usize::try_from(self.number(flag, range)).unwrap_or(usize::MAX)
    }
}
