//! The command line's side of the administration API.

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

/// Longer than an entry host tries a change.
const ANSWER_WITHIN: Duration = Duration::from_secs(8);
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// A client of the entry hosts' administration API.
pub(crate) struct AdminClient {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) key: String,
    client: PeerClient,
}

/// What is asked.
pub(crate) struct AdminRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// What names the change, for a put.
    pub(crate) change: Option<ChangeIdentity>,
}

/// What names a change.
#[derive(Clone)]
pub(crate) struct ChangeIdentity {
    pub(crate) author: String,
    pub(crate) nonce: String,
    /// Tries of it before this call that may have been accepted.
    pub(crate) uncertain_attempts: u32,
}

impl AdminRequest {
    /// A reading of `path`.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            change: None,
        }
    }
}

/// A refusal with what came beside it.
pub(crate) struct AdminFailure {
    pub(crate) error: SwitchError,
    pub(crate) faults: FaultsReply,
    pub(crate) standing: Option<Box<CurrentDocumentReply>>,
}

impl From<SwitchError> for AdminFailure {
    fn from(error: SwitchError) -> Self {
        Self {
            error,
            faults: FaultsReply::default(),
            standing: None,
        }
    }
}

impl AdminClient {
    /// A client of the entry hosts at `addresses`, with `key`.
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        let client = PeerClient::new(ClientLimits::default());
        Self {
            addresses,
            key,
            client,
        }
    }

    /// Asks the entry hosts one after another until one answers for good. A change that is asked
    /// for again carries the same name, so that it is accepted once.
    pub(crate) async fn send<A: DeserializeOwned>(
        &self,
        call: &AdminRequest,
    ) -> Result<A, AdminFailure> {
        let detail = "give --admin-address IP:PORT of an entry host";
        let mut last: AdminFailure = SwitchError::new(ErrorKind::SettingInvalid, detail).into();
        // A try that certainly wrote nothing does not count: the next is as good as the first.
        let mut uncertain_attempts = 0;
        for address in &self.addresses {
            match self.try_at(*address, call, uncertain_attempts).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    uncertain_attempts += u32::from(leaves_doubt(failure.error.kind));
                    let is_final = !is_away(failure.error.kind);
                    last = failure;
                    if is_final {
                        break;
                    }
                }
            }
        }
        // A refusal by a later host does not say what became of the try at an earlier one, unless
        // the table itself has told what stands.
        if uncertain_attempts > 0
            && call.change.is_some()
            && last.error.kind != ErrorKind::DocumentConflict
        {
            last.error.kind = ErrorKind::DocumentInDoubt;
        }
        Err(last)
    }

    /// Asks the entry host at `address`.
    pub(crate) async fn send_to<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &AdminRequest,
    ) -> Result<A, AdminFailure> {
        self.try_at(address, call, 0).await
    }

    async fn try_at<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &AdminRequest,
        uncertain_attempts: u32,
    ) -> Result<A, AdminFailure> {
        let request = self.request(call, uncertain_attempts)?;
        let answer = self.client.send(address, request, ANSWER_WITHIN).await?;
        let status = answer.status();
        let text = read_body(answer.into_body(), ANSWER_BYTES_MAX).await?;
        if status == StatusCode::OK {
            return Ok(read_json(&text)?);
        }
        Err(read_failure(status, &text))
    }

    fn request(
        &self,
        call: &AdminRequest,
        uncertain_attempts: u32,
    ) -> SwitchResult<http::Request<Body>> {
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        if let Some(change) = &call.change {
            request = request
                .header(AUTHOR_HEADER, &change.author)
                .header(NONCE_HEADER, &change.nonce)
                .header(
                    ATTEMPT_HEADER,
                    change.uncertain_attempts + uncertain_attempts + 1,
                );
        }
        request
            .body(Body::from(call.body.clone()))
            .map_err(|fault| SwitchError::new(ErrorKind::BadRequest, fault.to_string()))
    }
}

/// Whether another entry host may do better.
const fn is_away(kind: ErrorKind) -> bool {
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

/// Whether the change may have been accepted although this was the answer.
const fn leaves_doubt(kind: ErrorKind) -> bool {
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
            standing: body.standing.map(|standing| {
                Box::new(CurrentDocumentReply {
                    standing: Some(standing),
                })
            }),
        },
        Err(_) => SwitchError::new(ErrorKind::MessageInvalid, format!("answered {status}")).into(),
    }
}
