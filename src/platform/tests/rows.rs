//! Rows in the store's answers that another writer may have written.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use volo_http::request::Request;
use volo_http::server::route::Router;

use super::*;
use crate::daemon::DrainState;
use crate::platform::store_rows::{RowsPage, read_page};
use crate::test_support::{any_json, run_cases, spoil_json};
use crate::time::StoreTime;
use crate::transport::{ClientLimits, HttpServer, PeerClient, bind_listener, json_reply};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

fn page(rows: &[Value]) -> RowsPage {
    let answer = json!({ "rows": rows, "truncated": false, "ver": 9, "now_ms": 1 });
    read_page(answer.to_string().as_bytes()).expect("the answer is the store's own")
}

fn good_row(key: &str) -> Value {
    json!({ "table": "t", "part": "", "key": key, "value": "e30=", "ver": 4 })
}

/// Symptom: no backend server was told any more, for as long as one row stood in their table whose
/// bytes did not decode. Each read and each watch failed as a whole, and the log told `[1103]` of a
/// store that answered.
#[test]
fn a_row_whose_bytes_do_not_decode_leaves_the_others() {
    for value in [
        json!("%%%"),
        json!("e30"),
        json!(5),
        json!(["e30="]),
        json!({}),
        json!(true),
    ] {
        let mut bad = good_row("b");
        bad["value"] = value.clone();
        let read = page(&[good_row("a"), bad, good_row("c")]).view;
        let keys: Vec<&str> = read.rows.iter().map(|row| &*row.key).collect();
        assert_eq!(keys, ["a", "b", "c"], "{value}");
        assert_eq!(read.rows[0].value.as_deref(), Some(&b"{}"[..]));
        assert_eq!(read.rows[1].revision, 4);
        let bytes = read.rows[1].value.as_deref().expect("there is a row");
        assert!(read_backend_row("b", bytes).is_err());
        assert!(read_document(bytes).is_err());
        assert!(read_target_version("version/b", bytes).is_err());
    }
}

/// Symptom: a backend server that lived got nothing. Somebody had removed a row with its key in another
/// part of the table, and a watch tells of all parts.
#[test]
fn a_row_of_another_part_of_the_table_is_not_the_one_with_its_key() {
    let mut other = good_row("a");
    other["part"] = json!("elsewhere");
    let gone = json!({ "part": "elsewhere", "key": "a", "ver": 5, "deleted": true });
    assert!(page(&[other, gone]).view.rows.is_empty());
    let gone = json!({ "part": "", "key": "a", "ver": 5, "deleted": true });
    assert_eq!(page(&[gone]).view.rows[0].value, None);
}

#[test]
fn whatever_stands_in_one_row_the_others_hold() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut bad = good_row("b");
        spoil_json(u, &mut bad)?;
        let rows = [good_row("a"), bad, any_json(u)?, good_row("c")];
        let read = page(&rows).view.rows;
        let good = page(&[good_row("a"), good_row("c")]).view.rows;
        assert_eq!((read.first(), read.last()), (good.first(), good.last()));
        let _ = read_page(u.bytes(u.len())?);
        Ok(())
    });
}

/// Symptom: a store that answered wrongly was asked again and again without a pause. Its answer had no
/// rows and said that more follow, so that the next question was the same.
#[tokio::test]
async fn an_answer_that_does_not_go_on_ends_the_read() {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind_listener(local).await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let answer = || async {
        json_reply(
            StatusCode::OK,
            &json!({ "rows": [], "truncated": true, "ver": 1, "now_ms": 1 }),
        )
    };
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    tokio::spawn(HttpServer::on(listener, Router::new().fallback(answer)).run(drain));
    let store = StoreClient::new(address, Arc::new(PeerClient::new(ClientLimits::default())));
    let within = Duration::from_secs(2);
    let read = store.read_table(TableName::Backends, within);
    let read = tokio::time::timeout(within, read).await;
    assert!(read.expect("the read ends").is_err());
}

/// A backend server that left while a long table was read stayed until its next change: the rows of the first
/// page were of before, the revision from which the table was then followed that of the last page.
#[tokio::test]
async fn a_table_in_pages_is_followed_from_its_first_page() {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind_listener(local).await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let answer = |request: Request| async move {
        let goes_on = request.uri().query().unwrap_or_default().contains("from=");
        let page = if goes_on {
            json!({ "rows": [good_row("b")], "truncated": false, "ver": 9, "now_ms": 900 })
        } else {
            json!({ "rows": [good_row("a")], "truncated": true, "ver": 7, "now_ms": 700 })
        };
        json_reply(StatusCode::OK, &page)
    };
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    tokio::spawn(HttpServer::on(listener, Router::new().fallback(answer)).run(drain));
    let store = StoreClient::new(address, Arc::new(PeerClient::new(ClientLimits::default())));
    let read = store.read_table(TableName::Backends, Duration::from_secs(2));
    let view = read.await.expect("the store answers");
    assert_eq!(view.rows.len(), 2);
    assert_eq!(view.revision, 7);
    assert_eq!(view.told_at, StoreTime::from_millis(700));
}
