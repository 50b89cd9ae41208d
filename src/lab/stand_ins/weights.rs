//! The origin of weights and the weight store: published weights behind one paced link.

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

use super::fault::{FaultBoard, FaultSettings};
use super::stand_in::{LabCall, refusal, unknown};
use crate::derives::{message, plain};
use crate::time::{ClockTime, clock_now};
use crate::transport::{error_reply, json_reply};
use crate::weights::WeightsDigest;

/// Bytes that go out together; small enough that readers share the link evenly.
const SLICE_BYTES: usize = 32 * 1024;
const LIMITED_WAIT: &str = "200";

/// What is to be published. The bytes are random, made from the seed.
#[apply(message!)]
pub(crate) struct PublishRequest {
    /// The name under which they are read.
    pub(crate) name: String,
    /// Bytes of the whole.
    pub(crate) size: usize,
    /// Bytes of a chunk.
    pub(crate) chunk_size: usize,
    /// Makes the bytes.
    pub(crate) seed: u64,
}

/// The manifest, as `docs/PLATFORM.md` has it.
#[apply(message!)]
pub(crate) struct PublishedManifest {
    /// The name.
    pub(crate) name: String,
    /// Bytes of the whole.
    pub(crate) size: u64,
    /// Bytes of each chunk but the last.
    pub(crate) chunk_size: u64,
    /// The chunks' digests.
    pub(crate) chunks: Vec<WeightsDigest>,
    /// The digest of the whole.
    pub(crate) digest: WeightsDigest,
}

/// What was read.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct WeightsCounts {
    /// Bytes of weights that went out.
    pub(crate) data_bytes: u64,
    /// Reads of ranges.
    pub(crate) data_reads: u64,
    /// Reads of manifests.
    pub(crate) manifest_reads: u64,
    /// Reads that were asked to slow down.
    pub(crate) limited: u64,
}

/// The origin or the weight store.
#[derive(Debug)]
pub(crate) struct WeightsStandIn {
    bytes_per_second: u64,
    backlog_max: Duration,
    state: Arc<Mutex<WeightsState>>,
}

#[derive(Debug, Default)]
struct WeightsState {
    published: Vec<PublishedWeights>,
    counts: WeightsCounts,
    link_free_at: ClockTime,
}

#[apply(plain!)]
struct PublishedWeights {
    manifest: PublishedManifest,
    data: Bytes,
}

impl WeightsStandIn {
    /// A source whose link carries `bytes_per_second` (0: as fast as it goes) and which asks to
    /// slow down while what it has promised to send takes longer than `backlog_max`.
    pub(crate) fn new(bytes_per_second: u64, backlog_max: Duration) -> Self {
        Self {
            bytes_per_second,
            backlog_max,
            state: Arc::default(),
        }
    }

    /// Publishes weights.
    pub(crate) fn publish(&self, order: &PublishRequest) -> PublishedManifest {
        let mut data = vec![0; order.size];
        StdRng::seed_from_u64(order.seed).fill_bytes(&mut data);
        let chunk_size = order.chunk_size.max(1);
        let manifest = PublishedManifest {
            name: order.name.clone(),
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
            .retain(|known| known.manifest.name != order.name);
        state.published.push(published);
        manifest
    }

    /// What was read.
    pub(crate) fn counts(&self) -> WeightsCounts {
        lock(&self.state).counts
    }

    pub(super) fn answer(&self, call: &LabCall, faults: &FaultBoard) -> Response {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/lab/publish") => match call.json() {
                Ok(order) => json_reply(StatusCode::OK, &self.publish(&order)),
                Err(error) => error_reply(&error),
            },
            (&Method::GET, "/lab/counts") => json_reply(StatusCode::OK, &self.counts()),
            (&Method::GET, path) => self.read(path, call, faults),
            _ => unknown(call),
        }
    }

    fn read(&self, path: &str, call: &LabCall, faults: &FaultBoard) -> Response {
        let Some((name, part)) = path
            .strip_prefix("/weights/v1/")
            .and_then(|rest| rest.rsplit_once('/'))
        else {
            return unknown(call);
        };
        let mut state = lock(&self.state);
        let found = state
            .published
            .iter()
            .find(|known| known.manifest.name == name);
        let Some(weights) = found.cloned() else {
            return refusal(StatusCode::NOT_FOUND, "no such weights");
        };
        match part {
            "manifest" => {
                state.counts.manifest_reads += 1;
                json_reply(StatusCode::OK, &weights.manifest)
            }
            "data" => {
                drop(state);
                self.read_data(&weights.data, call, faults)
            }
            _ => unknown(call),
        }
    }

    fn read_data(&self, data: &Bytes, call: &LabCall, faults: &FaultBoard) -> Response {
        let settings = faults.settings();
        let Some((first, end)) = read_range(call.header("range"), data.len()) else {
            return refusal(StatusCode::RANGE_NOT_SATISFIABLE, "no such range");
        };
        if faults.strikes(settings.limit_percent) || self.is_backlogged(clock_now()) {
            lock(&self.state).counts.limited += 1;
            return slow_down();
        }
        lock(&self.state).counts.data_reads += 1;
        let mut part = data.slice(first..end);
        if faults.strikes(settings.corrupt_percent) {
            let mut bytes = part.to_vec();
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
            part = bytes.into();
        }
        let mut reply = Response::new(self.paced_body(part, SendEnd::draw(faults, settings)));
        if call.header("range").is_some() {
            *reply.status_mut() = StatusCode::PARTIAL_CONTENT;
        }
        reply
    }

    fn is_backlogged(&self, now: ClockTime) -> bool {
        self.bytes_per_second > 0 && lock(&self.state).link_free_at.since(now) > self.backlog_max
    }

    fn paced_body(&self, data: Bytes, end: SendEnd) -> Body {
        let (sender, body) = super::body_channel();
        let state = self.state.clone();
        let rate = self.bytes_per_second;
        let half = data.len() / 2;
        tokio::spawn(async move {
            let mut rest = data.clone();
            while !rest.is_empty() {
                if end != SendEnd::Whole && rest.len() <= half {
                    break;
                }
                let slice = rest.split_to(rest.len().min(SLICE_BYTES));
                wait_for_link(&state, rate, slice.len()).await;
                lock(&state).counts.data_bytes += slice.len() as u64;
                if sender.send(Ok(Frame::data(slice))).await.is_err() {
                    return;
                }
            }
            match end {
                SendEnd::Whole => {}
                SendEnd::Stalled => sender.closed().await,
                SendEnd::Short => {
                    let _ = sender.send(Err("broke off".into())).await;
                }
            }
        });
        body
    }
}

/// How an answer ends.
#[apply(crate::derives::key!)]
enum SendEnd {
    Whole,
    Stalled,
    Short,
}

impl SendEnd {
    fn draw(faults: &FaultBoard, settings: FaultSettings) -> Self {
        if faults.strikes(settings.stall_percent) {
            Self::Stalled
        } else if faults.strikes(settings.short_percent) {
            Self::Short
        } else {
            Self::Whole
        }
    }
}

/// Books `bytes` on the link and waits until they have gone out.
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

fn slow_down() -> Response {
    let mut reply = refusal(StatusCode::TOO_MANY_REQUESTS, "slow down");
    let wait = HeaderValue::from_static(LIMITED_WAIT);
    reply.headers_mut().insert("retry-after-ms", wait);
    reply
}

/// First byte and end of what `bytes=A-B` asks for, cut to `size`; all when nothing is asked.
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
