//! Which requests were recently answered in full.
//!
//! Load pattern: calls without a body are the same request all day, and several of them are in
//! progress when a rack with all backend servers of a service fails. None of them is the cause.

use std::collections::VecDeque;
use std::time::Duration;

use super::suspect_digest::SuspectDigest;
use crate::time::ClockTime;

/// How long a complete answer shows that a request is harmless. If the request becomes harmful, it
/// stays undetected for up to this long.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);
/// Largest number of answers in the log; the oldest one is evicted first.
const ANSWERS_MAX: usize = 4096;

/// Log of the requests that were answered in full during the last `ANSWER_RETENTION`.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAnswers {
    /// In order of time.
    answers: VecDeque<(ClockTime, SuspectDigest)>,
}

impl RecentAnswers {
    /// Records that `request` was answered in full at `now`.
    pub(crate) fn push(&mut self, request: SuspectDigest, now: ClockTime) {
        if self.answers.len() == ANSWERS_MAX {
            self.answers.pop_front();
        }
        self.answers.push_back((now, request));
    }

    /// Returns whether `request` was answered in full within `ANSWER_RETENTION` before `now`.
    pub(crate) fn contains(&self, request: SuspectDigest, now: ClockTime) -> bool {
        let newest_first = self.answers.iter().rev();
        let mut recent = newest_first.take_while(|(at, _)| now.since(*at) < ANSWER_RETENTION);
        recent.any(|(_, answered)| *answered == request)
    }
}
