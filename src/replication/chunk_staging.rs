//! Stages chunks at the engine and reads staged chunks back.

use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use macro_rules_attribute::apply;

use super::chunk_store::{ChunkStore, HeldChunk, missing_chunk};
use super::events;
use super::load_orders::ORDER_TIMEOUT;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::ModelVersion;
use crate::platform::ChunkDigests;
use crate::time::{ClockTime, clock_now};
use crate::weights::ChunkMap;

/// The engine is on the same host and answers within a few milliseconds.
const STAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Staged chunks to read before concluding that none of the target version is staged.
const SAMPLED_CHUNKS: usize = 3;
/// How often a corrupt chunk is staged again before the staging area counts as unusable.
const RESTAGINGS_MAX: u32 = 3;
/// Longest time from the check of a staged chunk until an order to load it is sent. A chunk can
/// become corrupt at any time after its check.
const CHECK_AGE_MAX: Duration = Duration::from_secs(2);
/// Longest time from the check until the engine's answer to the order. If it takes longer, the engine
/// may have loaded chunks that had become corrupt.
const ANSWERED_AGE_MAX: Duration = CHECK_AGE_MAX.saturating_add(ORDER_TIMEOUT);

/// A check of staged chunks.
#[apply(plain!)]
pub(super) struct StagingCheck {
    pub(super) target: ModelVersion,
    pub(super) range: Range<u32>,
    /// When the first chunk was read back; all were intact at some time after it.
    pub(super) checked_at: ClockTime,
    /// Chunks that were corrupt and have been staged again.
    pub(super) corrupt: Vec<u32>,
}

impl StagingCheck {
    /// How long ago the first chunk was read back, as of `now`.
    pub(super) fn age(&self, now: ClockTime) -> Duration {
        now.since(self.checked_at)
    }

    /// Whether an order that is sent at `now` may rely on it.
    pub(super) fn is_recent(&self, now: ClockTime) -> bool {
        self.age(now) <= CHECK_AGE_MAX
    }

    /// Whether a load that the engine had accepted by `now` may rely on it.
    pub(super) fn covers_load(&self, now: ClockTime) -> bool {
        self.age(now) <= ANSWERED_AGE_MAX
    }
}

impl ChunkStore {
    /// Checks the chunks staged for `target` against its digests and takes over those that match.
    /// An engine that crashed keeps its staged chunks, but some of them may be corrupt.
    ///
    /// # Errors
    ///
    /// If the engine does not answer.
    pub(super) async fn recover_staged(&self, target: &ModelVersion) -> SwitchResult<()> {
        let digests = self.digests(target).ok_or_else(|| missing_chunk(0))?;
        let mut found = Vec::new();
        let mut misses = 0;
        for index in self.engine.staged(&target.model, STAGE_TIMEOUT).await? {
            match self.read_back(target, index, &digests).await? {
                Some(bytes) => found.push((index, bytes)),
                None => misses += 1,
            }
            if misses >= SAMPLED_CHUNKS && found.is_empty() {
                break;
            }
        }
        self.take_staged(target, found);
        Ok(())
    }

    /// Records that the engine serves `target`. Its chunks stay available to other hosts from
    /// staging, and their memory is freed.
    ///
    /// # Errors
    ///
    /// If the engine does not list its staged chunks.
    pub(super) async fn adopt_served(&self, target: &ModelVersion) -> SwitchResult<()> {
        if self.is_at_engine(target) {
            return Ok(());
        }
        let digests = self.digests(target).ok_or_else(|| missing_chunk(0))?;
        let mut staged = ChunkMap::empty(digests.count());
        for index in self.engine.staged(&target.model, STAGE_TIMEOUT).await? {
            staged.insert(index);
        }
        self.note_staged(target, staged);
        Ok(())
    }

    /// Returns a chunk; a staged one is read back and checked. A corrupt one is no longer held.
    ///
    /// # Errors
    ///
    /// `ChunkMissing` if it is not held or is corrupt.
    pub(super) async fn read(&self, target: &ModelVersion, index: u32) -> SwitchResult<Bytes> {
        let digests = match self.find(target, index) {
            Some(HeldChunk::Memory(bytes)) => return Ok(bytes),
            Some(HeldChunk::Engine(digests)) => digests,
            None => return Err(missing_chunk(index)),
        };
        if let Some(bytes) = self.read_back(target, index, &digests).await? {
            return Ok(bytes);
        }
        log_corrupt(target, index);
        self.drop_chunk(target, index);
        Err(missing_chunk(index))
    }

