//! Invalid requests to an entry host. Each has to be rejected with the status and code of its
//! error, and none may change the document of the model service.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Builder;
use serde_json::Value;
use volo_http::body::Body;

use crate::errors::{ErrorKind, SwitchError, SwitchResult, error_spec};
use crate::lab::launch::{LabSystem, OPERATOR_KEY, account_key, read_admin};
use crate::transport::{ClientLimits, PeerClient, read_body};

const RESPONSE_BYTES_MAX: usize = 1024 * 1024;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Exceeds the default body limit of an entry host.
const OVERSIZED_BODY_BYTES: usize = 5 * 1024 * 1024;

/// An invalid request and the kind of error that has to reject it.
struct BadRequest {
    name: &'static str,
    peer: SocketAddr,
    request: Builder,
    body: String,
    kind: ErrorKind,
}

/// Sends invalid requests to the first entry host and prints each response. Returns whether each
/// was rejected with the expected error and the document of the model service is unchanged.
///
/// # Errors
///
/// When an address is missing, or a request gets no response within `RESPONSE_TIMEOUT`.
pub(super) async fn check_bad_requests(system: &LabSystem) -> SwitchResult<bool> {
    let admin = system.entries[0].admin()?;
    let path = format!("/admin/v1/documents/{}", system.names.model);
    let before = read_admin(admin, &path).await?;
    let mut all_passed = true;
    for bad_request in bad_requests(system)? {
        let response = send(bad_request.peer, bad_request.request, bad_request.body).await?;
        let expected = error_spec(bad_request.kind);
        let passed = response == (expected.status, expected.code.to_owned());
        println!(
            "{:24}{} {}{}",
            bad_request.name,
            response.0,
            response.1,
            failure_mark(passed)
        );
        all_passed &= passed;
    }
    let is_unchanged = document_of(&read_admin(admin, &path).await?) == document_of(&before);
    println!("document as before      {is_unchanged}");
    Ok(all_passed && is_unchanged)
}

const fn failure_mark(passed: bool) -> &'static str {
    if passed {
        ""
    } else {
        "  (not as it should be)"
    }
}

fn bad_requests(system: &LabSystem) -> SwitchResult<Vec<BadRequest>> {
    let entry = &system.entries[0];
    let (caller_address, admin_address) = (entry.caller()?, entry.admin()?);
    let names = &system.names;
    let account = names.accounts[0];
    let authorization = format!("Bearer {}", account_key(account));
    let completion = || {
        http::Request::post("/v1/completions")
            .header("savory-account", account)
            .header("authorization", &authorization)
    };
    let put = |key: &str| {
        http::Request::put(format!("/admin/v1/documents/{}?replaces=1", names.model))
            .header("authorization", format!("Bearer {key}"))
    };
    let valid_body = format!(
        r#"{{"model":"{}","prompt":"p","max_tokens":1}}"#,
        names.model
    );
    let caller_request = |name, request, body: String, kind| BadRequest {
        name,
        peer: caller_address,
        request,
        body,
        kind,
    };
    let admin_request = |name, request, body: String, kind| BadRequest {
        peer: admin_address,
        ..caller_request(name, request, body, kind)
    };
    let unknown_account = http::Request::post("/v1/completions")
        .header("savory-account", "stranger")
        .header("authorization", "Bearer nothing");
    Ok(vec![
        caller_request(
            "unknown account",
            unknown_account,
            valid_body.clone(),
            ErrorKind::AccountUnknown,
        ),
        caller_request(
            "bad header",
            completion().header("savory-priority", "soon"),
            valid_body,
            ErrorKind::BadHeader,
        ),
        caller_request(
            "no JSON",
            completion(),
            "{".to_owned(),
            ErrorKind::BadRequest,
        ),
        caller_request(
            "unknown service",
            completion(),
            r#"{"model":"none","prompt":"p","max_tokens":1}"#.to_owned(),
            ErrorKind::ServiceUnknown,
        ),
        caller_request(
            "oversized body",
            completion(),
            "x".repeat(OVERSIZED_BODY_BYTES),
            ErrorKind::BodyTooLarge,
        ),
        admin_request(
            "malformed document",
            put(OPERATOR_KEY),
            r#"{"format":1,"service":7,"limit":3}"#.to_owned(),
            ErrorKind::DocumentInvalid,
        ),
        admin_request(
            "wrong key",
            put("nobody"),
            changed_document(system)?,
            ErrorKind::NotAllowed,
        ),
    ])
}

/// A valid document, as JSON text, that sets another version of the weights as target.
fn changed_document(system: &LabSystem) -> SwitchResult<String> {
    let digest = crate::weights::WeightsDigest::of(b"nothing");
    let document = system.names.model_document("v9", "weights-9", &digest);
    serde_json::to_string(&document)
        .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))
}

/// Sends `request`. Returns the status and the error code of the response.
async fn send(peer: SocketAddr, request: Builder, body: String) -> SwitchResult<(u16, String)> {
    let request = request
        .header("content-type", "application/json")
        .body(Body::from(body))
        .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))?;
    let client = PeerClient::new(ClientLimits::default());
    let response = client.send(peer, request, RESPONSE_TIMEOUT).await?;
    let status = response.status().as_u16();
    let body = read_body(response.into_body(), RESPONSE_BYTES_MAX).await?;
    let json: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = json["error"]["code"].as_str().unwrap_or("no code");
    Ok((status, code.to_owned()))
}

/// The version and the document in a response of the administration API.
fn document_of(text: &str) -> Option<(Value, Value)> {
    let json: Value = serde_json::from_str(text).ok()?;
    Some((json["version"].clone(), json["document"].clone()))
}
