//! What is recorded of a crash: which backend server crashed, and what may have caused it.

use std::fmt;

use bytestring::ByteString;
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use super::prompt_part::PromptPart;
use super::suspect_digest::SuspectDigest;
use crate::derives::{key, message};
use crate::routing::name_hash;
use crate::time::{StoreTime, WallTime};

/// Hash that identifies one run of a backend server, from one start to the next.
#[apply(message!)]
#[derive(Copy, Eq, PartialOrd, Ord)]
pub(crate) struct BackendIncarnation(pub(crate) u64);

impl BackendIncarnation {
    /// Returns the incarnation of the backend server `id` that started at `start_time`, if that is
    /// known.
    pub(crate) fn of(id: &ByteString, start_time: Option<WallTime>) -> Self {
        let start_time = start_time.map_or(0, |start_time| start_time.0);
        Self(name_hash(&format!("{id}/{start_time}")))
    }
}

/// How narrow a suspect is: the position of the part in its prompt, or `WHOLE` for whole requests.
/// Of parts that always occur together, fewer requests have the later one.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SuspectDepth(pub(crate) u8);

impl SuspectDepth {
    /// Depth of a whole request, which is narrower than any part of its prompt.
    pub(crate) const WHOLE: Self = Self(u8::MAX);

    /// Returns the depth of the part at `position` of a prompt.
    pub(crate) fn of_part(position: usize) -> Self {
        Self(
            u8::try_from(position)
                .unwrap_or(u8::MAX - 1)
                .min(u8::MAX - 1),
        )
    }
}

impl Default for SuspectDepth {
    fn default() -> Self {
        Self::WHOLE
    }
}

impl fmt::Display for SuspectDepth {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == Self::WHOLE {
            formatter.write_str("whole")
        } else {
            write!(formatter, "{}", self.0)
        }
    }
}

/// What may have caused a crash.
#[apply(key!)]
pub(crate) struct CrashSuspect {
    /// Digest of the request or part.
    pub(crate) digest: SuspectDigest,
    /// How narrow it is.
    pub(crate) depth: SuspectDepth,
}

impl CrashSuspect {
    /// Returns the suspect for whole requests with `digest`.
    pub(crate) const fn of_request(digest: SuspectDigest) -> Self {
        Self {
            digest,
            depth: SuspectDepth::WHOLE,
        }
    }

    /// Returns the suspects for `parts`, the parts of a prompt for `model` in order.
    pub(crate) fn of_parts<'a>(
        model: Option<&'a str>,
        parts: &'a [PromptPart],
    ) -> impl Iterator<Item = Self> + 'a {
        parts.iter().enumerate().map(move |(position, part)| Self {
            digest: SuspectDigest::of_part(model, *part),
            depth: SuspectDepth::of_part(position),
        })
    }
}

/// Whether a suspect may have caused a crash.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CrashVerdict {
    /// It may have caused the crash.
    Suspected,
    /// The same request was answered in full after the crash.
    Cleared,
}

/// Time of a crash in records of a process that does not know the store's clock.
pub(crate) const UNKNOWN_TIME: StoreTime = StoreTime(0);

/// A suspect and one of the crashes during which a request with it was in progress.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct CrashRecord {
    /// Digest of the request or part.
    #[serde(rename = "request")]
    pub(crate) suspect: SuspectDigest,
    /// The incarnation that crashed.
    pub(crate) backend: BackendIncarnation,
    /// Whether it is still suspected.
    pub(crate) verdict: CrashVerdict,
    /// When the crash was observed.
    pub(crate) seen: StoreTime,
    /// How narrow the suspect is.
    #[serde(default)]
    pub(crate) depth: SuspectDepth,
}

impl CrashRecord {
    /// Takes over the time of `other`, a record of the same crash, if it is earlier or the only known
    /// one.
    pub(super) fn merge_time(&mut self, other: &Self) {
        if self.seen == UNKNOWN_TIME || (other.seen != UNKNOWN_TIME && other.seen < self.seen) {
            self.seen = other.seen;
        }
    }

    /// Returns what identifies the record.
    pub(super) const fn key(&self) -> (SuspectDigest, BackendIncarnation) {
        (self.suspect, self.backend)
    }
}

/// A crash record with the revision of its row in the store.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct StoredCrash {
    /// Content of the row.
    pub(crate) record: CrashRecord,
    /// Store revision of the row.
    pub(crate) revision: u64,
}
