//! Checks finished calls against what the stand-ins compute and record.

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

/// Characters per token of the stand-in engine.
const TOKEN_CHARS: usize = 7;

/// Results of the checks. The reports contain the field names.
#[apply(plain!)]
#[derive(Default, Serialize)]
pub(crate) struct CallCounts {
    /// Number of calls.
    pub(crate) requests: u64,
    /// Number of attempts of these calls.
    pub(crate) attempts: u64,
    /// Calls that ended with a complete answer.
    pub(crate) answered: u64,
    /// Calls whose last answer said that the request did not run.
    pub(crate) refused: u64,
    /// Calls that ended in any other way: it is not known whether the request ran. Covers broken
    /// and truncated streams, lost connections and missing answers.
    pub(crate) not_known: u64,
    /// Calls whose last answer was an error of the plain service itself.
    pub(crate) service_faults: u64,
    /// Streams that ended with an explicit error.
    pub(crate) broken: u64,
    /// Complete answers to calls that never reached the service, and attempts without a final
    /// answer from an undisturbed entry host.
    pub(crate) lost: u64,
    /// Calls that may run at most once, but ran more often.
    pub(crate) doubled: u64,
    /// Answers saying that the request did not run, although it ran.
    pub(crate) false_not_run: u64,
    /// Answers that ended early without an error, and connections broken by a process that was
    /// neither killed nor frozen.
    pub(crate) cut: u64,
    /// Answers with tokens of more than one version of the weights.
    pub(crate) mixed_versions: u64,
    /// Answers that do not belong to their call.
    pub(crate) crossed: u64,
    /// Number of unanswered calls by class and error code.
    pub(crate) ends: BTreeMap<String, u64>,
    /// One line per finding.
    pub(crate) findings: Vec<String>,
}

impl CallCounts {
    /// Formats the counts that must be zero as one line.
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

    /// Whether all counts that must be zero are zero.
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

/// How a text compares with the tokens of the published versions.
#[apply(key!)]
pub(crate) enum TextVerdict {
    /// The begin of one version's answer, with the number of its tokens.
    OneVersion(u32),
    /// Correct tokens, but of different versions.
    Mixed,
    /// Not an answer to this prompt.
    Foreign,
}

/// Checks calls against the published versions and the runs at plain services.
pub(crate) struct CallJudge {
    /// The published versions of the weights.
    pub(crate) versions: Vec<WeightsDigest>,
    /// The calls that reached the plain services.
    pub(crate) runs: Vec<PlainCall>,
    /// The balancer, which recorded when entry hosts were disturbed.
    pub(crate) balancer: EntryBalancer,
}

impl CallJudge {
    /// Checks all of `calls`.
    pub(crate) fn judge<'a>(
        &self,
        calls: impl IntoIterator<Item = &'a FinishedCall>,
    ) -> CallCounts {
        let mut counts = CallCounts::default();
        for call in calls {
            self.check_call(call, &mut counts);
        }
        counts
    }

    fn check_call(&self, call: &FinishedCall, counts: &mut CallCounts) {
        counts.requests += 1;
        counts.attempts += call.attempts.len() as u64;
        for attempt in &call.attempts {
            self.check_attempt(call, attempt, counts);
        }
        if let Some(last) = call.attempts.last() {
            count_end(call.class, last, counts);
        }
        if call.class.runs_at_most_once() {
            self.check_single_run(call, counts);
        }
    }

    fn check_attempt(&self, call: &FinishedCall, attempt: &CallAttempt, counts: &mut CallCounts) {
        let disturbed = || {
            self.balancer
                .was_disturbed(attempt.entry, attempt.sent, attempt.answered)
        };
        match &attempt.outcome {
            CallOutcome::Complete { text, .. } => self.check_complete(call, attempt, text, counts),
            CallOutcome::Broken { text, .. } => {
                counts.broken += 1;
                self.check_tokens(attempt, text, counts);
            }
            CallOutcome::Truncated { .. } => {
                counts.cut += 1;
                add_finding(counts, "truncated answer without an error", attempt);
            }
            CallOutcome::ConnectionLost(_) if !disturbed() => {
                counts.cut += 1;
                add_finding(counts, "broken connection", attempt);
            }
            CallOutcome::ServiceFault { .. } if !is_plain(call.class) => {
                counts.crossed += 1;
                add_finding(counts, "answer of unknown form", attempt);
            }
            CallOutcome::NoAnswer if !disturbed() => {
                counts.lost += 1;
                add_finding(counts, "no final answer", attempt);
            }
            CallOutcome::Refused {
                run: RunOutcome::NotRun,
                ..
            } if self.runs.iter().any(|run| run.body == attempt.text) => {
                counts.false_not_run += 1;
                add_finding(counts, "answered \"not run\", but the attempt ran", attempt);
            }
            _ => {}
        }
    }

