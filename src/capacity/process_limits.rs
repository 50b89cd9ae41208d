//! How much a process may hold, from the memory and the descriptors of its host.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::key;

/// Sizes of the kernel's buffers of an accepted connection, in bytes, as they are set; the kernel
/// doubles them. Without a limit it enlarges each to several megabytes.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
pub(crate) const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Bytes that an open connection holds: the socket, its task, an empty read buffer, and what the
/// kernel has received before the process reads it.
pub(super) const CONNECTION_BYTES: usize = 24 * 1024 + 2 * RECEIVE_BUFFER_BYTES;
/// Bytes that a connection holds in addition while a head arrives: its read buffer doubles, up to
/// twice the largest head.
pub(super) const HEAD_BYTES: usize = 40 * 1024;
/// Bytes that a request in progress holds in addition: a short body, the connection to a backend
/// server, and a response in the buffers of the connection and of the kernel.
const REQUEST_BYTES: usize = 128 * 1024;
/// Header fields whose memory is part of [`REQUEST_BYTES`], and the memory of each further one: its
/// places in two copies of the map.
const FIELDS: usize = 128;
const FIELD_BYTES: usize = 256;
/// The size up to which a body is part of [`REQUEST_BYTES`].
pub(super) const SHORT_BODY_BYTES: usize = 16 * 1024;

/// The largest header fields together at listeners whose clients have no other limit, in bytes.
pub(super) const FIELD_BYTES_DEFAULT: usize = 16 * 1024;

/// Requests that a listener may always have in progress, so that load on one does not keep out the
/// requests of another, such as readiness probes.
pub(super) const ROLE_REQUESTS_MIN: usize = 16;
/// Connections that a listener may always have, for the same reason.
pub(super) const ROLE_CONNECTIONS_MIN: usize = 16;

/// Part of the memory that may be held for those that connect; the rest is for the process itself:
/// its state, its own calls, and what the allocator does not return.
const HELD_PART: (usize, usize) = (3, 5);
/// Part of that for connections, and the part from which on idle ones give way to requests and
/// bodies.
const CONNECTIONS_PART: (usize, usize) = (3, 4);
const CONNECTIONS_KEPT_PART: (usize, usize) = (1, 2);
/// Part of it for bodies. Together with the connections that are kept it leaves a rest for requests.
const BODIES_PART: (usize, usize) = (3, 8);
/// Part of the bytes for bodies that one client account or client address may take.
const CLIENT_PART: (usize, usize) = (1, 2);
/// Descriptors for files, pipes and timers.
const FILES: usize = 200;
/// Part of the other descriptors for accepted connections; the rest is for calls to others.
const ACCEPTED_PART: (usize, usize) = (3, 4);

/// The memory and the descriptors of a process.
#[apply(key!)]
pub(crate) struct ProcessLimits {
    /// Memory, in bytes.
    pub(crate) memory: usize,
    /// The number of descriptors.
    pub(crate) descriptors: usize,
}

impl Default for ProcessLimits {
    /// For processes whose settings do not state them.
    fn default() -> Self {
        Self {
            memory: 1_000_000_000,
            descriptors: 16_384,
        }
    }
}

impl ProcessLimits {
    /// Bytes that may be held in all.
    pub(super) const fn held_max(self) -> usize {
        part_of(self.memory, HELD_PART)
    }

    /// Bytes that connections may hold.
    pub(super) const fn connection_bytes_max(self) -> usize {
        part_of(self.held_max(), CONNECTIONS_PART)
    }

    /// Bytes of connections from which on idle ones give way to requests and bodies.
    pub(super) const fn connection_bytes_kept(self) -> usize {
        part_of(self.held_max(), CONNECTIONS_KEPT_PART)
    }

    /// Bytes that bodies beyond [`SHORT_BODY_BYTES`] may hold.
    pub(super) const fn body_bytes_max(self) -> usize {
        part_of(self.held_max(), BODIES_PART)
    }

    /// Bytes that such bodies of one client may hold.
    pub(super) const fn client_bytes_max(self) -> usize {
        part_of(self.body_bytes_max(), CLIENT_PART)
    }

    /// The number of accepted connections.
    pub(super) const fn connections_max(self) -> usize {
        part_of(self.descriptors.saturating_sub(FILES), ACCEPTED_PART)
    }
}

/// Bytes that a request with room for `fields` header fields holds.
pub(super) const fn request_bytes(fields: usize) -> usize {
    REQUEST_BYTES + fields.saturating_sub(FIELDS) * FIELD_BYTES
}

const fn part_of(whole: usize, (numerator, denominator): (usize, usize)) -> usize {
    whole / denominator * numerator
}

/// How long the clients of a listener may take.
#[apply(key!)]
pub(crate) struct ConnectionTimeouts {
    /// From the first byte of a head to its end.
    pub(crate) head: Duration,
    /// From a response to the next request, if that is limited.
    pub(crate) idle: Option<Duration>,
    /// From a head to the end of its body, if that is limited here.
    pub(crate) body: Option<Duration>,
}

impl Default for ConnectionTimeouts {
    /// For listeners that other processes of the system call; they keep idle connections.
    fn default() -> Self {
        Self {
            head: Duration::from_secs(5),
            idle: None,
            body: Some(Duration::from_secs(30)),
        }
    }
}
