//! Checks the records of a run for broken promises: compares what clients saw with what backend
//! servers ran.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::run_journal::{
    CallEnd, CallKind, CallRecord, EvacuationSpan, KeyRecord, PlannedWork, RunRecords, SoakPart,
    WorkRecord,
};
use crate::derives::plain;
use crate::platform::{
    BackendRun, EVACUATED_DATA_CENTRE, RETRY_EXTRA, RETRY_RATIO, RETRY_WINDOW, RequestArrival,
    RunEnd, data_centre_of, is_home_of_writes,
};
use crate::time::ClockTime;

/// How long a part must have been undisturbed before deadlines apply to it.
pub(super) const UNDISTURBED_SPAN: Duration = Duration::from_secs(3);
/// How long after a target update no request may begin on the previous version any more.
const VERSION_DEADLINE: Duration = Duration::from_secs(8);
/// How long after the store accepted a document it must be in force.
const DOCUMENT_DEADLINE: Duration = Duration::from_secs(2);
/// How long after the store accepted an evacuation no request may be sent there any more.
const EVACUATION_DEADLINE: Duration = Duration::from_secs(5);
/// How long a process may take to exit after SIGTERM.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// How long after `STOP_GRACE` incomplete responses are still attributed to the stop.
const STOP_GRACE_SLACK: Duration = Duration::from_secs(1);
/// A stop may cut a request that was sent at most this long after SIGTERM and still runs at
/// `CUT_ALLOWED_AFTER`.
const CUT_SENT_WITHIN: Duration = Duration::from_secs(3);
/// Begin of the last sixth of the grace period, after SIGTERM.
const CUT_ALLOWED_AFTER: Duration = Duration::from_millis(8000 * 5 / 6);
/// How long after `DOCUMENT_DEADLINE` incomplete responses are still attributed to the document.
const DOCUMENT_SLACK: Duration = Duration::from_secs(1);
/// Share of a call's timeout, in tenths, after which its incomplete end is not attributed to a
/// document.
const TIMEOUT_USED_TENTHS: u32 = 7;
/// An end this long before a call's timeout, or later, is attributed to the timeout.
const TIMEOUT_SLACK: Duration = Duration::from_millis(200);
/// How long after the begin of a quiet period service must have recovered.
pub(super) const RECOVERY_DEADLINE: Duration = Duration::from_secs(12);
/// The smallest share of calls that must be served after recovery. Load is so light that no call
/// needs to be refused.
const SERVED_SHARE_MIN: f64 = 0.9;
/// Number of crashes under a harmful part after which it must be known everywhere within
/// `UNDISTURBED_SPAN`.
const HARMFUL_CRASHES_MAX: usize = 5;
/// Largest number of runs with the part that are allowed after that.
const LATE_HARMFUL_RUNS_MAX: usize = 3;
/// Statuses that promise that the request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [429, 503, 408, 421];
/// Statuses that mean that the document does not allow the request.
const DENIED_STATUSES: [u16; 3] = [401, 403, 404];

/// A broken promise.
#[apply(plain!)]
pub(super) struct PromiseBreach {
    /// When the breach was observed.
    pub(super) at: ClockTime,
    /// The name of the check, as the report prints it.
    pub(super) promise: &'static str,
    /// Description of what was observed.
    pub(super) text: String,
}

