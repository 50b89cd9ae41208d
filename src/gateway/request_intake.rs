//! Reads and checks a client's request, and answers it if it may not be forwarded.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue, Uri};
use volo_http::request::Request;
use volo_http::response::Response;

use super::events;
use super::forward::forward;
use super::gateway_state::GatewayState;
use super::reply::{refusal_reply, status_of};
use super::request_job::{RequestJob, RoutedRequest, route_request};
use super::request_log::log_refusal;
use crate::catalog::ServiceCatalog;
use crate::daemon::RequestGuard;
use crate::errors::{ErrorKind, SwitchError, SwitchResult, error_spec};
use crate::events::log_event;
use crate::metrics;
use crate::platform::{RequestHead, read_request_head};
use crate::time::{ClockTime, clock_now};
use crate::transport::{read_request_body, stall_tolerant_timeout};

/// Bytes of a header field in addition to its name and value: colon, space and line end.
const FIELD_OVERHEAD_BYTES: usize = 4;
/// The lot of a request that may not use reserved slots.
const NOT_EXEMPT: f64 = 1.0;
/// Retry delay for a client that arrives before this entry host has a document.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay for a client that arrives during a graceful stop; another entry host accepts the
/// request at once.
const SHUTDOWN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Answers a client's request.
pub(super) async fn answer_request(gateway: Arc<GatewayState>, request: Request) -> Response {
    let arrived = clock_now();
    let live = gateway.drain.track_request();
    let head = read_request_head(request.headers());
    let attempt = head.attempt.clone();
    let answered = match accept_request(&gateway, request, head, arrived).await {
        Ok(job) => forward_logged(&gateway, job, live).await,
        Err(error) => {
            metrics::count_refusal(error.kind, "intake");
            let code = error_spec(error.kind).code;
            let attempt = attempt.as_deref().unwrap_or("-");
            let detail = &error.detail;
            log_event!(
                events::REQUEST_REFUSED,
                "id={attempt} status={} reason={code} detail=\"{detail}\"",
                status_of(&error).as_u16()
            );
            refusal_reply(&error)
        }
    };
    close_if_stopping(&gateway, answered)
}

async fn forward_logged(
    gateway: &Arc<GatewayState>,
    job: RequestJob,
    live: RequestGuard,
) -> Response {
    let logged_job = job.clone();
    match forward(gateway, job, live).await {
        Ok(reply) => reply,
        Err(error) => {
            let reserved_part = gateway.reserved_part(&logged_job, NOT_EXEMPT);
            log_refusal(
                &logged_job,
                reserved_part,
                &error,
                status_of(&error),
                clock_now(),
            );
            refusal_reply(&error)
        }
    }
}

/// Closes the client's connection during a graceful stop. Otherwise its next request would go to a
/// process that is about to end.
fn close_if_stopping(gateway: &GatewayState, mut reply: Response) -> Response {
    if gateway.drain.is_draining() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

/// Reads, routes and checks a request.
async fn accept_request(
    gateway: &GatewayState,
    request: Request,
    head: RequestHead,
    arrived: ClockTime,
) -> SwitchResult<RequestJob> {
    if gateway.refuses_requests(arrived) {
        let detail = "this entry host is stopping";
        let error = SwitchError::new(ErrorKind::EntryLeaving, detail);
        return Err(error.with_retry_after(SHUTDOWN_RETRY_DELAY));
    }
    let snapshot = gateway.snapshot(arrived);
    let Some(catalog) = &snapshot.catalog else {
        let detail = "this entry host has no service document yet";
        let error = SwitchError::new(ErrorKind::NoBackend, detail);
        return Err(error.with_retry_after(STARTUP_RETRY_DELAY));
    };
    let (parts, body) = request.into_parts();
    check_headers(catalog, &parts.headers)?;
    let host = host_of(&parts.uri, &parts.headers)?;
    let routed = route_request(catalog, &head, &host, parts.uri.path())?;
    let deadline = deadline_of(&head, &routed, arrived);
    let account = routed.account.as_ref();
    let reading = read_request_body(&parts.extensions, body, catalog.limits.body_bytes, account);
    let body = match stall_tolerant_timeout(deadline.since(clock_now()), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) if is_refusal(error.kind) => return Err(error),
        Ok(Err(error)) => return Err(SwitchError::new(ErrorKind::BadRequest, error.detail)),
        Err(_) => {
            let detail = "the request body did not arrive before the deadline";
            return Err(SwitchError::new(ErrorKind::BadRequest, detail));
        }
    };
    Ok(RequestJob {
        head,
        routed,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        arrived,
        deadline,
    })
}

/// Whether a body is refused for what it is, rather than broken.
const fn is_refusal(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::BodyTooLarge | ErrorKind::MemoryShort)
}

fn deadline_of(head: &RequestHead, routed: &RoutedRequest, arrived: ClockTime) -> ClockTime {
    let longest = routed.rule.timeout;
    arrived
        + head
            .deadline
            .map_or(longest, |requested| requested.min(longest))
}

fn check_headers(catalog: &ServiceCatalog, headers: &HeaderMap) -> SwitchResult<()> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES)
        .sum();
    let limit = catalog.limits.header_bytes;
    if bytes > limit {
        let detail = format!("{bytes} bytes of header fields; the limit is {limit}");
        return Err(SwitchError::new(ErrorKind::HeadersTooLarge, detail));
    }
    Ok(())
}

/// Returns the host that the request addresses. A request with two `Host` fields cannot be routed.
fn host_of(uri: &Uri, headers: &HeaderMap) -> SwitchResult<String> {
    let bad_request = |detail: &str| SwitchError::new(ErrorKind::BadRequest, detail);
    if let Some(authority) = uri.authority() {
        return Ok(authority.as_str().to_owned());
    }
    let mut hosts = headers.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (Some(host), None) => {
            let text = host
                .to_str()
                .map_err(|_| bad_request("the Host field is not readable text"))?;
            Ok(text.to_owned())
        }
        (None, _) => Err(bad_request("the Host field is missing")),
        (Some(_), Some(_)) => Err(bad_request("the Host field occurs more than once")),
    }
}
