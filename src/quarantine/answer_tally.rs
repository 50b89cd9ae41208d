//! Counts the answers to requests with a part of a prompt, as evidence that the part is harmless.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::suspect_digest::SuspectDigest;
use crate::derives::{message, plain};
use crate::time::ClockTime;

/// How long before the first crash answers count. A part that becomes harmful is recognized later
/// the longer this is.
const RECENT_SPAN: Duration = Duration::from_secs(10);
/// Largest number of parts that are counted; the one without an answer for the longest time is
/// evicted.
const PARTS_MAX: usize = 4096;

/// How many requests with a part one process saw answered.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct AnswerCount {
    /// Digest of the part.
    pub(crate) part: SuspectDigest,
    /// The process that counted them.
    pub(crate) process: u64,
    /// Their number since shortly before the part was first suspected.
    pub(crate) answers: u32,
}

#[apply(plain!)]
#[derive(Copy)]
struct PartCount {
    part: SuspectDigest,
    total: u32,
    /// Total at the beginning of the current half of the recent span, and of the one before.
    total_at_half: u32,
    total_before_half: u32,
    half_started: ClockTime,
    last: ClockTime,
    /// Total from which on answers count, once the part is suspected.
    base: Option<u32>,
    /// The count that was last taken.
    taken: u32,
}

impl PartCount {
    fn new(part: SuspectDigest, now: ClockTime) -> Self {
        Self {
            part,
            total: 0,
            total_at_half: 0,
            total_before_half: 0,
            half_started: now,
            last: now,
            base: None,
            taken: 0,
        }
    }

    fn push(&mut self, now: ClockTime) {
        self.advance(now);
        self.total = self.total.saturating_add(1);
        self.last = now;
    }

    fn advance(&mut self, now: ClockTime) {
        let passed = now.since(self.half_started);
        if passed >= RECENT_SPAN / 2 {
            let is_next = passed < RECENT_SPAN;
            self.total_before_half = if is_next {
                self.total_at_half
            } else {
                self.total
            };
            self.total_at_half = self.total;
            self.half_started = now;
        }
    }
}

/// The answers that this process saw, by part.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTally {
    /// Sorted by part.
    counts: Vec<PartCount>,
}

impl AnswerTally {
    /// Records an answer at `now` to a request with `part`.
    pub(crate) fn push(&mut self, part: SuspectDigest, now: ClockTime) {
        let at = match self.find(part) {
            Ok(at) => at,
            Err(_) => self.insert(part, now),
        };
        self.counts[at].push(now);
    }

    /// Takes the counts of the suspected `parts` that are at least twice what was last taken.
    /// Smaller differences do not change a judgement.
    pub(crate) fn take_changed(
        &mut self,
        parts: &[SuspectDigest],
        now: ClockTime,
    ) -> Vec<(SuspectDigest, u32)> {
        let mut changed = Vec::new();
        for part in parts {
            let Ok(at) = self.find(*part) else {
                continue;
            };
            let count = &mut self.counts[at];
            count.advance(now);
            let recent = count.total_before_half;
            let base = *count.base.get_or_insert(recent);
            let answers = count.total.saturating_sub(base);
            if answers > 0 && answers >= count.taken.saturating_mul(2) {
                count.taken = answers;
                changed.push((*part, answers));
            }
        }
        changed
    }

    fn find(&self, part: SuspectDigest) -> Result<usize, usize> {
        self.counts.binary_search_by_key(&part, |count| count.part)
    }

    fn insert(&mut self, part: SuspectDigest, now: ClockTime) -> usize {
        if self.counts.len() == PARTS_MAX {
            let oldest = (0..PARTS_MAX).min_by_key(|at| self.counts[*at].last);
            oldest.map(|at| self.counts.remove(at));
        }
        let at = self.counts.partition_point(|count| count.part < part);
        self.counts.insert(at, PartCount::new(part, now));
        at
    }
}