/// Number of cases that each check examined: a check without cases proves nothing. The reports
/// print the field names.
#[apply(plain!)]
#[derive(Default, serde::Serialize)]
pub(super) struct CheckCounts {
    /// Calls that ended.
    pub(super) calls: usize,
    /// Complete responses.
    pub(super) whole: usize,
    /// Responses that promise that the request did not run.
    pub(super) not_run: usize,
    /// Calls whose connection ended early.
    pub(super) broken: usize,
    /// Calls whose clients stopped waiting.
    pub(super) abandoned: usize,
    /// Calls that ran and ended while planned work could affect them, with no fault on their path.
    pub(super) beside_work: usize,
    /// Calls that ran and ended at other times, with no fault on their path.
    pub(super) aside: usize,
    /// Calls of `aside` whose response ended incomplete.
    pub(super) cut_aside: usize,
    /// Runs at backend servers.
    pub(super) runs: usize,
    /// Runs to which the deadline of a target version applied.
    pub(super) version_bound: usize,
    /// Runs of calls that were sent past the deadline of an evacuation, over an undisturbed path.
    pub(super) evacuated: usize,
    /// Runs of calls with a home region.
    pub(super) homed: usize,
    /// Calls with a key whose revocation was past its deadline, over an undisturbed path.
    pub(super) revoked: usize,
    /// Calls with a harmful part that was due to be known, over an undisturbed path.
    pub(super) harmful: usize,
    /// Arrivals of calls at backend servers beyond the first of each call.
    pub(super) second_sends: usize,
    /// The most of these in a window of the retry budget, in percent of what it allows.
    pub(super) budget_percent: usize,
    /// Calls sent after `RECOVERY_DEADLINE`.
    pub(super) after_recovery: usize,
    /// Calls of `after_recovery` that were served.
    pub(super) served_again: usize,
}

/// Checks all records so far. Each of `quiet_periods` is the begin and the end of a time without
/// faults.
pub(super) fn judge(
    records: &RunRecords,
    quiet_periods: &[(ClockTime, ClockTime)],
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
    let immediate = records.breaches.iter().cloned();
    let immediate = immediate.map(|(at, text)| breach(at, "process", text));
    judge.breaches.extend(immediate);
    judge.check_runs();
    judge.check_harmful_parts();
    for is_stream in [false, true] {
        judge.check_retry_budget(is_stream);
    }
    for call in &records.calls {
        judge.check_call(call);
    }
    for quiet_period in quiet_periods {
        judge.check_recovery(*quiet_period);
    }
    judge.breaches.sort_by_key(|breach| breach.at);
    (judge.counts, judge.breaches)
}

