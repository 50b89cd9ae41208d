//! Which backend server takes a request.

use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::backend_desk::BackendKey;
use super::backend_facts::{BackendPhase, WeightsVersion};
use super::backend_record::BackendRecord;
use super::request_limit::LimitTurn;
use super::turn_sharers::TurnSharers;
use crate::derives::{key, plain};
use crate::errors::ErrorKind;
use crate::overload::{EngineCandidate, EngineSpeed};
use crate::time::{ClockTime, StoreTime};

/// One place in so many stays free for new requests before returned ones.
const SPARE_PART: u32 = 6;

/// One place in so many at an engine of older weights is taken shortly before their bound.
const OLDER_PART: u32 = 2;

/// Where requests waited for longer, none goes to older weights shortly before their bound: the way there may
/// be full, and what is on it can't be taken back.
const OLDER_WAIT_MAX: Duration = Duration::from_millis(600);

/// Entry hosts of a data centre that consider a backend server at a time, beside the one that goes
/// there first.
const CONSIDERED_BY: u32 = 4;

/// How good a backend server of a plain service is for a request, the best first.
///
/// Bytes between data centres are dear and their links narrow: a place in this data centre is better
/// than one elsewhere. Waiting is worse than either.
#[apply(key!)]
enum PlaceGrade {
    NearFree,
    FarFree,
    NearQueue,
    FarQueue,
}

impl PlaceGrade {
    const fn of(is_near: bool, is_free: bool) -> Self {
        match (is_near, is_free) {
            (true, true) => Self::NearFree,
            (false, true) => Self::FarFree,
            (true, false) => Self::NearQueue,
            (false, false) => Self::FarQueue,
        }
    }
}

/// Which weights may answer a request.
#[apply(plain!)]
pub(crate) enum VersionNeed {
    /// It is not for a model.
    None,
    /// A version of a model, all of whose layers are loaded.
    Model {
        /// The model.
        model: ByteString,
        /// How many layers it has.
        layers: u32,
        /// The oldest version that may answer; none while any may.
        least: Option<WeightsVersion>,
        /// The oldest version at which a request may wait for a place. One that waits at an older
        /// version could begin when that version may no longer answer.
        least_to_wait: Option<WeightsVersion>,
    },
}

impl VersionNeed {
    /// The version with which `record` would answer.
    pub(super) fn held_by(&self, record: &BackendRecord) -> Option<WeightsVersion> {
        match self {
            Self::None => None,
            Self::Model { model, layers, .. } => record.holdings.whole_version(model, *layers),
        }
    }

    fn is_met_by(&self, record: &BackendRecord) -> bool {
        match self {
            Self::None => true,
            Self::Model { least, .. } => {
                let held = self.held_by(record);
                held.is_some() && held >= *least
            }
        }
    }
}

/// What a request needs of a backend server.
#[apply(plain!)]
pub(crate) struct PickNeed<'a> {
    /// The service.
    pub(crate) service: &'a str,
    /// The weights.
    pub(crate) version: VersionNeed,
    /// Where it was tried already.
    pub(crate) tried: &'a [BackendKey],
    /// How many requests may wait at a backend server beyond those that it works on.
    pub(crate) queue_room: u32,
    /// Whether the request was refused before, and comes late however it is served.
    pub(crate) is_returned: bool,
    /// What it asks of an engine; none for plain services.
    pub(crate) work: Option<EngineWork>,
}

/// What a request asks of an engine.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineWork {
    /// How fast the engines are.
    pub(crate) speed: EngineSpeed,
    /// Tokens of its prompt.
    pub(crate) prompt_tokens: u32,
}

impl PickNeed<'_> {
    /// How many requests `record` may have at `now`.
    fn places_at(&self, record: &BackendRecord, now: ClockTime) -> u32 {
        let slots = record.facts.slots;
        match &self.version {
            // What other entry hosts have just sent is not known yet, and prompts that are read one after
            // the other delay a beginning. A request that has not begun in time is taken back, but not by
            // an entry host that stands still: its requests would begin behind the bound.
            VersionNeed::Model { least_to_wait, .. }
                if self.version.held_by(record) < *least_to_wait =>
            {
                if record.head_wait(now) > OLDER_WAIT_MAX {
                    0
                } else {
                    slots / OLDER_PART
                }
            }
            // A place that it takes from a new request turns that one into a late one as well.
            VersionNeed::Model { .. } if self.is_returned => slots - slots / SPARE_PART,
            _ => slots.saturating_add(self.queue_room),
        }
    }
}

