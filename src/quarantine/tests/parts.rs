//! Which part of prompts is quarantined, and what only accompanies it.

use super::{PARTS, START, is_quarantined, record};
use crate::quarantine::{
    AnswerCount, AnswerTally, BackendIncarnation, CRASH_RETENTION, CrashLedger, CrashRecord,
    CrashSuspect, CrashVerdict, PromptPart, StoredCrash, SuspectDepth, SuspectDigest, UNKNOWN_TIME,
};
use crate::test_support::run_cases;
use crate::time::{ClockTime, StoreTime};
use std::time::Duration;

const COMMON: u64 = 0x5c1e;
const HARMFUL: u64 = 0xbad0;
const OTHER: u64 = 0x91bd;

fn digest_of(part: u64) -> SuspectDigest {
    SuspectDigest::of_part(Some("m"), PromptPart(part))
}

fn part_record(part: u64, depth: u8, backend: u64) -> CrashRecord {
    CrashRecord {
        suspect: digest_of(part),
        backend: BackendIncarnation(backend),
        verdict: CrashVerdict::Suspected,
        seen: StoreTime(START.0) + Duration::from_millis(100 * backend),
        depth: SuspectDepth(depth),
    }
}

/// A ledger in which each of `crashes` backend servers crashed under a request with these parts.
fn ledger_with(parts: &[u64], crashes: u64) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for backend in 1..=crashes {
        for (depth, part) in (0..).zip(parts) {
            ledger.note_crash(part_record(*part, depth, backend), START);
        }
    }
    ledger
}

fn count(part: u64, process: u64, answers: u32) -> AnswerCount {
    AnswerCount {
        part: digest_of(part),
        process,
        answers,
    }
}

fn has_quarantined(ledger: &CrashLedger, part: u64) -> bool {
    let mut ledger = ledger.clone();
    ledger.judge();
    ledger.quarantine(digest_of(part), START).is_some()
}

/// Guards against refusing harmless requests that share the other parts of a harmful one.
#[test]
fn a_part_that_only_accompanies_the_harmful_one_is_not_quarantined() {
    for order in [[COMMON, HARMFUL], [HARMFUL, COMMON]] {
        let mut ledger = ledger_with(&order, 5);
        ledger.note_answers(count(COMMON, 1, 4));
        assert!(has_quarantined(&ledger, HARMFUL), "{order:x?}");
        assert!(!has_quarantined(&ledger, COMMON), "{order:x?}");
    }
    let unanswered = ledger_with(&[COMMON, HARMFUL], 5);
    assert!(has_quarantined(&unanswered, HARMFUL));
    assert!(!has_quarantined(&unanswered, COMMON));
}

/// Guards against never finding the harmful part because some requests with it are answered.
#[test]
fn a_part_that_crashes_every_fifth_time_is_found() {
    let mut ledger = ledger_with(&[COMMON, HARMFUL], 5);
    ledger.note_answers(count(HARMFUL, 1, 8));
    ledger.note_answers(count(HARMFUL, 2, 12));
    for process in 1..=2 {
        ledger.note_answers(count(COMMON, process, 30));
    }
    assert!(has_quarantined(&ledger, HARMFUL));
    assert!(!has_quarantined(&ledger, COMMON));
}

/// Guards against refusing the requests of a route because a rack or a whole service fails.
#[test]
fn a_part_of_all_requests_is_not_quarantined_when_a_rack_fails() {
    let mut ledger = CrashLedger::default();
    for backend in 1..=14 {
        let mut record = part_record(COMMON, 0, backend);
        record.seen = StoreTime(START.0) + Duration::from_millis(backend);
        ledger.note_crash(record, START);
    }
    assert!(!has_quarantined(&ledger, COMMON));
    let mut ledger = ledger_with(&[COMMON], 14);
    ledger.note_answers(count(COMMON, 1, 500));
    assert!(!has_quarantined(&ledger, COMMON));
}

