//! One burst: from the document that sets new target weights until every host that was not killed
//! serves them.

use std::time::Duration;

use macro_rules_attribute::apply;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde::Serialize;

use super::burst_cluster::BurstCluster;
use super::burst_config::{BurstConfig, as_float};
use super::processor_ticks::ProcessorTicks;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::stand_ins::PublishedManifest;
use crate::time::clock_now;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A burst that takes longer than this multiple of the bound has failed.
const RATIO_MAX: f64 = 12.0;
/// Host processes are killed after this fraction of the bound.
const KILL_AT_RATIO: f64 = 0.3;

/// The measurements of one burst.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct BurstFigures {
    /// Seconds from the acceptance of the document until the last live host served the weights.
    pub(super) seconds: f64,
    /// Seconds until the first host served them.
    pub(super) first_seconds: f64,
    /// Seconds until half of the live hosts served them.
    pub(super) half_seconds: f64,
    /// Lower bound in seconds for any distribution scheme.
    pub(super) bound_seconds: f64,
    /// `seconds` divided by `bound_seconds`.
    pub(super) ratio: f64,
    /// Bytes that the origin sent to all regions, divided by the size of the weights.
    pub(super) origin_copies: f64,
    /// Bytes received for chunks that the host already had, as a fraction of all bytes received.
    pub(super) duplicate_bytes_share: f64,
    /// Messages about weights sent per host: queries to peers, chunk pulls and origin reads.
    pub(super) messages_per_host: f64,
    /// Queries to peers sent per host.
    #[serde(rename = "asks_per_host")]
    pub(super) queries_per_host: f64,
    /// Corrupt chunks that hosts received and rejected.
    pub(super) corrupt_refused: u64,
    /// Share of the machine's processor time that was busy, other programs' work included.
    pub(super) machine_busy_share: f64,
}

impl BurstCluster {
    /// Sets `manifest` as the target weights and waits until all live hosts serve them. `version`
    /// names the weights' version; `replaces` is the number of the document that the new one
    /// replaces, or 0 if there is none.
    ///
    /// # Errors
    ///
    /// `Internal` if a live host does not serve the weights within `RATIO_MAX` times the bound, and
    /// any error of the request that stores the document.
    pub(super) async fn burst(
        &mut self,
        config: &BurstConfig,
        manifest: &PublishedManifest,
        (version, replaces): (&str, u64),
    ) -> SwitchResult<BurstFigures> {
        let counters_before = self.read_counters().await;
        let sent_before = self.origin.counts().data_bytes;
        let ticks = ProcessorTicks::read();
        self.set_target(version, manifest, replaces).await?;
        let begun = clock_now();
        let bound = config.bound_seconds(config.size, config.hosts);
        let mut first_seconds = 0.0;
        let mut half_seconds = 0.0;
        loop {
            let seconds = clock_now().since(begun).as_secs_f64();
            if seconds > bound * KILL_AT_RATIO {
                self.kill_hosts_once(config).await;
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
            if seconds > bound * RATIO_MAX {
                let text = format!(
                    "after {seconds:.1} s only {serving} of {live} live hosts serve the weights"
                );
                return Err(SwitchError::new(ErrorKind::Internal, text));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let seconds = clock_now().since(begun).as_secs_f64();
        let busy = ProcessorTicks::read().busy_share_since(ticks);
        let sent = self.origin.counts().data_bytes - sent_before;
        let counts = self.read_counters().await.since(&counters_before);
        let hosts = as_float(config.hosts as u64);
        Ok(BurstFigures {
            seconds,
            first_seconds,
            half_seconds,
            bound_seconds: bound,
            ratio: seconds / bound,
            origin_copies: as_float(sent) / as_float(config.size),
            duplicate_bytes_share: as_float(counts.duplicate_bytes)
                / as_float(counts.received_bytes).max(1.0),
            messages_per_host: as_float(counts.queries + counts.chunk_pulls + counts.origin_reads)
                / hosts,
            queries_per_host: as_float(counts.queries) / hosts,
            corrupt_refused: counts.corrupt_chunks,
            machine_busy_share: busy,
        })
    }

    /// Kills `config.kill` host processes, chosen by the seed, unless some have been killed before.
    async fn kill_hosts_once(&mut self, config: &BurstConfig) {
        if config.kill == 0 || self.hosts.iter().any(|host| host.is_killed) {
            return;
        }
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        order.shuffle(&mut StdRng::seed_from_u64(config.seed));
        for index in order.into_iter().take(config.kill) {
            let host = &mut self.hosts[index];
            host.is_killed = true;
            host.process.kill().await;
        }
    }

    async fn read_counters(&self) -> TransferCounts {
        TransferCounts {
            queries: self.sum_event("weights_asks").await,
            chunk_pulls: self.sum_event("weights_pulls").await,
            origin_reads: self.sum_event("weights_origin_reads").await,
            duplicate_bytes: self.sum_event("weights_duplicate_bytes").await,
            received_bytes: self.sum_event("weights_peer_bytes").await
                + self.sum_event("weights_origin_bytes").await,
            corrupt_chunks: self.sum_retries("chunk_corrupt").await,
        }
    }
}

/// Sums of the hosts' counters.
#[apply(plain!)]
struct TransferCounts {
    queries: u64,
    chunk_pulls: u64,
    origin_reads: u64,
    duplicate_bytes: u64,
    received_bytes: u64,
    corrupt_chunks: u64,
}

impl TransferCounts {
    fn since(&self, earlier: &Self) -> Self {
        Self {
            queries: self.queries.saturating_sub(earlier.queries),
            chunk_pulls: self.chunk_pulls.saturating_sub(earlier.chunk_pulls),
            origin_reads: self.origin_reads.saturating_sub(earlier.origin_reads),
            duplicate_bytes: self.duplicate_bytes.saturating_sub(earlier.duplicate_bytes),
            received_bytes: self.received_bytes.saturating_sub(earlier.received_bytes),
            corrupt_chunks: self.corrupt_chunks.saturating_sub(earlier.corrupt_chunks),
        }
    }
}