    fn check_complete(
        &self,
        call: &FinishedCall,
        attempt: &CallAttempt,
        text: &str,
        counts: &mut CallCounts,
    ) {
        match call.class {
            CallClass::Urgent | CallClass::Normal | CallClass::Batch | CallClass::Stream => {
                if self
                    .check_tokens(attempt, text, counts)
                    .is_some_and(|tokens| tokens < attempt.max_tokens)
                {
                    counts.cut += 1;
                    add_finding(counts, "short answer marked as complete", attempt);
                }
            }
            CallClass::Repeatable | CallClass::Once => {
                self.check_plain_answer(attempt, text, counts);
            }
        }
    }

    /// Checks a complete or partial answer; returns its number of tokens if it is correct.
    fn check_tokens(
        &self,
        attempt: &CallAttempt,
        text: &str,
        counts: &mut CallCounts,
    ) -> Option<u32> {
        match compare_text(&self.versions, &attempt.text, text) {
            TextVerdict::OneVersion(tokens) => Some(tokens),
            TextVerdict::Mixed => {
                counts.mixed_versions += 1;
                add_finding(counts, "answer of mixed versions", attempt);
                None
            }
            TextVerdict::Foreign => {
                counts.crossed += 1;
                add_finding(counts, "foreign answer", attempt);
                None
            }
        }
    }

    fn check_plain_answer(&self, attempt: &CallAttempt, text: &str, counts: &mut CallCounts) {
        match serde_json::from_str::<PlainAnswer>(text) {
            Ok(answer) if answer.body == attempt.text => {
                if !self.runs.iter().any(|run| run.body == attempt.text) {
                    counts.lost += 1;
                    add_finding(
                        counts,
                        "answered, but the call never reached the service",
                        attempt,
                    );
                }
            }
            _ => {
                counts.crossed += 1;
                add_finding(counts, "foreign answer", attempt);
            }
        }
    }

    fn check_single_run(&self, call: &FinishedCall, counts: &mut CallCounts) {
        let mut texts: Vec<&str> = call
            .attempts
            .iter()
            .map(|attempt| attempt.text.as_str())
            .collect();
        texts.sort_unstable();
        texts.dedup();
        let run_count = self
            .runs
            .iter()
            .filter(|run| texts.binary_search(&run.body.as_str()).is_ok())
            .count();
        let Some(last) = call.attempts.last() else {
            return;
        };
        if run_count > 1 {
            counts.doubled += 1;
            add_finding(counts, &format!("ran {run_count} times"), last);
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

/// The error code of a call that was not answered.
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

fn add_finding(counts: &mut CallCounts, what: &str, attempt: &CallAttempt) {
    let line = format!(
        "{what}: \"{}\" request {} through entry {} at {}: {:?}",
        attempt.text, attempt.request_id, attempt.entry, attempt.answered.0, attempt.outcome
    );
    counts.findings.push(line);
}

/// Compares `text` with the begin of each version's answer to `prompt`.
pub(crate) fn compare_text(versions: &[WeightsDigest], prompt: &str, text: &str) -> TextVerdict {
    let tokens: Vec<&[u8]> = text.as_bytes().chunks(TOKEN_CHARS).collect();
    let is_token_of = |version: &WeightsDigest, index: usize, token: &[u8]| {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        token_text(version, prompt, index).as_bytes() == token
    };
    let is_answer_of = |version: &WeightsDigest| {
        let mut all = tokens.iter().enumerate();
        all.all(|(index, token)| is_token_of(version, index, token))
    };
    if versions.iter().any(is_answer_of) {
        return TextVerdict::OneVersion(u32::try_from(tokens.len()).unwrap_or(u32::MAX));
    }
    let is_token_of_any = |(index, token): (usize, &&[u8])| {
        versions
            .iter()
            .any(|version| is_token_of(version, index, token))
    };
    if tokens.iter().enumerate().all(is_token_of_any) {
        TextVerdict::Mixed
    } else {
        TextVerdict::Foreign
    }
}
