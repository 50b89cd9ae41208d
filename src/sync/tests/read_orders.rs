//! Which processes read and which they query, as computed by one process.

use std::time::Duration;

use super::{START, store_time};
use crate::sync::EntryRecord;
use crate::sync::operator_status::{OperatorStatus, classify_answer};
use crate::sync::read_order::{ReadOrder, ReadStep, ReaderAnswer, rank_of};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const CASES: u32 = 500;
const CASE_BYTES: u32 = 256;

fn entry(number: usize, data_centre: &str) -> EntryRecord {
    let address = ([127, 0, 0, 1], 9000 + u16::try_from(number).unwrap_or(0)).into();
    EntryRecord {
        host: format!("e{number}").into(),
        data_centre: data_centre.to_owned().into(),
        control: address,
        reports: address,
    }
}

/// `count` entry hosts of one data centre, highest rank first.
fn ordered(count: usize) -> Vec<EntryRecord> {
    let mut entries: Vec<EntryRecord> = (0..count).map(|number| entry(number, "a")).collect();
    entries.sort_unstable_by_key(|entry| std::cmp::Reverse(rank_of(&entry.host)));
    entries
}

/// The readers that `order` queries in its next steps, sorted; `None` if it reads.
fn queried(
    order: &mut ReadOrder,
    entries: &[EntryRecord],
    now: ClockTime,
) -> Option<Vec<EntryRecord>> {
    let mut found = Vec::new();
    for _ in 0..2 {
        match order.next(entries, now) {
            ReadStep::Read => return None,
            ReadStep::Query(entry) => found.push(entry),
        }
    }
    found.sort_unstable_by_key(|entry| std::cmp::Reverse(rank_of(&entry.host)));
    Some(found)
}

/// Guards against all entry hosts of a data centre reading each document over one link. With 17 of
/// them, documents arrived 2.5 s late in distant data centres.
#[test]
fn two_entry_hosts_read_and_the_others_query_them_in_turn() {
    let mut entries = ordered(17);
    let readers = entries[..2].to_vec();
    let elsewhere: Vec<EntryRecord> = (100..120).map(|number| entry(number, "b")).collect();
    let by_rank = entries.clone();
    entries.extend(elsewhere);
    entries.sort_unstable();
    for (rank, own_entry) in by_rank.iter().enumerate() {
        let mut order = ReadOrder::of(own_entry);
        let queried = queried(&mut order, &entries, START);
        if rank < 2 {
            assert_eq!(queried, None, "{rank} reads");
        } else {
            assert_eq!(queried.as_ref(), Some(&readers), "{rank} queries both");
        }
    }
}

#[test]
fn a_process_without_known_entry_hosts_reads() {
    let own_entry = entry(1, "a");
    assert_eq!(ReadOrder::of(&own_entry).next(&[], START), ReadStep::Read);
    let alone = [
        own_entry.clone(),
        entry(2, "b"),
        entry(3, "b"),
        entry(4, "b"),
    ];
    assert_eq!(
        ReadOrder::of(&own_entry).next(&alone, START),
        ReadStep::Read
    );
}

/// Guards against followers of a killed reader that get no documents until it returns.
#[test]
fn an_unresponsive_reader_is_replaced_and_queried_again_later() {
    let entries = ordered(5);
    let mut order = ReadOrder::of(&entries[4]);
    order.note(&entries[0].host, ReaderAnswer::Unresponsive, START);
    assert_eq!(
        queried(&mut order, &entries, START),
        Some(entries[1..3].to_vec())
    );
    // The next one in the order sees the same failure, and reads.
    let mut next = ReadOrder::of(&entries[2]);
    next.note(&entries[0].host, ReaderAnswer::Unresponsive, START);
    assert_eq!(next.next(&entries, START), ReadStep::Read);
    let later = START + Duration::from_secs(2);
    assert_eq!(
        queried(&mut order, &entries, later),
        Some(entries[..2].to_vec())
    );
    order.note(&entries[1].host, ReaderAnswer::Current, later);
    // It is still unavailable. Each query to it costs a step, so it is queried less often.
    order.note(&entries[0].host, ReaderAnswer::Unresponsive, later);
    let soon = later + Duration::from_secs(3);
    assert_eq!(
        queried(&mut order, &entries, soon),
        Some(entries[1..3].to_vec())
    );
    order.note(&entries[0].host, ReaderAnswer::Current, soon);
    assert_eq!(
        queried(&mut order, &entries, soon),
        Some(entries[..2].to_vec())
    );
}

/// Half of a data centre was paused, and each unresponsive reader cost a query's time limit.
#[test]
fn after_two_unresponsive_readers_a_process_reads_once() {
    let entries = ordered(9);
    let mut order = ReadOrder::of(&entries[8]);
    order.note(&entries[0].host, ReaderAnswer::Unresponsive, START);
    order.note(&entries[1].host, ReaderAnswer::Unresponsive, START);
    assert_eq!(order.next(&entries, START), ReadStep::Read);
    assert_eq!(
        queried(&mut order, &entries, START),
        Some(entries[2..4].to_vec())
    );
}

/// Guards against a call to the store that is held longer than its process has to read.
#[test]
fn a_process_reads_until_the_exclusions_end() {
    let entries = ordered(5);
    let first = ReadOrder::of(&entries[0]);
    assert_eq!(first.reads_until(&entries, START), None, "it always reads");
    let mut third = ReadOrder::of(&entries[2]);
    assert_eq!(third.reads_until(&entries, START), Some(START));
    third.note(&entries[1].host, ReaderAnswer::Unresponsive, START);
    let later = START + Duration::from_secs(1);
    third.note(&entries[0].host, ReaderAnswer::Unresponsive, later);
    let until = later + Duration::from_secs(2);
    assert_eq!(third.reads_until(&entries, later), Some(until));
    assert_eq!(
        third.reads_until(&entries[1..], later),
        None,
        "too few are known"
    );
}

