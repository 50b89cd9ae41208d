//! The ledger of crashes.

mod model;
mod parts;

use std::time::Duration;

use super::{
    BackendIncarnation, CRASH_RETENTION, CrashLedger, CrashRecord, CrashVerdict, RequestParts,
    StoredCrash, SuspectDepth, SuspectDigest,
};
use crate::test_support::run_cases;
use crate::time::{ClockTime, StoreTime};

const PARTS: RequestParts<'_> = RequestParts {
    host: "desk.example",
    path: "/safe/x",
    account: Some("lodge"),
    body: b"body",
};

/// Guards against treating two different requests as the same one.
#[test]
fn different_requests_have_different_digests() {
    let same = SuspectDigest::of_request(PARTS);
    assert_eq!(same, SuspectDigest::of_request(PARTS));
    let others = [
        RequestParts {
            host: "desk.example/",
            path: "safe/x",
            ..PARTS
        },
        RequestParts {
            path: "/safe/xlodge",
            account: None,
            ..PARTS
        },
        RequestParts {
            account: Some("inn"),
            ..PARTS
        },
        RequestParts {
            body: b"bodyguard",
            ..PARTS
        },
    ];
    for other in others {
        assert_ne!(same, SuspectDigest::of_request(other), "{other:?}");
    }
}

const START: ClockTime = ClockTime::from_millis(100_000);

fn digest(number: u32) -> SuspectDigest {
    SuspectDigest::of_request(RequestParts {
        body: &number.to_be_bytes(),
        ..PARTS
    })
}

fn record(request: u32, backend: u64) -> CrashRecord {
    CrashRecord {
        suspect: digest(request),
        backend: BackendIncarnation(backend),
        verdict: CrashVerdict::Suspected,
        seen: StoreTime(START.0),
        depth: SuspectDepth::WHOLE,
    }
}

fn quarantine_of(ledger: &CrashLedger, request: u32, now: ClockTime) -> Option<Duration> {
    let mut ledger = ledger.clone();
    ledger.judge();
    ledger.quarantine(digest(request), now)
}

fn is_quarantined(ledger: &CrashLedger, request: u32, now: ClockTime) -> bool {
    quarantine_of(ledger, request, now).is_some()
}

/// Guards against quarantining a request because many entry hosts reported the same crash.
#[test]
fn a_crash_that_is_reported_several_times_counts_once() {
    let mut ledger = CrashLedger::default();
    for _ in 0..5 {
        ledger.note_crash(record(1, 1), START);
        ledger.note_crash(record(1, 2), START);
    }
    assert!(!is_quarantined(&ledger, 1, START));
    ledger.note_crash(record(1, 3), START);
    assert!(is_quarantined(&ledger, 1, START));
    assert!(!is_quarantined(&ledger, 2, START));
}

/// Guards against refusing a request permanently although it may no longer be harmful.
#[test]
fn a_quarantine_expires() {
    let mut ledger = CrashLedger::default();
    for backend in 1..=3 {
        let at = START + Duration::from_secs(backend);
        ledger.note_crash(record(1, backend), at);
    }
    let now = START + Duration::from_secs(5);
    let left = quarantine_of(&ledger, 1, now).expect("three crashes");
    assert_eq!(left + Duration::from_secs(4), CRASH_RETENTION);
    assert!(!is_quarantined(&ledger, 1, now + left));
}

/// Guards against quarantining a request that recurs all day, such as a call without a body,
/// because it was in progress at three unrelated crashes.
#[test]
fn a_complete_answer_clears_a_request() {
    let mut ledger = CrashLedger::default();
    for backend in 1..10 {
        ledger.note_crash(record(1, backend), START);
        ledger.clear(digest(1));
    }
    assert!(!is_quarantined(&ledger, 1, START));
    assert!(!ledger.suspects(digest(1)));
}

/// Guards against a store write for each harmless request that was in progress at a crash.
#[test]
fn only_requests_close_to_quarantine_are_at_risk() {
    let mut ledger = CrashLedger::default();
    assert!(!ledger.is_at_risk(digest(1), START));
    ledger.note_crash(record(1, 1), START);
    assert!(!ledger.is_at_risk(digest(1), START));
    ledger.note_crash(record(1, 2), START);
    assert!(ledger.is_at_risk(digest(1), START));
    assert!(!ledger.is_at_risk(digest(1), START + CRASH_RETENTION));
}

