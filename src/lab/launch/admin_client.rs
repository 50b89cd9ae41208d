//! The administration API, as far as the lab uses it.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use uuid::Uuid;
use volo_http::body::Body;

use super::company::OPERATOR_KEY;
use crate::documents::ServiceDocument;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::clock_now;
use crate::transport::{ClientLimits, PeerClient, read_body};

const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;
const WITHIN: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(100);

/// Puts `document` through the entry host's administration API at `admin`, in place of version
/// `replaces` (0: there is none yet). Tries again for `patience` while it is not accepted.
///
/// # Errors
///
/// `DocumentNotAccepted` with what the entry host said last.
pub(crate) async fn put_document(
    admin: SocketAddr,
    document: &ServiceDocument,
    replaces: u64,
    patience: Duration,
) -> SwitchResult<()> {
    let begun = clock_now();
    // Names the change, so that a put whose answer was lost is not met as a conflict.
    let nonce = Uuid::now_v7();
    loop {
        match try_put(admin, document, replaces, nonce).await {
            Ok(()) => return Ok(()),
            Err(error) if clock_now().since(begun) > patience => return Err(error),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// What the entry host's administration API at `admin` says at `path`, for people.
pub(crate) async fn read_admin(admin: SocketAddr, path: &str) -> SwitchResult<String> {
    let request = http::Request::get(path);
    exchange(admin, request, Body::empty()).await
}

async fn try_put(
    admin: SocketAddr,
    document: &ServiceDocument,
    replaces: u64,
    nonce: Uuid,
) -> SwitchResult<()> {
    let body = serde_json::to_vec(document).unwrap_or_default();
    let path = format!(
        "/admin/v1/documents/{}?replaces={replaces}",
        document.service
    );
    let request = http::Request::put(path)
        .header("idempotency-key", nonce.to_string())
        .header("content-type", "application/json");
    exchange(admin, request, Body::from(body)).await?;
    Ok(())
}

async fn exchange(
    admin: SocketAddr,
    request: http::request::Builder,
    body: Body,
) -> SwitchResult<String> {
    let request = request
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(body)
        .map_err(|fault| failed(fault.to_string()))?;
    let client = PeerClient::new(ClientLimits::default());
    let answer = client.send(admin, request, WITHIN).await?;
    let status = answer.status();
    let body = read_body(answer.into_body(), ANSWER_BYTES_MAX).await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status == StatusCode::OK {
        return Ok(text);
    }
    Err(failed(format!("answered {status}: {text}")))
}

fn failed(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::DocumentNotAccepted, text)
}
