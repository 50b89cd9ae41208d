//! The baseline that a burst is compared with: every host reads the complete weights from the
//! origin.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use macro_rules_attribute::apply;
use rand::RngExt;
use serde::Serialize;

use super::burst_config::BurstConfig;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchResult};
use crate::lab::stand_ins::{ANY_PORT, PublishRequest, StandIn, StandInKind, WeightsStandIn};
use crate::stores::WeightSource;
use crate::stores::http::{HttpWeights, PlatformClient};
use crate::time::clock_now;
use crate::transport::{ClientLimits, PeerClient};

/// The baseline reads the burst's size divided by this, at the same rates, because reading all of
/// it would take N/4 windows.
const SIZE_DIVISOR: u64 = 16;
/// The origin asks clients to slow down while its link needs longer than this for the responses
/// that it has accepted to send.
const ORIGIN_BACKLOG: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_mins(1);
const WEIGHTS_NAME: &str = "baseline";

/// The measured baseline.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct BaselineFigures {
    /// Size of the weights in bytes; smaller than the burst's.
    pub(super) weights_bytes: u64,
    /// Seconds until the last host had the complete weights.
    pub(super) seconds: f64,
    /// Lower bound in seconds for any distribution scheme at this size.
    pub(super) bound_seconds: f64,
    /// `seconds` divided by `bound_seconds`.
    pub(super) ratio: f64,
    /// Bytes that the origin sent, divided by the size of the weights.
    pub(super) origin_copies: f64,
}

/// Measures `config.hosts` clients that read the complete weights from an origin started for them.
///
/// # Errors
///
/// Fails if the origin's stand-in cannot be started.
pub(super) async fn run_baseline(config: &BurstConfig) -> SwitchResult<BaselineFigures> {
    let size = config.size / SIZE_DIVISOR;
    let origin = Arc::new(WeightsStandIn::new(config.origin_rate(), ORIGIN_BACKLOG));
    let stand_in = StandIn::start(ANY_PORT, StandInKind::Weights(origin.clone())).await?;
    let chunk_size = config.chunk_size.min(size);
    origin.publish(&PublishRequest {
        name: WEIGHTS_NAME.to_owned(),
        size: usize::try_from(size).unwrap_or(usize::MAX),
        chunk_size: usize::try_from(chunk_size).unwrap_or(usize::MAX),
        seed: config.seed,
    });
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let platform = PlatformClient::new(
        stand_in.address(),
        client,
        READ_TIMEOUT,
        ErrorKind::OriginUnavailable,
    );
    let source = HttpWeights(platform);
    let begun = clock_now();
    join_all((0..config.hosts).map(|_| read_weights(&source, size, chunk_size))).await;
    let seconds = clock_now().since(begun).as_secs_f64();
    let bound_seconds = config.bound_seconds(size, config.hosts);
    Ok(BaselineFigures {
        weights_bytes: size,
        seconds,
        bound_seconds,
        ratio: seconds / bound_seconds,
        origin_copies: super::burst_config::as_float(origin.counts().data_bytes)
            / super::burst_config::as_float(size),
    })
}

/// Reads the complete weights. After a failed read it retries in 0.5 to 1.5 times the time that the
/// origin asked for, or 200 ms.
async fn read_weights(source: &HttpWeights, size: u64, chunk_size: u64) {
    let mut offset = 0;
    while offset < size {
        match source.read_range(WEIGHTS_NAME, offset, chunk_size).await {
            Ok(bytes) => offset += u64::try_from(bytes.len()).unwrap_or(0),
            Err(error) => {
                let retry_after = error.retry_after.unwrap_or(Duration::from_millis(200));
                let jitter: f64 = rand::rng().random();
                tokio::time::sleep(retry_after.mul_f64(0.5 + jitter)).await;
            }
        }
    }
}
