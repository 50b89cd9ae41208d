//! HTTP clients of the platform's services, according to `docs/PLATFORM.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use serde::Deserialize;
use volo_http::body::Body;
use volo_http::response::Response;

use super::{HostEntry, HostList, RowRevision, TableRow, TableStore, WeightSource, WriteResult};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::transport::{PeerClient, read_body, stall_tolerant_timeout};

const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;
const LIST_PAGE_ROWS: usize = 500;
/// Time to wait after a 429 response without a valid `retry-after-ms` header.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);

/// A client of one platform service at one address.
#[derive(Clone)]
pub(crate) struct PlatformClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
    timeout: Duration,
    unavailable_kind: ErrorKind,
}

impl PlatformClient {
    /// Creates a client of the service at `address`. Requests that take longer than `timeout` or
    /// get a server error as response fail with the kind `unavailable_kind`.
    pub(crate) const fn new(
        address: SocketAddr,
        client: Arc<PeerClient>,
        timeout: Duration,
        unavailable_kind: ErrorKind,
    ) -> Self {
        Self {
            address,
            client,
            timeout,
            unavailable_kind,
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> SwitchResult<PlatformResponse> {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .body(Body::from(body))
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        self.send(request).await
    }

    async fn send(&self, request: http::Request<Body>) -> SwitchResult<PlatformResponse> {
        let exchange = async {
            let response = self
                .client
                .send(self.address, request, self.timeout)
                .await?;
            PlatformResponse::read(response).await
        };
        let response = match stall_tolerant_timeout(self.timeout, Box::pin(exchange)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(self.fault(error.detail)),
            Err(_) => {
                // Open connections to a service that became silent will not recover.
                self.client.drop_pool(self.address);
                return Err(self.fault(format!("no response within {:?}", self.timeout)));
            }
        };
        match response.status {
            StatusCode::TOO_MANY_REQUESTS => {
                let wait = response.retry_after.unwrap_or(RETRY_AFTER_DEFAULT);
                let error = SwitchError::new(ErrorKind::OriginLimited, "rate limit reached");
                Err(error.with_retry_after(wait))
            }
            status if status.is_server_error() => Err(self.fault(format!("responded {status}"))),
            _ => Ok(response),
        }
    }

    fn fault(&self, detail: String) -> SwitchError {
        SwitchError::new(self.unavailable_kind, detail)
    }

    fn unexpected_status(&self, response: &PlatformResponse) -> SwitchError {
        self.fault(format!("responded {}", response.status))
    }
}

struct PlatformResponse {
    status: StatusCode,
    retry_after: Option<Duration>,
    body: Bytes,
}

impl PlatformResponse {
    async fn read(response: Response) -> SwitchResult<Self> {
        let status = response.status();
        let header = response
            .headers()
            .get("retry-after-ms")
            .and_then(|value| value.to_str().ok());
        let retry_after = header
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        let body = read_body(response.into_body(), RESPONSE_BYTES_MAX).await?;
        Ok(Self {
            status,
            retry_after,
            body,
        })
    }
}

/// The table, accessed over HTTP.
pub(crate) struct HttpTable(pub(crate) PlatformClient);

#[derive(Deserialize)]
struct EncodedRow {
    key: String,
    revision: u64,
    value: String,
}

impl EncodedRow {
    fn into_row(self) -> SwitchResult<TableRow> {
        let value = BASE64.decode(&self.value).map_err(|fault| {
            SwitchError::new(
                ErrorKind::TableUnavailable,
                format!("row {}: {fault}", self.key),
            )
        })?;
        Ok(TableRow {
            key: self.key,
            revision: RowRevision(self.revision),
            value: value.into(),
        })
    }
}

impl HttpTable {
    async fn read_row(&self, key: &str) -> SwitchResult<Option<TableRow>> {
        let path = format!("/table/v1/row?key={key}");
        let response = self.0.call(Method::GET, &path, Bytes::new()).await?;
        match response.status {
            StatusCode::OK => self.parse::<EncodedRow>(&response)?.into_row().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.0.unexpected_status(&response)),
        }
    }

    async fn list_rows(&self, prefix: &str) -> SwitchResult<Vec<TableRow>> {
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map_or("", |row| row.key.as_str());
            let path =
                format!("/table/v1/rows?prefix={prefix}&after={after}&limit={LIST_PAGE_ROWS}");
            let response = self.0.call(Method::GET, &path, Bytes::new()).await?;
            if response.status != StatusCode::OK {
                return Err(self.0.unexpected_status(&response));
            }
            let page = self.parse::<Vec<EncodedRow>>(&response)?;
            let is_last = page.len() < LIST_PAGE_ROWS;
            for row in page {
                rows.push(row.into_row()?);
            }
            if is_last {
                return Ok(rows);
            }
        }
    }

