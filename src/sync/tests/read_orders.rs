//! Who reads and who asks, as one process works it out.

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

/// `count` entry hosts of one data centre, the first in the order first.
fn ordered(count: usize) -> Vec<EntryRecord> {
    let mut entries: Vec<EntryRecord> = (0..count).map(|number| entry(number, "a")).collect();
    entries.sort_unstable_by_key(|entry| std::cmp::Reverse(rank_of(&entry.host)));
    entries
}

/// Whom `order` asks in its next turns, sorted; none where it reads.
fn sent_at(
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

/// Documents reached far entry hosts 2.5 s late: all 17 of a data centre read each of them over one link.
#[test]
fn two_entry_hosts_read_and_the_others_query_them_in_turn() {
    let mut entries = ordered(17);
    let readers = entries[..2].to_vec();
    let elsewhere: Vec<EntryRecord> = (100..120).map(|number| entry(number, "b")).collect();
    let of_place = entries.clone();
    entries.extend(elsewhere);
    entries.sort_unstable();
    for (place, me) in of_place.iter().enumerate() {
        let mut order = ReadOrder::of(me);
        let sent_at = sent_at(&mut order, &entries, START);
        if place < 2 {
            assert_eq!(sent_at, None, "{place} reads");
        } else {
            assert_eq!(sent_at.as_ref(), Some(&readers), "{place} asks both");
        }
    }
}

#[test]
fn a_process_without_known_entry_hosts_reads() {
    let me = entry(1, "a");
    assert_eq!(ReadOrder::of(&me).next(&[], START), ReadStep::Read);
    let alone = [me.clone(), entry(2, "b"), entry(3, "b"), entry(4, "b")];
    assert_eq!(ReadOrder::of(&me).next(&alone, START), ReadStep::Read);
}

/// A reader was killed, and those that asked it had no documents until it was back.
#[test]
fn an_unresponsive_reader_is_replaced_and_queried_again_later() {
    let entries = ordered(5);
    let mut order = ReadOrder::of(&entries[4]);
    order.note(&entries[0].host, ReaderAnswer::Unresponsive, START);
    assert_eq!(
        sent_at(&mut order, &entries, START),
        Some(entries[1..3].to_vec())
    );
    // The next in the order sees the same, and reads.
    let mut next = ReadOrder::of(&entries[2]);
    next.note(&entries[0].host, ReaderAnswer::Unresponsive, START);
    assert_eq!(next.next(&entries, START), ReadStep::Read);
    let later = START + Duration::from_secs(2);
    assert_eq!(
        sent_at(&mut order, &entries, later),
        Some(entries[..2].to_vec())
    );
    order.note(&entries[1].host, ReaderAnswer::Current, later);
    // It is still away: asking it again costs a turn, and is done less often.
    order.note(&entries[0].host, ReaderAnswer::Unresponsive, later);
    let soon = later + Duration::from_secs(3);
    assert_eq!(
        sent_at(&mut order, &entries, soon),
        Some(entries[1..3].to_vec())
    );
    order.note(&entries[0].host, ReaderAnswer::Current, soon);
    assert_eq!(
        sent_at(&mut order, &entries, soon),
        Some(entries[..2].to_vec())
    );
}

/// Half of a data centre was frozen, and each of those that did not answer took its time.
#[test]
fn after_two_unresponsive_readers_a_process_reads_once() {
    let entries = ordered(9);
    let mut order = ReadOrder::of(&entries[8]);
    order.note(&entries[0].host, ReaderAnswer::Unresponsive, START);
    order.note(&entries[1].host, ReaderAnswer::Unresponsive, START);
    assert_eq!(order.next(&entries, START), ReadStep::Read);
    assert_eq!(
        sent_at(&mut order, &entries, START),
        Some(entries[2..4].to_vec())
    );
}

/// The store turned the reader away and served all others; they went on asking it.
#[test]
fn a_reader_cut_off_from_the_store_is_replaced() {
    let entries = ordered(5);
    let mut reading = OperatorStatus::default();
    reading.note_read(7, store_time(START), START);
    reading.note_failure();
    let announcement = reading.announcement().expect("it has read");
    let answer = classify_answer(&announcement, START, START);
    assert_eq!(answer, ReaderAnswer::Outdated);
    let mut order = ReadOrder::of(&entries[4]);
    order.note(&entries[1].host, answer, START);
    let replaced = vec![entries[0].clone(), entries[2].clone()];
    assert_eq!(sent_at(&mut order, &entries, START), Some(replaced));
}

/// A reader's connection to the store went silent, or its answers came late: it answered at once and
/// with old knowledge.
#[test]
fn a_reader_with_old_knowledge_is_outdated() {
    let mut reading = OperatorStatus::default();
    assert_eq!(reading.announcement(), None, "it knows nothing");
    reading.note_read(7, store_time(START), START);
    let announcement = reading.announcement().expect("it has read");
    let after =
        |millis: u64| classify_answer(&announcement, START, START + Duration::from_millis(millis));
    // A watch is held open that long, and the store may be slow.
    assert_eq!(after(1900), ReaderAnswer::Current);
    assert_eq!(after(2600), ReaderAnswer::Outdated);
}

/// Where the link between two regions is too narrow, all of a data centre would read over it.
#[test]
fn at_most_four_outdated_readers_are_excluded() {
    let entries = ordered(17);
    let mut order = ReadOrder::of(&entries[16]);
    for reader in &entries[..8] {
        order.note(&reader.host, ReaderAnswer::Outdated, START);
    }
    assert_eq!(
        sent_at(&mut order, &entries, START),
        Some(entries[4..6].to_vec())
    );
}

/// A process that is told by a neighbour knows no more than that one, and as of the same moment; as a reader it
/// goes on from there.
#[test]
fn reported_knowledge_keeps_the_age_of_its_source() {
    let mut reader = OperatorStatus::default();
    reader.note_read(7, store_time(START), START);
    let reported = reader.announcement().expect("it has read");
    let mut follower = OperatorStatus::default();
    follower.take_announcement(reported, START);
    assert_eq!(follower.announcement(), Some(reported));
    assert!(!follower.is_overdue(START + Duration::from_millis(2400)));
    assert!(follower.is_overdue(START + Duration::from_millis(2500)));
    // An older word changes nothing.
    let earlier = START - Duration::from_secs(3);
    let mut older = OperatorStatus::default();
    older.note_read(3, store_time(earlier), earlier);
    follower.take_announcement(older.announcement().expect("it has read"), earlier);
    assert_eq!(follower.announcement(), Some(reported));
    assert!(!follower.is_overdue(START + Duration::from_millis(2400)));
}

/// Whatever each has seen fail, nobody waits for somebody that waits for it: following whom each asks leads
/// to one that reads.
#[test]
fn queries_only_go_to_higher_ranks() {
    run_cases(CASES, CASE_BYTES, |u| {
        let entries = ordered(usize::from(u.int_in_range(1..=12_u8)?));
        for me in &entries {
            let mut known = entries.clone();
            for _ in 0..u.int_in_range(0..=3_u8)? {
                let at = u.choose_index(known.len())?;
                if known[at] != *me {
                    known.remove(at);
                }
            }
            let mut order = ReadOrder::of(me);
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
                assert!(rank_of(&entry.host) > rank_of(&me.host));
                assert!(known.contains(&entry));
            }
        }
        Ok(())
    });
}
