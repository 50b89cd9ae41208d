//! Client for the part of the administration API that the lab uses.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use uuid::Uuid;
use volo_http::body::Body;

use super::sample_company::OPERATOR_KEY;
use crate::documents::ServiceDocument;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::clock_now;
use crate::transport::{ClientLimits, PeerClient, read_body};

const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Writes `document` through the entry host's administration API at `admin`, in place of version
/// `replaces` (0 if there is none yet). A failed attempt is retried until `timeout` has passed.
///
/// # Errors
///
/// The error of the last attempt: `DocumentNotAccepted` with the response if the entry host
/// rejected the document, or the error of the transport.
pub(crate) async fn put_document(
    admin: SocketAddr,
    document: &ServiceDocument,
    replaces: u64,
    timeout: Duration,
) -> SwitchResult<()> {
    let started_at = clock_now();
    // Identifies the write, so that a retry after a lost response does not count as a conflict.
    let nonce = Uuid::now_v7();
    loop {
        match try_put(admin, document, replaces, nonce).await {
            Ok(()) => return Ok(()),
            Err(error) if clock_now().since(started_at) > timeout => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Reads the text at `path` of the entry host's administration API at `admin`.
///
/// # Errors
///
/// `DocumentNotAccepted` if the status is not 200, or the error of the transport.
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
    let response = client.send(admin, request, REQUEST_TIMEOUT).await?;
    let status = response.status();
    let body = read_body(response.into_body(), RESPONSE_BYTES_MAX).await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status == StatusCode::OK {
        return Ok(text);
    }
    Err(failed(format!(
        "the administration API answered {status}: {text}"
    )))
}

fn failed(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::DocumentNotAccepted, text)
}