/// Why no backend server takes a request.
#[apply(key!)]
pub(crate) enum PickRefusal {
    /// The service has none that lives and holds the weights.
    Nobody,
    /// All have as many requests as they should have.
    AllFull,
}

impl PickRefusal {
    /// The error that the client is told.
    pub(crate) const fn kind(self) -> ErrorKind {
        match self {
            Self::Nobody => ErrorKind::NoBackend,
            Self::AllFull => ErrorKind::QueueFull,
        }
    }
}

/// How good a place is, the best first.
type PlaceChoice = (PlaceGrade, Duration, u32, u32, BackendKey);

/// Where a request is sent from.
#[derive(Clone, Copy, Debug)]
pub(super) struct PickPlace<'a> {
    pub(super) data_centre: &'a str,
    /// How many other entry hosts the data centre has.
    pub(super) peers: u32,
    /// Who shares the backend servers that name a rate.
    pub(super) turns: &'a TurnSharers,
    /// When the request is sent, on the clock by which these take turns.
    pub(super) asked: StoreTime,
}

impl PickPlace<'_> {
    /// Whether the backend server is considered first for the request with `jitter`: this entry host's
    /// own ones, and a part of the others that differs from request to request.
    ///
    /// Many entry hosts go by the same reports until the next ones. If all of them considered every
    /// engine for every request, the one that was free in the reports would get what all of them have.
    fn considers(&self, key: BackendKey, record: &BackendRecord, jitter: u32) -> bool {
        let part = u32::MAX / self.peers.saturating_add(1);
        record.is_own || key.turn(jitter) <= part.saturating_mul(CONSIDERED_BY)
    }
}

/// Chooses among `records` the best place, and among equally good ones the one with fewest requests.
/// Where those that are considered first have none, all are.
pub(super) fn pick<'a>(
    records: impl Iterator<Item = (BackendKey, &'a BackendRecord)>,
    need: &PickNeed<'_>,
    place: &PickPlace<'_>,
    (now, jitter): (ClockTime, u32),
) -> Result<BackendKey, PickRefusal> {
    let mut has_any = false;
    // Of those that are considered first, and of all.
    let mut best: [Option<PlaceChoice>; 2] = [None, None];
    for (key, record) in records {
        if !serves(record, need) || need.tried.contains(&key) {
            continue;
        }
        has_any = true;
        let load = record.load(now);
        let is_free = record.is_open(now) && load < need.places_at(record, now);
        if !is_free || record.turn(place) == LimitTurn::Others {
            continue;
        }
        let engine = record.place(place, now);
        let (grade, delay) = rate(&engine, need);
        // Equal ones take turns, or all entry hosts would go to the same one.
        let choice = (grade, delay, load, key.turn(jitter), key);
        let is_first = place.considers(key, record, jitter);
        for (best, counts) in best.iter_mut().zip([is_first, true]) {
            if counts && best.is_none_or(|best| choice < best) {
                *best = Some(choice);
            }
        }
    }
    let [first, any] = best;
    match first.or(any) {
        Some((.., key)) => Ok(key),
        None if has_any => Err(PickRefusal::AllFull),
        None => Err(PickRefusal::Nobody),
    }
}

/// A place at an engine is as good as the delay that it means; one at a plain service goes by its grade.
fn rate(place: &EngineCandidate, need: &PickNeed<'_>) -> (PlaceGrade, Duration) {
    if let Some(work) = &need.work {
        return (PlaceGrade::NearFree, place.delay(&work.speed));
    }
    let is_free = place.load < place.slots;
    (PlaceGrade::of(place.is_near, is_free), Duration::ZERO)
}

fn serves(record: &BackendRecord, need: &PickNeed<'_>) -> bool {
    let is_meant =
        *record.facts.service == *need.service && record.facts.phase == BackendPhase::Serving;
    is_meant && need.version.is_met_by(record)
}
