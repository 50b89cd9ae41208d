//! Runs the deployment states of several processes with messages that are delayed and overtake each
//! other, and compares the update time of a target version that each assumes with the real one.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::delayed_process::NEAR_DELAY_MAX;
use super::delayed_simulation::{Check, Simulation};
use crate::fleet::{TargetTimeCertainty, TargetWeights};
use crate::platform::StoreRow;
use crate::sync::peer_messages::{PeerQuery, PeerView};
use crate::sync::store_clock::QuerySpan;
use crate::sync::target_update_time::FollowState;
use crate::sync::{DeploymentState, OwnRows, SharedDeploymentState};
use crate::test_support::run_cases;
use crate::time::{ClockTime, StoreTime};

// ---- All calls of this simulation to the code under test.

/// An answer of the store.
#[derive(Clone)]
pub(super) struct StoreAnswer {
    pub(super) rows: Vec<StoreRow>,
    /// Whether `rows` is the full table, not only changes.
    pub(super) is_complete: bool,
    pub(super) revision: u64,
    /// What the store's clock showed when it answered.
    pub(super) store_ms: u64,
    /// When the call was sent, on the caller's clock.
    pub(super) sent_at: ClockTime,
}

/// Merges an answer of the store at `now` on the process's own clock.
pub(super) fn take_store_answer(
    state: &SharedDeploymentState,
    answer: &StoreAnswer,
    follow_state: FollowState,
    now: ClockTime,
) {
    take_revision_answer(state, answer, now);
    let sent_by = state.read(|state| state.store_time(answer.sent_at));
    let set_at = follow_state.update_time(sent_by, StoreTime::from_millis(answer.store_ms));
    state.change(|state| {
        if answer.is_complete {
            state.take_own_rows(OwnRows::default(), set_at);
            state.set_operator_rows(&answer.rows, set_at);
        } else {
            state.change_operator_rows(&answer.rows, set_at);
        }
    });
}

/// Merges an answer of the store about another table, which contains only its clock and revision,
/// at `now` on the process's own clock.
pub(super) fn take_revision_answer(
    state: &SharedDeploymentState,
    answer: &StoreAnswer,
    now: ClockTime,
) {
    let answered_at = StoreTime::from_millis(answer.store_ms);
    let span = QuerySpan {
        sent_at: answer.sent_at,
        received_at: now,
    };
    state.change(|state| {
        state.note_store(now);
        state.note_store_answer(answer.revision, answered_at, span);
    });
}

/// A query to a neighbour, which may hold the response for `wait`.
pub(super) fn make_query(state: &SharedDeploymentState, wait: Duration) -> PeerQuery {
    let mut query = state.read(DeploymentState::query);
    query.wait_ms = u64::try_from(wait.as_millis()).unwrap_or(0);
    query
}

/// Merges what a neighbour gets from a query that arrived at `now`.
pub(super) fn take_query(state: &SharedDeploymentState, query: &PeerQuery, now: ClockTime) {
    if state.read(|state| state.is_updated_by(&query.targets)) {
        state.change(|state| state.merge_targets(&query.targets, now));
    }
}

/// Whether the neighbour responds to `query` at once.
pub(super) fn has_changes(state: &SharedDeploymentState, query: &PeerQuery) -> bool {
    state.read(|state| state.has_urgent_changes(query))
}

/// The neighbour's response to a query that arrived at `arrived_at`.
pub(super) fn make_answer(
    state: &SharedDeploymentState,
    query: &PeerQuery,
    arrived_at: ClockTime,
    now: ClockTime,
) -> PeerView {
    state.read(|state| state.answer(query, now.since(arrived_at), now))
}

/// Merges a neighbour's response, at `now`, to a query sent at `sent_at`.
pub(super) fn take_answer(
    state: &SharedDeploymentState,
    view: PeerView,
    sent_at: ClockTime,
    now: ClockTime,
) {
    let span = QuerySpan {
        sent_at,
        received_at: now,
    };
    state.change(|state| state.merge(view, span));
}

/// The target versions that a process knows, with update times on its own clock.
fn known_targets(state: &SharedDeploymentState) -> Vec<TargetWeights> {
    state.snapshot().load().targets.to_vec()
}

// ---- Checks.

const CASES: u32 = 200;
const CASE_BYTES: u32 = 4096;
/// Ages are rounded down to whole milliseconds, and forwarded through few processes.
const ROUNDING: Duration = Duration::from_millis(5);
/// How much too early a version may be dated after all processes have exchanged messages without
/// delays.
const EARLY_MAX: Duration = Duration::from_secs(1);

impl Simulation {
    /// Whether an entry host has followed the store since before `acknowledged`.
    fn has_witness(&self, acknowledged: ClockTime) -> bool {
        let mut followed = self
            .processes
            .iter()
            .filter_map(|process| process.followed_since);
        followed.any(|since| since < acknowledged)
    }

