//! Operators that put changes, each until it is settled.

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

const PAUSE: Duration = Duration::from_millis(200);
const SETTLED_WITHIN: Duration = Duration::from_secs(30);

/// How a change ended for its author.
#[derive(Clone, Debug)]
pub(super) enum PutEnd {
    /// It was accepted as this version, and the answer came at this time.
    Accepted(DocumentVersion, ClockTime),
    /// It was refused.
    Refused,
    /// It could not be settled.
    InDoubt,
}

/// A change as an operator asks for it.
#[derive(Clone)]
pub(super) struct OperatorChange {
    pub(super) document: ServiceDocument,
    pub(super) replaces: u64,
    pub(super) nonce: String,
}

impl OperatorChange {
    /// Puts it at the entry hosts `addresses`, the first first, until it is settled. A change that
    /// was certainly not accepted is given up if `gives_up`, and asked for again otherwise.
    pub(super) async fn put(&self, addresses: &[SocketAddr], gives_up: bool) -> PutEnd {
        let begun = clock_now();
        let client = AdminClient::new(addresses.to_vec(), OPERATOR_KEY.to_owned());
        let mut uncertain_attempts = 0;
        while clock_now().since(begun) < SETTLED_WITHIN {
            let reply: Result<PutReply, AdminFailure> =
                client.send(&self.call(uncertain_attempts)).await;
            match reply {
                Ok(reply) => return self.accepted(reply.version),
                Err(failure) => match failure.error.kind {
                    ErrorKind::DocumentConflict => return PutEnd::Refused,
                    ErrorKind::DocumentNotAccepted | ErrorKind::ConnectFailed if gives_up => {
                        return PutEnd::Refused;
                    }
                    _ => {}
                },
            }
            // An earlier try may be on its way.
            uncertain_attempts += 1;
            sleep(PAUSE).await;
        }
        PutEnd::InDoubt
    }

    fn accepted(&self, version: u64) -> PutEnd {
        let service = self.document.service.clone();
        PutEnd::Accepted(DocumentVersion { service, version }, clock_now())
    }

    fn call(&self, uncertain_attempts: u32) -> AdminRequest {
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
