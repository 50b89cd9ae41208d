use std::time::Duration;

use super::{
    BackendIncarnation, CRASH_RETENTION, CrashLedger, CrashRecord, CrashVerdict, RequestDigest,
    RequestParts, StoredCrash,
};
use crate::test_support::run_cases;
use crate::time::{ClockTime, StoreTime};

const PARTS: RequestParts<'_> = RequestParts {
    host: "desk.example",
    path: "/safe/x",
    account: Some("lodge"),
    body: b"body",
};

/// Guards against two different requests that are taken for the same one.
#[test]
fn requests_that_differ_have_digests_that_differ() {
    let same = RequestDigest::of(PARTS);
    assert_eq!(same, RequestDigest::of(PARTS));
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
        assert_ne!(same, RequestDigest::of(other), "{other:?}");
    }
}

const START: ClockTime = ClockTime::from_millis(100_000);

fn digest(number: u32) -> RequestDigest {
    RequestDigest::of(RequestParts {
        body: &number.to_be_bytes(),
        ..PARTS
    })
}

fn record(request: u32, backend: u64) -> CrashRecord {
    CrashRecord {
        request: digest(request),
        backend: BackendIncarnation(backend),
        verdict: CrashVerdict::Suspected,
        seen: StoreTime(START.0),
    }
}

fn is_quarantined(ledger: &CrashLedger, request: u32, now: ClockTime) -> bool {
    ledger.quarantine(digest(request), now).is_some()
}

/// Guards against a request that is refused because one backend server crashed and many told of it.
#[test]
fn a_crash_counts_once_whoever_saw_it() {
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

/// Guards against a request that is refused for good, though nobody knows whether it still does harm.
#[test]
fn a_quarantine_ends() {
    let mut ledger = CrashLedger::default();
    for backend in 1..=3 {
        let at = START + Duration::from_secs(backend);
        ledger.note_crash(record(1, backend), at);
    }
    let now = START + Duration::from_secs(5);
    let left = ledger.quarantine(digest(1), now).expect("three crashes");
    assert_eq!(left + Duration::from_secs(4), CRASH_RETENTION);
    assert!(!is_quarantined(&ledger, 1, now + left));
}

/// Guards against a request that recurs all day, as a call without a body does, and is refused because it was
/// under way at three unrelated crashes.
#[test]
fn a_request_that_was_answered_whole_is_not_held_responsible() {
    let mut ledger = CrashLedger::default();
    for backend in 1..10 {
        ledger.note_crash(record(1, backend), START);
        ledger.clear(digest(1));
    }
    assert!(!is_quarantined(&ledger, 1, START));
    assert!(!ledger.suspects(digest(1)));
}

/// Guards against a call to the store for each harmless request that was under way at a crash.
#[test]
fn only_requests_at_risk_are_told_of_when_they_are_answered() {
    let mut ledger = CrashLedger::default();
    assert!(!ledger.is_at_risk(digest(1), START));
    ledger.note_crash(record(1, 1), START);
    assert!(!ledger.is_at_risk(digest(1), START));
    ledger.note_crash(record(1, 2), START);
    assert!(ledger.is_at_risk(digest(1), START));
    assert!(!ledger.is_at_risk(digest(1), START + CRASH_RETENTION));
}

/// Guards against entry hosts that differ for good on what is quarantined, by the order in which words came.
#[test]
fn the_order_of_words_does_not_matter() {
    run_cases(200, 4096, |source| {
        let mut words = Vec::new();
        for revision in 1..20 {
            let mut record = record(source.int_in_range(0..=2)?, source.int_in_range(0..=4)?);
            if source.ratio(1, 4)? {
                record.verdict = CrashVerdict::Cleared;
            }
            words.push(StoredCrash { record, revision });
        }
        let mut ledgers = [CrashLedger::default(), CrashLedger::default()];
        for word in &words {
            ledgers[0].merge_stored(*word, START + CRASH_RETENTION);
        }
        while !words.is_empty() {
            let at = source.int_in_range(0..=words.len() - 1)?;
            ledgers[1].merge_stored(words.remove(at), START + CRASH_RETENTION);
        }
        for request in 0..3 {
            let [first, second] = ledgers
                .each_ref()
                .map(|ledger| ledger.quarantine(digest(request), START));
            assert_eq!(first, second);
        }
        Ok(())
    });
}

/// Guards against a clearing that is lost because the store's older row was told again before it was written.
#[test]
fn what_was_cleared_here_is_told() {
    let mut ledger = CrashLedger::default();
    let word = StoredCrash {
        record: record(1, 1),
        revision: 7,
    };
    ledger.merge_stored(word, START + CRASH_RETENTION);
    ledger.clear(digest(1));
    ledger.merge_stored(word, START + CRASH_RETENTION);
    let [unstored] = ledger.unstored().try_into().expect("one record");
    assert_eq!(unstored.verdict, CrashVerdict::Cleared);
    ledger.mark_stored(&[unstored], 8);
    assert!(ledger.unstored().is_empty());
}

/// Guards against neighbours that tell the same rows again and again, at once each time.
#[test]
fn rows_are_told_only_as_far_as_all_are_known() {
    let mut ledger = CrashLedger::default();
    ledger.note_crash(record(1, 1), START);
    ledger.mark_stored(&[record(1, 1)], 9);
    ledger.note_revision(8);
    assert_eq!(ledger.stored_after(0).count(), 0);
    ledger.note_revision(9);
    assert_eq!(ledger.stored_after(8).count(), 1);
    assert_eq!(ledger.stored_after(9).count(), 0);
}

/// Guards against rows that somebody removed from the store and that count on.
#[test]
fn a_whole_read_drops_what_the_store_no_longer_has() {
    let mut ledger = CrashLedger::default();
    let word = StoredCrash {
        record: record(1, 1),
        revision: 7,
    };
    ledger.merge_stored(word, START + CRASH_RETENTION);
    ledger.note_crash(record(1, 2), START);
    ledger.keep_listed(&[], 10);
    assert_eq!(ledger.unstored(), [record(1, 2)]);
    assert_eq!(ledger.stored_after(0).count(), 0);
}

/// Guards against memory that grows with the crashes of a long life.
#[test]
fn the_oldest_crashes_are_forgotten_first() {
    let mut ledger = CrashLedger::default();
    for number in 0..6000 {
        let at = START + Duration::from_millis(number.into());
        ledger.note_crash(record(number, 1), at);
    }
    assert!(!ledger.suspects(digest(0)));
    assert!(ledger.suspects(digest(5999)));
    assert!(ledger.unstored().len() <= 4096);
}
