//! Calls sent directly to an engine, as the reference for the latency that entry host and host
//! process add.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use serde::Serialize;
use volo_http::body::Body;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::clock_now;
use crate::transport::{ClientLimits, PeerClient};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_MAX: u64 = 1_000_000_000;

/// Body of a request in the engines' `metrics_text` dialect.
#[derive(Serialize)]
struct DirectRequest<'a> {
    request_id: String,
    model: &'a str,
    prompt: String,
    max_tokens: u32,
    resume_from: u32,
    priority: u8,
    stream: bool,
}

/// Sends `count` calls, one at a time and at most one per `pause`, to the `metrics_text` engine at
/// `engine`. Returns the times until the first token in microseconds.
///
/// # Errors
///
/// Fails if a call fails or its answer is empty.
pub(super) async fn time_direct_calls(
    engine: SocketAddr,
    model: &str,
    count: usize,
    pause: Duration,
    max_tokens: u32,
) -> SwitchResult<Histogram<u64>> {
    let client = PeerClient::new(ClientLimits::default());
    let mut times = Histogram::new_with_max(MICROS_MAX, SIGNIFICANT_DIGITS)
        .expect("the histogram's bounds are valid");
    let mut send_times = tokio::time::interval(pause);
    for number in 0..count {
        send_times.tick().await;
        let body_text = DirectRequest {
            request_id: format!("direct-{number}"),
            model,
            prompt: format!("direct {number}"),
            max_tokens,
            resume_from: 0,
            priority: 1,
            stream: true,
        };
        let sent_at = clock_now();
        let request = http::Request::post("/v1/completions")
            .body(Body::from(
                serde_json::to_vec(&body_text).unwrap_or_default(),
            ))
            .map_err(|fault| call_error(fault.to_string()))?;
        let mut body = client
            .send(engine, request, CALL_TIMEOUT)
            .await?
            .into_body();
        let first = body.frame().await;
        let micros = clock_now().since(sent_at).as_micros();
        times.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
        if first.is_none() {
            return Err(call_error(
                "the engine sent an empty answer to a direct call".to_owned(),
            ));
        }
        while body.frame().await.is_some() {}
    }
    Ok(times)
}

fn call_error(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
