//! Splits the bytes of a stream into complete events. A backend server may stop in the middle of an
//! event; an incomplete event is never passed on.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";
/// Longest event in bytes. Events are buffered until they are complete.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// A complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// Event id, if the event has a numeric one.
    pub(super) id: Option<u64>,
    /// Bytes of the event, including the empty line at its end.
    pub(super) bytes: Bytes,
}

/// Buffers the received bytes of a stream that have not been taken as events.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    buffer: BytesMut,
    /// Length of the part of the buffer that is known to contain no end of an event.
    searched: usize,
}

impl EventReader {
    /// Appends received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    pub(super) fn next(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether the buffer holds an incomplete event.
    pub(super) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the incomplete event in the buffer is longer than `EVENT_BYTES_MAX`.
    pub(super) fn is_too_long(&self) -> bool {
        self.buffer.len() > EVENT_BYTES_MAX
    }

    /// Returns the end of the first event, which is after an empty line.
    fn find_end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        (self.searched..bytes.len())
            .filter(|at| bytes[*at] == b'\n')
            .find_map(|at| match &bytes[at + 1..] {
                [b'\n', ..] => Some(at + 2),
                [b'\r', b'\n', ..] => Some(at + 3),
                _ => None,
            })
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
