mod backend_rows;
mod chunk_digests;
mod document_rows;
mod engine_reports;
mod header_fields;
mod nested_texts;
mod odd_rows;
mod store_rows;

use bytestring::ByteString;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use super::settings_file::parse_settings;
use super::*;
use crate::catalog::RetryPolicy;
use crate::fleet::{BackendPhase, WeightsVersion};
use crate::time::StoreTime;

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    fields
        .iter()
        .map(|(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

#[test]
fn settings_of_entry_hosts_and_of_backend_hosts_are_read() {
    let common = "node_name = \"n\"\nip = \"10.1.0.2\"\nzone = \"z\"\nregion = \"r\"\n\
        port_range = [7700,7715]\nseeds = [\"10.1.0.2:8000\"]\nnew_field = 3\n";
    let tables =
        "[limits]\nlink_mbps = 8.0\n[bounds]\ngrace_s = 6\n[platform]\naddress = \"10.2.0.1:80\"\n";
    let entry =
        format!("{common}[listen]\nfront = \"10.1.0.2:1\"\ncontrol = \"10.1.0.2:2\"\n{tables}");
    let settings = parse_settings(&entry).expect("the settings are well formed");
    assert_eq!(settings.caller_address, "10.1.0.2:1".parse().ok());
    assert_eq!(settings.peer_port, 7700);
    assert_eq!(settings.bounds.shutdown_grace.as_secs(), 6);
    let host = format!("{common}app = \"10.1.0.2:9\"\nservice = \"s\"\n{tables}");
    let settings = parse_settings(&host).expect("the settings are well formed");
    assert_eq!(settings.backend_address, "10.1.0.2:9".parse().ok());
    assert_eq!(settings.caller_address, None);
    let wrong = entry.replace("10.1.0.2:1", "nowhere");
    let fault = parse_settings(&wrong).expect_err("the address is invalid");
    assert!(fault.detail.contains("listen.front"), "{fault}");
}

#[test]
fn a_document_is_read_with_the_repeat_rules_of_its_routes() {
    let text = br#"{"version":7,"routes":[
        {"name":"a","host":"H.example","prefix":"/a/","kind":"streaming","stream_resume":true,"service":"s","max_attempts":2},
        {"name":"b","host":"h.example","prefix":"/b/","kind":"streaming","service":"s"},
        {"name":"c","host":"h.example","prefix":"/c/","kind":"idempotent","service":"s"},
        {"name":"d","host":"h.example","prefix":"/d/","kind":"something new","weighted_services":[{"service":"s","weight":9}]}],
        "services":[{"name":"s","max_connections":5}],
        "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]}"#;
    let catalog = read_document(text).expect("the document is well formed");
    let rule = |path: &str| {
        catalog
            .routes
            .find("h.example", path)
            .expect("the route exists")
    };
    assert_eq!(rule("/a/x").retry_policy, RetryPolicy::ResumableStream);
    assert_eq!(rule("/b/x").retry_policy, RetryPolicy::SingleStream);
    assert_eq!(rule("/c/x").retry_policy, RetryPolicy::Idempotent);
    assert_eq!(rule("/d/x").retry_policy, RetryPolicy::AtMostOnce);
    let account = catalog.account_of("k2").expect("the key is valid");
    assert_eq!(&*account.name, "t");
    assert!(catalog.account_of("k3").is_none());
}

#[test]
fn an_entry_of_a_backend_server_is_read() {
    let text = br#"{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":16,
        "state":"draining","models":[{"name":"m","version":2,"adapters":[]}],
        "layers":[{"from":0,"to":16,"version":2}],"sequence":4}"#;
    let facts =
        read_backend_row("i-1", text, StoreTime::default()).expect("the entry is well formed");
    assert_eq!(facts.phase, BackendPhase::Leaving);
    assert_eq!(
        facts.holdings.complete_version("m", 16),
        Some(WeightsVersion(2))
    );
    assert!(read_backend_row("i-1", b"{}", StoreTime::default()).is_err());
}

