//! What it is measured against: every host reads the whole from the origin.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use macro_rules_attribute::apply;
use rand::RngExt;
use serde::Serialize;

use super::shape::BurstShape;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchResult};
use crate::lab::stand_ins::{ANY_PORT, PublishRequest, StandIn, StandInKind, WeightsStandIn};
use crate::stores::WeightSource;
use crate::stores::http::{HttpWeights, PlatformClient};
use crate::time::clock_now;
use crate::transport::{ClientLimits, PeerClient};

/// The baseline takes N/4 windows; it reads this part of the weights, at the same rates.
const SIZE_PART: u64 = 16;
const BACKLOG: Duration = Duration::from_secs(1);
const READ_WITHIN: Duration = Duration::from_mins(1);
const NAME: &str = "baseline";

/// What the baseline came to.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct BaselineFigures {
    /// Bytes of the weights that were read; smaller than the burst's.
    pub(super) weights_bytes: u64,
    /// Until the last host had them.
    pub(super) seconds: f64,
    /// The least that any scheme could take for them.
    pub(super) bound_seconds: f64,
    /// `seconds` against the bound.
    pub(super) ratio: f64,
    /// Copies read from the origin.
    pub(super) origin_copies: f64,
}

/// Lets `shape.hosts` clients read all from an origin of their own.
pub(super) async fn run_baseline(shape: &BurstShape) -> SwitchResult<BaselineFigures> {
    let size = shape.size / SIZE_PART;
    let origin = Arc::new(WeightsStandIn::new(shape.origin_rate(), BACKLOG));
    let stand_in = StandIn::start(ANY_PORT, StandInKind::Weights(origin.clone())).await?;
    let chunk_size = shape.chunk_size.min(size);
    origin.publish(&PublishRequest {
        name: NAME.to_owned(),
        size: usize::try_from(size).unwrap_or(usize::MAX),
        chunk_size: usize::try_from(chunk_size).unwrap_or(usize::MAX),
        seed: shape.seed,
    });
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let platform = PlatformClient::new(
        stand_in.address(),
        client,
        READ_WITHIN,
        ErrorKind::OriginUnavailable,
    );
    let source = HttpWeights(platform);
    let begun = clock_now();
    join_all((0..shape.hosts).map(|_| read_all(&source, size, chunk_size))).await;
    let seconds = clock_now().since(begun).as_secs_f64();
    let bound = shape.bound_seconds(size, shape.hosts);
    Ok(BaselineFigures {
        weights_bytes: size,
        seconds,
        bound_seconds: bound,
        ratio: seconds / bound,
        origin_copies: super::shape::as_float(origin.counts().data_bytes)
            / super::shape::as_float(size),
    })
}

async fn read_all(source: &HttpWeights, size: u64, chunk_size: u64) {
    let mut offset = 0;
    while offset < size {
        match source.read_range(NAME, offset, chunk_size).await {
            Ok(bytes) => offset += u64::try_from(bytes.len()).unwrap_or(0),
            Err(error) => {
                let wait = error.retry_after.unwrap_or(Duration::from_millis(200));
                let part: f64 = rand::rng().random();
                tokio::time::sleep(wait.mul_f64(0.5 + part)).await;
            }
        }
    }
}
