//! When a process reads the table.

use crate::documents::{ActiveDocuments, HintRecord, TableReadScheduler, TableReadStep};
use crate::time::ClockTime;

const JITTER: u8 = 128;

fn seconds(count: u64) -> ClockTime {
    ClockTime::from_millis(1000 * count)
}

fn waits(step: &TableReadStep) -> bool {
    matches!(step, TableReadStep::WaitUntil(_))
}

/// Reads the table in one run of `span` seconds, answered at once, the neighbours' word coming each
/// second if `is_told`.
fn reads_within(span: u64, is_reader: bool, is_told: bool) -> usize {
    let mut reader = TableReadScheduler::new(seconds(0));
    let held = ActiveDocuments::default();
    let mut reads = 0;
    for tick in 0..span * 10 {
        let now = ClockTime::from_millis(100 * tick);
        if is_told && tick % 10 == 0 {
            reader.on_neighbour_current(now);
        }
        match reader.next_step(now, is_reader, JITTER) {
            TableReadStep::WaitUntil(_) => continue,
            TableReadStep::ReadAll => reader.on_all(now, now),
            TableReadStep::ReadHint => reader.on_hint(&HintRecord::default(), &held, now, now),
            TableReadStep::ReadDocument(_) => reader.on_document(),
        }
        reads += 1;
    }
    reads
}

// Symptom: the table's reads grow with the processes. Events: nothing fails. Cause, without the age
// that neighbours tell: everyone polls for itself.
#[test]
fn only_readers_poll_while_neighbours_tell() {
    assert_eq!(reads_within(120, true, true), 120);
    assert_eq!(reads_within(120, false, true), 1);
}

#[test]
fn whoever_hears_nothing_fresh_reads_for_itself() {
    let reads = reads_within(120, false, false);
    assert!((9..=11).contains(&reads), "{reads} reads");
}

#[test]
fn an_expected_change_is_looked_for_until_it_is_given_up() {
    let mut reader = TableReadScheduler::new(seconds(0));
    let held = ActiveDocuments::default();
    let mut hint = HintRecord::default();
    hint.expect(&"pisar".into(), 1);
    reader.on_all(seconds(0), seconds(0));
    let mut looks = 0;
    for second in 1..=30 {
        let now = seconds(second);
        assert_eq!(reader.next_step(now, true, JITTER), TableReadStep::ReadHint);
        reader.on_hint(&hint, &held, now, now);
        if reader.next_step(now, true, JITTER) == TableReadStep::ReadDocument("pisar".into()) {
            looks += 1;
            reader.on_document();
        }
    }
    assert_eq!(looks, 15, "an abandoned change is looked for 15 s");
}

// Symptom: a change is in force a minute late. Events: more changes than the hint row names come
// between two polls, and their accepting host dies. Cause, without the look at the whole: the row
// names the last of them only.
#[test]
fn a_full_hint_row_of_news_leads_to_a_reading_of_all() {
    let mut reader = TableReadScheduler::new(seconds(0));
    let held = ActiveDocuments::default();
    let mut hint = HintRecord::default();
    reader.on_all(seconds(0), seconds(0));
    reader.on_hint(&hint, &held, seconds(1), seconds(1));
    for service in ["a", "b", "c", "d", "e"] {
        hint.expect(&service.into(), 1);
    }
    reader.on_hint(&hint, &held, seconds(2), seconds(2));
    for _ in 0..4 {
        let step = reader.next_step(seconds(3), true, JITTER);
        assert!(matches!(step, TableReadStep::ReadDocument(_)), "{step:?}");
    }
    let step = reader.next_step(seconds(3), true, JITTER);
    assert_eq!(step, TableReadStep::ReadAll);
}

#[test]
fn failures_make_the_pauses_longer() {
    let mut reader = TableReadScheduler::new(seconds(0));
    let mut now = seconds(0);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        reader.on_unavailable(now, u8::MAX);
        let TableReadStep::WaitUntil(due) = reader.next_step(now, true, JITTER) else {
            panic!("it pauses");
        };
        pauses.push(due.since(now).as_secs());
        now = due;
    }
    assert_eq!(pauses, [2, 4, 8, 8, 8, 8]);
    assert!(!waits(&reader.next_step(now, true, JITTER)));
}
