//! Rows of the store that another writer may have written.

use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};

use super::restarts::{EntryProcess, await_record};
use super::*;
use crate::errors::{ErrorKind, SwitchError};
use crate::platform::{FakeStore, TableName};
use crate::sync::own_rows::OwnRows;
use crate::sync::unreadable_rows::{RowStatus, UnreadableRows};
use crate::test_support::{arbitrary_json, mutate_json, run_cases};

const CASES: u32 = 1500;
const CASE_BYTES: u32 = 512;
/// What the store's client returns for bytes that can't be decoded.
const NO_BYTES: &str = "";

fn steady_state(rows: Vec<StoreRow>) -> SharedDeploymentState {
    let state = new_state();
    state.change(|state| {
        state.note_store(START);
        state.set_backends(&view(rows, 5), START);
    });
    state
}

/// Guards against an old address that stays in use. Another writer had overwritten the entry, and
/// its earlier content stayed in force while it was unreadable.
#[test]
fn an_unreadable_entry_removes_its_backend_until_readable() {
    let later = START + Duration::from_secs(10);
    for text in [NO_BYTES, "{}", "7", "{\"x\":"] {
        let state = steady_state(vec![backend("a"), backend("b")]);
        let change = |change: StoreRow, revision: u64| {
            state.change(|state| state.change_backends(&view(vec![change], revision), later));
        };
        change(row("a", 6, Some(text)), 6);
        assert_eq!(ids(&state), ["b"], "{text}");
        change(backend("a"), 7);
        assert_eq!(ids(&state), ["a", "b"]);
        let complete = view(vec![row("a", 8, Some(text)), backend("b")], 8);
        state.change(|state| state.set_backends(&complete, later));
        assert_eq!(ids(&state), ["b"], "{text}");
    }
}

/// Guards against keeping a backend server in the grace period whose entry was overwritten. This
/// happened soon after an outage, counted as a lapse, and requests went for another second and a
/// half to an address that was in no entry.
#[test]
fn an_overwritten_entry_is_not_kept_as_lapsed() {
    let state = steady_state(vec![backend("a"), backend("b")]);
    let back = START + Duration::from_secs(20);
    state.change(|state| {
        state.note_store_failure("cut off");
        state.note_store(back);
        state.change_backends(&view(vec![row("a", 6, Some("{}"))], 6), back);
    });
    assert_eq!(ids(&state), ["b"]);
}

#[test]
fn an_unreadable_operator_row_changes_nothing_else() {
    let state = new_state();
    let take = |rows: &[StoreRow]| {
        state.change(|state| state.change_operator_rows(rows, witnessed_at(START)));
    };
    let (document_key, text) = document_sample(9);
    let (target_key, _) = target_sample(1);
    take(&[document(7), target_row(2)]);
    for unreadable in [NO_BYTES, "{", "[]", "{\"x\":-1}"] {
        let rows = [
            row(document_key, 8, Some(unreadable)),
            row(target_key, 9, Some(unreadable)),
        ];
        take(&rows);
        assert_eq!(version_of(&state), 7);
    }
    let (_, other) = target_sample(5);
    take(&[row(&format!("{target_key}x"), 10, Some(&other))]);
    let newest = |state: &SharedDeploymentState| {
        let snapshot = state.snapshot().load();
        snapshot
            .newest_version("m")
            .map(|weights| weights.target.version)
    };
    assert_eq!(newest(&state), Some(WeightsVersion(2)));
    take(&[row(document_key, 11, Some(&text)), target_row(3)]);
    assert_eq!(version_of(&state), 9);
    assert_eq!(newest(&state), Some(WeightsVersion(3)));
}

fn entry_text(host: &str) -> Value {
    json!({ "host": host, "data_centre": "z", "control": "10.0.0.1:1", "reports": "10.0.0.1:2" })
}

fn own_rows(rows: &[(&str, Value)]) -> OwnRows {
    let rows = rows.iter();
    let rows = rows.map(|(key, value)| row(key, 3, Some(&value.to_string())));
    OwnRows::of(&view(rows.collect(), 9))
}

