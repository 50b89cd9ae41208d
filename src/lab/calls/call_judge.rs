//! Judges finished calls against what the stand-ins compute and record.

use std::collections::BTreeMap;

use macro_rules_attribute::apply;
use serde::Serialize;

use super::call_run::{CallAttempt, CallClass, FinishedCall};
use super::entry_balancer::EntryBalancer;
use super::lab_call::CallOutcome;
use crate::derives::{key, plain};
use crate::errors::RunOutcome;
use crate::lab::stand_ins::{PlainAnswer, PlainCall, token_text};
use crate::weights::WeightsDigest;

/// Characters of one token.
const TOKEN_CHARS: usize = 7;

/// What the judge came to.
#[apply(plain!)]
#[derive(Default, Serialize)]
pub(crate) struct CallCounts {
    /// Calls.
    pub(crate) requests: u64,
    /// Attempts at them.
    pub(crate) attempts: u64,
    /// Calls that ended in a whole answer.
    pub(crate) answered: u64,
    /// Calls whose last answer was "not run".
    pub(crate) refused: u64,
    /// Calls whose last answer was "not known", and calls without an answer from an entry host that
    /// was killed or frozen.
    pub(crate) not_known: u64,
    /// Calls whose last answer was the plain service's own fault.
    pub(crate) service_faults: u64,
    /// Streams that ended in an explicit error.
    pub(crate) broken: u64,
    /// Whole answers to calls that never reached the service, and calls without a final answer.
    pub(crate) lost: u64,
    /// Calls that may run once and ran more often.
    pub(crate) doubled: u64,
    /// Answers "not run" to calls that ran.
    pub(crate) false_not_run: u64,
    /// Clean ends of cut answers, and connections broken by a process that was neither killed nor
    /// frozen.
    pub(crate) cut: u64,
    /// Answers that began with one version of the weights and ended with another.
    pub(crate) mixed_versions: u64,
    /// Answers that belong to another call.
    pub(crate) crossed: u64,
    /// The codes with which calls ended that were not answered, by class.
    pub(crate) ends: BTreeMap<String, u64>,
    /// One line for each finding.
    pub(crate) findings: Vec<String>,
}

impl CallCounts {
    /// One line of what must be zero.
    pub(crate) fn summary(&self) -> String {
        format!(
            "lost {}, doubled {}, falsely \"not run\" {}, cut {}, mixed versions {}, crossed {}",
            self.lost,
            self.doubled,
            self.false_not_run,
            self.cut,
            self.mixed_versions,
            self.crossed
        )
    }

    /// Whether nothing happened that must never happen.
    pub(crate) const fn all_held(&self) -> bool {
        self.lost
            + self.doubled
            + self.false_not_run
            + self.cut
            + self.mixed_versions
            + self.crossed
            == 0
    }
}

/// What a text is, measured against the tokens of the versions.
#[apply(key!)]
pub(crate) enum TextVerdict {
    /// The beginning of the answer, by one version, so many tokens of it.
    OneVersion(u32),
    /// Right tokens of different versions.
    Mixed,
    /// Not the answer to this prompt.
    Foreign,
}

/// Judges calls.
pub(crate) struct CallJudge {
    /// The versions that were published.
    pub(crate) versions: Vec<WeightsDigest>,
    /// What reached the plain services.
    pub(crate) runs: Vec<PlainCall>,
    /// The balancer, which knows when entry hosts were disturbed.
    pub(crate) balancer: EntryBalancer,
}

