//! Header fields with random values.

use std::time::Duration;

use super::*;
use crate::test_support::run_cases;

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 512;

/// The header fields that are read from requests and responses.
const NAMES: [&str; 11] = [
    "authorization",
    "savoryswitch-attempt-id",
    "savoryswitch-deadline-ms",
    "savoryswitch-token-usage",
    "savoryswitch-length-hint",
    "last-event-id",
    "savoryswitch-server-load",
    "savoryswitch-not-executed",
    "savoryswitch-instance-id",
    "keep-alive",
    "connection",
];
const VALUES: [&str; 8] = [
    "",
    ",",
    "-1",
    "18446744073709551615",
    "4294967295,4294967295,1",
    "timeout=18446744073709551615",
    "Bearer ",
    "1e9,0.5",
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
