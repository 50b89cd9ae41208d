//! Stand-in for the origin of weights and for the weight store. All readers share one link,
//! whose bandwidth can be limited.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use http_body::Frame;
use macro_rules_attribute::apply;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use volo_http::body::Body;
use volo_http::response::Response;

use super::fault::{FaultInjector, FaultSettings};
use super::stand_in::{StandInRequest, refusal, unknown_path_reply};
use crate::derives::{message, plain};
use crate::time::{ClockTime, clock_now};
use crate::transport::{error_response, json_response};
use crate::weights::WeightsDigest;

/// Bytes sent at once; small enough that concurrent readers share the link evenly.
const SLICE_BYTES: usize = 32 * 1024;
/// Value of the header `retry-after-ms` of a 429 response.
const RETRY_AFTER_MS: &str = "200";

/// Body of `POST /lab/publish`: the weights to publish. Their bytes are random.
#[apply(message!)]
pub(crate) struct PublishRequest {
    /// Name by which readers request the weights.
    pub(crate) name: String,
    /// Size in bytes.
    pub(crate) size: usize,
    /// Size of a chunk in bytes; 0 counts as 1.
    pub(crate) chunk_size: usize,
    /// Seed of the random bytes.
    pub(crate) seed: u64,
}

/// Manifest of published weights, in the format of `docs/PLATFORM.md`.
#[apply(message!)]
pub(crate) struct PublishedManifest {
    /// Name of the weights.
    pub(crate) name: String,
    /// Size of the weights in bytes.
    pub(crate) size: u64,
    /// Size in bytes of each chunk except the last, which may be smaller.
    pub(crate) chunk_size: u64,
    /// Digests of the chunks, in order.
    pub(crate) chunks: Vec<WeightsDigest>,
    /// Digest of the complete weights.
    pub(crate) digest: WeightsDigest,
}

/// Traffic served so far.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct WeightsCounts {
    /// Bytes of weights sent.
    pub(crate) data_bytes: u64,
    /// Reads of weight data, rate-limited ones excluded.
    pub(crate) data_reads: u64,
    /// Reads of manifests.
    pub(crate) manifest_reads: u64,
    /// Reads answered 429.
    pub(crate) limited: u64,
}

/// The origin or the weight store, with its published weights.
#[derive(Debug)]
pub(crate) struct WeightsStandIn {
    /// Bandwidth of the link; 0 means no limit.
    bytes_per_second: u64,
    backlog_max: Duration,
    state: Arc<Mutex<WeightsState>>,
}

#[derive(Debug, Default)]
struct WeightsState {
    published: Vec<PublishedWeights>,
    counts: WeightsCounts,
    /// When the link has sent all slices scheduled so far.
    link_free_at: ClockTime,
}

#[apply(plain!)]
struct PublishedWeights {
    manifest: PublishedManifest,
    data: Bytes,
}

impl WeightsStandIn {
    /// Creates a source whose link carries `bytes_per_second` (0: not limited), and which answers
    /// 429 while sending the slices already scheduled takes longer than `backlog_max`.
    pub(crate) fn new(bytes_per_second: u64, backlog_max: Duration) -> Self {
        Self {
            bytes_per_second,
            backlog_max,
            state: Arc::default(),
        }
    }

    /// Publishes weights, in place of any with the same name.
    pub(crate) fn publish(&self, request: &PublishRequest) -> PublishedManifest {
        let mut data = vec![0; request.size];
        StdRng::seed_from_u64(request.seed).fill_bytes(&mut data);
        let chunk_size = request.chunk_size.max(1);
        let manifest = PublishedManifest {
            name: request.name.clone(),
            size: data.len() as u64,
            chunk_size: chunk_size as u64,
            chunks: data.chunks(chunk_size).map(WeightsDigest::of).collect(),
            digest: WeightsDigest::of(&data),
        };
        let published = PublishedWeights {
            manifest: manifest.clone(),
            data: data.into(),
        };
        let mut state = lock(&self.state);
        state
            .published
            .retain(|weights| weights.manifest.name != request.name);
        state.published.push(published);
        manifest
    }

    /// Returns the traffic served so far.
    pub(crate) fn counts(&self) -> WeightsCounts {
        lock(&self.state).counts
    }

