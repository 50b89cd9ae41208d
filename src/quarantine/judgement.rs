//! Finds out what crashes backend servers from what the requests in progress have in common.
//!
//! A suspect is the more likely to be the cause, the larger the share of its runs that end with a
//! crash. What only accompanies the cause has other runs, which are answered; and once the cause is
//! known, the crashes that it explains are evidence against nothing else.

use std::time::Duration;

use super::crash_record::{BackendIncarnation, CrashSuspect, SuspectDepth, UNKNOWN_TIME};
use crate::time::{ClockTime, StoreTime};

/// Number of different backend servers that have to crash before a suspect is quarantined.
pub(crate) const QUARANTINE_THRESHOLD: usize = 3;
/// Share of the runs of harmless requests that are interrupted by a crash. Backend servers rarely
/// crash by themselves, so that this is an upper limit.
const BASE_CRASH_SHARE: f64 = 0.01;
/// Logarithm of the likelihood ratio from which on a suspect is quarantined. Three crashes without
/// an answer reach 13.8, five crashes and twenty answers 10.7.
const SCORE_MIN: f64 = 9.5;

/// Value below which a part is cleared of its crashes, because so many requests with it are answered.
const HARMLESS_SCORE_MAX: f64 = 4.0;
/// Crashes this close together count once for a part of prompts: when a rack or a whole service
/// fails, common parts are in progress at most of its backend servers.
const COMMON_FAILURE_SPAN: Duration = Duration::from_millis(50);

/// A crash of which a suspect may be the cause.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspectCrash {
    pub(super) backend: BackendIncarnation,
    pub(super) seen: StoreTime,
}

/// The evidence about one suspect.
#[derive(Clone, Debug)]
pub(super) struct SuspectEvidence {
    pub(super) suspect: CrashSuspect,
    /// The crashes during which it was in progress, in order of time.
    pub(super) crashes: Vec<SuspectCrash>,
    /// Number of runs that went on or were answered.
    pub(super) answers: u32,
    /// When the evidence no longer suffices because crashes expire.
    pub(super) until: ClockTime,
}

/// What the evidence shows.
#[derive(Clone, Debug, Default)]
pub(super) struct Judgement {
    /// The quarantined suspects and when the quarantine of each ends, sorted by digest.
    pub(super) quarantined: Vec<(CrashSuspect, ClockTime)>,
    /// The suspects whose answers matter: those that one more crash may quarantine. What another one
    /// explains is among them, or without its answers it would seem to explain more.
    pub(super) at_risk: Vec<CrashSuspect>,
}

/// Judges all suspects with at least two crashes.
///
/// The most likely cause is taken first, and the crashes that it explains no longer count for the
/// others. Whole requests that are equally likely are all taken: nothing tells them apart, and each
/// is one request only.
pub(super) fn judge(mut evidence: Vec<SuspectEvidence>) -> Judgement {
    let mut judgement = Judgement {
        at_risk: evidence.iter().map(|other| other.suspect).collect(),
        ..Judgement::default()
    };
    let mut explained: Vec<BackendIncarnation> = Vec::new();
    while let Some(best) = most_likely(&evidence, &explained) {
        let causes: Vec<SuspectEvidence> = evidence
            .extract_if(.., |other| {
                let is_best = other.suspect == best.suspect;
                is_best || best.is_tied_with(likelihood(other, &explained))
            })
            .collect();
        for cause in causes {
            judgement.quarantined.push((cause.suspect, cause.until));
            explained.extend(cause.crashes.iter().map(|crash| crash.backend));
        }
        explained.sort_unstable();
    }
    judgement.quarantined.sort_unstable();
    judgement
}

/// How likely a suspect is the cause of the crashes that are not explained.
#[derive(Clone, Copy, Debug)]
struct Likelihood {
    suspect: CrashSuspect,
    score: f64,
}

impl Likelihood {
    fn is_tied_with(self, other: Option<Self>) -> bool {
        let is_whole = |likelihood: Self| likelihood.suspect.depth == SuspectDepth::WHOLE;
        other.is_some_and(|other| {
            is_whole(self) && is_whole(other) && self.score.total_cmp(&other.score).is_eq()
        })
    }
}

/// Returns the most likely cause of the crashes that are not explained, if any suspect is likely
/// enough.
fn most_likely(
    evidence: &[SuspectEvidence],
    explained: &[BackendIncarnation],
) -> Option<Likelihood> {
    let likelihoods = evidence
        .iter()
        .filter_map(|other| likelihood(other, explained));
    likelihoods.max_by(|left, right| {
        left.score
            .total_cmp(&right.score)
            .then(left.suspect.depth.cmp(&right.suspect.depth))
            .then(left.suspect.digest.cmp(&right.suspect.digest))
    })
}

/// Returns how likely a suspect is the cause, or `None` if it is not likely enough.
fn likelihood(evidence: &SuspectEvidence, explained: &[BackendIncarnation]) -> Option<Likelihood> {
    let crashes = unexplained(evidence, explained);
    let independent = independent_crashes(evidence.suspect, &crashes);
    let is_likely = score(independent, evidence.answers) >= SCORE_MIN;
    (independent >= QUARANTINE_THRESHOLD && is_likely).then(|| Likelihood {
        suspect: evidence.suspect,
        // All crashes count for the order: a part explains more of them than any request with it.
        score: score(crashes.len(), evidence.answers),
    })
}

/// Returns the crashes that are not explained.
fn unexplained(evidence: &SuspectEvidence, explained: &[BackendIncarnation]) -> Vec<SuspectCrash> {
    let mut crashes = evidence.crashes.clone();
    crashes.retain(|crash| explained.binary_search(&crash.backend).is_err());
    crashes
}

/// Returns how many of `crashes`, in order of time, are independent of each other.
fn independent_crashes(suspect: CrashSuspect, crashes: &[SuspectCrash]) -> usize {
    if suspect.depth == SuspectDepth::WHOLE {
        return crashes.len();
    }
    let mut count = 0;
    let mut failed: Option<StoreTime> = None;
    for crash in crashes {
        let is_separate = failed.is_none_or(|since| {
            crash.seen == UNKNOWN_TIME || crash.seen.since(since) >= COMMON_FAILURE_SPAN
        });
        if is_separate {
            count += 1;
            failed = Some(crash.seen);
        }
    }
    count
}

/// Returns whether a part with these `crashes` and `answers` is harmless.
pub(super) fn is_harmless(crashes: usize, answers: u32) -> bool {
    answers > 0 && score(crashes, answers) < HARMLESS_SCORE_MAX
}

/// Returns the logarithm of how much more likely `crashes` and `answers` are if the suspect causes
/// crashes, with the share that was observed, than if it does not.
fn score(crashes: usize, answers: u32) -> f64 {
    let crashes = f64::from(u32::try_from(crashes).unwrap_or(u32::MAX));
    let answers = f64::from(answers);
    let share = crashes / (crashes + answers);
    if crashes == 0.0 || share <= BASE_CRASH_SHARE {
        return 0.0;
    }
    let of_crashes = crashes * (share / BASE_CRASH_SHARE).ln();
    let of_answers = if answers > 0.0 {
        answers * ((1.0 - share) / (1.0 - BASE_CRASH_SHARE)).ln()
    } else {
        0.0
    };
    of_crashes + of_answers
}