    async fn change_row(
        &self,
        method: Method,
        key: &str,
        expected: RowRevision,
        value: Bytes,
    ) -> SwitchResult<WriteResult> {
        let path = format!("/table/v1/row?key={key}&if_revision={}", expected.0);
        let response = self.0.call(method, &path, value).await?;
        match response.status {
            StatusCode::OK => Ok(WriteResult::Written(RowRevision(
                self.parse::<WriteReceipt>(&response)?.revision,
            ))),
            StatusCode::CONFLICT => {
                let current = self.parse::<Option<EncodedRow>>(&response)?;
                Ok(WriteResult::Conflict(
                    current.map(EncodedRow::into_row).transpose()?,
                ))
            }
            _ => Err(self.0.unexpected_status(&response)),
        }
    }

    fn parse<T: serde::de::DeserializeOwned>(
        &self,
        response: &PlatformResponse,
    ) -> SwitchResult<T> {
        serde_json::from_slice(&response.body).map_err(|fault| self.0.fault(fault.to_string()))
    }
}

#[derive(Deserialize)]
struct WriteReceipt {
    revision: u64,
}

impl TableStore for HttpTable {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, SwitchResult<Option<TableRow>>> {
        self.read_row(key).boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, SwitchResult<Vec<TableRow>>> {
        self.list_rows(prefix).boxed()
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: RowRevision,
        value: Bytes,
    ) -> BoxFuture<'a, SwitchResult<WriteResult>> {
        self.change_row(Method::PUT, key, expected, value).boxed()
    }
}

/// The host list, accessed over HTTP.
pub(crate) struct HttpHostList(pub(crate) PlatformClient);

impl HostList for HttpHostList {
    fn read_hosts(&self) -> BoxFuture<'_, SwitchResult<Vec<HostEntry>>> {
        async move {
            let response = self.0.call(Method::GET, "/hosts/v1", Bytes::new()).await?;
            if response.status != StatusCode::OK {
                return Err(self.0.unexpected_status(&response));
            }
            let mut hosts: Vec<HostEntry> = serde_json::from_slice(&response.body)
                .map_err(|fault| self.0.fault(fault.to_string()))?;
            hosts.sort_by(|left, right| left.host.cmp(&right.host));
            Ok(hosts)
        }
        .boxed()
    }
}

/// The origin or the weight store, accessed over HTTP.
pub(crate) struct HttpWeights(pub(crate) PlatformClient);

impl HttpWeights {
    async fn read(&self, path: String, range: Option<(u64, u64)>) -> SwitchResult<Bytes> {
        let mut request = http::Request::builder().method(Method::GET).uri(path);
        if let Some((offset, length)) = range {
            let last = offset + length.saturating_sub(1);
            request = request.header(http::header::RANGE, format!("bytes={offset}-{last}"));
        }
        let request = request
            .body(Body::empty())
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let response = self.0.send(request).await?;
        match response.status {
            StatusCode::OK | StatusCode::PARTIAL_CONTENT => Ok(response.body),
            StatusCode::NOT_FOUND => Err(SwitchError::new(
                ErrorKind::ObjectMissing,
                "no such weights",
            )),
            _ => Err(self.0.unexpected_status(&response)),
        }
    }
}

impl WeightSource for HttpWeights {
    fn read_manifest<'a>(&'a self, name: &'a str) -> BoxFuture<'a, SwitchResult<Bytes>> {
        self.read(format!("/weights/v1/{name}/manifest"), None)
            .boxed()
    }

    fn read_range<'a>(
        &'a self,
        name: &'a str,
        offset: u64,
        length: u64,
    ) -> BoxFuture<'a, SwitchResult<Bytes>> {
        self.read(format!("/weights/v1/{name}/data"), Some((offset, length)))
            .boxed()
    }
}
