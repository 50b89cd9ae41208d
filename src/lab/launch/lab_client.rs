//! HTTP client for the processes that the lab starts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::transport::{ClientLimits, PeerClient, read_body};

const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Client that takes any status other than 200 as an error.
pub(crate) struct LabClient {
    client: PeerClient,
}

impl Default for LabClient {
    fn default() -> Self {
        Self {
            client: PeerClient::new(ClientLimits::default()),
        }
    }
}

impl LabClient {
    /// Reads the JSON at `path`.
    pub(crate) async fn get<A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> SwitchResult<A> {
        let response = self.send(peer, Method::GET, path, Bytes::new()).await?;
        read_json(&response)
    }

    /// Reads the text at `path`.
    pub(crate) async fn text(&self, peer: SocketAddr, path: &str) -> SwitchResult<String> {
        let response = self.send(peer, Method::GET, path, Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&response).into_owned())
    }

    /// Whether a GET of `path` returns status 200.
    pub(crate) async fn is_ok(&self, peer: SocketAddr, path: &str) -> bool {
        self.send(peer, Method::GET, path, Bytes::new())
            .await
            .is_ok()
    }

    /// Posts `body` as JSON and parses the response as JSON.
    pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        body: &Q,
    ) -> SwitchResult<A> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let response = self.send(peer, Method::POST, path, body.into()).await?;
        read_json(&response)
    }

    async fn send(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> SwitchResult<Bytes> {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .body(Body::from(body))
            .map_err(|fault| failed(fault.to_string()))?;
        let response = self.client.send(peer, request, REQUEST_TIMEOUT).await?;
        let status = response.status();
        let body = read_body(response.into_body(), RESPONSE_BYTES_MAX).await?;
        if status == StatusCode::OK {
            return Ok(body);
        }
        let text = String::from_utf8_lossy(&body);
        Err(failed(format!("{peer}{path} answered {status}: {text}")))
    }
}

fn read_json<A: DeserializeOwned>(body: &[u8]) -> SwitchResult<A> {
    serde_json::from_slice(body).map_err(|fault| failed(fault.to_string()))
}

fn failed(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
