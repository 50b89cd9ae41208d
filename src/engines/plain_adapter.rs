//! The interface to a plain service, and its implementation over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use http::header::{CONNECTION, HeaderValue};
use http_body_util::BodyExt;
use macro_rules_attribute::apply;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::delivery::AnswerHead;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::transport::PeerClient;

/// A call to a plain service.
#[apply(plain!)]
pub(crate) struct PlainCall {
    /// The HTTP method.
    pub(crate) method: ByteString,
    /// The path with its query.
    pub(crate) path: ByteString,
    /// The forwarded headers.
    pub(crate) headers: Vec<(ByteString, Bytes)>,
    /// The complete body.
    pub(crate) body: Bytes,
    /// Time limit for the response head.
    pub(crate) head_timeout: Duration,
}

/// The body of an answer, in the parts in which it arrives. An error as last item means that the
/// answer is incomplete.
pub(crate) type PlainBody =
    std::pin::Pin<Box<dyn futures::Stream<Item = SwitchResult<Bytes>> + Send>>;

/// The answer of a plain service.
pub(crate) struct PlainAnswer {
    /// Status and headers.
    pub(crate) head: AnswerHead,
    /// The body.
    pub(crate) body: PlainBody,
}

/// The interface to a plain service.
pub(crate) trait PlainAdapter: Send + Sync + 'static {
    /// Forwards a call to the service and returns its answer.
    ///
    /// # Errors
    ///
    /// `ConnectFailed` and `BadRequest` mean that the call did not run; after any other error this
    /// is not known.
    fn forward(&self, call: PlainCall) -> BoxFuture<'_, SwitchResult<PlainAnswer>>;
}

/// An adapter for plain services that speak HTTP.
///
/// Each call uses a new connection. The service may close a persistent connection at the moment at
/// which a call is written to it. Whether that call ran is then unknown, and if it is unrepeatable,
/// the caller gets the outcome "not known" although nothing was wrong. A new connection on loopback
/// costs little.
pub(crate) struct HttpPlainAdapter {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

impl HttpPlainAdapter {
    /// Creates an adapter for the service at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    async fn send_call(&self, call: PlainCall) -> SwitchResult<PlainAnswer> {
        let head_timeout = call.head_timeout;
        let request = http_request(call)?;
        let response = self
            .client
            .send(self.address, request, head_timeout)
            .await?;
        Ok(answer_from(response))
    }
}

impl PlainAdapter for HttpPlainAdapter {
    fn forward(&self, call: PlainCall) -> BoxFuture<'_, SwitchResult<PlainAnswer>> {
        self.send_call(call).boxed()
    }
}

/// Builds the HTTP request. `BadRequest` if a part of the call is not valid HTTP.
fn http_request(call: PlainCall) -> SwitchResult<http::Request<Body>> {
    let mut builder = http::Request::builder()
        .method(&*call.method)
        .uri(&*call.path);
    for (name, value) in &call.headers {
        builder = builder.header(&**name, value.as_ref());
    }
    builder
        .header(CONNECTION, HeaderValue::from_static("close"))
        .body(Body::from(call.body))
        .map_err(|fault| SwitchError::new(ErrorKind::BadRequest, fault.to_string()))
}

/// Converts the response, without its `connection` header.
fn answer_from(response: Response) -> PlainAnswer {
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| **name != CONNECTION)
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect();
    let head = AnswerHead {
        status: response.status().as_u16(),
        headers,
    };
    let body = response.into_body().into_data_stream().map(|part| {
        part.map_err(|fault| SwitchError::new(ErrorKind::AnswerCut, fault.to_string()))
    });
    PlainAnswer {
        head,
        body: Box::pin(body),
    }
}