/// Guards against rows whose content belongs to another key. A row replaced the entry of another
/// entry host, and load reports went to the wrong address; in the same way a row of another model
/// replaced the record of a model's version.
#[test]
fn own_rows_count_only_under_their_keys() {
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
fn an_unreadable_row_is_logged_once_at_its_begin_and_end() {
    let mut rows = UnreadableRows::default();
    let error = SwitchError::new(ErrorKind::MessageInvalid, "corrupt row");
    let table = TableName::Backends;
    let unreadable = RowStatus::Unreadable(&error);
    assert!(!rows.note(table, "a", RowStatus::Readable));
    assert!(rows.note(table, "a", unreadable));
    assert!(!rows.note(table, "a", unreadable), "already known");
    assert!(
        rows.note(TableName::System, "a", unreadable),
        "a row of another table"
    );
    rows.note(table, "a", RowStatus::Readable);
    assert_eq!(rows.len(), 1);
    assert!(rows.note(table, "a", unreadable), "newly unreadable");
    rows.note(table, "a", RowStatus::Removed);
    rows.note(table, "b", unreadable);
    rows.keep_listed(table, |_| false);
    assert_eq!(rows.len(), 1, "the row of the other table stays");
    rows.note_own(&own_rows(&[]));
    assert_eq!(rows.len(), 0);
    rows.note_own(&own_rows(&[("e", json!(1)), ("f", entry_text("f"))]));
    assert_eq!(rows.len(), 1);
    rows.note_own(&OwnRows::of_rows(&[]));
    assert_eq!(rows.len(), 1, "not all rows were read");
}

/// Guards against memory that grows as long as another writer writes unreadable rows.
#[test]
fn remembered_unreadable_rows_are_bounded() {
    let mut rows = UnreadableRows::default();
    let error = SwitchError::new(ErrorKind::MessageInvalid, "corrupt row");
    for at in 0..5000 {
        let key = format!("row {at}");
        rows.note(TableName::System, &key, RowStatus::Unreadable(&error));
    }
    assert_eq!(rows.len(), 256);
    let other = RowStatus::Unreadable(&error);
    assert!(
        rows.note(TableName::Operator, "document", other),
        "another table's row is not hidden"
    );
}

/// Guards against one undecodable row that blocks its table. With one such row in each table, an
/// entry host never became ready and logged `[1103]` of a store that answered; nor was the version
/// recorded whose row was undecodable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_undecodable_row_stops_no_table() {
    let store = FakeStore::start().await;
    let tables = [TableName::System, TableName::Operator, TableName::Backends];
    for table in tables {
        store.put_raw(table, "corrupt", "%%%");
    }
    store.put_raw(TableName::System, "weights/m", "%%%");
    let (key, text) = document_sample(1);
    store.put(TableName::Operator, key, &text);
    store.put(TableName::Backends, "a", &backend_sample());
    let process = EntryProcess::start("e", &store);
    let is_ready = |snapshot: &crate::sync::DeploymentSnapshot| {
        snapshot.catalog.is_some() && snapshot.fleet.backends.len() == 1
    };
    process.wait_for(is_ready).await;
    let (key, text) = target_sample(2);
    store.put_raw(TableName::Operator, &format!("{key}x"), "%%%");
    store.put_raw(TableName::Backends, "unreadable too", "%%%");
    store.put(TableName::Operator, key, &text);
    store.put(TableName::Backends, "b", &backend_sample());
    let is_reported = |snapshot: &crate::sync::DeploymentSnapshot| {
        snapshot.newest_version("m").is_some() && snapshot.fleet.backends.len() == 2
    };
    process.wait_for(is_reported).await;
    // Over the undecodable row.
    await_record(&store, 2).await;
    process.stop_abruptly();
}

#[test]
fn arbitrary_content_in_one_row_does_not_affect_others() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut entry: Value = serde_json::from_str(&backend_sample()).expect("it is JSON");
        mutate_json(u, &mut entry)?;
        let entry = if u.ratio(1, 4)? {
            arbitrary_json(u)?
        } else {
            entry
        };
        let state = steady_state(vec![backend("a"), backend("x"), backend("z")]);
        let unreadable = row("x", 6, Some(&entry.to_string()));
        let later = START + Duration::from_secs(10);
        state.change(|state| state.change_backends(&view(vec![unreadable], 6), later));
        let held = ids(&state);
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

        let (target_key, _) = target_sample(1);
        let (document_key, _) = document_sample(1);
        let unreadable = arbitrary_json(u)?.to_string();
        let bytes = Bytes::copy_from_slice(u.bytes(u.len())?);
        for value in [Bytes::from(unreadable), bytes] {
            let unreadable_row = |key: &str| StoreRow {
                key: key.to_owned(),
                revision: 8,
                value: Some(value.clone()),
            };
            let rows = [
                unreadable_row(document_key),
                unreadable_row(target_key),
                document(7),
                target_row(2),
            ];
            state.change(|state| state.change_operator_rows(&rows, witnessed_at(START)));
            assert_eq!(version_of(&state), 7);
        }
        Ok(())
    });
}
