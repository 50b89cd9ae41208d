//! Messages of other processes that came to harm, and figures in them beyond all bounds.

use std::time::Duration;

use bytes::Bytes;

use super::*;
use crate::catalog::CatalogVersion;
use crate::fleet::{
    BackendDesk, EngineHoldings, HeldLayers, LoadReport, LoadWord, ModelVersion, PickNeed,
    SharedDesk, VersionNeed,
};
use crate::overload::EntryPlace;
use crate::sync::ViewBook;
use crate::sync::peer_messages::{PeerAsk, WantedWord};
use crate::test_support::{corrupt_bytes, run_cases};
use crate::time::WallTime;
use crate::transport::{decode_message, encode_message};
use crate::weights::{ChunkMap, HaveWord};

const CASES: u32 = 3000;
const CASE_BYTES: u32 = 512;

fn target(version: u64) -> ModelVersion {
    ModelVersion {
        model: "m".into(),
        version: WeightsVersion(version),
    }
}

fn lived_book() -> SharedBook {
    let book = new_book();
    book.change(|book| {
        book.note_store(START);
        book.set_backends(&view(vec![backend("a"), backend("b")], 5), START);
        book.take_operator_rows(&[document(7), named(2)], told_at(START));
    });
    book
}

fn report() -> LoadReport {
    LoadReport {
        address: ([10, 0, 0, 1], 80).into(),
        born: Some(WallTime(u64::MAX)),
        active: u32::MAX,
        queued: u32::MAX,
        is_loading: false,
        pace: 1.0,
        holdings: EngineHoldings {
            models: vec![target(2)],
            layers: vec![HeldLayers {
                from: u32::MAX,
                to: 0,
                version: WeightsVersion(2),
            }],
        },
    }
}

fn need() -> PickNeed<'static> {
    PickNeed {
        service: "s",
        version: VersionNeed::None,
        tried: &[],
        queue_room: u32::MAX,
        is_returned: false,
        work: None,
    }
}

fn desk() -> SharedDesk {
    let mut desk = BackendDesk::new(EntryPlace {
        data_centre: "z".into(),
        host: "e1".into(),
    });
    desk.set_fleet(&lived_book().snapshot().load().fleet);
    SharedDesk::new(desk)
}

/// Symptom: the thread that takes load reports ended, or a backend server that said it has four billion
/// requests was taken for an idle one: the sum of what runs and what waits began again at zero.
#[test]
fn loads_beyond_all_bounds_are_full_ones() {
    let word = LoadWord {
        running: u32::MAX,
        waiting: u32::MAX,
    };
    let told = desk();
    let ticket = told.pick(&need(), START).expect("both are free");
    ticket.with_record(|record| {
        record.note_load(word, START);
        assert_eq!(record.load(START), u32::MAX);
    });
    let other = told.pick(&need(), START).expect("the other one is free");
    assert_ne!(ticket.facts.id, other.facts.id);
    let reported = desk();
    reported.lock().note_report(report(), START);
    let first = reported.pick(&need(), START).expect("one is free");
    let second = reported.pick(&need(), START).expect("one is free");
    assert_eq!(first.facts.id, second.facts.id);
}

#[test]
fn times_beyond_all_bounds_are_the_longest() {
    let book = lived_book();
    let later = START + Duration::from_secs(20);
    let ages = [0, 1, u64::MAX / 1000, u64::MAX].map(Duration::from_millis);
    let words = ages.map(|age| WantedWord {
        target: target(3),
        named: NamingTime::guessed(store_time(later) - age, NamingCertainty::Assumed),
    });
    let alone = new_book();
    alone.change(|book| book.take_words(&words, later));
    let snapshot = alone.snapshot().load();
    let wanted = snapshot.newest_version("m").expect("it was named");
    assert_eq!(wanted.named_at, ClockTime(0));
    book.change(|book| book.take_words(&words, later));
    let snapshot = book.snapshot().load();
    let wanted = snapshot.newest_version("m").expect("it was named");
    assert_eq!(
        wanted.named_at, START,
        "not before version 2, whose naming was told"
    );
    assert_eq!(
        snapshot.least_version("m", GRACE, later),
        Some(WeightsVersion(3))
    );
    let ask = PeerAsk {
        document: Some(CatalogVersion(u64::MAX)),
        can_wait_for_document: false,
        wanted: words.to_vec(),
        backends_revision: u64::MAX,
        entries: usize::MAX,
        wait_ms: u64::MAX,
        follows: true,
        backends_digest: Some(u64::MAX),
        crashes_revision: Some(u64::MAX),
    };
    let answer = book.read(|book| book.answer(&ask, Duration::MAX, later));
    assert!(answer.document.is_none() && answer.backends.is_none());
}

/// The bytes of one message of each kind.
fn messages() -> [Bytes; 4] {
    let book = lived_book();
    let ask = book.read(ViewBook::ask);
    let answer = book.read(|book| book.answer(&PeerAsk::default(), Duration::ZERO, START));
    let word = HaveWord {
        host: "h".into(),
        held: ChunkMap::full(20),
        claimed: ChunkMap::empty(20),
        backlog_ms: u64::MAX,
    };
    let messages = [
        encode_message(&ask),
        encode_message(&answer),
        encode_message(&report()),
        encode_message(&word),
    ];
    messages.map(|message| message.expect("it encodes"))
}

/// Takes in whatever reads from `bytes`, as a process would.
fn take_in(bytes: &[u8]) {
    let book = lived_book();
    let later = START + Duration::from_secs(20);
    if let Ok(ask) = decode_message::<PeerAsk>(bytes) {
        book.change(|book| book.take_words(&ask.wanted, later));
        let _ = book.read(|book| {
            (
                book.has_urgent_news(&ask),
                book.answer(&ask, Duration::MAX, later),
            )
        });
    }
    if let Ok(view) = decode_message::<PeerView>(bytes) {
        book.change(|book| book.merge(view, at_once(later)));
        assert!(version_of(&book) >= 7);
        let _ = book.read(ViewBook::ask);
    }
    if let Ok(report) = decode_message::<LoadReport>(bytes) {
        let desk = desk();
        desk.lock().note_report(report, START);
        assert!(desk.pick(&need(), START).is_ok(), "the other one is free");
    }
    if let Ok(word) = decode_message::<HaveWord>(bytes) {
        let _ = word.held.fits(20) && word.held.contains(19);
        let _ = (word.held.contains(u32::MAX), word.held.is_full());
    }
}

#[test]
fn whatever_another_process_sends_ends_no_thread() {
    let messages = messages();
    run_cases(CASES, CASE_BYTES, |u| {
        let mut bytes = u.choose(&messages)?.to_vec();
        take_in(&bytes);
        corrupt_bytes(u, &mut bytes)?;
        take_in(&bytes);
        take_in(u.bytes(u.len())?);
        Ok(())
    });
}
