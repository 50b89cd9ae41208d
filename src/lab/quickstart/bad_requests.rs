//! Requests that must be refused: each gets its own clear error and changes nothing.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Builder;
use serde_json::Value;
use volo_http::body::Body;

use crate::errors::{ErrorKind, SwitchError, SwitchResult, error_spec};
use crate::lab::launch::{LabSystem, OPERATOR_KEY, account_key, read_admin};
use crate::transport::{ClientLimits, PeerClient, read_body};

const ANSWER_BYTES_MAX: usize = 1024 * 1024;
const WITHIN: Duration = Duration::from_secs(10);
/// More than an entry host takes by default.
const OVERSIZED: usize = 5 * 1024 * 1024;

/// A request and the kind of error that it must get.
struct BadRequest {
    name: &'static str,
    peer: SocketAddr,
    request: Builder,
    body: String,
    kind: ErrorKind,
}

/// Sends bad requests to the first entry host; whether each got its error and the document of the
/// model service stands as before.
pub(super) async fn check_bad_requests(system: &LabSystem) -> SwitchResult<bool> {
    let admin = system.entries[0].admin()?;
    let path = format!("/admin/v1/documents/{}", system.names.model);
    let before = read_admin(admin, &path).await?;
    let mut all_held = true;
    for bad in bad_requests(system)? {
        let answer = send(bad.peer, bad.request, bad.body).await?;
        let expected = error_spec(bad.kind);
        let held = answer == (expected.status, expected.code.to_owned());
        println!("{:24}{} {}{}", bad.name, answer.0, answer.1, mark(held));
        all_held &= held;
    }
    let stands = document_of(&read_admin(admin, &path).await?) == document_of(&before);
    println!("document as before      {stands}");
    Ok(all_held && stands)
}

const fn mark(held: bool) -> &'static str {
    if held { "" } else { "  (not as it should be)" }
}

fn bad_requests(system: &LabSystem) -> SwitchResult<Vec<BadRequest>> {
    let node = &system.entries[0];
    let (caller, admin) = (node.caller()?, node.admin()?);
    let names = &system.names;
    let account = names.accounts[0];
    let key = format!("Bearer {}", account_key(account));
    let completion = || {
        http::Request::post("/v1/completions")
            .header("savory-account", account)
            .header("authorization", &key)
    };
    let put = |key: &str| {
        http::Request::put(format!("/admin/v1/documents/{}?replaces=1", names.model))
            .header("authorization", format!("Bearer {key}"))
    };
    let good_text = format!(
        r#"{{"model":"{}","prompt":"p","max_tokens":1}}"#,
        names.model
    );
    let caller_case = |name, request, body: String, kind| BadRequest {
        name,
        peer: caller,
        request,
        body,
        kind,
    };
    let admin_case = |name, request, body: String, kind| BadRequest {
        peer: admin,
        ..caller_case(name, request, body, kind)
    };
    let stranger = http::Request::post("/v1/completions")
        .header("savory-account", "stranger")
        .header("authorization", "Bearer nothing");
    Ok(vec![
        caller_case(
            "unknown account",
            stranger,
            good_text.clone(),
            ErrorKind::AccountUnknown,
        ),
        caller_case(
            "bad header",
            completion().header("savory-priority", "soon"),
            good_text,
            ErrorKind::BadHeader,
        ),
        caller_case(
            "no JSON",
            completion(),
            "{".to_owned(),
            ErrorKind::BadRequest,
        ),
        caller_case(
            "unknown service",
            completion(),
            r#"{"model":"none","prompt":"p","max_tokens":1}"#.to_owned(),
            ErrorKind::ServiceUnknown,
        ),
        caller_case(
            "oversized body",
            completion(),
            "x".repeat(OVERSIZED),
            ErrorKind::BodyTooLarge,
        ),
        admin_case(
            "malformed document",
            put(OPERATOR_KEY),
            r#"{"format":1,"service":7,"limit":3}"#.to_owned(),
            ErrorKind::DocumentInvalid,
        ),
        admin_case(
            "wrong key",
            put("nobody"),
            document_text(system)?,
            ErrorKind::NotAllowed,
        ),
    ])
}

fn document_text(system: &LabSystem) -> SwitchResult<String> {
    let digest = crate::weights::WeightsDigest::of(b"nothing");
    let document = system.names.model_document("v9", "weights-9", &digest);
    serde_json::to_string(&document)
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
}

/// Status and code of the answer.
async fn send(peer: SocketAddr, request: Builder, body: String) -> SwitchResult<(u16, String)> {
    let request = request
        .header("content-type", "application/json")
        .body(Body::from(body))
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
    let client = PeerClient::new(ClientLimits::default());
    let answer = client.send(peer, request, WITHIN).await?;
    let status = answer.status().as_u16();
    let body = read_body(answer.into_body(), ANSWER_BYTES_MAX).await?;
    let text: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = text["error"]["code"].as_str().unwrap_or("no code");
    Ok((status, code.to_owned()))
}

/// Version and document in what the administration API told.
fn document_of(text: &str) -> Option<(Value, Value)> {
    let text: Value = serde_json::from_str(text).ok()?;
    Some((text["version"].clone(), text["document"].clone()))
}
