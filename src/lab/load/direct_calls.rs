//! Calls sent to an engine directly, to know what the entry host and the host process add.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use serde::Serialize;
use volo_http::body::Body;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::clock_now;
use crate::transport::{ClientLimits, PeerClient};

const WITHIN: Duration = Duration::from_secs(5);
const DIGITS: u8 = 3;
const MICROS_MAX: u64 = 1_000_000_000;

#[derive(Serialize)]
struct DirectText<'a> {
    request_id: String,
    model: &'a str,
    prompt: String,
    max_tokens: u32,
    resume_from: u32,
    priority: u8,
    stream: bool,
}

/// The times until the first token of `count` calls, one every `pause`, to the `metrics_text`
/// engine at `engine`, in microseconds.
pub(super) async fn time_direct_calls(
    engine: SocketAddr,
    model: &str,
    count: usize,
    pause: Duration,
    max_tokens: u32,
) -> SwitchResult<Histogram<u64>> {
    let client = PeerClient::new(ClientLimits::default());
    let mut times = Histogram::new_with_max(MICROS_MAX, DIGITS).expect("constant bounds");
    let mut ticks = tokio::time::interval(pause);
    for number in 0..count {
        ticks.tick().await;
        let text = DirectText {
            request_id: format!("direct-{number}"),
            model,
            prompt: format!("direct {number}"),
            max_tokens,
            resume_from: 0,
            priority: 1,
            stream: true,
        };
        let begun = clock_now();
        let request = http::Request::post("/v1/completions")
            .body(Body::from(serde_json::to_vec(&text).unwrap_or_default()))
            .map_err(|fault| failed(fault.to_string()))?;
        let mut body = client.send(engine, request, WITHIN).await?.into_body();
        let first = body.frame().await;
        let micros = clock_now().since(begun).as_micros();
        times.saturating_record(u64::try_from(micros).unwrap_or(u64::MAX));
        if first.is_none() {
            return Err(failed("an empty answer".to_owned()));
        }
        while body.frame().await.is_some() {}
    }
    Ok(times)
}

fn failed(text: String) -> SwitchError {
    SwitchError::new(ErrorKind::Internal, text)
}
