//! The administration API that entry hosts serve, under `/admin/v1/`.

use std::sync::Arc;

use bytes::Bytes;
use bytestring::ByteString;
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::extract::Query;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};

use super::acceptance_driver::accept_change;
use super::messages::{CurrentDocumentReply, DocumentReply, FaultsReply, HistoryReply, PutReply};
use super::state_replies::{hosts_reply, requests_reply, state_reply};
use crate::control::ControlHandle;
use crate::documents::{
    AcceptanceOutcome, ActiveDocument, ChangeRequest, DOCUMENT_BYTES_MAX, DocumentRecord,
    KeyDigest, check_document, document_key, events, history_prefix,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::transport::{error_response, error_response_with, json_response, read_request_body};

/// The header that contains the author's name for the history.
pub(crate) const AUTHOR_HEADER: &str = "savory-author";
/// The header that identifies a change, so that the request can be repeated.
pub(crate) const NONCE_HEADER: &str = "idempotency-key";
/// The header that contains the number of this attempt at an identified change, starting at 1.
pub(crate) const ATTEMPT_HEADER: &str = "savory-attempt";
const NONCE_LENGTH_MAX: usize = 128;
const AUTHOR_LENGTH_MAX: usize = 64;

/// The routes of the administration API for the control thread of `control`. `operator_key_digest`
/// is the BLAKE3 digest, in hex, of the operators' key, which may create documents and read
/// everything.
pub(crate) fn admin_routes(control: &ControlHandle, operator_key_digest: &str) -> Router {
    let admin = AdminState {
        control: control.clone(),
        operator_key_digest: operator_key_digest.into(),
    };
    document_routes(&admin).merge(state_routes(&admin))
}

fn document_routes(admin: &AdminState) -> Router {
    let (put_admin, get_admin) = (admin.clone(), admin.clone());
    let put_and_get = get(
        move |PathParams(service): PathParams<String>, request: Request| {
            let admin = get_admin.clone();
            async move { to_response(admin.get_document(&service, request.headers()).await) }
        },
    )
    .put(
        move |PathParams(service): PathParams<String>,
              Query(query): Query<PutQuery>,
              request: Request| {
            let admin = put_admin.clone();
            async move { to_response(admin.put_document(&service, query, request).await) }
        },
    );
    let history_admin = admin.clone();
    let history = get(
        move |PathParams(service): PathParams<String>, request: Request| {
            let admin = history_admin.clone();
            async move { to_response(admin.history(&service, request.headers()).await) }
        },
    );
    let check = post(async |request: Request| to_response(check_document_only(request).await));
    Router::new()
        .route("/admin/v1/check", check)
        .route("/admin/v1/documents/{service}", put_and_get)
        .route("/admin/v1/documents/{service}/history", history)
}

fn state_routes(admin: &AdminState) -> Router {
    let view = |show: fn(&ControlHandle) -> Response| {
        let admin = admin.clone();
        get(move |request: Request| {
            let admin = admin.clone();
            async move { to_response(admin.view(request.headers(), show)) }
        })
    };
    let state = |control: &ControlHandle| json_response(StatusCode::OK, &state_reply(control));
    let hosts = |control: &ControlHandle| json_response(StatusCode::OK, &hosts_reply(control));
    let requests = |_: &ControlHandle| json_response(StatusCode::OK, &requests_reply());
    Router::new()
        .route("/admin/v1/state", view(state))
        .route("/admin/v1/hosts", view(hosts))
        .route("/admin/v1/requests", view(requests))
}

#[derive(Deserialize)]
struct PutQuery {
    /// The version that the change replaces; 0 if no document may exist yet.
    replaces: u64,
}

/// A refusal with the details that the author needs in addition to the error.
pub(super) enum AdminRefusal {
    Plain(SwitchError),
    Faults(SwitchError, FaultsReply),
    Conflict(SwitchError, Box<CurrentDocumentReply>),
}

impl From<SwitchError> for AdminRefusal {
    fn from(error: SwitchError) -> Self {
        Self::Plain(error)
    }
}

type AdminResult = Result<Response, AdminRefusal>;

fn to_response(outcome: AdminResult) -> Response {
    let refusal = match outcome {
        Ok(reply) => return reply,
        Err(refusal) => refusal,
    };
    let (AdminRefusal::Plain(error)
    | AdminRefusal::Faults(error, _)
    | AdminRefusal::Conflict(error, _)) = &refusal;
    metrics::count_refusal(error.kind, "admin");
    log_event!(events::REFUSED, "{error}");
    match &refusal {
        AdminRefusal::Plain(error) => error_response(error),
        AdminRefusal::Faults(error, faults) => error_response_with(error, faults),
        AdminRefusal::Conflict(error, current) => error_response_with(error, current),
    }
}

async fn read_document(request: Request) -> SwitchResult<Bytes> {
    let (parts, body) = request.into_parts();
    read_request_body(&parts.extensions, body, DOCUMENT_BYTES_MAX, None).await
}

async fn check_document_only(request: Request) -> AdminResult {
    let text = read_document(request).await?;
    check_document(&text).map_err(invalid)?;
    Ok(json_response(StatusCode::OK, &FaultsReply::default()))
}

fn invalid(faults: Vec<crate::documents::DocumentFault>) -> AdminRefusal {
    let detail = format!("{} faults; nothing changed", faults.len());
    let error = SwitchError::new(ErrorKind::DocumentInvalid, detail);
    AdminRefusal::Faults(error, FaultsReply { faults })
}

#[derive(Clone)]
struct AdminState {
    control: ControlHandle,
    operator_key_digest: ByteString,
}

impl AdminState {
    fn view(&self, headers: &HeaderMap, show: fn(&ControlHandle) -> Response) -> AdminResult {
        let key = bearer_key_digest(headers)?;
        let documents = self.control.gossip().borrow().documents.clone();
        let owns_any = documents
            .iter()
            .any(|active| key.matches_any(&active.document.change_key_digests));
        if owns_any || key.matches(&self.operator_key_digest) {
            return Ok(show(&self.control));
        }
        Err(not_allowed("the key is neither the operators' nor any team's").into())
    }

    async fn put_document(&self, service: &str, query: PutQuery, request: Request) -> AdminResult {
        let headers = request.headers().clone();
        let key = bearer_key_digest(&headers)?;
        let text = read_document(request).await?;
        let (value, document) = check_document(&text).map_err(invalid)?;
        if *document.service != *service {
            let detail = format!(
                "the path is for service {service}, the document for {}",
                document.service
            );
            return Err(SwitchError::new(ErrorKind::BadRequest, detail).into());
        }
        let change = ChangeRequest {
            service: service.into(),
            replaces: query.replaces,
            nonce: change_nonce(&headers)?,
            is_first_attempt: is_first_attempt(&headers),
            author: text_header(&headers, AUTHOR_HEADER, AUTHOR_LENGTH_MAX)?
                .unwrap_or_else(|| "unnamed".into()),
            key,
            operator_key_digest: self.operator_key_digest.clone(),
            document: value,
        };
        self.apply_change(change).await
    }

    async fn apply_change(&self, change: ChangeRequest) -> AdminResult {
        let service = change.service.to_string();
        match accept_change(&self.control, change).await {
            AcceptanceOutcome::Accepted { version, .. } => {
                log_event!(events::ACCEPTED, "{service} {version}");
                Ok(json_response(
                    StatusCode::OK,
                    &PutReply { service, version },
                ))
            }
            AcceptanceOutcome::Refused {
                error,
                current: None,
            } => Err(AdminRefusal::Plain(error)),
            AcceptanceOutcome::Refused {
                error,
                current: Some(record),
            } => {
                let current = self.document_reply(&service, *record, true);
                let reply = CurrentDocumentReply {
                    standing: Some(current),
                };
                Err(AdminRefusal::Conflict(error, Box::new(reply)))
            }
        }
    }

    async fn get_document(&self, service: &str, headers: &HeaderMap) -> AdminResult {
        let key = bearer_key_digest(headers)?;
        let reply = self.current_document(service).await?;
        self.check_reader(&key, &reply.document)?;
        Ok(json_response(StatusCode::OK, &reply))
    }

    /// The current document from the table, or the one in force on this host if the table is
    /// unavailable.
    async fn current_document(&self, service: &str) -> SwitchResult<DocumentReply> {
        let read = self
            .control
            .adapters()
            .table
            .read(&document_key(service))
            .await;
        let (row, from_table) = match read {
            Ok(row) => (row.map(|row| row.value), true),
            Err(_) => (
                self.active_document(service)
                    .map(|active| active.row.clone()),
                false,
            ),
        };
        let row = row.ok_or_else(|| {
            SwitchError::new(
                ErrorKind::DocumentUnknown,
                format!("no document for {service}"),
            )
        })?;
        let record = DocumentRecord::from_row(&row)?;
        Ok(self.document_reply(service, record, from_table))
    }

    fn active_document(&self, service: &str) -> Option<Arc<ActiveDocument>> {
        let gossip = self.control.gossip();
        let state = gossip.borrow();
        let found = state
            .documents
            .iter()
            .find(|active| *active.version.service == *service);
        found.cloned()
    }

    fn document_reply(
        &self,
        service: &str,
        record: DocumentRecord,
        from_table: bool,
    ) -> DocumentReply {
        let in_force_here = self
            .active_document(service)
            .map_or(0, |active| active.version.version);
        let unknown = record.parse_document().map_or_else(
            |error| vec![format!("the whole document: {}", error.detail)],
            |parsed| parsed.unknown,
        );
        DocumentReply {
            version: record.version,
            changed_by: record.changed_by.to_string(),
            changed_wall_ms: record.changed_wall_ms,
            from_table,
            in_force_here,
            unknown,
            document: record.document,
        }
    }

    /// Checks that `key` may read `document`. Keys that may change a document may read it, and the
    /// operators' key may read all documents.
    fn check_reader(&self, key: &KeyDigest, document: &serde_json::Value) -> SwitchResult<()> {
        let digests = document
            .get("change_key_digests")
            .and_then(serde_json::Value::as_array);
        let digests: Vec<ByteString> = digests
            .into_iter()
            .flatten()
            .filter_map(|digest| digest.as_str().map(ByteString::from))
            .collect();
        if key.matches_any(&digests) || key.matches(&self.operator_key_digest) {
            return Ok(());
        }
        Err(not_allowed(
            "the key is neither the operators' nor the team's",
        ))
    }

    async fn history(&self, service: &str, headers: &HeaderMap) -> AdminResult {
        let key = bearer_key_digest(headers)?;
        let current = self.current_document(service).await?;
        self.check_reader(&key, &current.document)?;
        let rows = self
            .control
            .adapters()
            .table
            .list(&history_prefix(service))
            .await?;
        let mut versions = vec![current];
        for row in rows.iter().rev() {
            let record = DocumentRecord::from_row(&row.value)?;
            if versions[0].version > record.version {
                versions.push(self.document_reply(service, record, true));
            }
        }
        Ok(json_response(StatusCode::OK, &HistoryReply { versions }))
    }
}

fn not_allowed(detail: &str) -> SwitchError {
    SwitchError::new(ErrorKind::NotAllowed, detail)
}

/// The digest of the key in the header `authorization: Bearer KEY`. The key itself is not kept.
fn bearer_key_digest(headers: &HeaderMap) -> SwitchResult<KeyDigest> {
    let value = headers.get(header::AUTHORIZATION);
    let text = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let key = text.ok_or_else(|| not_allowed("give a key as `authorization: Bearer KEY`"))?;
    Ok(KeyDigest::of_key(key))
}

fn change_nonce(headers: &HeaderMap) -> SwitchResult<ByteString> {
    let given = text_header(headers, NONCE_HEADER, NONCE_LENGTH_MAX)?;
    Ok(given.unwrap_or_else(|| uuid::Uuid::new_v4().to_string().into()))
}

/// Whether this is the first attempt at a change. A change without a nonce cannot have been sent
/// before; for a change with a nonce, the author gives the number of the attempt.
fn is_first_attempt(headers: &HeaderMap) -> bool {
    let attempt = headers.get(ATTEMPT_HEADER);
    !headers.contains_key(NONCE_HEADER) || attempt.is_some_and(|value| value == "1")
}

fn text_header(
    headers: &HeaderMap,
    name: &'static str,
    length_max: usize,
) -> SwitchResult<Option<ByteString>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > length_max {
        let detail = format!("{name}: give 1 to {length_max} visible ASCII characters");
        return Err(SwitchError::new(ErrorKind::BadHeader, detail));
    }
    Ok(Some(text.into()))
}
