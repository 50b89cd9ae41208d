//! Picks the backend server for a request.

use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::backend_facts::WeightsVersion;
use super::backend_record::BackendRecord;
use super::backend_registry::BackendKey;
use super::cold_limit::ColdLimit;
use super::eligibility::check_eligibility;
use super::pick_refusal::{PickRefusal, RefusalTally};
use super::rate_sharers::RateSharers;
use crate::derives::{key, plain};
use crate::overload::{EngineCandidate, EngineSpeed};
use crate::placement::PlacementRules;
use crate::time::{ClockTime, StoreTime};

/// One slot in this many is reserved for new requests, which returning ones may not use.
const SPARE_SLOTS_PART: u32 = 6;

/// Shortly before the deadline of previous weights, one slot in this many may be used at their
/// engines.
const PREVIOUS_VERSION_PART: u32 = 2;

/// Longest wait for a response head with which an engine of previous weights still gets requests
/// shortly before their deadline. Beyond it the link may be congested, and requests on it can't be
/// taken back.
const PREVIOUS_VERSION_WAIT_MAX: Duration = Duration::from_millis(600);

/// How suitable a backend server of a plain service is, best first.
///
/// Traffic between data centres is expensive and its links are narrow, so that a backend server in
/// this data centre is preferred. Queueing is worse than either.
#[apply(key!)]
enum SlotGrade {
    NearFree,
    FarFree,
    NearQueue,
    FarQueue,
}

impl SlotGrade {
    const fn of(is_near: bool, is_free: bool) -> Self {
        match (is_near, is_free) {
            (true, true) => Self::NearFree,
            (false, true) => Self::FarFree,
            (true, false) => Self::NearQueue,
            (false, false) => Self::FarQueue,
        }
    }
}

/// The weights that may answer a request.
#[apply(plain!)]
pub(crate) enum VersionRequirement {
    /// The request is not for a model.
    None,
    /// A version of a model with all layers loaded.
    Model {
        /// The model's name.
        model: ByteString,
        /// Number of layers of the model.
        layers: u32,
        /// The oldest version that may answer; none if every version may.
        minimum: Option<WeightsVersion>,
        /// The oldest version whose engines may queue the request. At an older one it might only
        /// begin after that version's deadline.
        minimum_to_queue: Option<WeightsVersion>,
    },
}

impl VersionRequirement {
    /// The version with which `record` would answer.
    pub(super) fn version_held_by(&self, record: &BackendRecord) -> Option<WeightsVersion> {
        match self {
            Self::None => None,
            Self::Model { model, layers, .. } => record.holdings.complete_version(model, *layers),
        }
    }

    pub(super) fn is_satisfied_by(&self, record: &BackendRecord) -> bool {
        match self {
            Self::None => true,
            Self::Model { minimum, .. } => {
                let held = self.version_held_by(record);
                held.is_some() && held >= *minimum
            }
        }
    }
}

/// Requirements of a request on its backend server.
#[apply(plain!)]
pub(crate) struct PickRequirements<'a> {
    /// Name of the service.
    pub(crate) service: &'a str,
    /// The weights that may answer.
    pub(crate) version: VersionRequirement,
    /// Backend servers that were already tried.
    pub(crate) tried: &'a [BackendKey],
    /// Requests that may be queued at a backend server in addition to those in progress.
    pub(crate) queue_room: u32,
    /// Whether the request was refused before. It is late in any case.
    pub(crate) is_returned: bool,
    /// The work for an engine; none for plain services.
    pub(crate) work: Option<EngineWork>,
    /// Part of an engine's slots that is kept for more urgent requests.
    pub(crate) reserved_part: f64,
    /// The rules on the data centre that may serve the request.
    pub(crate) placement: PlacementRules,
    /// What cold backend servers of the service accept; none if they need no limit.
    pub(crate) cold_limit: Option<ColdLimit>,
}

/// The work that a request means for an engine.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineWork {
    /// Published speed of the engines.
    pub(crate) speed: EngineSpeed,
    /// Tokens of its prompt.
    pub(crate) prompt_tokens: u32,
}

