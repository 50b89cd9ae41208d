//! Rows of the store that another writer may have written.

use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};

use super::restarts::{EntryProcess, await_record};
use super::*;
use crate::errors::{ErrorKind, SwitchError};
use crate::platform::{FakeStore, TableName};
use crate::sync::own_rows::OwnRows;
use crate::sync::unreadable_rows::{RowReading, UnreadableRows};
use crate::test_support::{arbitrary_json, mutate_json, run_cases};

const CASES: u32 = 1500;
const CASE_BYTES: u32 = 512;
/// What the store's client makes of bytes that do not decode.
const NO_BYTES: &str = "";

fn steady_book(rows: Vec<StoreRow>) -> SharedBook {
    let book = new_book();
    book.change(|book| {
        book.note_store(START);
        book.set_backends(&view(rows, 5), START);
    });
    book
}

/// Symptom: requests went on to an address after somebody else had written over the entry that named it:
/// what the entry had said before stayed in force for as long as it did not read.
#[test]
fn an_entry_that_stops_reading_names_nobody_until_it_reads_again() {
    let later = START + Duration::from_secs(10);
    for text in [NO_BYTES, "{}", "7", "{\"x\":"] {
        let book = steady_book(vec![backend("a"), backend("b")]);
        let change = |change: StoreRow, revision: u64| {
            book.change(|book| book.change_backends(&view(vec![change], revision), later));
        };
        change(row("a", 6, Some(text)), 6);
        assert_eq!(ids(&book), ["b"], "{text}");
        change(backend("a"), 7);
        assert_eq!(ids(&book), ["a", "b"]);
        let whole = view(vec![row("a", 8, Some(text)), backend("b")], 8);
        book.change(|book| book.set_backends(&whole, later));
        assert_eq!(ids(&book), ["b"], "{text}");
    }
}

/// Symptom: requests went for a second and a half more to an address that no entry named. The entry had
/// been written over soon after an outage and was taken for one that had lapsed in it.
#[test]
fn an_entry_that_was_written_over_is_not_kept_as_one_that_lapsed() {
    let book = steady_book(vec![backend("a"), backend("b")]);
    let back = START + Duration::from_secs(20);
    book.change(|book| {
        book.note_store_failure("cut off");
        book.note_store(back);
        book.change_backends(&view(vec![row("a", 6, Some("{}"))], 6), back);
    });
    assert_eq!(ids(&book), ["b"]);
}

#[test]
fn an_operators_row_that_does_not_read_leaves_the_others_and_what_was_in_force() {
    let book = new_book();
    let take = |rows: &[StoreRow]| {
        book.change(|book| book.take_operator_rows(rows, told_at(START)));
    };
    let (document_key, text) = document_sample(9);
    let (naming_key, _) = target_sample(1);
    take(&[document(7), named(2)]);
    for spoilt in [NO_BYTES, "{", "[]", "{\"x\":-1}"] {
        let rows = [
            row(document_key, 8, Some(spoilt)),
            row(naming_key, 9, Some(spoilt)),
        ];
        take(&rows);
        assert_eq!(version_of(&book), 7);
    }
    let (_, other) = target_sample(5);
    take(&[row(&format!("{naming_key}x"), 10, Some(&other))]);
    let newest = |book: &SharedBook| {
        let snapshot = book.snapshot().load();
        snapshot
            .newest_version("m")
            .map(|wanted| wanted.target.version)
    };
    assert_eq!(newest(&book), Some(WeightsVersion(2)));
    take(&[row(document_key, 11, Some(&text)), named(3)]);
    assert_eq!(version_of(&book), 9);
    assert_eq!(newest(&book), Some(WeightsVersion(3)));
}

fn entry_text(host: &str) -> Value {
    json!({ "host": host, "data_centre": "z", "control": "10.0.0.1:1", "reports": "10.0.0.1:2" })
}

fn own_rows(rows: &[(&str, Value)]) -> OwnRows {
    let rows = rows.iter();
    let rows = rows.map(|(key, value)| row(key, 3, Some(&value.to_string())));
    OwnRows::of(&view(rows.collect(), 9))
}

/// Symptom: load reports of one entry host went to the address of another. A row under one name gave the
/// name of the other, which it replaced; in the same way the record of one model's version was replaced
/// by a row of another model.
#[test]
fn the_systems_own_rows_count_only_under_their_own_keys() {
    let own = own_rows(&[
        ("e1", entry_text("e1")),
        ("e2", entry_text("e1")),
        ("weights/m", json!({ "model": "m", "version": 2 })),
        ("weights/n", json!({ "model": "m", "version": 9 })),
        ("weights/o", json!({ "model": "o", "version": 0 })),
        ("weights/p", json!(["p", 2])),
    ]);
    assert_eq!(own.entries.len(), 1);
    let targets: Vec<_> = own.records.iter().map(|record| &record.target).collect();
    assert_eq!(targets.len(), 1);
    assert_eq!(
        (&*targets[0].model, targets[0].version),
        ("m", WeightsVersion(2))
    );
}

