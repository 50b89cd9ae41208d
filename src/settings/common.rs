//! The settings that entry hosts and host processes share: who the process is, where the platform
//! is, how it stops.

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

/// Stands in for an address that did not read, until the faults are told.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

pub(crate) const HOST_NAME: SettingSpec = SettingSpec::required(
    "host-name",
    "NAME",
    "This host's name, unique across data centres",
);
pub(crate) const DATA_CENTRE: SettingSpec = SettingSpec::required(
    "data-centre",
    "NAME",
    "The data centre that this host stands in",
);
pub(crate) const REGION: SettingSpec =
    SettingSpec::required("region", "NAME", "The region of that data centre");
pub(crate) const PEER_ADDRESS: SettingSpec = SettingSpec::required(
    "peer-address",
    "IP:PORT",
    "Where this process listens for the other processes of the system",
);
pub(crate) const TABLE_ADDRESS: SettingSpec =
    SettingSpec::required("table-address", "IP:PORT", "The platform's table");
pub(crate) const LIST_ADDRESS: SettingSpec =
    SettingSpec::required("list-address", "IP:PORT", "The platform's list of hosts");
pub(crate) const PLATFORM_TIMEOUT: SettingSpec = SettingSpec::optional(
    "platform-timeout-ms",
    "MILLISECONDS",
    "1000",
    "How long the platform may take to answer before it counts as away",
);
pub(crate) const TRAFFIC_THREADS: SettingSpec =
    SettingSpec::optional("traffic-threads", "NUMBER", "2", "Threads for requests");
pub(crate) const LEAVE_LINGER: SettingSpec = SettingSpec::optional(
    "leave-linger-ms",
    "MILLISECONDS",
    "3000",
    "How long a graceful stop lasts at least, so that senders learn of it",
);
pub(crate) const LEAVE_LONGEST: SettingSpec = SettingSpec::optional(
    "leave-longest-ms",
    "MILLISECONDS",
    "900000",
    "How long a graceful stop waits for requests under way; longer than the longest stream",
);

/// What entry hosts and host processes have in common.
pub(crate) struct CommonSettings {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The data centre it stands in.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
    /// Where the process listens for the other processes.
    pub(crate) peer_address: SocketAddr,
    /// The platform's table.
    pub(crate) table_address: SocketAddr,
    /// The platform's object store.
    /// The platform's list of hosts.
    pub(crate) list_address: SocketAddr,
    /// How long the platform may take to answer.
    pub(crate) platform_timeout: Duration,
    /// Threads for requests.
    pub(crate) traffic_threads: usize,
    /// How long a graceful stop lasts at least.
    pub(crate) leave_linger: Duration,
    /// How long a graceful stop waits at most.
    pub(crate) leave_longest: Duration,
}

impl CommonSettings {
    /// Reads them all; faults stay with `reader`.
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

    /// Who this process is, from now on.
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

    /// The graceful stop that the settings ask for.
    pub(crate) fn drain_state(&self) -> DrainState {
        DrainState::new(self.leave_linger, self.leave_longest)
    }

    /// The platform's table.
    pub(crate) fn table(&self) -> Arc<dyn TableStore> {
        Arc::new(HttpTable(
            self.client(self.table_address, ErrorKind::TableUnavailable),
        ))
    }

    /// The platform's list of hosts.
    pub(crate) fn host_list(&self) -> Arc<dyn HostList> {
        Arc::new(HttpHostList(
            self.client(self.list_address, ErrorKind::StoreUnavailable),
        ))
    }

    /// A client of the platform's offer at `address`; `away` is the kind of its failures.
    pub(crate) fn client(&self, address: SocketAddr, away: ErrorKind) -> PlatformClient {
        Self::client_with_timeout(address, away, self.platform_timeout)
    }

    /// A client of an offer that may take `within` to answer, whatever the platform's usual limit.
    pub(crate) fn client_with_timeout(
        address: SocketAddr,
        away: ErrorKind,
        within: Duration,
    ) -> PlatformClient {
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        PlatformClient::new(address, client, within, away)
    }
}

impl SettingReader {
    /// A name of a host, data centre, region or service.
    pub(crate) fn name(&mut self, flag: &'static str) -> ByteString {
        let text = self.text(flag);
        let fits = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
        if !text.bytes().all(fits) {
            self.fault(format!(
                "--{flag}: \"{text}\" is no name; give letters, digits and -"
            ));
        }
        text.into()
    }

    /// An address.
    pub(crate) fn address(&mut self, flag: &'static str) -> SocketAddr {
        self.value(flag, NO_ADDRESS)
    }

    /// A span of whole milliseconds within `range`.
    pub(crate) fn millis(
        &mut self,
        flag: &'static str,
        range: std::ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(flag, range))
    }

    /// A small count within `range`.
    pub(crate) fn count(
        &mut self,
        flag: &'static str,
        range: std::ops::RangeInclusive<u64>,
    ) -> usize {
        usize::try_from(self.number(flag, range)).unwrap_or(usize::MAX)
    }
}
