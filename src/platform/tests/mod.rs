mod digests;
mod documents;
mod entries;
mod heads;
mod reports;
mod rows;

use bytestring::ByteString;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use super::settings_file::parse_settings;
use super::*;
use crate::catalog::RetryPolicy;
use crate::fleet::{BackendPhase, WeightsVersion};

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
fn the_settings_of_an_entry_host_and_of_a_backend_servers_host_are_read() {
    let common = "node_name = \"n\"\nip = \"10.1.0.2\"\nzone = \"z\"\nregion = \"r\"\n\
        port_range = [7700,7715]\nseeds = [\"10.1.0.2:8000\"]\nnew_field = 3\n";
    let tables =
        "[limits]\nlink_mbps = 8.0\n[bounds]\ngrace_s = 6\n[platform]\naddress = \"10.2.0.1:80\"\n";
    let entry =
        format!("{common}[listen]\nfront = \"10.1.0.2:1\"\ncontrol = \"10.1.0.2:2\"\n{tables}");
    let settings = parse_settings(&entry).expect("it is well formed");
    assert_eq!(settings.caller_address, "10.1.0.2:1".parse().ok());
    assert_eq!(settings.peer_port, 7700);
    assert_eq!(settings.bounds.stop_within.as_secs(), 6);
    let host = format!("{common}app = \"10.1.0.2:9\"\nservice = \"s\"\n{tables}");
    let settings = parse_settings(&host).expect("it is well formed");
    assert_eq!(settings.backend_address, "10.1.0.2:9".parse().ok());
    assert_eq!(settings.caller_address, None);
    let wrong = entry.replace("10.1.0.2:1", "nowhere");
    let fault = parse_settings(&wrong).expect_err("the address does not read");
    assert!(fault.detail.contains("listen.front"), "{fault}");
}

#[test]
fn a_document_is_read_with_the_kinds_that_may_be_repeated() {
    let text = br#"{"version":7,"routes":[
        {"name":"a","host":"H.example","prefix":"/a/","kind":"streaming","stream_resume":true,"service":"s","max_attempts":2},
        {"name":"b","host":"h.example","prefix":"/b/","kind":"streaming","service":"s"},
        {"name":"c","host":"h.example","prefix":"/c/","kind":"idempotent","service":"s"},
        {"name":"d","host":"h.example","prefix":"/d/","kind":"something new","weighted_services":[{"service":"s","weight":9}]}],
        "services":[{"name":"s","max_connections":5}],
        "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]}"#;
    let catalog = read_document(text).expect("it is well formed");
    let rule = |path: &str| {
        catalog
            .routes
            .find("h.example", path)
            .expect("there is one")
    };
    assert_eq!(rule("/a/x").repeat, RetryPolicy::ResumableStream);
    assert_eq!(rule("/b/x").repeat, RetryPolicy::SingleStream);
    assert_eq!(rule("/c/x").repeat, RetryPolicy::Idempotent);
    assert_eq!(rule("/d/x").repeat, RetryPolicy::AtMostOnce);
    let account = catalog.account_of("k2").expect("the key is held");
    assert_eq!(&*account.name, "t");
    assert!(catalog.account_of("k3").is_none());
}

#[test]
fn a_backend_servers_entry_is_read() {
    let text = br#"{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":16,
        "state":"draining","models":[{"name":"m","version":2,"adapters":[]}],
        "layers":[{"from":0,"to":16,"version":2}],"sequence":4}"#;
    let facts = read_backend_row("i-1", text).expect("it is well formed");
    assert_eq!(facts.phase, BackendPhase::Leaving);
    assert_eq!(
        facts.holdings.complete_version("m", 16),
        Some(WeightsVersion(2))
    );
    assert!(read_backend_row("i-1", b"{}").is_err());
}

/// Symptom: a backend server saw a client's key, or a name of an account that the client had made
/// up. What this program sets itself must replace what a client sent under the same name.
#[test]
fn fields_of_one_connection_keys_and_made_up_fields_are_not_passed_on() {
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
    let facts = SendFacts {
        time_left: std::time::Duration::from_millis(900),
        backend: &backend,
        account: None,
        priority: Some(200),
        version: None,
        last_event: Some(4),
    };
    let sent = send_headers(&client, &facts);
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

/// Symptom: a client got another client's answer. A backend server sent one late, at the point where
/// the next one was expected on the same connection.
#[test]
fn an_answer_counts_only_with_the_attempt_that_was_asked_for() {
    let attempt = ByteString::from("a1");
    let word = |status: StatusCode, fields: &[(&'static str, &'static str)]| {
        let meant = ByteString::from("i-1");
        answer_facts(status, &headers(fields), (Some(&attempt), &meant)).word
    };
    let own = ("savoryswitch-attempt-id", "a1");
    assert_eq!(word(StatusCode::OK, &[own]), AnswerWord::Run);
    assert_eq!(word(StatusCode::OK, &[]), AnswerWord::Foreign);
    let other = ("savoryswitch-attempt-id", "a2");
    assert_eq!(word(StatusCode::OK, &[other]), AnswerWord::Foreign);
    let not_run = ("savoryswitch-not-executed", "1");
    assert_eq!(
        word(StatusCode::SERVICE_UNAVAILABLE, &[own, not_run]),
        AnswerWord::NotRun
    );
    assert_eq!(
        word(StatusCode::SERVICE_UNAVAILABLE, &[own]),
        AnswerWord::Run
    );
    assert_eq!(
        word(StatusCode::MISDIRECTED_REQUEST, &[own]),
        AnswerWord::Misdirected
    );
    let same = ("savoryswitch-instance-id", "i-1");
    assert_eq!(
        word(StatusCode::MISDIRECTED_REQUEST, &[own, same]),
        AnswerWord::Misdirected
    );
    let other = ("savoryswitch-instance-id", "i-2");
    assert_eq!(
        word(StatusCode::MISDIRECTED_REQUEST, &[own, other]),
        AnswerWord::Replaced
    );
}

#[test]
fn a_clients_head_is_read() {
    let head = read_request_head(&headers(&[
        ("authorization", "Bearer k1"),
        ("savoryswitch-attempt-id", "a1"),
        ("savoryswitch-deadline-ms", "600"),
        ("savoryswitch-token-usage", "1460,80"),
        ("savoryswitch-length-hint", "40"),
        ("last-event-id", "12"),
    ]));
    assert_eq!(head.secret.as_deref(), Some("k1"));
    assert_eq!(head.deadline.map(|span| span.as_millis()), Some(600));
    assert_eq!((head.prompt_tokens, head.output_tokens_max), (1460, 80));
    assert_eq!(head.output_tokens_guess, Some(40));
    assert_eq!(head.last_event, Some(12));
}
