//! Responses of the store with invalid rows or inconsistent pages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use volo_http::request::Request;
use volo_http::server::route::Router;

use super::*;
use crate::daemon::DrainState;
use crate::platform::store_revision::{KnownEra, revision_in};
use crate::platform::store_rows::{RowsPage, read_page};
use crate::test_support::{arbitrary_json, mutate_json, run_cases};
use crate::time::StoreTime;
use crate::transport::{ClientLimits, HttpServer, PeerClient, bind_listener, json_response};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

fn decode_page(rows: &[Value]) -> RowsPage {
    let response = json!({ "rows": rows, "truncated": false, "ver": 9, "now_ms": 1 });
    read_page(response.to_string().as_bytes(), 0).expect("the response is valid")
}

fn valid_row(key: &str) -> Value {
    json!({ "table": "t", "part": "", "key": key, "value": "e30=", "ver": 4 })
}

/// One row with undecodable bytes failed each read and watch of its table, so that changes of
/// backend servers were no longer reported until the row changed. The log had `[1103]` although the
/// store responded.
#[test]
fn a_row_with_undecodable_bytes_does_not_affect_the_others() {
    for value in [
        json!("%%%"),
        json!("e30"),
        json!(5),
        json!(["e30="]),
        json!({}),
        json!(true),
    ] {
        let mut bad = valid_row("b");
        bad["value"] = value.clone();
        let read = decode_page(&[valid_row("a"), bad, valid_row("c")]).view;
        let keys: Vec<&str> = read.rows.iter().map(|row| &*row.key).collect();
        assert_eq!(keys, ["a", "b", "c"], "{value}");
        assert_eq!(read.rows[0].value.as_deref(), Some(&b"{}"[..]));
        assert_eq!(read.rows[1].revision, 4);
        let bytes = read.rows[1].value.as_deref().expect("the row is present");
        assert!(read_backend_row("b", bytes, StoreTime::default()).is_err());
        assert!(read_document(bytes).is_err());
        assert!(read_target_version("version/b", bytes).is_err());
    }
}

/// A row with the key of a running backend server was removed from another part of the table. A
/// watch reports all parts, so that the backend server counted as removed and received no requests.
#[test]
fn a_row_of_another_part_of_the_table_is_ignored() {
    let mut other = valid_row("a");
    other["part"] = json!("elsewhere");
    let removed = json!({ "part": "elsewhere", "key": "a", "ver": 5, "deleted": true });
    assert!(decode_page(&[other, removed]).view.rows.is_empty());
    let removed = json!({ "part": "", "key": "a", "ver": 5, "deleted": true });
    assert_eq!(decode_page(&[removed]).view.rows[0].value, None);
}

#[test]
fn a_random_row_does_not_affect_the_others() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut bad = valid_row("b");
        mutate_json(u, &mut bad)?;
        let rows = [valid_row("a"), bad, arbitrary_json(u)?, valid_row("c")];
        let read = decode_page(&rows).view.rows;
        let good = decode_page(&[valid_row("a"), valid_row("c")]).view.rows;
        assert_eq!((read.first(), read.last()), (good.first(), good.last()));
        let _ = read_page(u.bytes(u.len())?, 0);
        Ok(())
    });
}

/// A faulty store responded without rows, but announced more. The next request was the same, so
/// that the read repeated it without a pause and never ended.
#[tokio::test]
async fn a_truncated_page_without_rows_ends_the_read() {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind_listener(local).await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let respond = || async {
        json_response(
            StatusCode::OK,
            &json!({ "rows": [], "truncated": true, "ver": 1, "now_ms": 1 }),
        )
    };
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    tokio::spawn(HttpServer::on(listener, Router::new().fallback(respond)).run(drain));
    let store = StoreClient::new(address, Arc::new(PeerClient::new(ClientLimits::default())));
    let time_limit = Duration::from_secs(2);
    let read = store.read_table(TableName::Backends, time_limit);
    let read = tokio::time::timeout(time_limit, read).await;
    assert!(read.expect("the read ends").is_err());
}

/// A watch must continue from the revision of the first page. It continued from that of the last
/// one, so that a backend server of the first page that was removed during the read stayed listed
/// until its next change.
#[tokio::test]
async fn a_paged_read_has_the_revision_of_its_first_page() {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind_listener(local).await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let respond = |request: Request| async move {
        let is_continued = request.uri().query().unwrap_or_default().contains("from=");
        let page = if is_continued {
            json!({ "rows": [valid_row("b")], "truncated": false, "ver": 9, "now_ms": 900 })
        } else {
            json!({ "rows": [valid_row("a")], "truncated": true, "ver": 7, "now_ms": 700 })
        };
        json_response(StatusCode::OK, &page)
    };
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    tokio::spawn(HttpServer::on(listener, Router::new().fallback(respond)).run(drain));
    let store = StoreClient::new(address, Arc::new(PeerClient::new(ClientLimits::default())));
    let read = store.read_table(TableName::Backends, Duration::from_secs(2));
    let view = read.await.expect("the store responds");
    assert_eq!(view.rows.len(), 2);
    assert_eq!(view.revision, 7);
    assert_eq!(view.store_time, StoreTime::from_millis(700));
}

/// Guards against order by numbers alone: after the store returned from a copy, it assigns lower
/// ones than before.
#[test]
fn a_revision_of_a_newer_era_is_newer_whatever_its_number() {
    let number_max = (1 << 48) - 1;
    let revisions = [
        revision_in(0, 0),
        revision_in(0, number_max),
        revision_in(1, 0),
        revision_in(1, 7),
        revision_in(2, 3),
        revision_in(65_535, 0),
    ];
    assert!(revisions.is_sorted_by(|left, right| left < right));
    assert_eq!(revision_in(1, u64::MAX), revision_in(1, number_max));
    assert_eq!(revision_before(revision_in(2, 3), 10), revision_in(2, 0));
    assert!(is_first(revision_in(2, 0)) && !is_first(revision_in(2, 1)));
    assert_eq!(era_of(revision_in(2, 3)), 2);
    assert_eq!(revision_text(revision_in(2, 3)), "2.3");
    assert_eq!(revision_text(revision_in(0, 3)), "3");
}

/// Guards against taking the store's state for old or new because of a faulty era in one answer.
#[test]
fn an_answer_without_a_valid_era_belongs_to_the_newest_known_one() {
    let known = KnownEra::default();
    let era_in = |value: Option<&'static str>| {
        let mut headers = http::HeaderMap::new();
        if let Some(value) = value {
            headers.insert("store-era", http::HeaderValue::from_static(value));
        }
        known.of_answer(&headers)
    };
    assert_eq!(era_in(None), 0);
    assert_eq!(era_in(Some("4")), 4);
    for value in [
        None,
        Some(""),
        Some("-1"),
        Some("five"),
        Some("5.5"),
        Some("60000"),
        Some("18446744073709551615"),
    ] {
        assert_eq!(era_in(value), 4, "{value:?}");
    }
    assert_eq!(era_in(Some("3")), 3, "an older state of the store");
    assert_eq!(era_in(None), 4);
    assert_eq!(era_in(Some("6")), 6);
    known.note(8);
    assert_eq!(era_in(None), 8, "reported by a neighbour");
}
