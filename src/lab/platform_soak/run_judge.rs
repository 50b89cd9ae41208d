//! Which promises were broken, from what clients and backend servers saw.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::run_journal::{
    CallEnd, CallRecord, KeyLife, PlannedWork, RunRecords, SoakPart, WorkRecord,
};
use crate::derives::plain;
use crate::platform::{BackendRun, RunEnd};
use crate::time::ClockTime;

/// How long nothing must have disturbed a part until bounds hold for it.
pub(super) const CONTACT: Duration = Duration::from_secs(3);
/// How long after its naming a version must have replaced the older one.
const VERSION_WITHIN: Duration = Duration::from_secs(8);
/// How long after the store took it a document must be in force.
const DOCUMENT_WITHIN: Duration = Duration::from_secs(2);
/// How long a process that got SIGTERM may take.
const GRACE: Duration = Duration::from_secs(8);
/// How much longer answers that end unfinished count as cut by it.
const GRACE_SLACK: Duration = Duration::from_secs(1);
/// A request that was sent so long after SIGTERM at most and is still under way in the last sixth of
/// the grace may be cut.
const LATE_SEND: Duration = Duration::from_secs(3);
const LATE_WORK: Duration = Duration::from_millis(8000 * 5 / 6);
/// How much longer than its bound answers that end unfinished count as cut by a document.
const DOCUMENT_SLACK: Duration = Duration::from_secs(1);
/// The part of its time behind which a document is not taken for what cut a request, in tenths.
const TIME_USED_TENTHS: u32 = 7;
/// How long before its time is over a request's end counts as its time's.
const TIME_SLACK: Duration = Duration::from_millis(200);
/// How long after the last fault service is back.
pub(super) const RECOVERED_WITHIN: Duration = Duration::from_secs(12);
/// The least part of all calls that are served then. Load is light, so that none needs a refusal.
const SERVED_LEAST: f64 = 0.9;
/// Statuses that promise that the request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [429, 503, 408, 421];
/// Statuses that say that the document does not allow the request.
const DENIED_STATUSES: [u16; 3] = [401, 403, 404];

/// A broken promise.
#[apply(plain!)]
pub(super) struct PromiseBreach {
    /// When it showed.
    pub(super) at: ClockTime,
    /// The promise, in one word.
    pub(super) promise: &'static str,
    /// What was seen.
    pub(super) text: String,
}

/// How often each check had something to look at. A check that looked at nothing proves nothing.
#[apply(plain!)]
#[derive(Default, serde::Serialize)]
pub(super) struct CheckCounts {
    /// Calls that ended.
    pub(super) calls: usize,
    /// Whole answers.
    pub(super) whole: usize,
    /// Answers that promise "not run".
    pub(super) not_run: usize,
    /// Connections that broke.
    pub(super) broken: usize,
    /// Calls whose clients stopped waiting.
    pub(super) abandoned: usize,
    /// Calls that ran and ended around planned work, with no fault on their way.
    pub(super) beside_work: usize,
    /// Calls that ran and ended at other times, with no fault on their way.
    pub(super) aside: usize,
    /// Those of them whose answers ended unfinished.
    pub(super) cut_aside: usize,
    /// Runs at backend servers.
    pub(super) runs: usize,
    /// Runs that a version's bound was in force for.
    pub(super) version_bound: usize,
    /// Calls with a key that had been revoked for longer than the bound, in contact.
    pub(super) revoked: usize,
    /// Calls behind the time in which service is back.
    pub(super) after_recovery: usize,
    /// Those of them that were served.
    pub(super) served_again: usize,
}

/// Looks at everything so far. `calms` are the spans without faults, each with its begin and its end.
pub(super) fn judge(
    records: &RunRecords,
    calms: &[(ClockTime, ClockTime)],
) -> (CheckCounts, Vec<PromiseBreach>) {
    let mut judge = RunJudge {
        records,
        calls: records.calls.iter().collect(),
        counts: CheckCounts::default(),
        breaches: Vec::new(),
    };
    judge
        .calls
        .sort_by(|left, right| left.attempt.cmp(&right.attempt));
    let seen = records.breaches.iter().cloned();
    let seen = seen.map(|(at, text)| breach(at, "process", text));
    judge.breaches.extend(seen);
    judge.check_runs();
    for call in &records.calls {
        judge.check_call(call);
    }
    for calm in calms {
        judge.check_recovery(*calm);
    }
    judge.breaches.sort_by_key(|breach| breach.at);
    (judge.counts, judge.breaches)
}

struct RunJudge<'a> {
    records: &'a RunRecords,
    /// Sorted by their names.
    calls: Vec<&'a CallRecord>,
    counts: CheckCounts,
    breaches: Vec<PromiseBreach>,
}