/// The store refused the reader and served all others, which kept querying it.
#[test]
fn a_reader_cut_off_from_the_store_is_replaced() {
    let entries = ordered(5);
    let mut status = OperatorStatus::default();
    status.note_read(7, store_time(START), START);
    status.note_failure();
    let announcement = status.announcement().expect("the table was read");
    let answer = classify_answer(&announcement, START, START);
    assert_eq!(answer, ReaderAnswer::Outdated);
    let mut order = ReadOrder::of(&entries[4]);
    order.note(&entries[1].host, answer, START);
    let replaced = vec![entries[0].clone(), entries[2].clone()];
    assert_eq!(queried(&mut order, &entries, START), Some(replaced));
}

/// A reader whose connection to the store fails silently, or is slow, answers at once with old
/// knowledge.
#[test]
fn a_reader_with_old_knowledge_is_outdated() {
    let mut status = OperatorStatus::default();
    assert_eq!(status.announcement(), None, "nothing is known yet");
    status.note_read(7, store_time(START), START);
    let announcement = status.announcement().expect("the table was read");
    let after =
        |millis: u64| classify_answer(&announcement, START, START + Duration::from_millis(millis));
    // A watch is held open for that long, and the store may be slow.
    assert_eq!(after(1900), ReaderAnswer::Current);
    assert_eq!(after(2600), ReaderAnswer::Outdated);
}

/// On a link between regions that is too narrow, otherwise all of a data centre would read over it.
#[test]
fn at_most_four_outdated_readers_are_excluded() {
    let entries = ordered(17);
    let mut order = ReadOrder::of(&entries[16]);
    for reader in &entries[..8] {
        order.note(&reader.host, ReaderAnswer::Outdated, START);
    }
    assert_eq!(
        queried(&mut order, &entries, START),
        Some(entries[4..6].to_vec())
    );
}

/// A follower knows no more than its reader, as of the same time, and continues from there when it
/// becomes a reader.
#[test]
fn reported_knowledge_keeps_the_age_of_its_source() {
    let mut reader = OperatorStatus::default();
    reader.note_read(7, store_time(START), START);
    let announcement = reader.announcement().expect("the table was read");
    let mut follower = OperatorStatus::default();
    follower.take_announcement(announcement, START);
    assert_eq!(follower.announcement(), Some(announcement));
    assert!(!follower.is_overdue(START + Duration::from_millis(2400)));
    assert!(follower.is_overdue(START + Duration::from_millis(2500)));
    // An older announcement changes nothing.
    let earlier = START - Duration::from_secs(3);
    let mut older = OperatorStatus::default();
    older.note_read(3, store_time(earlier), earlier);
    follower.take_announcement(older.announcement().expect("the table was read"), earlier);
    assert_eq!(follower.announcement(), Some(announcement));
    assert!(!follower.is_overdue(START + Duration::from_millis(2400)));
}

/// A process that does not read only once, reads until the time that it computes and not later.
#[test]
fn a_process_queries_readers_from_the_computed_time_on() {
    run_cases(CASES, CASE_BYTES, |u| {
        let entries = ordered(usize::from(u.int_in_range(1..=8_u8)?));
        let mut order = ReadOrder::of(u.choose(&entries)?);
        let mut now = START;
        for _ in 0..u.int_in_range(0..=12_u8)? {
            let host = u.choose(&entries)?.host.clone();
            let answers = [ReaderAnswer::Outdated, ReaderAnswer::Unresponsive];
            order.note(&host, *u.choose(&answers)?, now);
            now = now + Duration::from_millis(u.int_in_range(0..=3_000)?);
        }
        // With a response, it does not read once because two readers did not respond.
        order.note("elsewhere", ReaderAnswer::Current, now);
        let reads_at = |time: ClockTime| order.clone().next(&entries, time) == ReadStep::Read;
        match order.reads_until(&entries, now) {
            Some(until) => {
                assert!(!reads_at(until));
                assert_eq!(reads_at(now), until > now);
                assert!(until == now || reads_at(until - Duration::from_millis(1)));
            }
            None => assert!(reads_at(now) && reads_at(now + Duration::from_mins(1))),
        }
        Ok(())
    });
}

/// Whatever failures each process has seen, no two processes wait for each other: each queries only
/// higher ranks, so the queries lead to a process that reads.
#[test]
fn queries_only_go_to_higher_ranks() {
    run_cases(CASES, CASE_BYTES, |u| {
        let entries = ordered(usize::from(u.int_in_range(1..=12_u8)?));
        for own_entry in &entries {
            let mut known = entries.clone();
            for _ in 0..u.int_in_range(0..=3_u8)? {
                let at = u.choose_index(known.len())?;
                if known[at] != *own_entry {
                    known.remove(at);
                }
            }
            let mut order = ReadOrder::of(own_entry);
            for _ in 0..u.int_in_range(0..=12_u8)? {
                let host = u.choose(&entries)?.host.clone();
                let answers = [
                    ReaderAnswer::Current,
                    ReaderAnswer::Outdated,
                    ReaderAnswer::Unresponsive,
                ];
                order.note(&host, *u.choose(&answers)?, START);
            }
            if let ReadStep::Query(entry) = order.next(&known, START) {
                assert!(rank_of(&entry.host) > rank_of(&own_entry.host));
                assert!(known.contains(&entry));
            }
        }
        Ok(())
    });
}