#[test]
fn a_row_that_does_not_read_is_told_once_and_once_when_it_ends() {
    let mut rows = UnreadableRows::default();
    let error = SwitchError::new(ErrorKind::MessageInvalid, "it is spoilt");
    let table = TableName::Backends;
    let spoilt = RowReading::Unreadable(&error);
    assert!(!rows.note(table, "a", RowReading::Reads));
    assert!(rows.note(table, "a", spoilt));
    assert!(!rows.note(table, "a", spoilt), "it is known");
    assert!(
        rows.note(TableName::System, "a", spoilt),
        "it is another row"
    );
    rows.note(table, "a", RowReading::Reads);
    assert_eq!(rows.len(), 1);
    assert!(rows.note(table, "a", spoilt), "it begins anew");
    rows.note(table, "a", RowReading::Gone);
    rows.note(table, "b", spoilt);
    rows.keep_listed(table, |_| false);
    assert_eq!(rows.len(), 1, "the other table's row stays");
    rows.note_own(&own_rows(&[]));
    assert_eq!(rows.len(), 0);
    rows.note_own(&own_rows(&[("e", json!(1)), ("f", entry_text("f"))]));
    assert_eq!(rows.len(), 1);
    rows.note_own(&OwnRows::of_rows(&[]));
    assert_eq!(rows.len(), 1, "not all rows were read");
}

/// Symptom: a process grew for as long as somebody wrote rows that do not read.
#[test]
fn rows_that_do_not_read_are_remembered_up_to_a_bound() {
    let mut rows = UnreadableRows::default();
    let error = SwitchError::new(ErrorKind::MessageInvalid, "it is spoilt");
    for at in 0..5000 {
        let key = format!("row {at}");
        rows.note(TableName::System, &key, RowReading::Unreadable(&error));
    }
    assert_eq!(rows.len(), 256);
    let other = RowReading::Unreadable(&error);
    assert!(
        rows.note(TableName::Operator, "document", other),
        "it is not hidden"
    );
}

/// Symptom: an entry host was never ready, and its log told `[1103]` of a store that answered: one row in
/// each table held bytes that do not decode. Nor was the version recorded that such a row stood in the
/// place of.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_row_without_bytes_that_decode_stops_no_table() {
    let store = FakeStore::start().await;
    let tables = [TableName::System, TableName::Operator, TableName::Backends];
    for table in tables {
        store.put_raw(table, "spoilt", "%%%");
    }
    store.put_raw(TableName::System, "weights/m", "%%%");
    let (key, text) = document_sample(1);
    store.put(TableName::Operator, key, &text);
    store.put(TableName::Backends, "a", &backend_sample());
    let process = EntryProcess::start("e", &store);
    let is_ready = |snapshot: &crate::sync::ControlSnapshot| {
        snapshot.catalog.is_some() && snapshot.fleet.backends.len() == 1
    };
    process.believes(is_ready).await;
    let (key, text) = target_sample(2);
    store.put_raw(TableName::Operator, &format!("{key}x"), "%%%");
    store.put_raw(TableName::Backends, "spoilt too", "%%%");
    store.put(TableName::Operator, key, &text);
    store.put(TableName::Backends, "b", &backend_sample());
    let is_told = |snapshot: &crate::sync::ControlSnapshot| {
        snapshot.newest_version("m").is_some() && snapshot.fleet.backends.len() == 2
    };
    process.believes(is_told).await;
    // Over the spoilt row.
    await_record(&store, 2).await;
    process.lose_power();
}

#[test]
fn whatever_stands_in_one_row_it_has_no_effect_on_others() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut entry: Value = serde_json::from_str(&backend_sample()).expect("it is JSON");
        mutate_json(u, &mut entry)?;
        let entry = if u.ratio(1, 4)? {
            arbitrary_json(u)?
        } else {
            entry
        };
        let book = steady_book(vec![backend("a"), backend("x"), backend("z")]);
        let spoilt = row("x", 6, Some(&entry.to_string()));
        let later = START + Duration::from_secs(10);
        book.change(|book| book.change_backends(&view(vec![spoilt], 6), later));
        let held = ids(&book);
        assert!(held == ["a", "z"] || held == ["a", "x", "z"], "{entry}");

        let mut own = entry_text("x");
        mutate_json(u, &mut own)?;
        let rows = [
            ("a", entry_text("a")),
            ("x", own.clone()),
            ("z", entry_text("z")),
        ];
        let read = own_rows(&rows);
        let hosts: Vec<&str> = read.entries.iter().map(|entry| &*entry.host).collect();
        assert!(hosts == ["a", "z"] || hosts == ["a", "x", "z"], "{own}");

        let (naming_key, _) = target_sample(1);
        let (document_key, _) = document_sample(1);
        let spoilt = arbitrary_json(u)?.to_string();
        let bytes = Bytes::copy_from_slice(u.bytes(u.len())?);
        for value in [Bytes::from(spoilt), bytes] {
            let told = |key: &str| StoreRow {
                key: key.to_owned(),
                revision: 8,
                value: Some(value.clone()),
            };
            let rows = [told(document_key), told(naming_key), document(7), named(2)];
            book.change(|book| book.take_operator_rows(&rows, told_at(START)));
            assert_eq!(version_of(&book), 7);
        }
        Ok(())
    });
}
