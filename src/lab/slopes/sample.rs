//! What the system's kernel counts of a process: bytes and segments of its connections, processor
//! time of its threads, memory.

use std::fs;
use std::net::SocketAddr;

use tokio::process::Command;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Bytes of the IPv4 and TCP headers of a segment, with the timestamp option.
const HEADER_BYTES: u64 = 52;
/// The name of the thread for control state.
const CONTROL_THREAD: &str = "control";

/// One connection as the kernel counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ConnectionCount {
    pub(super) process: u32,
    pub(super) local: SocketAddr,
    pub(super) remote: SocketAddr,
    /// Payload in both directions.
    pub(super) payload_bytes: u64,
    /// Segments in both directions, acknowledgements included.
    pub(super) segments: u64,
}

impl ConnectionCount {
    /// Bytes on the wire, headers included.
    pub(super) const fn wire_bytes(&self) -> u64 {
        self.payload_bytes + HEADER_BYTES * self.segments
    }

    /// Whether one of its ends is `address`.
    pub(super) fn touches(&self, address: SocketAddr) -> bool {
        self.local == address || self.remote == address
    }
}

/// Every open TCP connection of this machine's processes.
///
/// # Errors
///
/// `SettingInvalid` when `ss` cannot be run.
pub(super) async fn read_connections() -> SwitchResult<Vec<ConnectionCount>> {
    let output = Command::new("ss")
        .args(["-tinpHO", "state", "established"])
        .output()
        .await
        .map_err(|fault| {
            let detail = format!("cannot run ss: {fault}; install iproute2");
            SwitchError::new(ErrorKind::SettingInvalid, detail)
        })?;
    let text = String::from_utf8_lossy(&output.stdout);
    Ok(text.lines().filter_map(read_line).collect())
}

fn read_line(line: &str) -> Option<ConnectionCount> {
    let mut addresses = line.split_whitespace().filter_map(|word| word.parse().ok());
    let (local, remote) = (addresses.next()?, addresses.next()?);
    let number = |name: &str| -> Option<u64> {
        let rest = line.split(name).nth(1)?;
        let digits = rest.split(|letter: char| !letter.is_ascii_digit()).next()?;
        digits.parse().ok()
    };
    let process = u32::try_from(number("pid=")?).ok()?;
    let sent = number(" bytes_sent:").unwrap_or(0);
    let received = number(" bytes_received:").unwrap_or(0);
    Some(ConnectionCount {
        process,
        local,
        remote,
        payload_bytes: sent + received,
        segments: number(" segs_out:")? + number(" segs_in:").unwrap_or(0),
    })
}

/// What grew between `before` and `after`; a connection that is new counts whole.
pub(super) fn growth(
    before: &[ConnectionCount],
    after: &[ConnectionCount],
) -> Vec<ConnectionCount> {
    after
        .iter()
        .map(|now| {
            let known = before.iter().find(|then| {
                (then.process, then.local, then.remote) == (now.process, now.local, now.remote)
            });
            let (bytes, segments) =
                known.map_or((0, 0), |then| (then.payload_bytes, then.segments));
            ConnectionCount {
                payload_bytes: now.payload_bytes.saturating_sub(bytes),
                segments: now.segments.saturating_sub(segments),
                ..now.clone()
            }
        })
        .collect()
}

/// Processor time of a process so far, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessorTime {
    /// Of the thread for control state.
    pub(super) control: u64,
    /// Of all threads.
    pub(super) whole: u64,
}

/// Processor time of `process` so far; zero when it is not there.
pub(super) fn read_processor(process: u32) -> ProcessorTime {
    let mut time = ProcessorTime::default();
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return time;
    };
    for thread in threads.flatten() {
        let name = fs::read_to_string(thread.path().join("comm")).unwrap_or_default();
        let counts = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let nanos: u64 = counts
            .split_whitespace()
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        time.whole += nanos;
        if name.trim() == CONTROL_THREAD {
            time.control += nanos;
        }
    }
    time
}

/// Resident memory of `process`, in kilobytes.
pub(super) fn read_resident(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let words = line.map(str::split_whitespace);
    let kilobytes = words.and_then(|mut words| words.nth(1));
    kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0)
}