struct RunJudge<'a> {
    records: &'a RunRecords,
    /// Sorted by `attempt`.
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

    fn key_of(&self, secret: &str) -> Option<&'a KeyRecord> {
        self.records.keys.iter().find(|key| key.secret == secret)
    }

    fn check_runs(&mut self) {
        let mut runs: Vec<&BackendRun> = self.records.runs.iter().collect();
        runs.sort_by(|left, right| left.attempt.cmp(&right.attempt));
        self.counts.runs = runs.len();
        for same in runs.chunk_by(|left, right| left.attempt == right.attempt) {
            let first = same[0];
            let Some(call) = self.call_of(&first.attempt) else {
                let text = format!("{} ran, but no client sent it", first.attempt);
                self.breaches.push(breach(first.begun, "unasked", text));
                continue;
            };
            if call.kind.runs_at_most_once() && same.len() > 1 {
                let text = format!("{:?} {} ran {} times", call.kind, call.attempt, same.len());
                self.breaches.push(breach(same[1].begun, "once", text));
            }
            if let Some((CallEnd::Refused(status), ended)) = &call.end
                && NOT_RUN_STATUSES.contains(status)
            {
                let text = format!("{} was answered {status}, but ran", call.attempt);
                self.breaches.push(breach(*ended, "not run", text));
            }
            self.check_unfinished(same, call);
            for run in same {
                self.check_account(run, call);
                self.check_version(run, call);
                self.check_home(run, call);
                self.check_evacuation(run, call);
            }
        }
    }

    /// Finds runs with a part of a prompt under which engines have crashed again and again.
    fn check_harmful_parts(&mut self) {
        let records = self.records;
        let mut parts: Vec<&str> = records
            .runs
            .iter()
            .filter_map(|run| run.harmful_part.as_deref())
            .collect();
        parts.sort_unstable();
        parts.dedup();
        for part in parts {
            let is_same = |other: &Option<String>| other.as_deref() == Some(part);
            let runs = records.runs.iter().filter(|run| is_same(&run.harmful_part));
            let ends = runs.clone().filter_map(|run| run.end.as_ref());
            let crashes = ends.filter(|(end, _)| *end == RunEnd::Crashed);
            let mut crashes: Vec<ClockTime> = crashes.map(|(_, at)| *at).collect();
            crashes.sort_unstable();
            let Some(last) = crashes.get(HARMFUL_CRASHES_MAX - 1).or(crashes.last()) else {
                continue;
            };
            let due = *last + UNDISTURBED_SPAN;
            let is_due = |call: &&CallRecord| {
                let path = [SoakPart::Store, SoakPart::Entry(call.entry)];
                call.sent > due && records.is_undisturbed(&path, UNDISTURBED_SPAN, call.sent)
            };
            let calls = records
                .calls
                .iter()
                .filter(|call| is_same(&call.harmful_part));
            self.counts.harmful += calls.filter(is_due).count();
            let late: Vec<&BackendRun> = runs
                .filter(|run| self.call_of(&run.attempt).as_ref().is_some_and(is_due))
                .collect();
            if late.len() > LATE_HARMFUL_RUNS_MAX {
                let text = format!(
                    "{} runs with the part {part} after {} crashes, known since {due:?}",
                    late.len(),
                    crashes.len()
                );
                self.breaches
                    .push(breach(late[0].begun, "harmful part", text));
            }
        }
    }

    /// Finds a window in which the backend servers of a service got more second sends than its
    /// budget allows, over all entry hosts and whatever was disturbed. One service answers streams,
    /// the other one all other calls.
    fn check_retry_budget(&mut self, is_stream: bool) {
        let calls = self.calls.iter();
        let calls = calls.filter(|call| call.kind.is_stream() == is_stream);
        let mut requests: Vec<ClockTime> = calls.map(|call| call.sent).collect();
        requests.sort_unstable();
        let second_sends = self.second_sends(is_stream);
        self.counts.second_sends += second_sends.len();
        for begin in &second_sends {
            let windows = [*begin, *begin - RETRY_WINDOW / 2, *begin - RETRY_WINDOW];
            let counts = windows.map(|from| count_within(&requests, from));
            let most = counts.into_iter().max().unwrap_or(0);
            let allowed = budget_of(most);
            let sent = count_within(&second_sends, *begin);
            let percent = sent * 100 / allowed.max(1);
            self.counts.budget_percent = self.counts.budget_percent.max(percent);
            if sent > allowed {
                let text = format!("{sent} second sends for {most} requests, {allowed} allowed");
                self.breaches.push(breach(*begin, "retry budget", text));
                return;
            }
        }
    }

    /// When calls arrived at backend servers, beyond the first arrival of each, sorted.
    fn second_sends(&self, is_stream: bool) -> Vec<ClockTime> {
        let mut arrivals: Vec<&RequestArrival> = self.records.arrivals.iter().collect();
        arrivals.sort_by_key(|arrival| (&arrival.attempt, arrival.at));
        let calls = arrivals.chunk_by(|left, right| left.attempt == right.attempt);
        let calls = calls.filter(|same| {
            let call = self.call_of(&same[0].attempt);
            call.is_some_and(|call| call.kind.is_stream() == is_stream)
        });
        let mut times: Vec<ClockTime> = calls
            .flat_map(|same| same[1..].iter().map(|arrival| arrival.at))
            .collect();
        times.sort_unstable();
        times
    }

    fn check_account(&mut self, run: &BackendRun, call: &CallRecord) {
        let account = self.key_of(&call.secret).map(|key| key.account);
        if run.has_key || run.account.as_deref() != account {
            let text = format!(
                "{} ran for the account {:?}, not its own, or with its key",
                call.attempt, run.account
            );
            self.breaches.push(breach(run.begun, "account", text));
        }
    }

    /// Finds a run on a previous version after the deadline of the target update, if the complete
    /// path of the call was undisturbed long enough.
    fn check_version(&mut self, run: &BackendRun, call: &CallRecord) {
        let Some(version) = run.version else {
            return;
        };
        let path = [
            SoakPart::Store,
            SoakPart::Entry(call.entry),
            SoakPart::Backend(run.backend),
        ];
        let is_due = |(_, set_at): &&(u64, ClockTime)| *set_at + VERSION_DEADLINE < run.begun;
        let due = self.records.target_updates.iter().filter(is_due);
        let Some(target) = due.map(|(set_at, _)| *set_at).max() else {
            return;
        };
        let span = UNDISTURBED_SPAN + VERSION_DEADLINE;
        if !self.records.is_undisturbed(&path, span, run.begun) {
            return;
        }
        self.counts.version_bound += 1;
        if version < target {
            let text = format!(
                "{} began on version {version} at backend server {}, version {target} is due",
                call.attempt, run.backend
            );
            self.breaches.push(breach(run.begun, "version", text));
        }
    }

    /// Finds a run outside the home region of its route, however disturbed the path was.
    fn check_home(&mut self, run: &BackendRun, call: &CallRecord) {
        if call.kind != CallKind::Write {
            return;
        }
        self.counts.homed += 1;
        if !is_home_of_writes(run.backend) {
            let text = format!("{} ran at backend server {}", call.attempt, run.backend);
            self.breaches.push(breach(run.begun, "home", text));
        }
    }

    /// Finds a run in an evacuated data centre of a call that was sent after the deadline of the
    /// evacuation.
    fn check_evacuation(&mut self, run: &BackendRun, call: &CallRecord) {
        let path = [SoakPart::Store, SoakPart::Entry(call.entry)];
        let is_due = |evacuation: &EvacuationSpan| {
            evacuation.confirmed + EVACUATION_DEADLINE < call.sent
                && evacuation.ended.is_none_or(|ended| run.begun < ended)
        };
        let records = self.records;
        if !records.evacuations.iter().any(is_due)
            || !records.is_undisturbed(&path, UNDISTURBED_SPAN, call.sent)
        {
            return;
        }
        self.counts.evacuated += 1;
        if data_centre_of(run.backend) == EVACUATED_DATA_CENTRE {
            let text = format!("{} ran at backend server {}", call.attempt, run.backend);
            self.breaches.push(breach(run.begun, "evacuation", text));
        }
    }

    /// Finds a response that ended incomplete because of planned work, with no fault on its path.
    fn check_unfinished(&mut self, runs: &[&BackendRun], call: &CallRecord) {
        let Some((end, ended)) = &call.end else {
            return;
        };
        let mut path = vec![SoakPart::Store, SoakPart::Entry(call.entry)];
        path.extend(runs.iter().map(|run| SoakPart::Backend(run.backend)));
        let span = (call.sent - UNDISTURBED_SPAN, *ended);
        if *end == CallEnd::Abandoned || !self.records.is_without_faults(&path, span) {
            return;
        }
        let is_crash = |run: &&BackendRun| matches!(run.end, Some((RunEnd::Crashed, _)));
        let is_cut = matches!(end, CallEnd::Broken(_)) && !runs.iter().any(is_crash);
        let planned_work = self.records.planned_work.iter();
        let planned_work = planned_work.filter(|work| is_in_window(work, call, *ended));
        let planned_work: Vec<&WorkRecord> = planned_work.collect();
        if planned_work.is_empty() {
            self.counts.aside += 1;
            self.counts.cut_aside += usize::from(is_cut);
            return;
        }
        self.counts.beside_work += 1;
        let is_excused = planned_work
            .iter()
            .any(|work| is_end_of_grace(work, runs, call, *ended));
        let mut suspects = planned_work
            .iter()
            .filter(|work| !may_be_timeout(work, call, *ended));
        let suspect = suspects.next().filter(|_| !is_excused);
        if let (true, Some(work)) = (is_cut, suspect) {
            let used = ended.since(call.sent);
            let backends: Vec<usize> = runs.iter().map(|run| run.backend).collect();
            let text = format!(
                "{:?} {} at entry host {} ended {end:?} after {used:?} of {:?}, {:?} after \
                 {:?}; it ran at {backends:?}",
                call.kind,
                call.attempt,
                call.entry,
                call.timeout,
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
            CallEnd::Complete => self.counts.whole += 1,
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
        let path = [SoakPart::Store, SoakPart::Entry(call.entry)];
        if !self
            .records
            .is_undisturbed(&path, UNDISTURBED_SPAN, call.sent)
        {
            return;
        }
        let is_past_deadline = |since: ClockTime| since + DOCUMENT_DEADLINE < call.sent;
        if key.revoked.is_some_and(is_past_deadline) {
            self.counts.revoked += 1;
            if *end == CallEnd::Complete {
                let text = format!("{} was served with a revoked key", call.attempt);
                self.breaches.push(breach(ended, "revoked key", text));
            }
        } else if key.revoked.is_none_or(|revoked| revoked > ended)
            && is_past_deadline(key.added)
            && matches!(end, CallEnd::Refused(status) if DENIED_STATUSES.contains(status))
        {
            let text = format!("{} was denied with a valid key: {end:?}", call.attempt);
            self.breaches.push(breach(ended, "denied", text));
        }
    }

    /// Checks that service has recovered `RECOVERY_DEADLINE` after the begin of a quiet period.
    fn check_recovery(&mut self, (from, until): (ClockTime, ClockTime)) {
        let due = from + RECOVERY_DEADLINE;
        let is_due = |call: &&&CallRecord| {
            let key = self.key_of(&call.secret);
            let has_valid_key = key.is_some_and(|key| key.revoked.is_none() && key.added < from);
            let is_harmless = call.harmful_part.is_none();
            has_valid_key
                && is_harmless
                && call.sent >= due
                && call.sent < until
                && call.end.is_some()
        };
        let calls: Vec<&CallRecord> = self.calls.iter().filter(is_due).copied().collect();
        let is_served = |call: &&&CallRecord| matches!(call.end, Some((CallEnd::Complete, _)));
        let served = calls.iter().filter(is_served).count();
        self.counts.after_recovery += calls.len();
        self.counts.served_again += served;
        #[expect(
            clippy::cast_precision_loss,
            reason = "calls of a run are far below 2^53"
        )]
        let share = served as f64 / calls.len().max(1) as f64;
        if until > due && share < SERVED_SHARE_MIN {
            let text = format!("{served} of {} calls served", calls.len());
            self.breaches.push(breach(until, "back in service", text));
        }
    }
}

