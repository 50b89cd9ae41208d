//! Hosts seen through streams that break and a list that lags.

use std::time::Duration;

use super::{HostStatus, LoadReport, MemberFacts, MemberTable};
use crate::control::MemberState;
use crate::lab::soak;
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 8192;
const PACE: Duration = Duration::from_millis(500);

// Symptom: a leaving host gets new work again. Events: a process leaves, is frozen, dies, comes
// back; words that it said earlier arrive late or twice; the list still names it live. Cause,
// without the order by incarnation and sequence: the last word to arrive wins.
#[test]
fn no_new_work_after_leaving_and_views_converge() {
    run_cases(CASES, CASE_BYTES, soak::membership::run_case);
}

fn entry(host: &str) -> HostEntry {
    HostEntry {
        host: host.into(),
        data_centre: "kp-luka".into(),
        region: "obala".into(),
        role: HostRole::Backend,
        service: Some("pisar".into()),
        peer_address: ([127, 0, 0, 1], 1).into(),
        state: ListedState::Live,
    }
}

fn status(sequence: u64) -> HostStatus {
    HostStatus {
        host: "pisar-1".into(),
        incarnation: 7,
        sequence,
        leaving: false,
        load: LoadReport::default(),
        serving: None,
        staging: None,
    }
}

fn state_of(table: &mut MemberTable, now: ClockTime) -> MemberState {
    table.on_tick(now);
    table.get("pisar-1").expect("it is known").state()
}

fn heard(table: &mut MemberTable, sequence: u64, now: ClockTime) {
    table.on_frame_received("pisar-1", PACE, now);
    table.on_status(status(sequence), now);
}

#[test]
fn a_silent_host_is_suspected_then_gone_and_comes_back() {
    let mut table = MemberTable::new("observer".into());
    let start = ClockTime::from_millis(1000);
    table.on_list(&[entry("pisar-1")], start);
    table.on_watched("pisar-1", start);
    assert_eq!(state_of(&mut table, start), MemberState::Suspected);
    heard(&mut table, 1, start);
    assert_eq!(state_of(&mut table, start), MemberState::Live);
    let silent = start + PACE * 3;
    assert_eq!(state_of(&mut table, silent), MemberState::Suspected);
    table.on_stream_lost("pisar-1", silent);
    let later = silent + Duration::from_secs(15);
    assert_eq!(state_of(&mut table, later), MemberState::Unavailable);
    heard(&mut table, 2, later);
    assert_eq!(state_of(&mut table, later), MemberState::Live);
}

// Symptom: retries come in waves. Events: a host is lost and found every few seconds. Cause,
// without the damping: each return makes it live at once, and work flows to it until the next loss.
#[test]
fn a_flapping_host_stays_suspected() {
    let mut table = MemberTable::new("observer".into());
    let mut now = ClockTime::from_millis(1000);
    table.on_list(&[entry("pisar-1")], now);
    for sequence in 1..=3 {
        heard(&mut table, sequence, now);
        now = now + Duration::from_secs(2);
        table.on_stream_lost("pisar-1", now);
    }
    heard(&mut table, 4, now);
    assert_eq!(state_of(&mut table, now), MemberState::Suspected);
    now = now + Duration::from_secs(20);
    heard(&mut table, 5, now);
    assert_eq!(state_of(&mut table, now), MemberState::Live);
}

// Symptom: a live host has no status for as long as its watcher lives, and gets no requests. Events:
// its first status comes before the facts that follow from it. Cause, without the comparison: the
// facts are newer than the listed ones, and what the host has just said is erased with them.
#[test]
fn a_status_that_comes_before_its_facts_is_kept() {
    let mut table = MemberTable::new("observer".into());
    let now = ClockTime::from_millis(1000);
    table.on_list(&[entry("pisar-1")], now);
    assert!(table.on_status(status(1), now));
    let facts = MemberFacts {
        entry: entry("pisar-1"),
        incarnation: 7,
        sequence: 0,
    };
    table.on_facts(&facts, now);
    let member = table.get("pisar-1").expect("it is known");
    assert_eq!(member.status.as_deref(), Some(&status(1)));
}

#[test]
fn the_word_of_an_earlier_process_does_not_count() {
    let mut table = MemberTable::new("observer".into());
    let now = ClockTime::from_millis(1000);
    let facts = MemberFacts {
        entry: entry("pisar-1"),
        incarnation: 8,
        sequence: 0,
    };
    assert!(table.on_facts(&facts, now));
    assert!(!table.on_status(status(9), now), "incarnation 7 is over");
    assert!(!table.on_facts(&facts, now), "it was heard before");
}