impl CallJudge {
    /// Judges all of `calls`.
    pub(crate) fn judge<'a>(
        &self,
        calls: impl IntoIterator<Item = &'a FinishedCall>,
    ) -> CallCounts {
        let mut counts = CallCounts::default();
        for call in calls {
            self.judge_call(call, &mut counts);
        }
        counts
    }

    fn judge_call(&self, call: &FinishedCall, counts: &mut CallCounts) {
        counts.requests += 1;
        counts.attempts += call.attempts.len() as u64;
        for attempt in &call.attempts {
            self.judge_attempt(call, attempt, counts);
        }
        if let Some(last) = call.attempts.last() {
            count_end(call.class, last, counts);
        }
        if call.class.runs_at_most_once() {
            self.judge_once(call, counts);
        }
    }

    fn judge_attempt(&self, call: &FinishedCall, attempt: &CallAttempt, counts: &mut CallCounts) {
        let disturbed = || {
            self.balancer
                .was_disturbed(attempt.entry, attempt.sent, attempt.answered)
        };
        match &attempt.outcome {
            CallOutcome::Complete { text, .. } => self.judge_whole(call, attempt, text, counts),
            CallOutcome::Broken { text, .. } => {
                counts.broken += 1;
                self.judge_part(attempt, text, counts);
            }
            CallOutcome::Truncated { .. } => {
                counts.cut += 1;
                note(counts, "clean end of a cut answer", attempt);
            }
            CallOutcome::ConnectionLost(_) if !disturbed() => {
                counts.cut += 1;
                note(counts, "broken connection", attempt);
            }
            CallOutcome::ServiceFault { .. } if !is_plain(call.class) => {
                counts.crossed += 1;
                note(counts, "an answer of no known form", attempt);
            }
            CallOutcome::NoAnswer if !disturbed() => {
                counts.lost += 1;
                note(counts, "no final answer", attempt);
            }
            CallOutcome::Refused {
                run: RunOutcome::NotRun,
                ..
            } if self.runs.iter().any(|run| run.body == attempt.text) => {
                counts.false_not_run += 1;
                note(counts, "\"not run\" of an attempt that ran", attempt);
            }
            _ => {}
        }
    }

    fn judge_whole(
        &self,
        call: &FinishedCall,
        attempt: &CallAttempt,
        text: &str,
        counts: &mut CallCounts,
    ) {
        match call.class {
            CallClass::Urgent | CallClass::Normal | CallClass::Batch | CallClass::Stream => {
                if self
                    .judge_part(attempt, text, counts)
                    .is_some_and(|tokens| tokens < attempt.max_tokens)
                {
                    counts.cut += 1;
                    note(counts, "short answer told as whole", attempt);
                }
            }
            CallClass::Repeatable | CallClass::Once => {
                self.judge_plain(attempt, text, counts);
            }
        }
    }

    /// Counts what is wrong with the beginning of an answer; its tokens when nothing is.
    fn judge_part(
        &self,
        attempt: &CallAttempt,
        text: &str,
        counts: &mut CallCounts,
    ) -> Option<u32> {
        match judge_text(&self.versions, &attempt.text, text) {
            TextVerdict::OneVersion(tokens) => Some(tokens),
            TextVerdict::Mixed => {
                counts.mixed_versions += 1;
                note(counts, "mixed versions", attempt);
                None
            }
            TextVerdict::Foreign => {
                counts.crossed += 1;
                note(counts, "foreign answer", attempt);
                None
            }
        }
    }

    fn judge_plain(&self, attempt: &CallAttempt, text: &str, counts: &mut CallCounts) {
        match serde_json::from_str::<PlainAnswer>(text) {
            Ok(answer) if answer.body == attempt.text => {
                if !self.runs.iter().any(|run| run.body == attempt.text) {
                    counts.lost += 1;
                    note(counts, "answered, but never reached the service", attempt);
                }
            }
            _ => {
                counts.crossed += 1;
                note(counts, "foreign answer", attempt);
            }
        }
    }

    fn judge_once(&self, call: &FinishedCall, counts: &mut CallCounts) {
        let mut texts: Vec<&str> = call
            .attempts
            .iter()
            .map(|attempt| attempt.text.as_str())
            .collect();
        texts.sort_unstable();
        texts.dedup();
        let ran = self
            .runs
            .iter()
            .filter(|run| texts.binary_search(&run.body.as_str()).is_ok())
            .count();
        let Some(last) = call.attempts.last() else {
            return;
        };
        if ran > 1 {
            counts.doubled += 1;
            note(counts, &format!("ran {ran} times"), last);
        }
    }
}

const fn is_plain(class: CallClass) -> bool {
    matches!(class, CallClass::Repeatable | CallClass::Once)
}

fn count_end(class: CallClass, last: &CallAttempt, counts: &mut CallCounts) {
    if let Some(code) = end_code(&last.outcome) {
        let end = format!("{}: {code}", class.name());
        *counts.ends.entry(end).or_default() += 1;
    }
    match &last.outcome {
        CallOutcome::Complete { .. } => counts.answered += 1,
        CallOutcome::ServiceFault { .. } => counts.service_faults += 1,
        CallOutcome::Refused {
            run: RunOutcome::NotRun,
            ..
        } => counts.refused += 1,
        _ => counts.not_known += 1,
    }
}

/// How a call ended that was not answered.
fn end_code(outcome: &CallOutcome) -> Option<&str> {
    match outcome {
        CallOutcome::Complete { .. } => None,
        CallOutcome::Refused { code, .. } => Some(code),
        CallOutcome::ServiceFault { .. } => Some("service fault"),
        CallOutcome::Broken { .. } => Some("broken stream"),
        CallOutcome::Truncated { .. } => Some("cut stream"),
        CallOutcome::ConnectionLost(_) => Some("connection lost"),
        CallOutcome::NoAnswer => Some("no answer"),
    }
}

fn note(counts: &mut CallCounts, what: &str, attempt: &CallAttempt) {
    let line = format!(
        "{what}: \"{}\" request {} through entry {} at {}: {:?}",
        attempt.text, attempt.request_id, attempt.entry, attempt.answered.0, attempt.outcome
    );
    counts.findings.push(line);
}

/// What `text` is, as the beginning of the answer of one of `versions` to `prompt`.
pub(crate) fn judge_text(versions: &[WeightsDigest], prompt: &str, text: &str) -> TextVerdict {
    let tokens: Vec<&[u8]> = text.as_bytes().chunks(TOKEN_CHARS).collect();
    let makes = |version: &WeightsDigest, index: usize, token: &[u8]| {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        token_text(version, prompt, index).as_bytes() == token
    };
    let makes_all = |version: &WeightsDigest| {
        let mut all = tokens.iter().enumerate();
        all.all(|(index, token)| makes(version, index, token))
    };
    if versions.iter().any(makes_all) {
        return TextVerdict::OneVersion(u32::try_from(tokens.len()).unwrap_or(u32::MAX));
    }
    let made_by_any = |(index, token): (usize, &&[u8])| {
        versions.iter().any(|version| makes(version, index, token))
    };
    if tokens.iter().enumerate().all(made_by_any) {
        TextVerdict::Mixed
    } else {
        TextVerdict::Foreign
    }
}
