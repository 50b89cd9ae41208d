//! Single sequences on the book of keyed calls that the randomised run seldom comes to.

use crate::delivery::AttemptId;
use crate::documents::OutageRule;
use crate::errors::{ErrorKind, RunOutcome};
use crate::guard::claim_record::{ClaimRecord, ClaimState};
use crate::guard::key_book::KeyBook;
use crate::guard::key_entry::{CallAnswer, ClaimPlan, ClaimResult, ClaimVerdict, KeyEnd};
use crate::guard::keyed_call::{KeyHash, KeyedCall, OrderHash, SlotGrant};
use crate::leases::LeaseHolder;
use crate::stores::RowRevision;
use crate::time::{ClockTime, WallTime};

const NOW: ClockTime = ClockTime::from_millis(500_000);
const WALL: WallTime = WallTime(500_000);
const CLAIM: RowRevision = RowRevision(5);

fn book() -> KeyBook {
    KeyBook::new(holder("lima-1"))
}

fn holder(host: &str) -> LeaseHolder {
    LeaseHolder {
        host: host.into(),
        incarnation: 1,
    }
}

fn call() -> KeyedCall {
    KeyedCall {
        key: KeyHash::of("desk", "lodge", "k"),
        order: OrderHash::of("desk", "lodge", "k"),
        slot: 0,
        fingerprint: [0; 16],
        made: Some(WallTime(WALL.0 - 1_000)),
        in_outage: OutageRule::Lease,
    }
}

fn grant() -> SlotGrant {
    SlotGrant {
        fence: 1,
        runs_unclaimed: true,
        taken: WallTime(1_000),
        doubts: Vec::new(),
    }
}

fn begin(book: &mut KeyBook) {
    let answer = book.on_call(&call(), AttemptId::fresh(), Some(&grant()), NOW, WALL);
    assert_eq!(answer, CallAnswer::New { has_turn: true });
}

fn claim_of(book: &mut KeyBook) -> ClaimRecord {
    let plan = book.plan_claim(call().key, Some(&grant()), true, true, WALL);
    match plan {
        Ok(ClaimPlan::Create(record)) => record,
        other => panic!("no claim: {other:?}"),
    }
}

// Symptom: a call runs twice. Events: a call is claimed and given up, the order to remove its claim
// is held up on its way; the call comes again in an outage and runs without a claim; the table is
// back. Cause: the old claim is taken for the trace of the run, the lease is renewed and passed on,
// and then the claim goes.
#[test]
fn a_claim_that_may_go_is_no_trace() {
    let mut book = book();
    let key = call().key;
    begin(&mut book);
    let first = claim_of(&mut book);
    let written = ClaimResult::Written(CLAIM);
    let verdict = book.on_claim(key, written, Some(&grant()), false, WALL);
    let gone = ClaimVerdict::Refuse(ErrorKind::CallerGone, RunOutcome::NotRun, Some(CLAIM));
    assert_eq!(verdict, gone);
    book.next_turn(key);
    begin(&mut book);
    let verdict = book.plan_claim(key, Some(&grant()), false, true, WALL);
    assert_eq!(verdict, Err(ClaimVerdict::HandOver(1)));
    book.on_end(key, KeyEnd::NotKnown, 0, NOW);
    let pending = book.pending_records(1, WALL).remove(0);
    book.on_record(&pending, ClaimResult::Found(CLAIM, first));
    assert!(book.has_untraced(0), "the claim may go at any time");
    let again = book.pending_records(1, WALL).remove(0);
    assert_eq!(again.expected, CLAIM);
    book.on_record(&again, ClaimResult::Written(RowRevision(6)));
    assert!(!book.has_untraced(0));
}

// Symptom: a call runs twice. Events: another's claim on it is found; then the table goes away, and
// the call comes again. Cause, when clocks differ by more than is assumed: the key looks as if only
// this process could have run it.
#[test]
fn what_another_claimed_never_runs_in_an_outage() {
    let mut book = book();
    let key = call().key;
    begin(&mut book);
    let mut other = claim_of(&mut book);
    other.holder = holder("lima-2");
    other.state = ClaimState::Started;
    let found = ClaimResult::Found(CLAIM, other);
    let unknown = ClaimVerdict::Refuse(ErrorKind::OutcomeUnknown, RunOutcome::NotKnown, None);
    let verdict = book.on_claim(key, found, Some(&grant()), true, WALL);
    assert_eq!(verdict, unknown);
    book.next_turn(key);
    begin(&mut book);
    let verdict = book.plan_claim(key, Some(&grant()), false, true, WALL);
    assert_eq!(verdict, Err(unknown));
}

// Symptom: as above. Events: as above, and between the two a run in the outage that the backend
// server did not take. Cause: the end of that run, which has no claim to remove, made the book forget
// the order that is still on its way.
#[test]
fn an_order_to_remove_is_remembered_through_a_run_without_a_claim() {
    let mut book = book();
    let key = call().key;
    begin(&mut book);
    let first = claim_of(&mut book);
    let written = ClaimResult::Written(CLAIM);
    book.on_claim(key, written, Some(&grant()), false, WALL);
    book.next_turn(key);
    for end in [KeyEnd::NotRun, KeyEnd::NotKnown] {
        begin(&mut book);
        let verdict = book.plan_claim(key, Some(&grant()), false, true, WALL);
        assert_eq!(verdict, Err(ClaimVerdict::HandOver(1)));
        let claim = book.on_end(key, end, 0, NOW);
        assert_eq!(claim, None, "the order is on its way already");
        book.next_turn(key);
    }
    let pending = book.pending_records(1, WALL).remove(0);
    book.on_record(&pending, ClaimResult::Found(CLAIM, first));
    assert!(book.has_untraced(0), "the claim may go at any time");
}