    /// Stages all chunks of a version at the engine and checks them: staged chunks can become
    /// corrupt, and the engine loads them unchecked.
    ///
    /// # Errors
    ///
    /// If the engine does not answer, or a chunk is not held or becomes corrupt again and again.
    pub(super) async fn stage(&self, target: &ModelVersion) -> SwitchResult<StagingCheck> {
        let digests = self.digests(target).ok_or_else(|| missing_chunk(0))?;
        self.stage_range(target, 0..digests.count()).await
    }

    /// Like [`ChunkStore::stage`], for the chunks of `range`.
    ///
    /// # Errors
    ///
    /// As [`ChunkStore::stage`].
    pub(super) async fn stage_range(
        &self,
        target: &ModelVersion,
        range: Range<u32>,
    ) -> SwitchResult<StagingCheck> {
        let staged = self.staged(target).ok_or_else(|| missing_chunk(0))?;
        for index in range.clone().filter(|index| !staged.contains(*index)) {
            self.stage_chunk(target, index).await?;
        }
        self.check_staged(target, range).await
    }

    /// Repeats `check`.
    ///
    /// # Errors
    ///
    /// As [`ChunkStore::stage`].
    pub(super) async fn repeat_check(&self, check: StagingCheck) -> SwitchResult<StagingCheck> {
        self.check_staged(&check.target, check.range).await
    }

    /// Reads the staged chunks of `range` back and stages corrupt ones again.
    async fn check_staged(
        &self,
        target: &ModelVersion,
        range: Range<u32>,
    ) -> SwitchResult<StagingCheck> {
        let digests = self.digests(target).ok_or_else(|| missing_chunk(0))?;
        let checked_at = clock_now();
        let mut corrupt = Vec::new();
        for index in range.clone() {
            if !self.check_chunk(target, index, &digests).await? {
                corrupt.push(index);
            }
        }
        Ok(StagingCheck {
            target: target.clone(),
            range,
            checked_at,
            corrupt,
        })
    }

    /// Reads the staged chunks of `range` back and returns the corrupt ones.
    ///
    /// # Errors
    ///
    /// If the engine does not answer, or the digests of `target` are unknown.
    pub(super) async fn find_corrupt(
        &self,
        target: &ModelVersion,
        range: Range<u32>,
    ) -> SwitchResult<Vec<u32>> {
        let digests = self.digests(target).ok_or_else(|| missing_chunk(0))?;
        let mut corrupt = Vec::new();
        for index in range {
            if self.read_back(target, index, &digests).await?.is_none() {
                corrupt.push(index);
            }
        }
        Ok(corrupt)
    }

    /// Reads a staged chunk back, and stages it again if it is corrupt. Returns whether it was
    /// intact.
    async fn check_chunk(
        &self,
        target: &ModelVersion,
        index: u32,
        digests: &ChunkDigests,
    ) -> SwitchResult<bool> {
        for stagings in 0..RESTAGINGS_MAX {
            if self.read_back(target, index, digests).await?.is_some() {
                return Ok(stagings == 0);
            }
            log_corrupt(target, index);
            self.stage_chunk(target, index).await?;
        }
        let detail = format!("chunk {index} is corrupt after each of {RESTAGINGS_MAX} stagings");
        Err(SwitchError::new(ErrorKind::ChunkCorrupt, detail))
    }

    async fn stage_chunk(&self, target: &ModelVersion, index: u32) -> SwitchResult<()> {
        let bytes = self.read(target, index).await?;
        let staging = self
            .engine
            .stage_chunk(&target.model, index, bytes, STAGE_TIMEOUT);
        staging.await?;
        self.note_chunk_staged(target, index);
        Ok(())
    }

    /// Reads a staged chunk; none if it is missing or does not match its digest.
    async fn read_back(
        &self,
        target: &ModelVersion,
        index: u32,
        digests: &ChunkDigests,
    ) -> SwitchResult<Option<Bytes>> {
        let read = self
            .engine
            .read_chunk(&target.model, index, STAGE_TIMEOUT)
            .await;
        match read {
            Ok(bytes) if digests.matches(index, &bytes) => Ok(Some(bytes)),
            Ok(_) => Ok(None),
            Err(error) if error.kind == ErrorKind::ChunkMissing => Ok(None),
            Err(error) => Err(error),
        }
    }
}

fn log_corrupt(target: &ModelVersion, index: u32) {
    log_event!(
        events::STAGED_CHUNK_CORRUPT,
        "model={} chunk={index}",
        target.model
    );
}
