//! Entries of backend servers that another writer left among those of others: nested very deeply,
//! with numbers out of range, with addresses at which nothing can answer, and under odd keys.

use std::time::Duration;

use serde_json::{Value, json};

use super::restarts::EntryProcess;
use super::{START, at_once, ids, new_state, row, store_time, view};
use crate::fleet::BackendPhase;
use crate::platform::samples::{backend_sample, document_sample};
use crate::platform::{FakeStore, StoreRow, TableName};
use crate::sync::own_rows::OwnRows;
use crate::sync::peer_messages::PeerView;
use crate::sync::{DeploymentSnapshot, DeploymentState, SharedDeploymentState};
use crate::test_support::{arbitrary_json, mutate_json, run_cases};
use crate::transport::{decode_message, encode_message};

const CASES: u32 = 400;
const CASE_BYTES: u32 = 512;
/// Depths around the limit of the JSON library, which is 128, and the deepest that fits into a row of
/// 64 KiB.
const DEPTHS: [usize; 6] = [100, 127, 128, 200, 10_000, 32_768];
/// The longest key of a row.
const KEY_BYTES_MAX: usize = 200;

/// An entry with every field, in which `field` has the JSON `value`, or has it too if it is new.
fn entry_with(field: &str, value: &str) -> String {
    let usual = [
        ("service", "\"s\""),
        ("address", "\"10.0.0.9:80\""),
        ("zone", "\"z\""),
        ("slots", "16"),
        ("state", "\"ready\""),
        ("born", "1790000000000"),
        ("sequence", "4"),
        ("version", "\"v1\""),
        ("cold_remaining_ms", "0"),
        ("stage", "\"both\""),
        ("models", "[{\"name\":\"m\",\"version\":2}]"),
        ("layers", "[{\"from\":0,\"to\":16,\"version\":2}]"),
    ];
    let kept = usual.into_iter().filter(|(name, _)| *name != field);
    let fields = kept.chain([(field, value)]);
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

const FIELDS: [&str; 12] = [
    "service",
    "address",
    "zone",
    "slots",
    "state",
    "born",
    "sequence",
    "version",
    "cold_remaining_ms",
    "stage",
    "models",
    "layers",
];

fn nested(depth: usize) -> [String; 3] {
    let lists = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = format!("{}1{}", "{\"from\":".repeat(depth), "}".repeat(depth));
    let half = depth / 2;
    let mixed = format!("{}1{}", "[{\"from\":".repeat(half), "}]".repeat(half));
    [lists, objects, mixed]
}

fn nested_entries() -> Vec<String> {
    let mut entries = Vec::new();
    for value in DEPTHS.into_iter().flat_map(nested) {
        for field in FIELDS {
            entries.push(entry_with(field, &value));
        }
        entries.push(entry_with(
            "models",
            &format!("[{{\"name\":{value},\"version\":2}}]"),
        ));
        entries.push(entry_with(
            "layers",
            &format!("[{{\"from\":0,\"to\":{value},\"version\":2}}]"),
        ));
        entries.push(value);
    }
    entries
}

/// Numbers that no integer field can have.
const NUMBERS: [&str; 9] = [
    "1e400",
    "-1e400",
    "18446744073709551616",
    "99999999999999999999999",
    "-1",
    "1.5",
    "\"NaN\"",
    "NaN",
    "{}",
];

fn entries_with_odd_numbers() -> Vec<String> {
    let mut entries = Vec::new();
    for number in NUMBERS {
        for field in ["slots", "born", "sequence"] {
            entries.push(entry_with(field, number));
        }
        entries.push(entry_with(
            "models",
            &format!("[{{\"name\":\"m\",\"version\":{number}}}]"),
        ));
        for layers in [("0", "16", number), ("0", number, "2"), (number, "16", "2")] {
            let (from, to, version) = layers;
            let range = format!("{{\"from\":{from},\"to\":{to},\"version\":{version}}}");
            entries.push(entry_with("layers", &format!("[{range}]")));
            entries.push(entry_with("layers", &range));
        }
    }
    for number in ["1e400", "-1e400", "\"NaN\"", "NaN", "{}", "null"] {
        entries.push(entry_with("cold_remaining_ms", number));
    }
    for number in ["0", "9223372036854775808", "4294967296", "null"] {
        entries.push(entry_with("slots", number));
    }
    for number in [
        "18446744073709551615",
        "9223372036854775808",
        "9007199254740992",
    ] {
        entries.push(entry_with("born", number));
    }
    for number in ["18446744073709551615", "9007199254740992"] {
        entries.push(entry_with("sequence", number));
    }
    entries.extend(["1e400", "NaN", "[1]"].map(|number| entry_with("version", number)));
    entries
}

/// Addresses at which no backend server can be called.
const ADDRESSES: [&str; 22] = [
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:-1",
    "10.0.0.9:99999",
    "10.0.0.9:",
    "10.0.0.9",
    "host:",
    "host:80",
    ":80",
    "",
    " 10.0.0.9:80",
    "010.0.0.09:80",
    "10.0.9:80",
    "0x0a000009:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "[::]:80",
    "[::ffff:0.0.0.0]:80",
    "[ff02::1]:80",
    "::1:80",
    "[::1]:0",
];

fn entries_with_odd_addresses() -> Vec<String> {
    let addresses = ADDRESSES.map(|address| entry_with("address", &json!(address).to_string()));
    let long = format!("\"10.0.0.9:{}80\"", "9".repeat(100_000));
    addresses
        .into_iter()
        .chain([entry_with("address", &long), entry_with("address", "80")])
        .collect()
}

fn entries_with_odd_texts() -> Vec<String> {
    let twice = |field: &str| {
        let entry = entry_with("stage", "\"both\"");
        let entry = entry.strip_suffix('}').expect("it is an object");
        format!("{entry},\"{field}\":\"s\"}}")
    };
    let mut entries = vec![
        String::new(),
        "null".into(),
        "7".into(),
        "\"text\"".into(),
        "[]".into(),
        "\u{feff}{}".into(),
        entry_with("service", "\"\\ud800\""),
        entry_with("zone", "\"\\udc00\""),
        format!("{} ", entry_with("state", "\"ready\"")) + "x",
        entry_with("stage", "\"both\"").replace('}', ""),
    ];
    entries.extend(["service", "address", "slots", "stage", "born"].map(twice));
    entries
}

/// Entries that name a backend server, with numbers at the ends of their ranges.
fn extreme_entries() -> Vec<String> {
    let mut entries = Vec::new();
    for number in ["18446744073709551615", "9223372036854775808", "0"] {
        entries.push(entry_with(
            "models",
            &format!("[{{\"name\":\"m\",\"version\":{number}}}]"),
        ));
    }
    entries.extend(["0", "9007199254740991"].map(|number| entry_with("born", number)));
    entries.extend(["0", "9007199254740991"].map(|number| entry_with("sequence", number)));
    for number in [
        "18446744073709551616",
        "1e308",
        "-1e308",
        "-1",
        "1.5",
        "1e-400",
    ] {
        entries.push(entry_with("cold_remaining_ms", number));
    }
    entries.push(entry_with("slots", "4294967295"));
    for (from, to) in [(u32::MAX, 0), (u32::MAX, u32::MAX), (0, u32::MAX), (16, 0)] {
        let range = json!([{ "from": from, "to": to, "version": u64::MAX }]);
        entries.push(entry_with("layers", &range.to_string()));
    }
    entries.push(entry_with("address", "\"[::1]:80\""));
    entries.push(entry_with("service", "\"\""));
    entries.push(entry_with("new", &nested(10_000)[2]));
    entries
}

/// A reader of the store, and a process that gets the list from it.
struct Pair {
    reader: SharedDeploymentState,
    follower: SharedDeploymentState,
}

impl Pair {
    fn new() -> Self {
        let reader = new_state();
        reader.change(|state| state.note_store(START));
        Self {
            reader,
            follower: new_state(),
        }
    }

    fn read_table(&self, rows: Vec<StoreRow>, revision: u64) {
        self.reader.change(|state| {
            state.set_backends(&view(rows, revision), START + Duration::from_secs(10));
            state.note_backends_answer(store_time(START));
        });
        self.pass_on();
    }

    fn watch(&self, rows: Vec<StoreRow>, revision: u64) {
        self.reader.change(|state| {
            state.change_backends(&view(rows, revision), START + Duration::from_secs(10));
        });
        self.pass_on();
    }

    /// Passes the list on as encoded messages, the changes first and then the complete list.
    fn pass_on(&self) {
        for follows in [true, false] {
            let mut query = self.follower.read(DeploymentState::query);
            query.follows = follows;
            query.backends_revision = 0;
            let answer = self
                .reader
                .read(|state| state.answer(&query, Duration::ZERO, START));
            let bytes = encode_message(&answer).expect("the list can be encoded");
            let answer: PeerView = decode_message(&bytes).expect("the list can be decoded");
            let changes = answer.backend_changes.clone();
            self.follower.change(|state| {
                state.merge(answer, at_once(START));
                if let Some(changes) = changes {
                    state.merge_backend_changes(changes, START);
                }
            });
        }
    }

    fn assert_ids(&self, expected: &[&str], entry: &str) {
        let excerpt: String = entry.chars().take(300).collect();
        assert_eq!(ids(&self.reader), expected, "{excerpt}");
        assert_eq!(ids(&self.follower), expected, "{excerpt}");
    }

    fn unreadable(&self) -> usize {
        self.reader.read(|state| state.unreadable.len())
    }
}

fn good(id: &str) -> StoreRow {
    row(id, 4, Some(&backend_sample()))
}

/// Puts `entry` among good ones at each way in which the list is read, and then a good one in its
/// place.
fn try_entry(entry: &str, names_backend: bool) {
    let pair = Pair::new();
    let with_odd: &[&str] = if names_backend {
        &["a", "m", "z"]
    } else {
        &["a", "z"]
    };
    let rows = vec![good("a"), row("m", 5, Some(entry)), good("z")];
    pair.read_table(rows.clone(), 5);
    pair.assert_ids(with_odd, entry);
    assert_eq!(pair.unreadable(), usize::from(!names_backend));
    pair.read_table(rows, 6);
    assert_eq!(
        pair.unreadable(),
        usize::from(!names_backend),
        "logged once"
    );
    pair.watch(vec![row("m", 8, Some(entry)), good("b")], 8);
    pair.reader
        .change(|state| state.expire(START + Duration::from_hours(1)));
    let with_odd: &[&str] = if names_backend {
        &["a", "b", "m", "z"]
    } else {
        &["a", "b", "z"]
    };
    pair.assert_ids(with_odd, entry);
    pair.watch(
        vec![row("m", 9, Some(&backend_sample())), row("a", 10, None)],
        10,
    );
    pair.assert_ids(&["b", "m", "z"], entry);
    assert_eq!(pair.unreadable(), 0);
}

/// Guards against processes that end, or that stop following the list, because of an entry that is
/// nested very deeply.
#[test]
fn a_deeply_nested_entry_names_no_backend_and_the_others_hold() {
    for entry in nested_entries() {
        try_entry(&entry, false);
    }
}

/// Guards against the same because of a number that is too large for its field.
#[test]
fn an_entry_with_a_number_out_of_range_names_no_backend_and_the_others_hold() {
    for entry in entries_with_odd_numbers() {
        try_entry(&entry, false);
    }
}

/// Guards against requests to an address at which no backend server can be called. At port 0 each of
/// them fails, and at 0.0.0.0 they reach whatever has the port on the entry host itself.
#[test]
fn an_entry_with_an_address_of_no_host_names_no_backend_and_the_others_hold() {
    for entry in entries_with_odd_addresses() {
        try_entry(&entry, false);
    }
}

#[test]
fn an_entry_that_is_no_valid_text_names_no_backend_and_the_others_hold() {
    for entry in entries_with_odd_texts() {
        try_entry(&entry, false);
    }
}

#[test]
fn an_entry_with_numbers_at_the_ends_of_their_ranges_is_followed_as_any_other() {
    for entry in extreme_entries() {
        try_entry(&entry, true);
    }
}

/// Guards against a backend server that is followed no longer. Another writer had overwritten its
/// entry with a start or a number so large that all of its own entries counted as earlier ones:
/// `[1117]` for each, and requests were sent to it when it was leaving.
#[test]
fn an_entry_with_a_number_too_large_does_not_hide_later_ones() {
    for field in ["born", "sequence"] {
        let pair = Pair::new();
        let entry = entry_with("sequence", "4");
        pair.read_table(vec![row("m", 5, Some(&entry)), good("z")], 5);
        let odd = entry_with(field, "18446744073709551615");
        pair.watch(vec![row("m", 6, Some(&odd))], 6);
        let leaving = entry_with("sequence", "5").replace("ready", "draining");
        pair.watch(vec![row("m", 7, Some(&leaving))], 7);
        for state in [&pair.reader, &pair.follower] {
            let snapshot = state.snapshot().load();
            let mut backends = snapshot.fleet.backends.iter();
            let found = backends.find(|facts| facts.id == "m");
            let phase = found.map(|facts| facts.phase);
            assert_eq!(phase, Some(BackendPhase::Leaving), "{field}");
        }
    }
}

#[test]
fn entries_under_odd_keys_name_no_backend_and_the_others_hold() {
    let long = "k".repeat(KEY_BYTES_MAX);
    for key in ["", "\0", "i\n1", "\u{1b}[2J", "\u{7f}"] {
        let pair = Pair::new();
        pair.read_table(vec![row(key, 5, Some(&backend_sample())), good("z")], 5);
        pair.assert_ids(&["z"], key);
        assert_eq!(pair.unreadable(), 1);
        pair.watch(vec![row(key, 6, Some(&backend_sample())), good("b")], 6);
        pair.assert_ids(&["b", "z"], key);
        pair.watch(vec![row(key, 7, None), row("z", 8, None)], 8);
        pair.assert_ids(&["b"], key);
    }
    for key in [&*long, "a/b", "../x", "a b", "%00", "é"] {
        let pair = Pair::new();
        pair.read_table(vec![row(key, 5, Some(&backend_sample()))], 5);
        pair.assert_ids(&[key], key);
    }
}

#[test]
fn two_rows_of_one_key_or_of_one_address_stop_nothing() {
    let pair = Pair::new();
    let rows = || vec![good("a"), row("m", 5, Some("{}")), good("m"), good("z")];
    pair.read_table(rows(), 5);
    pair.assert_ids(&["a", "m", "z"], "two rows");
    pair.watch(vec![good("m"), row("m", 6, Some("{}"))], 6);
    pair.assert_ids(&["a", "z"], "two rows");
}

#[test]
fn a_random_entry_passes_every_way_or_none() {
    run_cases(CASES, CASE_BYTES, |u| {
        let usual = entry_with("stage", "\"both\"");
        let mut entry: Value = serde_json::from_str(&usual).expect("it is JSON");
        for _ in 0..u.int_in_range(1..=3)? {
            mutate_json(u, &mut entry)?;
        }
        let mut bytes = entry.to_string();
        if u.ratio(1, 4)? {
            bytes = arbitrary_json(u)?.to_string();
        }
        let pair = Pair::new();
        pair.read_table(vec![good("a"), row("m", 5, Some(&bytes)), good("z")], 5);
        let read = ids(&pair.reader);
        assert!(read == ["a", "z"] || read == ["a", "m", "z"], "{bytes}");
        assert_eq!(read, ids(&pair.follower), "{bytes}");
        assert_eq!(pair.unreadable(), 3 - read.len());
        pair.watch(vec![good("b")], 9);
        assert_eq!(ids(&pair.follower).len(), read.len() + 1);
        Ok(())
    });
}

fn has(snapshot: &DeploymentSnapshot, expected: &[&str]) -> bool {
    let backends = snapshot.fleet.backends.iter();
    let found: Vec<&str> = backends.map(|facts| &*facts.id).collect();
    snapshot.catalog.is_some() && found == expected
}

/// Guards against an entry that stops the reads and watches of its table. Entry hosts never became
/// ready, or kept a list that no longer changed, and logged `[1103]` of a store that answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_stop_neither_the_reads_nor_the_watches_of_a_process() {
    let store = FakeStore::start().await;
    // Every key is the last one of a page.
    store.set_page_rows(1);
    let (key, text) = document_sample(1);
    store.put(TableName::Operator, key, &text);
    let put_odd = |round: &str| {
        for (number, value) in nested(10_000).iter().enumerate() {
            store.put_json(
                TableName::Backends,
                &format!("m{round} nested {number}"),
                value,
            );
            let entry = entry_with("layers", value);
            store.put(
                TableName::Backends,
                &format!("m{round} field {number}"),
                &entry,
            );
        }
        for value in ["1e400", "18446744073709551616", "\"\\ud800\"", "{}", "null"] {
            store.put_json(TableName::Backends, &format!("m{round} {value}"), value);
        }
        for value in ["10.0.0.9:65536", "10.0.0.9:0"] {
            let entry = entry_with("address", &json!(value).to_string());
            store.put(TableName::Backends, &format!("m{round} {value}"), &entry);
        }
        for key in ["", "é/%00", &"\u{10ffff}".repeat(KEY_BYTES_MAX / 4)] {
            store.put(TableName::Backends, key, "{}");
        }
        for key in ["k", "~"] {
            store.put(TableName::Backends, &key.repeat(KEY_BYTES_MAX), "{}");
        }
    };
    let sample = backend_sample();
    put_odd("");
    store.put(TableName::Backends, "a", &sample);
    store.put(TableName::Backends, "z", &sample);
    let process = EntryProcess::start("e", &store);
    process
        .wait_for(|snapshot| has(snapshot, &["a", "z"]))
        .await;
    put_odd(" later");
    store.put(TableName::Backends, "b", &sample);
    process
        .wait_for(|snapshot| has(snapshot, &["a", "b", "z"]))
        .await;
    store.remove(TableName::Backends, "z");
    store.put(TableName::Backends, "c", &sample);
    let followed = process.wait_for(|snapshot| has(snapshot, &["a", "b", "c"]));
    followed.await;
    // The table is read again in full.
    store.forget_history();
    store.put(TableName::Backends, "d", &sample);
    let followed = process.wait_for(|snapshot| has(snapshot, &["a", "b", "c", "d"]));
    followed.await;
    process.stop_abruptly();
}

/// Guards against the same in the tables that this system writes, to which another writer may write
/// as well.
#[test]
fn a_deeply_nested_row_of_the_system_itself_is_unreadable_and_the_others_hold() {
    let host = json!({ "host": "h", "data_centre": "z", "control": "10.0.0.1:1",
        "reports": "10.0.0.1:2" });
    let crash_row = |value: &str| row(&format!("{}/1", "0".repeat(32)), 3, Some(value));
    for value in DEPTHS.into_iter().flat_map(nested) {
        for field in ["host", "control", "model", "version", "verdict", "seen_ms"] {
            let odd = format!("{{\"{field}\":{value}}}");
            let rows = vec![
                row("h", 3, Some(&host.to_string())),
                row("i", 3, Some(&odd)),
                row("weights/m", 3, Some("{\"model\":\"m\",\"version\":2}")),
                row("weights/n", 3, Some(&odd)),
            ];
            let own = OwnRows::of(&view(rows, 9));
            assert_eq!((own.entries.len(), own.records.len()), (1, 1));
            let state = new_state();
            state.change(|state| state.set_crashes(&view(vec![crash_row(&odd)], 9), START));
            assert_eq!(state.read(|state| state.unreadable.len()), 1);
        }
    }
}