impl PickRequirements<'_> {
    /// Number of requests that `record`, in the state `engine`, may have at `now` for this entry
    /// host to send this one there.
    pub(super) fn limit_at(
        &self,
        record: &BackendRecord,
        engine: &EngineCandidate,
        now: ClockTime,
    ) -> u32 {
        let slots = self.slots_at(record, now);
        if self.work.is_none() || engine.is_filled_by_us() {
            slots
        } else {
            slots.min(engine.slots)
        }
    }

    /// Number of requests that `record` may have at `now` for this one to be sent there.
    fn slots_at(&self, record: &BackendRecord, now: ClockTime) -> u32 {
        let slots = record.facts.slots;
        match &self.version {
            // The latest sends of other entry hosts are not known yet, and an engine reads prompts
            // one after the other, which delays requests. Entry hosts take back requests that have
            // not begun in time; a stalled entry host can't, and its requests would begin after the
            // deadline.
            VersionRequirement::Model {
                minimum_to_queue, ..
            } if self.version.version_held_by(record) < *minimum_to_queue => {
                if record.head_wait(now) > PREVIOUS_VERSION_WAIT_MAX {
                    0
                } else {
                    slots / PREVIOUS_VERSION_PART
                }
            }
            // If it took a slot from a new request, that request would be late as well.
            VersionRequirement::Model { .. } if self.is_returned => {
                slots - slots / SPARE_SLOTS_PART
            }
            _ => match reserved_slots(slots, self.reserved_part) {
                0 => slots.saturating_add(self.queue_room),
                reserved => slots - reserved,
            },
        }
    }
}

/// Number of `slots` that `part` of them amounts to.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the part is between 0 and 1"
)]
fn reserved_slots(slots: u32, part: f64) -> u32 {
    ((f64::from(slots) * part).round() as u32).min(slots)
}

/// Rank of a candidate: grade, delay, load, shuffled key and key; the lowest is the best.
type SlotRank = (SlotGrade, Duration, u32, u32, BackendKey);

/// The entry host that sends a request, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct PickContext<'a> {
    pub(super) data_centre: &'a str,
    /// Number of other entry hosts in this data centre.
    pub(super) peers: u32,
    /// Number of other entry hosts in all data centres.
    pub(super) others: u32,
    /// The entry hosts that share the advertised rates.
    pub(super) rate_sharers: &'a RateSharers,
    /// When the request is sent, on the store's clock, on which send intervals are agreed.
    pub(super) picked_at: StoreTime,
}

/// Picks the best of `records`, and among equally good ones the one with the fewest requests.
pub(super) fn pick<'a>(
    records: impl Iterator<Item = (BackendKey, &'a BackendRecord)>,
    requirements: &PickRequirements<'_>,
    context: &PickContext<'_>,
    (now, jitter): (ClockTime, u32),
) -> Result<BackendKey, PickRefusal> {
    if requirements.placement.homes.is_nowhere() {
        return Err(PickRefusal::HomesDisjoint);
    }
    let mut tally = RefusalTally::default();
    let mut best: Option<SlotRank> = None;
    for (key, record) in records {
        let engine = match check_eligibility((key, record), requirements, context, now) {
            Ok(engine) => engine,
            Err(reason) => {
                tally.note(reason);
                continue;
            }
        };
        // The shuffled key breaks ties, or all entry hosts would pick the same one.
        let shuffled = key.shuffled(jitter);
        if requirements.work.is_some()
            && f64::from(shuffled) > engine.considered_part() * f64::from(u32::MAX)
        {
            tally.note_eligible();
            continue;
        }
        let (grade, delay) = grade_and_delay(&engine, requirements);
        let choice = (grade, delay, engine.load, shuffled, key);
        if best.is_none_or(|best| choice < best) {
            best = Some(choice);
        }
    }
    best.map(|(.., key)| key).ok_or_else(|| tally.refusal())
}

/// Engines are rated by the expected delay alone, plain backend servers by grade alone.
fn grade_and_delay(
    engine: &EngineCandidate,
    requirements: &PickRequirements<'_>,
) -> (SlotGrade, Duration) {
    if let Some(work) = &requirements.work {
        return (SlotGrade::NearFree, engine.delay(&work.speed));
    }
    let is_free = engine.load < engine.slots;
    (SlotGrade::of(engine.is_near, is_free), Duration::ZERO)
}
