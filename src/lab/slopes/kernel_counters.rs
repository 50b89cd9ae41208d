//! Reads the kernel's counters of a process: bytes and segments of its connections, processor time
//! of its threads, and resident memory.

use std::fs;
use std::net::SocketAddr;

use tokio::process::Command;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Length of the IPv4 and TCP headers of a segment, including the timestamp option.
const HEADER_BYTES: u64 = 52;
/// Name of the thread that owns the control state.
const CONTROL_THREAD: &str = "control";

/// The kernel's counters of one TCP connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ConnectionCounters {
    pub(super) process_id: u32,
    pub(super) local: SocketAddr,
    pub(super) remote: SocketAddr,
    /// Payload in both directions, in bytes.
    pub(super) payload_bytes: u64,
    /// Segments in both directions, acknowledgements included.
    pub(super) segments: u64,
}

impl ConnectionCounters {
    /// Bytes on the wire in both directions, including headers.
    pub(super) const fn wire_bytes(&self) -> u64 {
        self.payload_bytes + HEADER_BYTES * self.segments
    }

    /// Whether `address` is the local or the remote end.
    pub(super) fn involves(&self, address: SocketAddr) -> bool {
        self.local == address || self.remote == address
    }
}

/// Reads the counters of every established TCP connection on this machine.
///
/// # Errors
///
/// `SettingInvalid` when `ss` cannot be started.
pub(super) async fn read_connections() -> SwitchResult<Vec<ConnectionCounters>> {
    let output = Command::new("ss")
        .args(["-tinpHO", "state", "established"])
        .output()
        .await
        .map_err(|error| {
            let detail = format!("cannot run ss: {error}; install iproute2");
            SwitchError::new(ErrorKind::SettingInvalid, detail)
        })?;
    let text = String::from_utf8_lossy(&output.stdout);
    Ok(text.lines().filter_map(parse_connection).collect())
}

/// Parses one line of the output of `ss`; `None` when it lacks an address, a process id or the
/// number of segments sent.
fn parse_connection(line: &str) -> Option<ConnectionCounters> {
    let mut addresses = line
        .split_whitespace()
        .filter_map(|field| field.parse().ok());
    let (local, remote) = (addresses.next()?, addresses.next()?);
    let number_after = |name: &str| -> Option<u64> {
        let remainder = line.split(name).nth(1)?;
        let digits = remainder
            .split(|character: char| !character.is_ascii_digit())
            .next()?;
        digits.parse().ok()
    };
    let process_id = u32::try_from(number_after("pid=")?).ok()?;
    let sent = number_after(" bytes_sent:").unwrap_or(0);
    let received = number_after(" bytes_received:").unwrap_or(0);
    Some(ConnectionCounters {
        process_id,
        local,
        remote,
        payload_bytes: sent + received,
        segments: number_after(" segs_out:")? + number_after(" segs_in:").unwrap_or(0),
    })
}

/// The increase of the counters of each connection from `before` to `after`. A connection that is
/// only in `after` counts in full; one that is only in `before` is left out.
pub(super) fn counter_increases(
    before: &[ConnectionCounters],
    after: &[ConnectionCounters],
) -> Vec<ConnectionCounters> {
    after
        .iter()
        .map(|newer| {
            let older = before.iter().find(|older| {
                (older.process_id, older.local, older.remote)
                    == (newer.process_id, newer.local, newer.remote)
            });
            let (bytes, segments) =
                older.map_or((0, 0), |older| (older.payload_bytes, older.segments));
            ConnectionCounters {
                payload_bytes: newer.payload_bytes.saturating_sub(bytes),
                segments: newer.segments.saturating_sub(segments),
                ..newer.clone()
            }
        })
        .collect()
}

/// Processor time of a process since its start, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CpuTime {
    /// Time of the thread that owns the control state.
    pub(super) control_ns: u64,
    /// Time of all threads that exist.
    pub(super) total_ns: u64,
}

/// Reads the processor time of a process; zero when the process does not exist.
pub(super) fn read_cpu_time(process_id: u32) -> CpuTime {
    let mut time = CpuTime::default();
    let Ok(threads) = fs::read_dir(format!("/proc/{process_id}/task")) else {
        return time;
    };
    for thread in threads.flatten() {
        let name = fs::read_to_string(thread.path().join("comm")).unwrap_or_default();
        let schedstat = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let nanos: u64 = schedstat
            .split_whitespace()
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        time.total_ns += nanos;
        if name.trim() == CONTROL_THREAD {
            time.control_ns += nanos;
        }
    }
    time
}

/// Reads the resident memory of a process, in KiB; zero when it cannot be read.
pub(super) fn read_resident_kib(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let fields = line.map(str::split_whitespace);
    let kib = fields.and_then(|mut fields| fields.nth(1));
    kib.and_then(|text| text.parse().ok()).unwrap_or(0)
}