impl<'a> RunJudge<'a> {
    fn call_of(&self, attempt: &str) -> Option<&'a CallRecord> {
        let found = self
            .calls
            .binary_search_by(|call| (*call.attempt).cmp(attempt));
        found.ok().map(|at| self.calls[at])
    }

    fn key_of(&self, secret: &str) -> Option<&'a KeyLife> {
        self.records.keys.iter().find(|key| key.secret == secret)
    }

    fn check_runs(&mut self) {
        let mut runs: Vec<&BackendRun> = self.records.runs.iter().collect();
        runs.sort_by(|left, right| left.attempt.cmp(&right.attempt));
        self.counts.runs = runs.len();
        for same in runs.chunk_by(|left, right| left.attempt == right.attempt) {
            let first = same[0];
            let Some(call) = self.call_of(&first.attempt) else {
                let text = format!("{} runs and no client sent it", first.attempt);
                self.breaches.push(breach(first.begun, "unasked", text));
                continue;
            };
            if call.kind.is_single() && same.len() > 1 {
                let text = format!("{:?} {} ran {} times", call.kind, call.attempt, same.len());
                self.breaches.push(breach(same[1].begun, "once", text));
            }
            if let Some((CallEnd::Refused(status), ended)) = &call.end
                && NOT_RUN_STATUSES.contains(status)
            {
                let text = format!("{} was answered {status} and ran", call.attempt);
                self.breaches.push(breach(*ended, "not run", text));
            }
            self.check_unfinished(same, call);
            for run in same {
                self.check_account(run, call);
                self.check_version(run, call);
            }
        }
    }

    fn check_account(&mut self, run: &BackendRun, call: &CallRecord) {
        let account = self.key_of(&call.secret).map(|key| key.account);
        if run.has_key || run.account.as_deref() != account {
            let text = format!("{} ran for the account {:?}", call.attempt, run.account);
            self.breaches.push(breach(run.begun, "account", text));
        }
    }

    /// A run on older weights behind their bound, whose whole way was undisturbed for so long.
    fn check_version(&mut self, run: &BackendRun, call: &CallRecord) {
        let Some(version) = run.version else {
            return;
        };
        let way = [
            SoakPart::Store,
            SoakPart::Entry(call.entry),
            SoakPart::Backend(run.backend),
        ];
        let is_due = |(_, named): &&(u64, ClockTime)| *named + VERSION_WITHIN < run.begun;
        let due = self.records.namings.iter().filter(is_due);
        let Some(wanted) = due.map(|(named, _)| *named).max() else {
            return;
        };
        let span = CONTACT + VERSION_WITHIN;
        if !self.records.is_calm(&way, span, run.begun) {
            return;
        }
        self.counts.version_bound += 1;
        if version < wanted {
            let text = format!(
                "{} began on version {version} at backend server {}, {wanted} is due",
                call.attempt, run.backend
            );
            self.breaches.push(breach(run.begun, "version", text));
        }
    }

    /// An answer that ended unfinished around planned work, with no fault on its way.
    fn check_unfinished(&mut self, runs: &[&BackendRun], call: &CallRecord) {
        let Some((end, ended)) = &call.end else {
            return;
        };
        let mut way = vec![SoakPart::Store, SoakPart::Entry(call.entry)];
        way.extend(runs.iter().map(|run| SoakPart::Backend(run.backend)));
        let span = (call.sent - CONTACT, *ended);
        if *end == CallEnd::Abandoned || !self.records.is_without_faults(&way, span) {
            return;
        }
        let is_crash = |run: &&BackendRun| matches!(run.end, Some((RunEnd::Crashed, _)));
        let is_cut = matches!(end, CallEnd::Broken(_)) && !runs.iter().any(is_crash);
        let works = self.records.works.iter();
        let works = works.filter(|work| is_around(work, call, *ended));
        let works: Vec<&WorkRecord> = works.collect();
        if works.is_empty() {
            self.counts.aside += 1;
            self.counts.cut_aside += usize::from(is_cut);
            return;
        }
        self.counts.beside_work += 1;
        let is_excused = works
            .iter()
            .any(|work| is_end_of_grace(work, runs, call, *ended));
        let mut blamed = works.iter().filter(|work| !is_used_up(work, call, *ended));
        let blamed = blamed.next().filter(|_| !is_excused);
        if let (true, Some(work)) = (is_cut, blamed) {
            let used = ended.since(call.sent);
            let backends: Vec<usize> = runs.iter().map(|run| run.backend).collect();
            let text = format!(
                "{:?} {} at entry host {} ended {end:?} after {used:?} of {:?}, {:?} after \
                 {:?}; it ran at {backends:?}",
                call.kind,
                call.attempt,
                call.entry,
                call.time,
                ended.since(work.sent),
                work.work,
            );
            self.breaches.push(breach(*ended, "unfinished", text));
        }
    }

    fn check_call(&mut self, call: &CallRecord) {
        let Some((end, ended)) = &call.end else {
            return;
        };
        self.counts.calls += 1;
        match end {
            CallEnd::Whole => self.counts.whole += 1,
            CallEnd::Refused(status) if NOT_RUN_STATUSES.contains(status) => {
                self.counts.not_run += 1;
            }
            CallEnd::Refused(_) => {}
            CallEnd::Broken(_) => self.counts.broken += 1,
            CallEnd::Abandoned => self.counts.abandoned += 1,
            CallEnd::Wrong(text) => {
                let text = format!("{:?} {}: {text}", call.kind, call.attempt);
                self.breaches.push(breach(*ended, "whole", text));
            }
        }
        self.check_key(call, end, *ended);
    }

    fn check_key(&mut self, call: &CallRecord, end: &CallEnd, ended: ClockTime) {
        let Some(key) = self.key_of(&call.secret) else {
            return;
        };
        let way = [SoakPart::Store, SoakPart::Entry(call.entry)];
        if !self.records.is_calm(&way, CONTACT, call.sent) {
            return;
        }
        let is_behind = |since: ClockTime| since + DOCUMENT_WITHIN < call.sent;
        if key.revoked.is_some_and(is_behind) {
            self.counts.revoked += 1;
            if *end == CallEnd::Whole {
                let text = format!("{} was served with a revoked key", call.attempt);
                self.breaches.push(breach(ended, "revoked key", text));
            }
        } else if key.revoked.is_none_or(|revoked| revoked > ended)
            && is_behind(key.added)
            && matches!(end, CallEnd::Refused(status) if DENIED_STATUSES.contains(status))
        {
            let text = format!("{} was denied with a good key: {end:?}", call.attempt);
            self.breaches.push(breach(ended, "denied", text));
        }
    }

    /// Service is back some time after the faults ended.
    fn check_recovery(&mut self, (from, until): (ClockTime, ClockTime)) {
        let due = from + RECOVERED_WITHIN;
        let is_due = |call: &&&CallRecord| {
            let key = self.key_of(&call.secret);
            let is_good = key.is_some_and(|key| key.revoked.is_none() && key.added < from);
            is_good && call.sent >= due && call.sent < until && call.end.is_some()
        };
        let calls: Vec<&CallRecord> = self.calls.iter().filter(is_due).copied().collect();
        let is_served = |call: &&&CallRecord| matches!(call.end, Some((CallEnd::Whole, _)));
        let served = calls.iter().filter(is_served).count();
        self.counts.after_recovery += calls.len();
        self.counts.served_again += served;
        #[expect(
            clippy::cast_precision_loss,
            reason = "calls of a run are far below 2^53"
        )]
        let share = served as f64 / calls.len().max(1) as f64;
        if until > due && share < SERVED_LEAST {
            let text = format!("{served} of {} calls served", calls.len());
            self.breaches.push(breach(until, "back in service", text));
        }
    }
}

