//! Which requests were answered whole lately.
//!
//! Load pattern: calls without a body are the same request all day, and several of them are under way when a
//! rack with all backend servers of a service fails. None of them caused that.

use std::collections::VecDeque;
use std::time::Duration;

use super::request_digest::RequestDigest;
use crate::time::ClockTime;

/// For how long an answer speaks for a request. One that begins to do harm is not noticed for as long.
const ANSWERED_SPAN: Duration = Duration::from_secs(30);
/// Answers that are remembered.
const ANSWERS_MAX: usize = 4096;

/// The log.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredLog {
    /// In order of time.
    answers: VecDeque<(ClockTime, RequestDigest)>,
}

impl AnsweredLog {
    /// `request` was answered whole at `now`.
    pub(crate) fn push(&mut self, request: RequestDigest, now: ClockTime) {
        if self.answers.len() == ANSWERS_MAX {
            self.answers.pop_front();
        }
        self.answers.push_back((now, request));
    }

    /// Whether `request` was answered whole shortly before `now`.
    pub(crate) fn has(&self, request: RequestDigest, now: ClockTime) -> bool {
        let newest_first = self.answers.iter().rev();
        let mut lately = newest_first.take_while(|(at, _)| now.since(*at) < ANSWERED_SPAN);
        lately.any(|(_, answered)| *answered == request)
    }
}
