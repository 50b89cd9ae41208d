//! An engine's prefix cache and its events, which come with gaps.

use super::fault::FaultBoard;

/// Bytes at the beginning of a prompt that make its prefix.
const PREFIX_BYTES: usize = 64;
const PREFIXES_MAX: usize = 32;
const EVENTS_MAX: usize = 256;

/// The cache.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// The prefixes held, the one used last at the end.
    held: Vec<String>,
    /// Events with their numbers.
    events: Vec<(u64, String, bool)>,
    last_number: u64,
    lost_up_to: u64,
}

impl PrefixCache {
    /// Uses the prefix of `prompt`; returns whether it was held.
    pub(super) fn touch(&mut self, prompt: &str, faults: &FaultBoard) -> bool {
        let prefix = prefix_of(prompt);
        let held_at = self.held.iter().position(|known| *known == prefix);
        if let Some(at) = held_at {
            self.held.remove(at);
        } else {
            self.tell(prefix.clone(), true, faults);
        }
        self.held.push(prefix);
        if self.held.len() > PREFIXES_MAX {
            let dropped = self.held.remove(0);
            self.tell(dropped, false, faults);
        }
        held_at.is_some()
    }

    /// The events after number `after`, the number to ask from next, and whether some were lost.
    pub(super) fn news(&self, after: u64) -> (Vec<(String, bool)>, u64, bool) {
        let fresh = self.events.iter().filter(|(number, _, _)| *number > after);
        let events = fresh.map(|(_, prefix, held)| (prefix.clone(), *held));
        (events.collect(), self.last_number, self.lost_up_to > after)
    }

    fn tell(&mut self, prefix: String, held: bool, faults: &FaultBoard) {
        self.last_number += 1;
        if faults.strikes(faults.settings().cache_gap_percent) {
            self.lost_up_to = self.last_number;
            return;
        }
        self.events.push((self.last_number, prefix, held));
        if self.events.len() > EVENTS_MAX {
            self.lost_up_to = self.events.remove(0).0;
        }
    }
}

/// The name that the engine gives to the beginning of `prompt`.
pub(crate) fn prefix_of(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    blake3::hash(prefix).to_hex()[..16].to_owned()
}
