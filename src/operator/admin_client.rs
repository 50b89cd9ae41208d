//! The client of the administration API that the command line uses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, header};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;

use super::admin::{ATTEMPT_HEADER, AUTHOR_HEADER, NONCE_HEADER};
use super::messages::{CurrentDocumentReply, FaultsReply};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::transport::{ClientLimits, PeerClient, read_body};

/// Timeout of a request; longer than the time limit of entry hosts for writing a change.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// A client of the entry hosts' administration API.
pub(crate) struct AdminClient {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) key: String,
    client: PeerClient,
}

/// A request to the administration API.
pub(crate) struct AdminRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// The identity of the change; only for a put.
    pub(crate) change: Option<ChangeIdentity>,
}

/// Identifies a change, so that it is accepted only once even if the request is repeated.
#[derive(Clone)]
pub(crate) struct ChangeIdentity {
    pub(crate) author: String,
    pub(crate) nonce: String,
    /// Number of earlier attempts at this change whose outcome is unknown.
    pub(crate) uncertain_attempts: u32,
}

impl AdminRequest {
    /// A request that reads `path`.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            change: None,
        }
    }
}

/// An error with the details that the response contained.
pub(crate) struct AdminFailure {
    pub(crate) error: SwitchError,
    pub(crate) faults: FaultsReply,
    pub(crate) current: Option<Box<CurrentDocumentReply>>,
}

impl From<SwitchError> for AdminFailure {
    fn from(error: SwitchError) -> Self {
        Self {
            error,
            faults: FaultsReply::default(),
            current: None,
        }
    }
}

impl AdminClient {
    /// Creates a client of the entry hosts at `addresses` that authenticates with `key`.
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        let client = PeerClient::new(ClientLimits::default());
        Self {
            addresses,
            key,
            client,
        }
    }

    /// Sends the request to the entry hosts one after another until one gives a final response.
    /// Every attempt at a change carries the same nonce, so that the change is accepted only once.
    ///
    /// # Errors
    ///
    /// The last failure. `DocumentInDoubt` if the outcome of an earlier attempt at a change is
    /// unknown and the last response does not settle it.
    pub(crate) async fn send<A: DeserializeOwned>(
        &self,
        request: &AdminRequest,
    ) -> Result<A, AdminFailure> {
        let detail = "give --admin-address IP:PORT of an entry host";
        let mut last: AdminFailure = SwitchError::new(ErrorKind::SettingInvalid, detail).into();
        // Attempts that certainly wrote nothing are not counted; after them, the next attempt can
        // be treated as the first one.
        let mut uncertain_attempts = 0;
        for address in &self.addresses {
            match self.attempt_at(*address, request, uncertain_attempts).await {
                Ok(response) => return Ok(response),
                Err(failure) => {
                    uncertain_attempts += u32::from(is_uncertain(failure.error.kind));
                    let is_final = !is_retryable(failure.error.kind);
                    last = failure;
                    if is_final {
                        break;
                    }
                }
            }
        }
        // A refusal by a later host does not tell the outcome of the attempt at an earlier one,
        // except for a conflict, which reports the current document in the table.
        if uncertain_attempts > 0
            && request.change.is_some()
            && last.error.kind != ErrorKind::DocumentConflict
        {
            last.error.kind = ErrorKind::DocumentInDoubt;
        }
        Err(last)
    }

    /// Sends the request to the entry host at `address` only.
    pub(crate) async fn send_to<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &AdminRequest,
    ) -> Result<A, AdminFailure> {
        self.attempt_at(address, request, 0).await
    }

    async fn attempt_at<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &AdminRequest,
        uncertain_attempts: u32,
    ) -> Result<A, AdminFailure> {
        let http_request = self.http_request(request, uncertain_attempts)?;
        let response = self
            .client
            .send(address, http_request, RESPONSE_TIMEOUT)
            .await?;
        let status = response.status();
        let text = read_body(response.into_body(), RESPONSE_BYTES_MAX).await?;
        if status == StatusCode::OK {
            return Ok(read_json(&text)?);
        }
        Err(read_failure(status, &text))
    }

    fn http_request(
        &self,
        request: &AdminRequest,
        uncertain_attempts: u32,
    ) -> SwitchResult<http::Request<Body>> {
        let mut builder = http::Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        if let Some(change) = &request.change {
            builder = builder
                .header(AUTHOR_HEADER, &change.author)
                .header(NONCE_HEADER, &change.nonce)
                .header(
                    ATTEMPT_HEADER,
                    change.uncertain_attempts + uncertain_attempts + 1,
                );
        }
        builder
            .body(Body::from(request.body.clone()))
            .map_err(|fault| SwitchError::new(ErrorKind::BadRequest, fault.to_string()))
    }
}

/// Whether the request may succeed at another entry host.
const fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectFailed
            | ErrorKind::PeerSilent
            | ErrorKind::AnswerCut
            | ErrorKind::DocumentNotAccepted
            | ErrorKind::DocumentInDoubt
            | ErrorKind::TableUnavailable
    )
}

/// Whether the change may have been accepted despite an error of this kind.
const fn is_uncertain(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::PeerSilent | ErrorKind::AnswerCut | ErrorKind::DocumentInDoubt
    )
}

fn read_json<A: DeserializeOwned>(text: &[u8]) -> SwitchResult<A> {
    serde_json::from_slice(text)
        .map_err(|fault| SwitchError::new(ErrorKind::MessageInvalid, fault.to_string()))
}

fn read_failure(status: StatusCode, text: &[u8]) -> AdminFailure {
    #[derive(Deserialize)]
    struct FailureBody {
        error: FailureText,
        #[serde(default)]
        faults: Vec<crate::documents::DocumentFault>,
        #[serde(default)]
        standing: Option<super::messages::DocumentReply>,
    }
    #[derive(Deserialize)]
    struct FailureText {
        code: ErrorKind,
        message: String,
    }
    match read_json::<FailureBody>(text) {
        Ok(body) => AdminFailure {
            error: SwitchError::new(body.error.code, body.error.message),
            faults: FaultsReply {
                faults: body.faults,
            },
            current: body.standing.map(|current| {
                Box::new(CurrentDocumentReply {
                    standing: Some(current),
                })
            }),
        },
        Err(_) => SwitchError::new(ErrorKind::MessageInvalid, format!("responded {status}")).into(),
    }
}