/// Guards against sending requests that share nothing narrower than a common part which crashes
/// backend servers.
#[test]
fn a_common_part_is_quarantined_if_nothing_narrower_explains_the_crashes() {
    let mut ledger = CrashLedger::default();
    for backend in 1..=5 {
        ledger.note_crash(part_record(COMMON, 0, backend), START);
        ledger.note_crash(part_record(OTHER + backend, 1, backend), START);
    }
    assert!(has_quarantined(&ledger, COMMON));
}

/// Guards against finding only one of two harmful parts.
#[test]
fn two_harmful_parts_are_both_found() {
    let mut ledger = ledger_with(&[COMMON, HARMFUL], 4);
    for backend in 11..=14 {
        ledger.note_crash(part_record(COMMON, 0, backend), START);
        ledger.note_crash(part_record(OTHER, 1, backend), START);
    }
    ledger.note_answers(count(COMMON, 1, 60));
    assert!(has_quarantined(&ledger, HARMFUL));
    assert!(has_quarantined(&ledger, OTHER));
    assert!(!has_quarantined(&ledger, COMMON));
}

/// Guards against refusing whole requests for as long as the quarantine lasts because they ran next
/// to requests with a harmful part.
#[test]
fn a_request_next_to_a_harmful_part_is_released() {
    let mut ledger = ledger_with(&[HARMFUL], 3);
    for backend in 1..=3 {
        ledger.note_crash(record(1, backend), START);
    }
    assert!(is_quarantined(&ledger, 1, START));
    ledger.note_crash(part_record(HARMFUL, 1, 4), START);
    assert!(has_quarantined(&ledger, HARMFUL));
    assert!(!is_quarantined(&ledger, 1, START));
}

/// Guards against a client account that has the requests of another one refused by sending their
/// parts beside a harmful one.
#[test]
fn a_part_of_other_clients_beside_a_harmful_one_is_not_quarantined() {
    let mut ledger = ledger_with(&[OTHER, HARMFUL], 20);
    ledger.note_answers(count(OTHER, 1, 1));
    assert!(has_quarantined(&ledger, HARMFUL));
    assert!(!has_quarantined(&ledger, OTHER));
}

/// Guards against hiding a harmful part behind a flood of invented ones.
#[test]
fn invented_parts_do_not_evict_a_harmful_one() {
    let mut ledger = ledger_with(&[HARMFUL], 3);
    for number in 0..6000 {
        let at = START + Duration::from_millis(number);
        ledger.note_crash(part_record(OTHER + number, 1, 100 + number / 64), at);
    }
    assert!(has_quarantined(&ledger, HARMFUL));
    assert!(ledger.unstored(ClockTime(0)).len() <= 4096);
}

/// Guards against judging by the order in which crashes and counts of answers arrive, and against
/// counts that arrive late or twice.
#[test]
fn the_order_of_the_evidence_does_not_matter() {
    run_cases(200, 4096, |source| {
        let mut crashes = Vec::new();
        let mut counts = Vec::new();
        for _ in 0..source.int_in_range(1..=30)? {
            let part = source.int_in_range(0..=3)?;
            let depth = u8::try_from(part % 2).expect("it is small");
            crashes.push(part_record(part, depth, source.int_in_range(0..=9)?));
        }
        for _ in 0..source.int_in_range(0..=8)? {
            let answers = source.int_in_range(0..=20)?;
            let part = source.int_in_range(0..=3)?;
            counts.push(count(part, source.int_in_range(1..=2)?, answers));
        }
        let mut ledgers = [CrashLedger::default(), CrashLedger::default()];
        for crash in &crashes {
            ledgers[0].note_crash(*crash, START);
            ledgers[1].note_crash(crashes[source.choose_index(crashes.len())?], START);
        }
        for crash in crashes.iter().rev() {
            ledgers[1].note_crash(*crash, START);
        }
        for (at, count) in counts.iter().enumerate() {
            ledgers[0].note_answers(*count);
            ledgers[0].note_answers(counts[at / 2]);
        }
        for count in counts.iter().rev() {
            ledgers[1].note_answers(*count);
        }
        for part in 0..4 {
            let [first, second] = ledgers
                .each_ref()
                .map(|ledger| has_quarantined(ledger, part));
            assert_eq!(first, second, "part {part}");
        }
        Ok(())
    });
}