/// Whether `call` ended in the span in which `work` may not cut it.
fn is_around(work: &WorkRecord, call: &CallRecord, ended: ClockTime) -> bool {
    let until = match work.work {
        PlannedWork::Stop(entry) if entry == call.entry => work.sent + GRACE + GRACE_SLACK,
        PlannedWork::Reload(entry) if entry == call.entry => {
            return call.sent <= work.sent + DOCUMENT_WITHIN && ended > work.sent;
        }
        PlannedWork::Document => work.confirmed + DOCUMENT_WITHIN + DOCUMENT_SLACK,
        PlannedWork::Stop(_) | PlannedWork::Reload(_) => return false,
    };
    (work.sent..=until).contains(&ended)
}

/// Whether so much of the call's time was used that `work` need not have ended it.
fn is_used_up(work: &WorkRecord, call: &CallRecord, ended: ClockTime) -> bool {
    let used = ended.since(call.sent);
    let is_document = work.work == PlannedWork::Document;
    used + TIME_SLACK >= call.time || is_document && used >= call.time * TIME_USED_TENTHS / 10
}

/// Whether `work` is a stop whose grace was nearly over while the call was still at work. Whatever else
/// was done then, it may be cut.
fn is_end_of_grace(
    work: &WorkRecord,
    runs: &[&BackendRun],
    call: &CallRecord,
    ended: ClockTime,
) -> bool {
    let late = work.sent + LATE_WORK;
    let is_at_work = |run: &&BackendRun| run.end.is_none_or(|(_, at)| at >= late);
    matches!(work.work, PlannedWork::Stop(_))
        && call.sent <= work.sent + LATE_SEND
        && ended >= late
        && runs.iter().any(is_at_work)
}

const fn breach(at: ClockTime, promise: &'static str, text: String) -> PromiseBreach {
    PromiseBreach { at, promise, text }
}
