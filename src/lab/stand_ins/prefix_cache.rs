//! The prefix cache of an engine stand-in, and its log of events, which can have gaps.

use super::fault::FaultInjector;

/// Number of leading bytes of a prompt that form its prefix.
const PREFIX_BYTES: usize = 64;
const PREFIXES_MAX: usize = 32;
const EVENTS_MAX: usize = 256;

/// Least-recently-used cache of prompt prefixes.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// Digests of the cached prefixes, the most recently used last.
    held: Vec<String>,
    /// Events: number, digest of the prefix, and whether it was added (else evicted).
    events: Vec<(u64, String, bool)>,
    last_number: u64,
    /// Number of the newest event that was lost or dropped from the log.
    lost_up_to: u64,
}

impl PrefixCache {
    /// Marks the prefix of `prompt` as used, and returns whether it was cached before.
    pub(super) fn touch(&mut self, prompt: &str, faults: &FaultInjector) -> bool {
        let prefix = prefix_digest(prompt);
        let held_at = self.held.iter().position(|other| *other == prefix);
        if let Some(at) = held_at {
            self.held.remove(at);
        } else {
            self.record_event(prefix.clone(), true, faults);
        }
        self.held.push(prefix);
        if self.held.len() > PREFIXES_MAX {
            let evicted = self.held.remove(0);
            self.record_event(evicted, false, faults);
        }
        held_at.is_some()
    }

    /// Returns the events after number `after`, the number to continue from, and whether events
    /// after `after` are missing.
    pub(super) fn events_after(&self, after: u64) -> (Vec<(String, bool)>, u64, bool) {
        let newer = self.events.iter().filter(|(number, _, _)| *number > after);
        let events = newer.map(|(_, prefix, held)| (prefix.clone(), *held));
        (events.collect(), self.last_number, self.lost_up_to > after)
    }

    fn record_event(&mut self, prefix: String, held: bool, faults: &FaultInjector) {
        self.last_number += 1;
        if faults.applies(faults.settings().cache_gap_percent) {
            self.lost_up_to = self.last_number;
            return;
        }
        self.events.push((self.last_number, prefix, held));
        if self.events.len() > EVENTS_MAX {
            self.lost_up_to = self.events.remove(0).0;
        }
    }
}

/// Returns the identifier by which the engine reports the prefix of `prompt`.
pub(crate) fn prefix_digest(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    blake3::hash(prefix).to_hex()[..16].to_owned()
}
