//! Cuts a stream's bytes into whole events. A backend server may stop in the middle of one; what is
//! not whole is never passed on.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamEvent {
    /// Its id, if it has one.
    pub(super) id: Option<u64>,
    /// Its bytes, the empty line at its end included.
    pub(super) bytes: Bytes,
}

/// The bytes of a stream that have arrived and were not taken yet.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    buffer: BytesMut,
    /// Up to where no end of an event is in the buffer.
    searched: usize,
}

impl EventReader {
    /// Bytes arrived.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
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

    /// Whether part of an event is left.
    pub(super) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Where the first event ends: behind an empty line.
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
