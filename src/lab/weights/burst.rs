//! One burst: a document that wants new weights, until every live host serves them.

use std::time::Duration;

use macro_rules_attribute::apply;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde::Serialize;

use super::machine::ProcessorTicks;
use super::shape::{BurstShape, as_float};
use super::swarm::Swarm;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::stand_ins::PublishedManifest;
use crate::time::clock_now;

const LOOK_EVERY: Duration = Duration::from_millis(10);
/// A burst that takes this many times the bound has failed.
const PATIENCE_BOUNDS: f64 = 12.0;
/// The part of the bound after which hosts are killed.
const KILL_AFTER_PART: f64 = 0.3;

/// What a burst came to.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct BurstFigures {
    /// From the acceptance of the document until the last live host served the weights.
    pub(super) seconds: f64,
    /// The same until the first did.
    pub(super) first_seconds: f64,
    /// The same until half of them did.
    pub(super) half_seconds: f64,
    /// The least that any scheme could take.
    pub(super) bound_seconds: f64,
    /// `seconds` against the bound.
    pub(super) ratio: f64,
    /// Copies read from the origin, by all regions together.
    pub(super) origin_copies: f64,
    /// Bytes that came for chunks which were there already, against all that came.
    pub(super) duplicate_bytes_share: f64,
    /// Messages that a host sent about weights: questions, pulls and reads.
    pub(super) messages_per_host: f64,
    /// Questions alone.
    pub(super) asks_per_host: f64,
    /// Chunks that arrived corrupted and were refused.
    pub(super) corrupt_refused: u64,
    /// How busy the machine was, with whatever.
    pub(super) machine_busy_share: f64,
}

impl Swarm {
    /// Publishes weights, puts the document, waits until all serve.
    ///
    /// # Errors
    ///
    /// `Internal` when the burst does not end.
    pub(super) async fn burst(
        &mut self,
        shape: &BurstShape,
        manifest: &PublishedManifest,
        (version, replaces): (&str, u64),
    ) -> SwitchResult<BurstFigures> {
        let counted = self.count().await;
        let sent_before = self.origin.counts().data_bytes;
        let ticks = ProcessorTicks::read();
        self.want(version, manifest, replaces).await?;
        let begun = clock_now();
        let bound = shape.bound_seconds(shape.size, shape.hosts);
        let mut first_seconds = 0.0;
        let mut half_seconds = 0.0;
        loop {
            let seconds = clock_now().since(begun).as_secs_f64();
            if seconds > bound * KILL_AFTER_PART {
                self.kill_some(shape).await;
            }
            let (serving, live) = self.count_serving(&manifest.digest);
            if serving > 0 && first_seconds == 0.0 {
                first_seconds = seconds;
            }
            if serving * 2 >= live && half_seconds == 0.0 {
                half_seconds = seconds;
            }
            if serving == live {
                break;
            }
            if seconds > bound * PATIENCE_BOUNDS {
                let text = format!("after {seconds:.1} s only {serving} of {live} hosts serve");
                return Err(SwitchError::new(ErrorKind::Internal, text));
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        let seconds = clock_now().since(begun).as_secs_f64();
        let busy = ProcessorTicks::read().busy_share_since(ticks);
        let sent = self.origin.counts().data_bytes - sent_before;
        let counts = self.count().await.since(&counted);
        let hosts = as_float(shape.hosts as u64);
        Ok(BurstFigures {
            seconds,
            first_seconds,
            half_seconds,
            bound_seconds: bound,
            ratio: seconds / bound,
            origin_copies: as_float(sent) / as_float(shape.size),
            duplicate_bytes_share: as_float(counts.duplicate) / as_float(counts.came).max(1.0),
            messages_per_host: as_float(counts.asks + counts.pulls + counts.reads) / hosts,
            asks_per_host: as_float(counts.asks) / hosts,
            corrupt_refused: counts.corrupt,
            machine_busy_share: busy,
        })
    }

    /// Kills as many host processes as asked for, once.
    async fn kill_some(&mut self, shape: &BurstShape) {
        if shape.kill == 0 || self.hosts.iter().any(|host| host.is_killed) {
            return;
        }
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        order.shuffle(&mut StdRng::seed_from_u64(shape.seed));
        for index in order.into_iter().take(shape.kill) {
            let host = &mut self.hosts[index];
            host.is_killed = true;
            host.process.kill().await;
        }
    }

    async fn count(&self) -> SwarmCounts {
        SwarmCounts {
            asks: self.sum_event("weights_asks").await,
            pulls: self.sum_event("weights_pulls").await,
            reads: self.sum_event("weights_origin_reads").await,
            duplicate: self.sum_event("weights_duplicate_bytes").await,
            came: self.sum_event("weights_peer_bytes").await
                + self.sum_event("weights_origin_bytes").await,
            corrupt: self.sum_retries("chunk_corrupt").await,
        }
    }
}

/// What the hosts counted.
#[apply(plain!)]
struct SwarmCounts {
    asks: u64,
    pulls: u64,
    reads: u64,
    duplicate: u64,
    came: u64,
    corrupt: u64,
}

impl SwarmCounts {
    fn since(&self, earlier: &Self) -> Self {
        Self {
            asks: self.asks.saturating_sub(earlier.asks),
            pulls: self.pulls.saturating_sub(earlier.pulls),
            reads: self.reads.saturating_sub(earlier.reads),
            duplicate: self.duplicate.saturating_sub(earlier.duplicate),
            came: self.came.saturating_sub(earlier.came),
            corrupt: self.corrupt.saturating_sub(earlier.corrupt),
        }
    }
}