    /// Whether an entry host close to the store has. A distant one cannot date an update within a
    /// second: its last answer without the version may be older by the delay of a query and two
    /// answers.
    fn has_near_witness(&self, acknowledged: ClockTime) -> bool {
        let near = self
            .processes
            .iter()
            .filter(|process| process.store_delay == NEAR_DELAY_MAX);
        let mut followed = near.filter_map(|process| process.followed_since);
        followed.any(|since| since < acknowledged)
    }

    /// The target versions that a process knows, each with the time of the acknowledgement and the
    /// assumed update time, in real time.
    fn dated(&self, at: usize) -> Vec<(TargetWeights, ClockTime, ClockTime)> {
        let process = &self.processes[at];
        let timed = |weights: TargetWeights| {
            let version_index = usize::try_from(weights.target.version.0).unwrap_or(0);
            let acknowledged = self.set_at[version_index - 2];
            let dated = weights.target_set_at - process.ahead;
            (weights, acknowledged, dated)
        };
        known_targets(&process.state)
            .into_iter()
            .map(timed)
            .collect()
    }

    fn describe(
        &self,
        at: usize,
        (weights, acknowledged, dated): &(TargetWeights, ClockTime, ClockTime),
    ) -> String {
        let process = &self.processes[at];
        let answer = process.answer.as_ref();
        let answer = answer.map(|answer| {
            (
                answer.sent_at - process.ahead,
                answer.store_ms,
                answer.revision,
            )
        });
        format!(
            "process {at} (entry host: {}, delay {} ms) dates {:?} {:?} too late, {:?} too early, \
             {:?}, at {:?}; last answer of the store: {answer:?}",
            process.follows_store,
            process.store_delay,
            weights.target.version,
            dated.since(*acknowledged),
            acknowledged.since(*dated),
            weights.certainty,
            self.now,
        )
    }

    /// Checks a process after each message. Outages, and versions found at a start, are no delayed
    /// messages and are excepted.
    fn check_now(&self, at: usize) {
        for target in self.dated(at) {
            let (weights, acknowledged, dated) = &target;
            let is_found = self.processes[at].started >= *acknowledged;
            let is_assumed = weights.certainty == TargetTimeCertainty::Assumed;
            if is_found || (is_assumed && self.restarted_at >= *acknowledged) {
                continue;
            }
            let latest = (*acknowledged).max(self.reconnected_at);
            let late = dated.since(latest);
            assert!(late <= ROUNDING, "{}", self.describe(at, &target));
        }
    }

    /// Checks a process after all have exchanged messages without delays: even one that was cut off
    /// or restarted then has the right time, if any process has it.
    fn check_late(&self, at: usize) {
        for target in self.dated(at) {
            let (_, acknowledged, dated) = &target;
            let late = dated.since(*acknowledged);
            let is_right = late <= ROUNDING || !self.has_witness(*acknowledged);
            assert!(is_right, "{}", self.describe(at, &target));
        }
    }

    fn check_early(&self, at: usize) {
        let newest = self
            .set_at
            .last()
            .filter(|newest| self.has_witness(**newest));
        let dated = self.dated(at);
        let known = dated.iter().map(|(weights, _, _)| weights.target.version.0);
        if newest.is_some() {
            assert_eq!(known.max(), Some(self.revision()), "process {at}");
        }
        for target in dated {
            let (_, acknowledged, dated) = &target;
            let early = acknowledged.since(*dated);
            let is_right = early <= EARLY_MAX || !self.has_near_witness(*acknowledged);
            assert!(is_right, "{}", self.describe(at, &target));
        }
    }
}

/// Runs one simulation. `check` is called after each message, `check_end` after all processes have
/// exchanged messages without delays.
fn run_simulation(u: &mut Unstructured<'_>, check: Check, check_end: Check) -> Result<()> {
    let mut simulation = Simulation::new(u)?;
    simulation.run(u, check)?;
    for at in 0..simulation.processes.len() {
        check_end(&simulation, at);
    }
    Ok(())
}

/// Guards against update times that are too late by the delay of messages. A version was set while
/// the links of a data centre were saturated: answers of the store took up to two seconds, those of
/// neighbours some tenths of a second. Entry hosts far from the store dated the version a tenth of
/// a second before its arrival, or by the age that a neighbour had stated when it sent its
/// response. They counted the deadline from there, and requests began on previous versions shortly
/// after it.
#[test]
fn no_process_dates_a_target_update_too_late() {
    run_cases(CASES, CASE_BYTES, |u| {
        run_simulation(u, Simulation::check_now, Simulation::check_late)
    });
}

/// The opposite error: a version dated far too early would cause previous versions to be refused
/// that may still answer.
#[test]
fn no_process_dates_a_target_update_far_too_early_once_calm() {
    run_cases(CASES, CASE_BYTES, |u| {
        run_simulation(u, |_, _| {}, Simulation::check_early)
    });
}