/// Guards against counting answers forever, which would hide that a part has become harmful, and
/// against announcing each answer.
#[test]
fn answers_count_from_shortly_before_the_first_suspicion() {
    let mut tally = AnswerTally::default();
    let part = digest_of(COMMON);
    for number in 0..100 {
        tally.push(part, START + Duration::from_millis(number));
    }
    let now = START + Duration::from_mins(1);
    for _ in 0..3 {
        tally.push(part, now);
    }
    assert_eq!(tally.take_changed(&[part], now), [(part, 3)]);
    assert!(tally.take_changed(&[part], now).is_empty());
    for _ in 0..2 {
        tally.push(part, now + Duration::from_secs(30));
    }
    let later = now + Duration::from_mins(1);
    assert!(tally.take_changed(&[part], later).is_empty());
    tally.push(part, later);
    assert_eq!(tally.take_changed(&[part], later), [(part, 6)]);
}

/// Guards against memory that grows with the number of parts.
#[test]
fn the_tally_is_bounded() {
    let mut tally = AnswerTally::default();
    for number in 0..5000 {
        tally.push(digest_of(number), START + Duration::from_millis(number));
    }
    let parts: Vec<SuspectDigest> = (0..5000).map(digest_of).collect();
    assert_eq!(tally.take_changed(&parts, START).len(), 4096);
}

/// Guards against digests of parts that operators cannot find, and against taking a part for a whole
/// request or for the same part in prompts for another model.
#[test]
fn digests_of_parts_end_with_the_id() {
    let part = PromptPart(0x5c1e_07a2);
    let digest = SuspectDigest::of_part(Some("m"), part);
    assert!(digest.to_string().ends_with("000000005c1e07a2"), "{digest}");
    assert_eq!(digest.to_string().parse().ok(), Some(digest));
    assert_ne!(digest, SuspectDigest::of_part(Some("n"), part));
    assert_ne!(digest, SuspectDigest::of_request(PARTS));
    let [first, second] = [PromptPart(1), PromptPart(2)];
    let parts = [first, second];
    let depths = CrashSuspect::of_parts(None, &parts).map(|suspect| suspect.depth);
    assert!(depths.is_sorted());
    assert!(SuspectDepth::of_part(1000) < SuspectDepth::WHOLE);
}

/// Guards against a notice that arrives late or twice and undoes a clearing.
#[test]
fn a_late_announcement_does_not_undo_a_clearing() {
    let until = START + CRASH_RETENTION;
    let mut ledger = CrashLedger::default();
    for backend in 1..=3 {
        ledger.merge_announced(record(1, backend), until, START);
    }
    assert!(is_quarantined(&ledger, 1, START));
    assert_eq!(ledger.clear(record(1, 1).suspect).len(), 3);
    for backend in 1..=3 {
        ledger.merge_announced(record(1, backend), until, START);
    }
    assert!(!is_quarantined(&ledger, 1, START));
    let mut other = CrashLedger::default();
    for cleared in ledger.unstored(ClockTime(0)) {
        other.merge_announced(cleared, until, START);
    }
    for backend in 1..=3 {
        other.merge_announced(record(1, backend), until, START);
    }
    assert!(!is_quarantined(&other, 1, START));
}

