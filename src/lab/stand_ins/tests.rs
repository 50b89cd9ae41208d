//! Checks that the stand-ins follow the protocols that the product's clients speak.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use volo_http::body::Body;

use super::*;
use crate::errors::{ErrorKind, SwitchResult};
use crate::stores::http::{HttpTable, HttpWeights, PlatformClient};
use crate::stores::{RowRevision, TableStore, WeightSource, WriteResult};
use crate::transport::{ClientLimits, PeerClient};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

fn platform(address: SocketAddr, unavailable: ErrorKind) -> PlatformClient {
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    PlatformClient::new(address, client, REQUEST_TIMEOUT, unavailable)
}

async fn start(kind: StandInKind) -> StandIn {
    StandIn::start(ANY_PORT, kind).await.expect("a free port")
}

async fn post(address: SocketAddr, path: &str, body: &str) -> SwitchResult<String> {
    let client = PeerClient::new(ClientLimits::default());
    let request = http::Request::post(path)
        .body(Body::from(body.to_owned()))
        .expect("a request");
    let answer = client
        .send(address, request, Duration::from_secs(5))
        .await?;
    match answer.into_body().collect().await {
        Ok(body) => Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned()),
        Err(fault) => Err(crate::errors::SwitchError::new(
            ErrorKind::AnswerCut,
            fault.to_string(),
        )),
    }
}

#[tokio::test]
async fn table_writes_by_compare_and_set() {
    let stand_in = start(StandInKind::Table(Arc::default())).await;
    let table = HttpTable(platform(stand_in.address(), ErrorKind::TableUnavailable));
    let first = table.write("a/b", RowRevision::ABSENT, "one".into()).await;
    assert_eq!(first, Ok(WriteResult::Written(RowRevision(1))));
    let second = table.write("a/b", RowRevision::ABSENT, "two".into()).await;
    let Ok(WriteResult::Conflict(Some(current))) = second else {
        panic!("expected a conflict, got {second:?}");
    };
    assert_eq!(current.value, Bytes::from("one"));
    let again = table.write("a/b", RowRevision(1), "three".into()).await;
    assert_eq!(again, Ok(WriteResult::Written(RowRevision(2))));
    let rows = table.list("a/").await.expect("rows");
    assert_eq!(rows.len(), 1);
}

/// A write can take effect although its response is lost: the writer gets an error, and the row
/// has the new value.
#[tokio::test]
async fn write_with_a_lost_response_takes_effect() {
    let stand_in = start(StandInKind::Table(Arc::default())).await;
    let table = HttpTable(platform(stand_in.address(), ErrorKind::TableUnavailable));
    stand_in.set_faults(FaultSettings {
        lost_answers_percent: 100,
        ..FaultSettings::default()
    });
    let written = table.write("a", RowRevision::ABSENT, "one".into()).await;
    assert_eq!(written.unwrap_err().kind, ErrorKind::TableUnavailable);
    let row = table.read("a").await.expect("the read is answered");
    assert_eq!(row.expect("the row was written").value, Bytes::from("one"));
}

/// A middlebox can lose the state of open connections: every request on a pooled connection then
/// times out, while new connections work.
#[tokio::test]
async fn silenced_connections_time_out_and_new_ones_work() {
    let stand_in = start(StandInKind::Table(Arc::default())).await;
    let table = HttpTable(platform(stand_in.address(), ErrorKind::TableUnavailable));
    table.read("a").await.expect("answered");
    stand_in.set_faults(FaultSettings {
        silence_open: true,
        ..FaultSettings::default()
    });
    assert!(table.read("a").await.is_err());
    assert!(table.read("a").await.is_ok());
}

