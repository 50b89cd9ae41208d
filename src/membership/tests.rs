//! Tests of membership with broken streams and a host list that lags.

use std::time::Duration;

use super::{HostStatus, LoadReport, MemberFacts, MemberTable};
use crate::control::MemberState;
use crate::lab::soak;
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 8192;
const FRAME_INTERVAL: Duration = Duration::from_millis(500);

// Guards against sending new requests to a leaving host. Processes leave, stall, crash and restart,
// their earlier announcements arrive late or twice, and the host list still shows them as live.
// Without the order by incarnation and sequence, the last announcement to arrive would win.
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
    table.get("pisar-1").expect("the host is known").state()
}

fn receive_status(table: &mut MemberTable, sequence: u64, now: ClockTime) {
    table.on_frame_received("pisar-1", FRAME_INTERVAL, now);
    table.on_status(status(sequence), now);
}

#[test]
fn a_silent_host_is_suspected_then_unavailable_until_it_returns() {
    let mut table = MemberTable::new("observer".into());
    let start = ClockTime::from_millis(1000);
    table.on_list(&[entry("pisar-1")], start);
    table.on_watched("pisar-1", start);
    assert_eq!(state_of(&mut table, start), MemberState::Suspected);
    receive_status(&mut table, 1, start);
    assert_eq!(state_of(&mut table, start), MemberState::Live);
    let silent = start + FRAME_INTERVAL * 3;
    assert_eq!(state_of(&mut table, silent), MemberState::Suspected);
    table.on_stream_lost("pisar-1", silent);
    let later = silent + Duration::from_secs(15);
    assert_eq!(state_of(&mut table, later), MemberState::Unavailable);
    receive_status(&mut table, 2, later);
    assert_eq!(state_of(&mut table, later), MemberState::Live);
}

// Guards against waves of retries. The stream from a host breaks and recovers every few seconds. If
// each recovery made the host live at once, it would receive requests until the next loss.
#[test]
fn a_flapping_host_stays_suspected() {
    let mut table = MemberTable::new("observer".into());
    let mut now = ClockTime::from_millis(1000);
    table.on_list(&[entry("pisar-1")], now);
    for sequence in 1..=3 {
        receive_status(&mut table, sequence, now);
        now = now + Duration::from_secs(2);
        table.on_stream_lost("pisar-1", now);
    }
    receive_status(&mut table, 4, now);
    assert_eq!(state_of(&mut table, now), MemberState::Suspected);
    now = now + Duration::from_secs(20);
    receive_status(&mut table, 5, now);
    assert_eq!(state_of(&mut table, now), MemberState::Live);
}

// Guards against a live host that has no status, and thus gets no requests, until its watcher
// restarts. The host's first status arrives before the facts derived from it. These facts are newer
// than the listed ones and, without the comparison of incarnations, would erase the status.
#[test]
fn a_status_that_arrives_before_its_facts_is_kept() {
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
    let member = table.get("pisar-1").expect("the host is known");
    assert_eq!(member.status.as_deref(), Some(&status(1)));
}

#[test]
fn the_status_of_an_earlier_process_is_ignored() {
    let mut table = MemberTable::new("observer".into());
    let now = ClockTime::from_millis(1000);
    let facts = MemberFacts {
        entry: entry("pisar-1"),
        incarnation: 8,
        sequence: 0,
    };
    assert!(table.on_facts(&facts, now));
    assert!(
        !table.on_status(status(9), now),
        "incarnation 7 is obsolete"
    );
    assert!(!table.on_facts(&facts, now), "the facts were known already");
}