    pub(super) fn answer(&self, request: &StandInRequest, faults: &FaultInjector) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/lab/publish") => match request.json() {
                Ok(publish) => json_response(StatusCode::OK, &self.publish(&publish)),
                Err(error) => error_response(&error),
            },
            (&Method::GET, "/lab/counts") => json_response(StatusCode::OK, &self.counts()),
            (&Method::GET, path) => self.read(path, request, faults),
            _ => unknown_path_reply(request),
        }
    }

    fn read(&self, path: &str, request: &StandInRequest, faults: &FaultInjector) -> Response {
        let Some((name, part)) = path
            .strip_prefix("/weights/v1/")
            .and_then(|rest| rest.rsplit_once('/'))
        else {
            return unknown_path_reply(request);
        };
        let mut state = lock(&self.state);
        let found = state
            .published
            .iter()
            .find(|weights| weights.manifest.name == name);
        let Some(weights) = found.cloned() else {
            return refusal(
                StatusCode::NOT_FOUND,
                "no weights of this name are published",
            );
        };
        match part {
            "manifest" => {
                state.counts.manifest_reads += 1;
                json_response(StatusCode::OK, &weights.manifest)
            }
            "data" => {
                drop(state);
                self.read_data(&weights.data, request, faults)
            }
            _ => unknown_path_reply(request),
        }
    }

    fn read_data(
        &self,
        data: &Bytes,
        request: &StandInRequest,
        faults: &FaultInjector,
    ) -> Response {
        let settings = faults.settings();
        let Some((first, end)) = read_range(request.header("range"), data.len()) else {
            return refusal(
                StatusCode::RANGE_NOT_SATISFIABLE,
                "the range is malformed or beyond the end",
            );
        };
        if faults.applies(settings.limit_percent) || self.is_backlogged(clock_now()) {
            lock(&self.state).counts.limited += 1;
            return rate_limit_reply();
        }
        lock(&self.state).counts.data_reads += 1;
        let mut part = data.slice(first..end);
        if faults.applies(settings.corrupt_percent) {
            let mut bytes = part.to_vec();
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
            part = bytes.into();
        }
        let mut reply = Response::new(self.paced_body(part, BodyEnding::draw(faults, settings)));
        if request.header("range").is_some() {
            *reply.status_mut() = StatusCode::PARTIAL_CONTENT;
        }
        reply
    }

    fn is_backlogged(&self, now: ClockTime) -> bool {
        self.bytes_per_second > 0 && lock(&self.state).link_free_at.since(now) > self.backlog_max
    }

    fn paced_body(&self, data: Bytes, ending: BodyEnding) -> Body {
        let (sender, body) = super::body_channel();
        let state = self.state.clone();
        let rate = self.bytes_per_second;
        let half = data.len() / 2;
        tokio::spawn(async move {
            let mut rest = data.clone();
            while !rest.is_empty() {
                if ending != BodyEnding::Complete && rest.len() <= half {
                    break;
                }
                let slice = rest.split_to(rest.len().min(SLICE_BYTES));
                wait_for_link(&state, rate, slice.len()).await;
                lock(&state).counts.data_bytes += slice.len() as u64;
                if sender.send(Ok(Frame::data(slice))).await.is_err() {
                    return;
                }
            }
            match ending {
                BodyEnding::Complete => {}
                BodyEnding::Stalled => sender.closed().await,
                BodyEnding::Truncated => {
                    let _ = sender.send(Err("cut by an injected fault".into())).await;
                }
            }
        });
        body
    }
}

/// How the body of a response ends.
#[apply(crate::derives::key!)]
enum BodyEnding {
    Complete,
    Stalled,
    Truncated,
}

impl BodyEnding {
    fn draw(faults: &FaultInjector, settings: FaultSettings) -> Self {
        if faults.applies(settings.stall_percent) {
            Self::Stalled
        } else if faults.applies(settings.short_percent) {
            Self::Truncated
        } else {
            Self::Complete
        }
    }
}

/// Schedules `bytes` on the link, and waits until it has sent them.
async fn wait_for_link(state: &Mutex<WeightsState>, rate: u64, bytes: usize) {
    if rate == 0 {
        return;
    }
    let now = clock_now();
    let micros = (bytes as u64).saturating_mul(1_000_000) / rate;
    let done_at = {
        let mut state = lock(state);
        let begins_at = state.link_free_at.max(now);
        state.link_free_at = begins_at + Duration::from_micros(micros);
        state.link_free_at
    };
    tokio::time::sleep(done_at.since(now)).await;
}

fn lock(state: &Mutex<WeightsState>) -> MutexGuard<'_, WeightsState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn rate_limit_reply() -> Response {
    let mut reply = refusal(StatusCode::TOO_MANY_REQUESTS, "too many reads; retry later");
    let wait = HeaderValue::from_static(RETRY_AFTER_MS);
    reply.headers_mut().insert("retry-after-ms", wait);
    reply
}

/// Returns the first byte and the exclusive end of a range header `bytes=A-B`, limited to `size`;
/// everything if there is no header.
fn read_range(header: Option<&str>, size: usize) -> Option<(usize, usize)> {
    let Some(header) = header else {
        return Some((0, size));
    };
    let (first, last) = header.strip_prefix("bytes=")?.split_once('-')?;
    let first: usize = first.parse().ok()?;
    let last: usize = last.parse().ok()?;
    let end = last.saturating_add(1).min(size);
    (first < end).then_some((first, end))
}