/// Guards against entry hosts that permanently disagree on what is quarantined, because stored
/// crashes arrived in a different order.
#[test]
fn the_order_of_stored_crashes_does_not_matter() {
    run_cases(200, 4096, |source| {
        let mut rows = Vec::new();
        for revision in 1..20 {
            let mut record = record(source.int_in_range(0..=2)?, source.int_in_range(0..=4)?);
            if source.ratio(1, 4)? {
                record.verdict = CrashVerdict::Cleared;
            }
            rows.push(StoredCrash { record, revision });
        }
        let mut ledgers = [CrashLedger::default(), CrashLedger::default()];
        for row in &rows {
            ledgers[0].merge_stored(*row, START + CRASH_RETENTION);
        }
        while !rows.is_empty() {
            let at = source.int_in_range(0..=rows.len() - 1)?;
            ledgers[1].merge_stored(rows.remove(at), START + CRASH_RETENTION);
        }
        for request in 0..3 {
            let [first, second] = ledgers
                .each_ref()
                .map(|ledger| quarantine_of(ledger, request, START));
            assert_eq!(first, second);
        }
        Ok(())
    });
}

/// Guards against losing a cleared verdict when the older row of the store arrives again before the
/// verdict is written.
#[test]
fn a_local_cleared_verdict_survives_an_older_row() {
    let mut ledger = CrashLedger::default();
    let stored = StoredCrash {
        record: record(1, 1),
        revision: 7,
    };
    ledger.merge_stored(stored, START + CRASH_RETENTION);
    ledger.clear(digest(1));
    ledger.merge_stored(stored, START + CRASH_RETENTION);
    let [unstored] = ledger
        .unstored(ClockTime(0))
        .try_into()
        .expect("one record");
    assert_eq!(unstored.verdict, CrashVerdict::Cleared);
    ledger.mark_stored(&[unstored], 8);
    assert!(ledger.unstored(ClockTime(0)).is_empty());
}

/// Guards against sending the same rows to neighbours in an endless series of immediate responses.
#[test]
fn rows_are_sent_only_up_to_the_completely_known_revision() {
    let mut ledger = CrashLedger::default();
    ledger.note_crash(record(1, 1), START);
    ledger.mark_stored(&[record(1, 1)], 9);
    ledger.note_revision(8);
    assert_eq!(ledger.stored_after(0).count(), 0);
    ledger.note_revision(9);
    assert_eq!(ledger.stored_after(8).count(), 1);
    assert_eq!(ledger.stored_after(9).count(), 0);
}

/// Guards against counting rows that were removed from the store.
#[test]
fn a_full_read_drops_rows_that_the_store_no_longer_has() {
    let mut ledger = CrashLedger::default();
    let stored = StoredCrash {
        record: record(1, 1),
        revision: 7,
    };
    ledger.merge_stored(stored, START + CRASH_RETENTION);
    ledger.note_crash(record(1, 2), START);
    ledger.keep_listed(&[], 10);
    assert_eq!(ledger.unstored(ClockTime(0)), [record(1, 2)]);
    assert_eq!(ledger.stored_after(0).count(), 0);
}

/// Guards against unbounded memory use in a long-running process.
#[test]
fn the_oldest_crashes_are_evicted_first() {
    let mut ledger = CrashLedger::default();
    for number in 0..6000 {
        let at = START + Duration::from_millis(number.into());
        ledger.note_crash(record(number, 1), at);
    }
    assert!(!ledger.suspects(digest(0)));
    assert!(ledger.suspects(digest(5999)));
    assert!(ledger.unstored(ClockTime(0)).len() <= 4096);
}

/// Guards against forgetting a quarantined request because the store, which returned from an older
/// copy, lost its rows. Rows that the store removed in its own era stay removed.
#[test]
fn rows_that_the_store_lost_are_stored_again() {
    let era = |number: u64| number << 48;
    let mut ledger = CrashLedger::default();
    let stored = |backend, revision| StoredCrash {
        record: record(1, backend),
        revision,
    };
    let until = START + CRASH_RETENTION;
    for backend in 1..=3 {
        ledger.merge_stored(stored(backend, era(1) + 10 + backend), until);
    }
    ledger.note_revision(era(1) + 20);
    assert!(is_quarantined(&ledger, 1, START));
    ledger.keep_listed(&[stored(1, era(2) + 11)], era(2) + 12);
    ledger.merge_stored(stored(1, era(2) + 11), until);
    assert!(is_quarantined(&ledger, 1, START));
    assert_eq!(ledger.unstored(ClockTime(0)), [record(1, 2), record(1, 3)]);
    ledger.mark_stored(&[record(1, 2), record(1, 3)], era(2) + 13);
    ledger.keep_listed(&[], era(2) + 30);
    assert!(!is_quarantined(&ledger, 1, START));
    assert!(ledger.is_empty());
}
