//! The report of a run: the verdict, and a timeline of the actions before the first broken
//! promises.

use std::fmt::Write as _;
use std::time::Duration;

use serde_json::{Value, json};

use super::run_journal::{ActionRecord, RunRecords};
use super::run_judge::{CheckCounts, PromiseBreach};
use crate::time::ClockTime;

/// How long before the first broken promise the timeline begins.
const TIMELINE_SPAN: Duration = Duration::from_secs(25);
/// How many broken promises of each check the timeline shows, earliest first.
const BREACHES_SHOWN: usize = 4;

/// Parameters and begin of the run.
pub(super) struct RunSpan {
    pub(super) seed: u64,
    pub(super) processes: usize,
    pub(super) waves: usize,
    pub(super) begun: ClockTime,
}

/// The outcome of a run.
pub(super) struct RunReport {
    pub(super) span: RunSpan,
    pub(super) counts: CheckCounts,
    pub(super) breaches: Vec<PromiseBreach>,
}

impl RunReport {
    const fn verdict(&self) -> &'static str {
        if self.breaches.is_empty() {
            "held"
        } else {
            "broken"
        }
    }

    /// Formats the report for people.
    pub(super) fn text(&self, records: &RunRecords) -> String {
        let RunSpan {
            seed,
            processes,
            waves,
            ..
        } = self.span;
        let mut text = format!("seed {seed}, {processes} processes, {waves} waves\n");
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{:?}", self.counts);
        let _ = writeln!(text, "verdict: {}", self.verdict());
        for line in self.timeline(records) {
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Formats the report as JSON for programs.
    pub(super) fn json_value(&self, records: &RunRecords) -> Value {
        let breaches = self.breaches.iter().map(|breach| {
            json!({
                "at_s": self.seconds(breach.at), "promise": breach.promise, "seen": breach.text,
            })
        });
        json!({
            "seed": self.span.seed, "processes": self.span.processes, "waves": self.span.waves,
            "verdict": self.verdict(), "counts": self.counts,
            "breaches": breaches.collect::<Vec<_>>(), "timeline": self.timeline(records),
        })
    }

    /// Lists the first broken promises and the actions that led up to them, ordered by time.
    fn timeline(&self, records: &RunRecords) -> Vec<String> {
        let Some(first) = self.breaches.first() else {
            return Vec::new();
        };
        let from = first.at - TIMELINE_SPAN;
        let shown = self.breaches_shown();
        let until = shown.last().map_or(first.at, |last| last.at);
        let is_near = |action: &&ActionRecord| {
            action.begun <= until && action.ended.is_none_or(|ended| ended >= from)
        };
        let actions = records.actions.iter().filter(is_near);
        let actions = actions.map(|action| (action.begun, action.text.clone()));
        let breaches = shown.iter().map(|breach| {
            (
                breach.at,
                format!("BROKEN {}: {}", breach.promise, breach.text),
            )
        });
        let mut lines: Vec<(ClockTime, String)> = actions.chain(breaches).collect();
        lines.sort_by_key(|(at, _)| *at);
        let line = |(at, text): (ClockTime, String)| format!("{:8.3} s {text}", self.seconds(at));
        lines.into_iter().map(line).collect()
    }

    fn breaches_shown(&self) -> Vec<&PromiseBreach> {
        let is_early = |(place, breach): &(usize, &PromiseBreach)| {
            let earlier = self.breaches[..*place].iter();
            let same = earlier.filter(|other| other.promise == breach.promise);
            same.count() < BREACHES_SHOWN
        };
        let early = self.breaches.iter().enumerate().filter(is_early);
        early.map(|(_, breach)| breach).collect()
    }

    fn seconds(&self, at: ClockTime) -> f64 {
        at.since(self.span.begun).as_secs_f64()
    }
}
