//! The edge towards a plain service, and its HTTP client.

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
    /// The method.
    pub(crate) method: ByteString,
    /// Path and query.
    pub(crate) path: ByteString,
    /// The headers that are passed on.
    pub(crate) headers: Vec<(ByteString, Bytes)>,
    /// The whole body.
    pub(crate) body: Bytes,
    /// How long the service may take to begin its answer.
    pub(crate) head_timeout: Duration,
}

/// The answer's body, part by part.
pub(crate) type PlainBody =
    std::pin::Pin<Box<dyn futures::Stream<Item = SwitchResult<Bytes>> + Send>>;

/// An answer of a plain service.
pub(crate) struct PlainAnswer {
    /// Its head.
    pub(crate) head: AnswerHead,
    /// Its body; a stream that ends with an error broke off.
    pub(crate) body: PlainBody,
}

/// A plain service.
pub(crate) trait PlainAdapter: Send + Sync + 'static {
    /// Hands a call over. `ConnectFailed` and `BadRequest` mean that it does not run; after any
    /// other error it is not known.
    fn forward(&self, call: PlainCall) -> BoxFuture<'_, SwitchResult<PlainAnswer>>;
}

/// A plain service over HTTP.
///
/// Each call gets a connection of its own. A kept connection may be closed by the service in the
/// moment in which a call is written to it; the call then fails without anyone knowing whether it
/// ran, and an unrepeatable call must be answered "not known" though nothing was wrong. On
/// loopback a fresh connection costs little.
pub(crate) struct HttpPlainAdapter {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

impl HttpPlainAdapter {
    /// The service at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    async fn hand_over(&self, call: PlainCall) -> SwitchResult<PlainAnswer> {
        let head_timeout = call.head_timeout;
        let request = plain_request(call)?;
        let answer = self
            .client
            .send(self.address, request, head_timeout)
            .await?;
        Ok(read_answer(answer))
    }
}

impl PlainAdapter for HttpPlainAdapter {
    fn forward(&self, call: PlainCall) -> BoxFuture<'_, SwitchResult<PlainAnswer>> {
        self.hand_over(call).boxed()
    }
}

fn plain_request(call: PlainCall) -> SwitchResult<http::Request<Body>> {
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

fn read_answer(answer: Response) -> PlainAnswer {
    let headers = answer
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
        status: answer.status().as_u16(),
        headers,
    };
    let body = answer.into_body().into_data_stream().map(|part| {
        part.map_err(|fault| SwitchError::new(ErrorKind::AnswerCut, fault.to_string()))
    });
    PlainAnswer {
        head,
        body: Box::pin(body),
    }
}
