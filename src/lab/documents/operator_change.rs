//! A document change as an operator submits it, retried until its outcome is known.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use tokio::time::sleep;

use crate::documents::{DocumentVersion, ServiceDocument};
use crate::errors::ErrorKind;
use crate::lab::launch::OPERATOR_KEY;
use crate::operator::admin_client::{AdminClient, AdminFailure, AdminRequest, ChangeIdentity};
use crate::operator::messages::PutReply;
use crate::time::{ClockTime, clock_now};

/// Delay before an attempt is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// After this long without a final response, the outcome of a change counts as unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Outcome of a change as reported to the operator.
#[derive(Clone, Debug)]
pub(super) enum PutOutcome {
    /// The change was accepted as this version; the response arrived at this time.
    Accepted(DocumentVersion, ClockTime),
    /// The change was refused.
    Refused,
    /// No attempt gave a final outcome in time.
    Unknown,
}

/// One document change, identified by its nonce in all attempts.
#[derive(Clone)]
pub(super) struct OperatorChange {
    pub(super) document: ServiceDocument,
    /// The version that the change replaces.
    pub(super) replaces: u64,
    pub(super) nonce: String,
}

impl OperatorChange {
    /// Submits the change to the entry hosts at `addresses`, in this order, until its outcome is
    /// known or the timeout ends. If an attempt certainly was not accepted, the change counts as
    /// refused if `stops_if_not_accepted` is set, and is retried otherwise.
    pub(super) async fn put(
        &self,
        addresses: &[SocketAddr],
        stops_if_not_accepted: bool,
    ) -> PutOutcome {
        let started_at = clock_now();
        let client = AdminClient::new(addresses.to_vec(), OPERATOR_KEY.to_owned());
        let mut uncertain_attempts = 0;
        while clock_now().since(started_at) < SETTLE_TIMEOUT {
            let reply: Result<PutReply, AdminFailure> =
                client.send(&self.request(uncertain_attempts)).await;
            match reply {
                Ok(reply) => return self.accepted_as(reply.version),
                Err(failure) => match failure.error.kind {
                    ErrorKind::DocumentConflict => return PutOutcome::Refused,
                    ErrorKind::DocumentNotAccepted | ErrorKind::ConnectFailed
                        if stops_if_not_accepted =>
                    {
                        return PutOutcome::Refused;
                    }
                    _ => {}
                },
            }
            // From here on, an earlier attempt may still take effect.
            uncertain_attempts += 1;
            sleep(RETRY_DELAY).await;
        }
        PutOutcome::Unknown
    }

    fn accepted_as(&self, version: u64) -> PutOutcome {
        let service = self.document.service.clone();
        PutOutcome::Accepted(DocumentVersion { service, version }, clock_now())
    }

    fn request(&self, uncertain_attempts: u32) -> AdminRequest {
        let body = serde_json::to_vec(&self.document).unwrap_or_default();
        AdminRequest {
            method: Method::PUT,
            path: format!(
                "/admin/v1/documents/{}?replaces={}",
                self.document.service, self.replaces
            ),
            body: body.into(),
            change: Some(ChangeIdentity {
                author: "lab".to_owned(),
                nonce: self.nonce.clone(),
                uncertain_attempts,
            }),
        }
    }
}
