//! The chunks that are staged at this host's engine, as all of the process shares them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;

use super::events;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::ModelVersion;
use crate::platform::{ChunkDigests, EngineClient};
use crate::weights::{ChunkMap, HaveWord};

/// The engine is on the same host and answers within a few milliseconds.
const STAGE_WITHIN: Duration = Duration::from_millis(1500);

/// What is staged of one version.
#[derive(Clone, Debug)]
struct StagedChunks {
    target: ModelVersion,
    digests: Arc<ChunkDigests>,
    held: ChunkMap,
    claimed: ChunkMap,
}

/// The staged chunks. Clones share them.
#[derive(Clone)]
pub(super) struct ChunkStore {
    host: ByteString,
    engine: EngineClient,
    staged: Arc<Mutex<Option<StagedChunks>>>,
}

impl ChunkStore {
    /// The chunks at `engine`, for the host called `host`.
    pub(super) fn new(host: ByteString, engine: EngineClient) -> Self {
        Self {
            host,
            engine,
            staged: Arc::default(),
        }
    }

    /// From now on the engine stages `target`; what is staged already is believed until it is read
    /// back.
    ///
    /// # Errors
    ///
    /// When the engine does not tell what is staged.
    pub(super) async fn begin(
        &self,
        target: &ModelVersion,
        digests: Arc<ChunkDigests>,
        is_staged: bool,
    ) -> SwitchResult<()> {
        let mut held = ChunkMap::empty(digests.count());
        if is_staged {
            for index in self.engine.staged(&target.model, STAGE_WITHIN).await? {
                held.insert(index);
            }
        }
        let claimed = ChunkMap::empty(digests.count());
        *self.lock() = Some(StagedChunks {
            target: target.clone(),
            digests,
            held,
            claimed,
        });
        Ok(())
    }

    /// Whether `target` is what is staged.
    pub(super) fn is_at(&self, target: &ModelVersion) -> bool {
        self.lock()
            .as_ref()
            .is_some_and(|staged| staged.target == *target)
    }

    /// The digests of `target`, if they are known.
    pub(super) fn digests(&self, target: &ModelVersion) -> Option<Arc<ChunkDigests>> {
        let staged = self.lock();
        let staged = staged.as_ref().filter(|staged| staged.target == *target);
        staged.map(|staged| staged.digests.clone())
    }

    /// The chunks of `target` that are held.
    pub(super) fn held(&self, target: &ModelVersion) -> Option<ChunkMap> {
        let staged = self.lock();
        let staged = staged.as_ref().filter(|staged| staged.target == *target);
        staged.map(|staged| staged.held.clone())
    }

    /// What this host says of `target`; nothing if it does not stage it.
    pub(super) fn word(&self, target: &ModelVersion) -> Option<HaveWord> {
        let staged = self.lock();
        let staged = staged.as_ref().filter(|staged| staged.target == *target)?;
        Some(HaveWord {
            host: self.host.clone(),
            held: staged.held.clone(),
            claimed: staged.claimed.clone(),
            backlog_ms: 0,
        })
    }

    /// Says which chunks this host is about to read from the origin.
    pub(super) fn claim(&self, target: &ModelVersion, claimed: ChunkMap) {
        self.change(target, |staged| staged.claimed = claimed);
    }

    /// Checks a chunk and stages it. A chunk that does not match is never staged or passed on.
    ///
    /// # Errors
    ///
    /// `ChunkCorrupt` when it does not match, or when another version is wanted meanwhile; else when
    /// the engine does not take it.
    pub(super) async fn keep(
        &self,
        target: &ModelVersion,
        index: u32,
        bytes: Bytes,
    ) -> SwitchResult<()> {
        let corrupt = |detail: String| SwitchError::new(ErrorKind::ChunkCorrupt, detail);
        let Some(digests) = self.digests(target) else {
            return Err(corrupt("another version is staged now".to_owned()));
        };
        if !digests.matches(index, &bytes) {
            return Err(corrupt(format!("chunk {index} does not match its digest")));
        }
        let staging = self
            .engine
            .stage_chunk(&target.model, index, bytes, STAGE_WITHIN);
        staging.await?;
        self.change(target, |staged| staged.held.insert(index));
        Ok(())
    }

    /// Reads a chunk back and checks it. One that has gone bad is no longer held.
    ///
    /// # Errors
    ///
    /// `ChunkMissing` when it is not held or has gone bad.
    pub(super) async fn read(&self, target: &ModelVersion, index: u32) -> SwitchResult<Bytes> {
        let missing = || {
            let detail = format!("chunk {index} is not here");
            SwitchError::new(ErrorKind::ChunkMissing, detail)
        };
        let digests = self.digests(target).ok_or_else(missing)?;
        let is_held = self.held(target).is_some_and(|held| held.contains(index));
        if !is_held {
            return Err(missing());
        }
        let read = self
            .engine
            .read_chunk(&target.model, index, STAGE_WITHIN)
            .await;
        match read {
            Ok(bytes) if digests.matches(index, &bytes) => Ok(bytes),
            Err(error) if error.kind != ErrorKind::ChunkMissing => Err(error),
            _ => {
                log_event!(
                    events::STAGED_CHUNK_BAD,
                    "model={} chunk={index}",
                    target.model
                );
                self.change(target, |staged| staged.held.remove(index));
                Err(missing())
            }
        }
    }

    /// Reads every chunk back. Returns whether all are there and match.
    ///
    /// # Errors
    ///
    /// When the engine does not answer.
    pub(super) async fn check_all(&self, target: &ModelVersion) -> SwitchResult<bool> {
        let Some(held) = self.held(target) else {
            return Ok(false);
        };
        for index in 0..held.count() {
            match self.read(target, index).await {
                Ok(_) => {}
                Err(error) if error.kind == ErrorKind::ChunkMissing => {}
                Err(error) => return Err(error),
            }
        }
        Ok(self.held(target).is_some_and(|held| held.is_full()))
    }

    fn change(&self, target: &ModelVersion, change: impl FnOnce(&mut StagedChunks)) {
        let mut staged = self.lock();
        if let Some(staged) = staged.as_mut()
            && staged.target == *target
        {
            change(staged);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<StagedChunks>> {
        self.staged.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