#[tokio::test]
async fn origin_serves_ranges_that_match_the_manifest() {
    let weights = Arc::new(WeightsStandIn::new(0, Duration::from_secs(1)));
    let manifest = weights.publish(&PublishRequest {
        name: "w1".to_owned(),
        size: 1000,
        chunk_size: 300,
        seed: 1,
    });
    let stand_in = start(StandInKind::Weights(weights)).await;
    let origin = HttpWeights(platform(stand_in.address(), ErrorKind::OriginUnavailable));
    let last = origin
        .read_range("w1", 900, 100)
        .await
        .expect("the last chunk");
    assert_eq!(crate::weights::WeightsDigest::of(&last), manifest.chunks[3]);
    stand_in.set_faults(FaultSettings {
        corrupt_percent: 100,
        ..FaultSettings::default()
    });
    let corrupt = origin.read_range("w1", 900, 100).await.expect("bytes");
    assert_ne!(
        crate::weights::WeightsDigest::of(&corrupt),
        manifest.chunks[3]
    );
}

#[tokio::test]
async fn engine_generates_with_loaded_weights_and_checks_fencing() {
    let weights = Arc::new(WeightsStandIn::new(0, Duration::from_secs(1)));
    let manifest = weights.publish(&PublishRequest {
        name: "w1".to_owned(),
        size: 1000,
        chunk_size: 300,
        seed: 1,
    });
    let origin = start(StandInKind::Weights(weights)).await;
    let engine = Arc::new(EngineStandIn::new(EngineShape::default()));
    let address = start(StandInKind::Engine(engine.clone())).await.address();
    let source = format!("http://{}/weights/v1/w1/data", origin.address());
    let load = |fence: u64| {
        format!(
            r#"{{"version":"v1","digest":"{}","size":1000,"source":"{source}","fence":{fence}}}"#,
            manifest.digest
        )
    };
    assert_eq!(
        post(address, "/control/load", &load(7))
            .await
            .expect("loaded"),
        "{}"
    );
    assert_eq!(
        post(address, "/control/load", &load(6))
            .await
            .expect("refused"),
        r#"{"fence":7}"#
    );
    let body = r#"{"request_id":"r","model":"m","prompt":"p","max_tokens":3,"resume_from":1}"#;
    let events = post(address, "/v1/completions", body)
        .await
        .expect("events");
    let text = |index| token_text(&manifest.digest, "p", index);
    assert!(!events.contains(&text(0)));
    assert!(events.contains(&text(1)) && events.contains(&text(2)));
    assert!(events.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn cut_stream_ends_with_an_error() {
    let engine = Arc::new(EngineStandIn::new(EngineShape {
        dialect: LabDialect::JsonState,
        ..EngineShape::default()
    }));
    let weights = Arc::new(WeightsStandIn::new(0, Duration::from_secs(1)));
    let manifest = weights.publish(&PublishRequest {
        name: "w1".to_owned(),
        size: 10,
        chunk_size: 10,
        seed: 1,
    });
    let origin = start(StandInKind::Weights(weights)).await;
    let stand_in = start(StandInKind::Engine(engine)).await;
    let load = format!(
        r#"{{"name":"v1","sha":"{}","bytes":10,"from":"http://{}/weights/v1/w1/data"}}"#,
        manifest.digest,
        origin.address()
    );
    post(stand_in.address(), "/models/load", &load)
        .await
        .expect("loaded");
    stand_in.set_faults(FaultSettings {
        cut_streams_percent: 100,
        ..FaultSettings::default()
    });
    let body = r#"{"id":"r","text":"p","limit":9}"#;
    let cut = post(stand_in.address(), "/generate", body).await;
    assert_eq!(cut.unwrap_err().kind, ErrorKind::AnswerCut);
}

#[tokio::test]
async fn plain_service_records_each_request() {
    let plain = Arc::new(super::plain::PlainStandIn::new(Duration::ZERO));
    let stand_in = start(StandInKind::Plain(plain.clone())).await;
    let answer = post(stand_in.address(), "/calls/wake?room=7", "wake").await;
    assert_eq!(answer.expect("answered"), r#"{"order":1,"body":"wake"}"#);
    let calls = plain.calls(0);
    assert_eq!(
        (calls.len(), calls[0].path.as_str()),
        (1, "/calls/wake?room=7")
    );
}