/// Guards against a crash that the store never holds because the process that saw it has ended, and
/// against a write by every process that was told of a crash.
#[test]
fn announced_crashes_are_written_by_others_only_after_a_while() {
    let until = START + CRASH_RETENTION;
    let mut ledger = CrashLedger::default();
    ledger.merge_announced(record(1, 1), until, START);
    assert!(ledger.unstored(START).is_empty());
    assert_eq!(
        ledger.unstored(START + Duration::from_micros(1)),
        [record(1, 1)]
    );
    ledger.mark_stored(&[record(1, 1)], 7);
    assert!(ledger.unstored(START + Duration::from_micros(1)).is_empty());
}

/// Guards against never finding a harmful part because an entry host that has just started does not
/// know the store's clock, so that all its crashes seem to be of one moment.
#[test]
fn crashes_of_unknown_times_count_each() {
    let mut ledger = CrashLedger::default();
    for backend in 1..=3 {
        let mut record = part_record(HARMFUL, 1, backend);
        record.seen = UNKNOWN_TIME;
        ledger.note_crash(record, START);
    }
    assert!(has_quarantined(&ledger, HARMFUL));
}

/// Guards against refusing all requests of a route because its common part, whose answers nobody
/// counts once another part explains the crashes, is in progress at one more crash.
#[test]
fn the_answers_to_an_explained_part_are_counted() {
    let mut ledger = ledger_with(&[COMMON, HARMFUL], 4);
    ledger.judge();
    assert!(has_quarantined(&ledger, HARMFUL));
    let at_risk: Vec<SuspectDigest> = ledger.at_risk().iter().map(|it| it.digest).collect();
    assert!(at_risk.contains(&digest_of(COMMON)));
    ledger.note_answers(count(COMMON, 1, 20));
    for backend in 5..=6 {
        ledger.note_crash(part_record(COMMON, 0, backend), START);
    }
    assert!(has_quarantined(&ledger, HARMFUL));
    assert!(!has_quarantined(&ledger, COMMON));
}

/// Guards against refusing all requests of a route at an entry host that starts later and knows the
/// crashes that a common part accompanied, but not its answers.
#[test]
fn an_answered_part_is_cleared_for_processes_that_start_later() {
    for (unexplained, answers) in [(0, 5), (2, 20), (2, 300)] {
        let mut ledger = ledger_with(&[COMMON, HARMFUL], 6);
        for backend in 7..7 + unexplained {
            ledger.note_crash(part_record(COMMON, 0, backend), START);
        }
        ledger.note_answers(count(COMMON, 1, answers));
        ledger.judge();
        let cleared = ledger.clear_answered_parts();
        assert!(cleared.iter().all(|it| it.suspect == digest_of(COMMON)));
        let mut late = CrashLedger::default();
        for (record, revision) in ledger.unstored(ClockTime(0)).into_iter().zip(1..) {
            late.merge_stored(StoredCrash { record, revision }, START + CRASH_RETENTION);
        }
        assert!(has_quarantined(&late, HARMFUL), "{unexplained} {answers}");
        assert!(!has_quarantined(&late, COMMON), "{unexplained} {answers}");
    }
    let mut flapping = ledger_with(&[COMMON], 5);
    flapping.note_answers(count(COMMON, 1, 300));
    flapping.judge();
    assert_eq!(flapping.clear_answered_parts().len(), 5);
}

/// Guards against finding a harmful part late because one request with it, which crashed three
/// backend servers, seems as likely while the crashes follow each other closely.
#[test]
fn a_part_goes_before_a_request_that_explains_fewer_crashes() {
    let mut ledger = CrashLedger::default();
    for backend in 1..=6 {
        let mut crash = part_record(HARMFUL, 1, backend);
        crash.seen = StoreTime(START.0) + Duration::from_millis(26 * backend);
        ledger.note_crash(crash, START);
        if backend <= 3 {
            ledger.note_crash(record(1, backend), START);
        }
    }
    assert!(has_quarantined(&ledger, HARMFUL));
    assert!(!is_quarantined(&ledger, 1, START));
}