/// Whether `call` ended in the time in which an incomplete end is attributed to `work`.
fn is_in_window(work: &WorkRecord, call: &CallRecord, ended: ClockTime) -> bool {
    let until = match work.work {
        PlannedWork::Stop(entry) if entry == call.entry => {
            work.sent + STOP_GRACE + STOP_GRACE_SLACK
        }
        PlannedWork::Reload(entry) if entry == call.entry => {
            return call.sent <= work.sent + DOCUMENT_DEADLINE && ended > work.sent;
        }
        PlannedWork::Document => work.confirmed + DOCUMENT_DEADLINE + DOCUMENT_SLACK,
        PlannedWork::Stop(_) | PlannedWork::Reload(_) => return false,
    };
    (work.sent..=until).contains(&ended)
}

/// Whether `call` ran for so long that its timeout, not `work`, may have ended it.
fn may_be_timeout(work: &WorkRecord, call: &CallRecord, ended: ClockTime) -> bool {
    let used = ended.since(call.sent);
    let is_document = work.work == PlannedWork::Document;
    used + TIMEOUT_SLACK >= call.timeout
        || is_document && used >= call.timeout * TIMEOUT_USED_TENTHS / 10
}

/// Whether `work` is a stop whose grace period was nearly over while the call was still running.
/// The stop may cut such a call, whatever other planned work there was at that time.
fn is_end_of_grace(
    work: &WorkRecord,
    runs: &[&BackendRun],
    call: &CallRecord,
    ended: ClockTime,
) -> bool {
    let late = work.sent + CUT_ALLOWED_AFTER;
    let is_at_work = |run: &&BackendRun| run.end.is_none_or(|(_, at)| at >= late);
    matches!(work.work, PlannedWork::Stop(_))
        && call.sent <= work.sent + CUT_SENT_WITHIN
        && ended >= late
        && runs.iter().any(is_at_work)
}

/// How many second sends the budget allows for `requests`.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "requests of a run are far below 2^53"
)]
fn budget_of(requests: usize) -> usize {
    (requests as f64 * RETRY_RATIO) as usize + RETRY_EXTRA as usize
}

/// Number of `times`, which are sorted, in the window of the retry budget that begins at `from`.
fn count_within(times: &[ClockTime], from: ClockTime) -> usize {
    let before = times.partition_point(|at| *at < from);
    times.partition_point(|at| *at <= from + RETRY_WINDOW) - before
}

const fn breach(at: ClockTime, promise: &'static str, text: String) -> PromiseBreach {
    PromiseBreach { at, promise, text }
}
