//! The disturbances of a running system, and how they are drawn at random.

use std::time::Duration;

use macro_rules_attribute::apply;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::derives::key;

/// What a disturbance acts on. A target has at most one disturbance at a time.
#[apply(key!)]
pub(super) enum DisturbanceTarget {
    /// The entry host with this index.
    Entry(usize),
    /// The host process with this index.
    Host(usize),
    /// The engine or plain service of the backend server with this index.
    Engine(usize),
    /// The stand-in of the table.
    Table,
    /// The stand-in of the host list.
    HostList,
    /// The stand-in of the weights origin.
    Origin,
    /// The model service's document.
    Document,
}

/// The kind of a disturbance.
#[apply(key!)]
pub(super) enum DisturbanceKind {
    /// The process is killed, and restarted later.
    Kill,
    /// The process is paused, and resumed later.
    Freeze,
    /// A graceful stop of the process is requested; it is restarted when it has ended.
    Drain,
    /// Every request is answered with 503.
    Down,
    /// Responses are delayed.
    Slow,
    /// Half of the responses to writes are lost.
    LoseAnswers,
    /// Open connections stop responding.
    SilenceOpen,
    /// The host list or engine report is some seconds old.
    Lag,
    /// Some chunk responses are corrupt, stalled, truncated or rate-limited.
    BadChunks,
    /// Streams end early or contain tokens of other requests, and cache events are lost.
    BadStreams,
    /// The engine refuses to generate.
    Refuse,
    /// A new version of the weights is published and set as target.
    NewVersion,
}

impl DisturbanceKind {
    /// Returns the name used in the report and in `--only`.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Freeze => "freeze",
            Self::Drain => "drain",
            Self::Down => "down",
            Self::Slow => "slow",
            Self::LoseAnswers => "lose_answers",
            Self::SilenceOpen => "silence_open",
            Self::Lag => "lag",
            Self::BadChunks => "bad_chunks",
            Self::BadStreams => "bad_streams",
            Self::Refuse => "refuse",
            Self::NewVersion => "new_version",
        }
    }

    /// Returns whether this kind is implemented by the fault settings of a stand-in.
    pub(super) const fn is_stand_in_fault(self) -> bool {
        !matches!(
            self,
            Self::Kill | Self::Freeze | Self::Drain | Self::NewVersion
        )
    }
}

/// One disturbance of a target.
#[apply(key!)]
pub(super) struct Disturbance {
    /// What it acts on.
    pub(super) target: DisturbanceTarget,
    /// Its kind.
    pub(super) kind: DisturbanceKind,
    /// Time until it is undone; unused for graceful stops and new weights.
    pub(super) duration: Duration,
}

/// Number of targets in a system.
#[apply(key!)]
pub(super) struct TargetCounts {
    /// Entry hosts.
    pub(super) entries: usize,
    /// Backend servers.
    pub(super) backends: usize,
    /// Number of backend servers with a model engine; they have the lowest indices.
    pub(super) models: usize,
}

/// Maximum number of draws for one of the selected kinds.
const MAX_DRAWS: u32 = 200;

impl Disturbance {
    /// Draws the next disturbance, of one of the kinds named in `only`, or of any kind if `only` is
    /// empty. Returns `None` if no draw gives one of these kinds.
    pub(super) fn draw(random: &mut StdRng, counts: TargetCounts, only: &[String]) -> Option<Self> {
        let mut draws = (0..MAX_DRAWS).map(|_| Self::draw_any(random, counts));
        draws.find(|drawn| only.is_empty() || only.iter().any(|name| name == drawn.kind.name()))
    }

    /// Draws a disturbance of any kind.
    fn draw_any(random: &mut StdRng, counts: TargetCounts) -> Self {
        let target = draw_target(random, counts);
        let kind = draw_kind(random, target, counts);
        Self {
            target,
            kind,
            duration: draw_duration(random, kind),
        }
    }
}

/// Draws a target; the ranges are its probability in percent.
fn draw_target(random: &mut StdRng, counts: TargetCounts) -> DisturbanceTarget {
    match random.random_range(0..100) {
        0..18 => DisturbanceTarget::Entry(random.random_range(0..counts.entries)),
        18..48 => DisturbanceTarget::Host(random.random_range(0..counts.backends)),
        48..68 => DisturbanceTarget::Engine(random.random_range(0..counts.backends)),
        68..82 => DisturbanceTarget::Table,
        86..89 => DisturbanceTarget::HostList,
        89..92 => DisturbanceTarget::Origin,
        // The remaining values, 82 to 85 and from 92.
        _ => DisturbanceTarget::Document,
    }
}

/// Draws one of the kinds that apply to `target`.
fn draw_kind(
    random: &mut StdRng,
    target: DisturbanceTarget,
    counts: TargetCounts,
) -> DisturbanceKind {
    use DisturbanceKind as Kind;
    let kinds: &[DisturbanceKind] = match target {
        DisturbanceTarget::Entry(_) | DisturbanceTarget::Host(_) => {
            &[Kind::Kill, Kind::Freeze, Kind::Drain]
        }
        DisturbanceTarget::Engine(index) if index < counts.models => &[
            Kind::Kill,
            Kind::Freeze,
            Kind::BadStreams,
            Kind::Refuse,
            Kind::Lag,
            Kind::SilenceOpen,
        ],
        // A plain service holds the record that the calls are checked against, and would lose it if
        // it were killed.
        DisturbanceTarget::Engine(_) => &[Kind::Freeze, Kind::SilenceOpen, Kind::Slow, Kind::Down],
        DisturbanceTarget::Table => &[
            Kind::Down,
            Kind::Slow,
            Kind::LoseAnswers,
            Kind::SilenceOpen,
            Kind::Freeze,
        ],
        DisturbanceTarget::HostList => &[Kind::Down, Kind::Lag],
        DisturbanceTarget::Origin => &[Kind::Down, Kind::BadChunks],
        DisturbanceTarget::Document => &[Kind::NewVersion],
    };
    kinds[random.random_range(0..kinds.len())]
}

/// Draws the time until a disturbance of `kind` is undone.
fn draw_duration(random: &mut StdRng, kind: DisturbanceKind) -> Duration {
    let longest_ms = match kind {
        // One in five may exceed the duration of a lease.
        DisturbanceKind::Freeze | DisturbanceKind::Down if random.random_range(0..5) == 0 => 20_000,
        DisturbanceKind::Kill => 3_000,
        _ => 6_000,
    };
    Duration::from_millis(random.random_range(300..longest_ms))
}
