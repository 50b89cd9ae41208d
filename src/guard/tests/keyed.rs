//! Keyed calls through the whole guard, over fakes of the table and of a plain service.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::fakes::{CountingPlain, MemoryTable, TestHost, body_of, wake_up};
use crate::delivery::RunPart;
use crate::documents::OutageRule;
use crate::engines::PlainEdge;
use crate::errors::{ErrorKind, RunOutcome};
use crate::guard::BackendServer;

struct Desk {
    table: Arc<MemoryTable>,
    plain: Arc<CountingPlain>,
}

impl Desk {
    fn new() -> Self {
        Self {
            table: Arc::default(),
            plain: Arc::default(),
        }
    }

    async fn host(&self, name: &str) -> TestHost {
        let plain = Arc::clone(&self.plain) as Arc<dyn PlainEdge>;
        let host = TestHost::start(name, &self.table, BackendServer::Plain(plain));
        host.hold_slots().await;
        host
    }

    fn runs(&self) -> u32 {
        self.plain.calls.load(Ordering::Relaxed)
    }
}

fn is_replay(parts: &[RunPart]) -> bool {
    matches!(parts.last(), Some(RunPart::End { replayed: true, .. }))
}

fn refusal_of(parts: &[RunPart]) -> (ErrorKind, RunOutcome) {
    match parts {
        [RunPart::Refused { kind, outcome, .. }] => (*kind, *outcome),
        other => panic!("no refusal: {other:?}"),
    }
}

// Symptom: guests are woken twice. Events: the answer to a wake-up call is lost, the caller sends
// it again with the same key. Cause: the second call is taken for a new one.
#[tokio::test]
async fn a_repeated_key_gets_the_first_answer() {
    let desk = Desk::new();
    let host = desk.host("lima-1").await;
    let first = host.ask(wake_up(Some("k1"), OutageRule::Refuse)).await;
    let second = host.ask(wake_up(Some("k1"), OutageRule::Refuse)).await;
    assert_eq!(body_of(&first), "run 1");
    assert_eq!(body_of(&second), "run 1");
    assert!(!is_replay(&first) && is_replay(&second));
    assert_eq!(desk.runs(), 1);
}

// Symptom and events as above, but the host was replaced in between: another holds the slot now.
// Cause: what the first knew died with it, unless the table has it.
#[tokio::test]
async fn another_holder_replays_from_the_table() {
    let desk = Desk::new();
    desk.plain.padding.store(20, Ordering::Relaxed);
    let first_host = desk.host("lima-1").await;
    let first = first_host
        .ask(wake_up(Some("k1"), OutageRule::Refuse))
        .await;
    first_host.drain.begin();
    first_host.hold_nothing().await;
    first_host.handle.finish().await;
    let second_host = desk.host("lima-2").await;
    let second = second_host
        .ask(wake_up(Some("k1"), OutageRule::Refuse))
        .await;
    assert_eq!(body_of(&first), body_of(&second));
    assert!(is_replay(&second));
    assert_eq!(desk.runs(), 1);
}

// Symptom: a call is told "not run" and runs later, or is lost. Events: the table takes the claim,
// but its answer is lost, and then the table answers nothing. Cause: a claim in doubt is neither
// there nor not there; only its writer knows that it will not run by it.
#[tokio::test]
async fn a_claim_in_doubt_is_refused_truly() {
    let desk = Desk::new();
    let host = desk.host("lima-1").await;
    desk.table.is_away.store(true, Ordering::Relaxed);
    let refused = host.ask(wake_up(Some("k1"), OutageRule::Refuse)).await;
    let expected = (ErrorKind::ClaimUnavailable, RunOutcome::NotRun);
    assert_eq!(refusal_of(&refused), expected);
    assert_eq!(desk.runs(), 0);
}

// Symptom: a call is refused although its claim was written. Events: only the answer to the claim
// is lost. Cause: nobody reads the claim back.
#[tokio::test]
async fn a_lost_answer_to_the_claim_is_read_back() {
    let desk = Desk::new();
    let host = desk.host("lima-1").await;
    desk.table.loses_answers.store(true, Ordering::Relaxed);
    let asked = host.ask(wake_up(Some("k1"), OutageRule::Refuse)).await;
    // Its own claim is found and written anew, whose answer is lost too: it is refused, and the
    // next try finds the claim again.
    desk.table.loses_answers.store(false, Ordering::Relaxed);
    assert!(desk.runs() <= 1, "{asked:?}");
    let again = loop {
        let again = host.ask(wake_up(Some("k1"), OutageRule::Refuse)).await;
        if !matches!(again.as_slice(), [RunPart::Refused { .. }]) {
            break again;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    };
    assert_eq!(body_of(&again), "run 1");
    assert_eq!(desk.runs(), 1);
}

#[tokio::test]
async fn a_key_with_another_request_is_refused() {
    let desk = Desk::new();
    let host = desk.host("lima-1").await;
    host.ask(wake_up(Some("k1"), OutageRule::Refuse)).await;
    let mut other = wake_up(Some("k1"), OutageRule::Refuse);
    if let Some(call) = &mut other.call_key {
        call.fingerprint = [2; 16];
    }
    let refused = host.ask(other).await;
    assert_eq!(
        refusal_of(&refused),
        (ErrorKind::KeyReused, RunOutcome::NotRun)
    );
    assert_eq!(desk.runs(), 1);
}
