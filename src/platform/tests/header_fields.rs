//! Header fields with random values.

use std::time::Duration;

use super::*;
use crate::test_support::run_cases;

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

/// The header fields that are read from requests and responses.
const NAMES: [&str; 14] = [
    "authorization",
    "savoryswitch-attempt-id",
    "savoryswitch-deadline-ms",
    "savoryswitch-token-usage",
    "savoryswitch-length-hint",
    "savoryswitch-prompt-prefix",
    "last-event-id",
    "savoryswitch-server-load",
    "savoryswitch-not-executed",
    "savoryswitch-instance-id",
    "keep-alive",
    "connection",
    "server-leaving",
    "retry-after",
];
const VALUES: [&str; 10] = [
    "",
    ",",
    "-1",
    "18446744073709551615",
    "4294967295,4294967295,1",
    "timeout=18446744073709551615",
    "Bearer ",
    "1e9,0.5",
    "1e300",
    "5c1e07a2:800,:,5C1E07A2:1,x:1,91bd3f06",
];

#[test]
fn random_header_fields_cause_no_panic() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut fields = HeaderMap::new();
        for name in NAMES {
            let value = match u.int_in_range(0..=2)? {
                0 => continue,
                1 => HeaderValue::from_static(u.choose(&VALUES)?),
                _ => {
                    let length = u.int_in_range(0..=12)?;
                    match HeaderValue::from_bytes(u.bytes(length)?) {
                        Ok(value) => value,
                        Err(_) => continue,
                    }
                }
            };
            fields.append(HeaderName::from_static(name), value);
        }
        let head = read_request_head(&fields);
        let attempt = head.attempt.unwrap_or_default();
        let backend = ByteString::from("i-1");
        let outcome =
            read_response_head(StatusCode::OK, &fields, (Some(&attempt), &backend)).outcome;
        let busy = StatusCode::SERVICE_UNAVAILABLE;
        read_response_head(busy, &fields, (Some(&attempt), &backend));
        assert!(outcome != ResponseOutcome::Run || fields.contains_key("savoryswitch-attempt-id"));
        let added = SendFields {
            time_left: Duration::MAX,
            backend: &backend,
            account: None,
            priority: Some(u8::MAX),
            version: Some(WeightsVersion(u64::MAX)),
            last_event: head.last_event,
        };
        let sent = send_headers(&fields, &added);
        assert_eq!(sent["savoryswitch-target-instance"], "i-1");
        Ok(())
    });
}

fn shared_parts(text: &str) -> Vec<u64> {
    let mut fields = HeaderMap::new();
    let value = HeaderValue::from_str(text).expect("it is a valid field value");
    fields.insert("savoryswitch-prompt-prefix", value);
    let parts = read_request_head(&fields).shared_parts;
    parts.into_iter().map(|part| part.0).collect()
}

/// Guards against suspecting the part of a prompt that is the request's own, and against taking one
/// part for several.
#[test]
fn all_parts_of_a_prompt_but_the_last_are_shared() {
    assert_eq!(
        shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        [0x5c1e_07a2, 0x91bd_3f06]
    );
    assert!(shared_parts("5c1e07a2:800").is_empty());
    assert!(shared_parts("").is_empty());
    assert_eq!(shared_parts("00ab:1, AB:2,ab:3,c:4"), [0xab]);
    let long = format!("{}:1,b:1", "f".repeat(64));
    assert_eq!(shared_parts(&long).len(), 1);
}

/// Guards against unbounded work and memory for a header field of a malformed prompt.
#[test]
fn invalid_parts_of_a_prompt_are_left_out() {
    assert_eq!(shared_parts("x:1,:2,ab,-1:3,c:4,d:5"), [0xc]);
    let absurd = format!("{}:1,b:1", "f".repeat(65));
    assert!(shared_parts(&absurd).is_empty());
    let thousands: Vec<String> = (0..2000).map(|part| format!("{part:x}:1")).collect();
    assert_eq!(shared_parts(&thousands.join(",")).len(), 64);
}

/// The head of a response of status `status` with `fields`, to a request that was sent to `i-1`.
fn response_head(status: u16, fields: &[(&'static str, &'static str)]) -> ResponseHead {
    let mut headers = HeaderMap::new();
    headers.insert("savoryswitch-attempt-id", HeaderValue::from_static("a1"));
    for (name, value) in fields {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("a valid status");
    read_response_head(status, &headers, (Some(&"a1".into()), &"i-1".into()))
}

#[test]
fn a_response_may_announce_that_its_backend_server_is_leaving() {
    for status in [200, 421, 500, 503] {
        assert!(response_head(status, &[("server-leaving", "1")]).is_leaving);
    }
    for value in ["", "0", "yes", "-1"] {
        assert!(!response_head(200, &[("server-leaving", value)]).is_leaving);
    }
    assert!(!response_head(200, &[]).is_leaving);
}

/// Guards against taking a backend server out of use for what another one announced that now has
/// its address.
#[test]
fn the_announcements_of_another_backend_server_are_ignored() {
    for (id, is_own) in [("i-1", true), ("i-2", false)] {
        let fields = [
            ("savoryswitch-instance-id", id),
            ("server-leaving", "1"),
            ("retry-after", "3"),
        ];
        let head = response_head(503, &fields);
        assert_eq!(head.is_leaving, is_own);
        assert_eq!(head.requested_pause.is_some(), is_own);
    }
    let fields = [("server-leaving", "1"), ("savoryswitch-attempt-id", "a2")];
    assert!(!response_head(200, &fields).is_leaving);
}

#[test]
fn a_refusal_may_request_a_pause_in_seconds() {
    let pause_of = |status, value| response_head(status, &[("retry-after", value)]).requested_pause;
    assert_eq!(pause_of(503, "3"), Some(Duration::from_secs(3)));
    assert_eq!(pause_of(503, " 0.25 "), Some(Duration::from_millis(250)));
    assert_eq!(pause_of(503, "0"), Some(Duration::ZERO));
    assert_eq!(pause_of(200, "3"), None);
    let invalid = [
        "",
        "-1",
        "soon",
        "nan",
        "inf",
        "1e300",
        "Thu, 03 Dec 2026 21:00:00 GMT",
    ];
    for value in invalid {
        assert_eq!(pause_of(503, value), None, "{value}");
    }
}

/// Guards against figures out of range, and against those of another backend server.
#[test]
fn a_response_may_state_how_long_its_backend_server_stays_cold() {
    let cold_left = |fields: &[(&'static str, &'static str)]| response_head(200, fields).cold_left;
    let millis = |millis| Some(std::time::Duration::from_millis(millis));
    assert_eq!(cold_left(&[("savoryswitch-cold-ms", "1500")]), millis(1500));
    assert_eq!(cold_left(&[("savoryswitch-cold-ms", "-7")]), millis(0));
    for value in ["", "soon", "1,2"] {
        assert_eq!(
            cold_left(&[("savoryswitch-cold-ms", value)]),
            None,
            "{value}"
        );
    }
    let of_another = [
        ("savoryswitch-cold-ms", "1500"),
        ("savoryswitch-instance-id", "i-2"),
    ];
    assert_eq!(cold_left(&of_another), None);
}
