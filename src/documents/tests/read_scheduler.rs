//! Tests of the schedule of table reads.

use crate::documents::{ActiveDocuments, HintRecord, TableReadScheduler, TableReadStep};
use crate::time::ClockTime;

const JITTER: u8 = 128;

fn seconds(count: u64) -> ClockTime {
    ClockTime::from_millis(1000 * count)
}

fn is_wait(step: &TableReadStep) -> bool {
    matches!(step, TableReadStep::WaitUntil(_))
}

/// Counts the table reads within `span` seconds. The table responds immediately; if
/// `neighbours_current`, a neighbour reports current documents every second.
fn reads_within(span: u64, is_reader: bool, neighbours_current: bool) -> usize {
    let mut scheduler = TableReadScheduler::new(seconds(0));
    let active = ActiveDocuments::default();
    let mut reads = 0;
    for tick in 0..span * 10 {
        let now = ClockTime::from_millis(100 * tick);
        if neighbours_current && tick % 10 == 0 {
            scheduler.on_neighbour_current(now);
        }
        match scheduler.next_step(now, is_reader, JITTER) {
            TableReadStep::WaitUntil(_) => continue,
            TableReadStep::ReadAll => scheduler.on_all(now, now),
            TableReadStep::ReadHint => scheduler.on_hint(&HintRecord::default(), &active, now, now),
            TableReadStep::ReadDocument(_) => scheduler.on_document(),
        }
        reads += 1;
    }
    reads
}

// Guards against a load on the table that grows with the number of processes although nothing
// fails. Without the freshness that neighbours report, every process would poll the table itself.
#[test]
fn only_readers_poll_while_neighbours_are_current() {
    assert_eq!(reads_within(120, true, true), 120);
    assert_eq!(reads_within(120, false, true), 1);
}

#[test]
fn a_process_without_current_neighbours_reads_the_table() {
    let reads = reads_within(120, false, false);
    assert!((9..=11).contains(&reads), "{reads} reads");
}

#[test]
fn a_hinted_change_is_searched_for_until_the_time_limit() {
    let mut scheduler = TableReadScheduler::new(seconds(0));
    let active = ActiveDocuments::default();
    let mut hint = HintRecord::default();
    hint.add_change(&"pisar".into(), 1);
    scheduler.on_all(seconds(0), seconds(0));
    let mut searches = 0;
    for second in 1..=30 {
        let now = seconds(second);
        assert_eq!(
            scheduler.next_step(now, true, JITTER),
            TableReadStep::ReadHint
        );
        scheduler.on_hint(&hint, &active, now, now);
        if scheduler.next_step(now, true, JITTER) == TableReadStep::ReadDocument("pisar".into()) {
            searches += 1;
            scheduler.on_document();
        }
    }
    assert_eq!(searches, 15, "an abandoned change is searched for 15 s");
}

// Guards against a change that is put in force a minute late. Between two polls, more changes are
// made than fit into the hint row, and the accepting host fails. The row then lists only the last
// of them, so without a read of all documents the others are not found until the next full read.
#[test]
fn a_full_hint_row_of_new_changes_leads_to_a_full_read() {
    let mut scheduler = TableReadScheduler::new(seconds(0));
    let active = ActiveDocuments::default();
    let mut hint = HintRecord::default();
    scheduler.on_all(seconds(0), seconds(0));
    scheduler.on_hint(&hint, &active, seconds(1), seconds(1));
    for service in ["a", "b", "c", "d", "e"] {
        hint.add_change(&service.into(), 1);
    }
    scheduler.on_hint(&hint, &active, seconds(2), seconds(2));
    for _ in 0..4 {
        let step = scheduler.next_step(seconds(3), true, JITTER);
        assert!(matches!(step, TableReadStep::ReadDocument(_)), "{step:?}");
    }
    let step = scheduler.next_step(seconds(3), true, JITTER);
    assert_eq!(step, TableReadStep::ReadAll);
}

#[test]
fn pauses_grow_with_consecutive_failures() {
    let mut scheduler = TableReadScheduler::new(seconds(0));
    let mut now = seconds(0);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        scheduler.on_unavailable(now, u8::MAX);
        let TableReadStep::WaitUntil(due) = scheduler.next_step(now, true, JITTER) else {
            panic!("the scheduler does not pause after a failure");
        };
        pauses.push(due.since(now).as_secs());
        now = due;
    }
    assert_eq!(pauses, [2, 4, 8, 8, 8, 8]);
    assert!(!is_wait(&scheduler.next_step(now, true, JITTER)));
}