/// A backend server received a client's API key, or an account name that the client had forged. The
/// fields that this program sets must replace those that the client sent under the same name.
#[test]
fn connection_fields_api_keys_and_forged_fields_are_not_forwarded() {
    let client = headers(&[
        ("authorization", "Bearer k1"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("x-kept", "2"),
        ("transfer-encoding", "chunked"),
        ("savoryswitch-tenant", "made-up"),
        ("savoryswitch-target-instance", "made-up"),
        ("savoryswitch-expected-version", "1"),
        ("savoryswitch-deadline-ms", "6000"),
        ("path", "10.0.0.1:80=0-16"),
    ]);
    let backend = ByteString::from("i-1");
    let fields = SendFields {
        time_left: std::time::Duration::from_millis(900),
        backend: &backend,
        account: None,
        priority: Some(200),
        version: None,
        last_event: Some(4),
    };
    let sent = send_headers(&client, &fields);
    let text = |name: &str| sent.get(name).and_then(|value| value.to_str().ok());
    for name in [
        "authorization",
        "connection",
        "x-hop",
        "transfer-encoding",
        "savoryswitch-tenant",
        "savoryswitch-expected-version",
        "path",
    ] {
        assert_eq!(text(name), None, "{name}");
    }
    assert_eq!(text("x-kept"), Some("2"));
    assert_eq!(text("savoryswitch-deadline-ms"), Some("900"));
    assert_eq!(text("savoryswitch-target-instance"), Some("i-1"));
    assert_eq!(text("savoryswitch-request-priority"), Some("9"));
    assert_eq!(text("last-event-id"), Some("4"));
}

/// A backend server sent a delayed response where the next one was expected on the connection, so
/// that a client received the response to another client.
#[test]
fn a_response_counts_only_with_the_id_of_its_attempt() {
    let attempt = ByteString::from("a1");
    let outcome = |status: StatusCode, fields: &[(&'static str, &'static str)]| {
        let backend = ByteString::from("i-1");
        read_response_head(status, &headers(fields), (Some(&attempt), &backend)).outcome
    };
    let own = ("savoryswitch-attempt-id", "a1");
    let seal = ("savoryswitch-response-seal", "3e1b.07");
    assert_eq!(outcome(StatusCode::OK, &[own, seal]), ResponseOutcome::Run);
    assert_eq!(
        outcome(StatusCode::OK, &[seal]),
        ResponseOutcome::AttemptMismatch
    );
    let other = ("savoryswitch-attempt-id", "a2");
    assert_eq!(
        outcome(StatusCode::OK, &[other, seal]),
        ResponseOutcome::AttemptMismatch
    );
    let not_run = ("savoryswitch-not-executed", "1");
    assert_eq!(
        outcome(StatusCode::SERVICE_UNAVAILABLE, &[own, not_run]),
        ResponseOutcome::NotRun
    );
    assert_eq!(
        outcome(StatusCode::SERVICE_UNAVAILABLE, &[own]),
        ResponseOutcome::Run
    );
    assert_eq!(
        outcome(StatusCode::MISDIRECTED_REQUEST, &[own]),
        ResponseOutcome::Misdirected
    );
    let same = ("savoryswitch-instance-id", "i-1");
    assert_eq!(
        outcome(StatusCode::MISDIRECTED_REQUEST, &[own, same]),
        ResponseOutcome::Misdirected
    );
    let other = ("savoryswitch-instance-id", "i-2");
    assert_eq!(
        outcome(StatusCode::MISDIRECTED_REQUEST, &[own, other]),
        ResponseOutcome::Replaced
    );
}

#[test]
fn the_head_of_a_request_is_read() {
    let head = read_request_head(&headers(&[
        ("authorization", "Bearer k1"),
        ("savoryswitch-attempt-id", "a1"),
        ("savoryswitch-deadline-ms", "600"),
        ("savoryswitch-token-usage", "1460,80"),
        ("savoryswitch-length-hint", "40"),
        ("last-event-id", "12"),
    ]));
    assert_eq!(head.api_key.as_deref(), Some("k1"));
    assert_eq!(
        head.deadline.map(|deadline| deadline.as_millis()),
        Some(600)
    );
    assert_eq!((head.prompt_tokens, head.output_tokens_max), (1460, 80));
    assert_eq!(head.estimated_output_tokens, Some(40));
    assert_eq!(head.last_event, Some(12));
}
