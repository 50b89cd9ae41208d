//! The schedule of faults and operator changes, drawn from the seed before the run begins.

use std::time::Duration;

use macro_rules_attribute::apply;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::run_journal::SoakPart;
use crate::derives::{key, plain};
use crate::platform::EngineLoad;

/// The part of a wave in which faults begin.
const FAULTS_SPAN: Duration = Duration::from_secs(9);
/// The quiet period after the faults of a wave: until every deadline applies again, and some
/// seconds more.
const QUIET_SPAN: Duration = Duration::from_secs(17);
/// How long hosts are frozen in the quiet period: beyond the deadline of target versions.
const HOSTS_PAUSED_SPAN: Duration = Duration::from_secs(15);
/// Time between the begins of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..1100;
/// How long a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..4500;
/// How long a backend server that has left stays down.
pub(super) const RESTART_SPAN: Duration = Duration::from_millis(800);
/// How long no other fault hits a process after SIGTERM: it may use its full grace period.
const STOP_RESERVED_SPAN: Duration = Duration::from_secs(9);
/// When planned work begins in the quiet period: once disturbed parts are reachable again.
const WORK_FROM: Duration = Duration::from_millis(3500);
/// When planned work ends in the quiet period: before service has to have recovered.
const WORK_UNTIL: Duration = Duration::from_millis(11_500);
/// Time between the begins of two planned changes, in milliseconds.
const WORK_INTERVAL_MS: std::ops::Range<u64> = 300..900;
/// When all engines pause together, in milliseconds after `WORK_FROM`.
const STALL_AT_MS: std::ops::Range<u64> = 500..4000;
/// How long all engines pause together, in milliseconds.
const STALL_MS: std::ops::Range<u64> = 500..2500;
/// Makes the draws for planned work independent of the other draws of a seed.
const WORK_SALT: u64 = 0x5eed_0f30_4e77_0000;
/// How long prompts have a harmful part in the quiet period.
const HARMFUL_SPAN: Duration = Duration::from_secs(7);
/// When they begin to have it, in milliseconds.
const HARMFUL_AT_MS: std::ops::Range<u64> = 0..1000;
/// How long a data centre is evacuated in the quiet period: beyond the deadline of evacuations.
const EVACUATED_SPAN: Duration = Duration::from_millis(8500);
/// When it begins, in milliseconds.
const EVACUATION_AT_MS: std::ops::Range<u64> = 0..1500;
/// Makes the draws for evacuations independent of the other draws of a seed.
const EVACUATION_SALT: u64 = 0x00e7_ac0a_7e00_0000;
/// Makes the draws for harmful parts independent of the other draws of a seed.
const HARMFUL_SALT: u64 = 0x00ba_d0ba_d000_0000;
/// The same for returns of the store and announcements of backend servers.
const PLATFORM_SALT: u64 = 0x0a1e_55ed_0000_2d5b;
/// Time between the stops of two entry hosts in a rolling restart.
const ROLLING_RESTART_INTERVAL: Duration = Duration::from_millis(1200);

/// A fault of a network link.
#[apply(key!)]
pub(super) enum LinkFault {
    /// Each chunk of bytes is delayed by this duration.
    Delay(Duration),
    /// All open connections are reset.
    Reset,
    /// Bytes from the caller are withheld.
    CutCalls,
    /// Bytes to the caller are withheld.
    CutAnswers,
    /// All open connections stop transferring bytes for good; new connections work.
    Silence,
}

/// An action on the system: a fault or an operator change. The report prints the variant names.
#[apply(key!)]
pub(super) enum SoakAction {
    /// SIGSTOP, then SIGCONT.
    Freeze(SoakPart),
    /// SIGKILL, then a start.
    Kill(SoakPart),
    /// SIGTERM, then a start once the process has exited.
    Stop(SoakPart),
    /// SIGHUP.
    Reload(SoakPart),
    /// All streams of all engines pause for a while, as on a busy machine.
    Stall,
    /// A backend server crashes and starts again.
    Crash(usize),
    /// A fault on the link of a part.
    Link(SoakPart, LinkFault),
    /// The store refuses all requests.
    StoreDown,
    /// The store delays its responses by this duration.
    StoreSlow(Duration),
    /// The store carries out requests and does not respond.
    StoreSilent,
    /// The store loses what is written for a while and returns from an older copy.
    StoreReturn,
    /// A backend server announces that it is leaving, ends, and starts again.
    Leave(usize),
    /// Some prompts have a new part that crashes each engine that begins to answer one.
    HarmfulPart,
    /// A backend server refuses all requests and asks for a pause.
    Refuse(usize),
    /// The origin serves no chunks.
    OriginDown,
    /// This number of documents in quick succession.
    Documents(u32),
    /// The operator evacuates a data centre for a while.
    Evacuate,
    /// A new version of the weights is set as target.
    NameVersion,
    /// A client account gets a new key.
    AddKey,
    /// The oldest extra key is revoked, if there is one.
    RevokeKey,
}

/// An action with its begin and its duration. The begin is relative to the faults or to the quiet
/// period of its wave.
#[apply(plain!)]
pub(super) struct PlannedAction {
    pub(super) at: Duration,
    pub(super) span: Duration,
    pub(super) action: SoakAction,
}

/// Overlapping faults, followed by a quiet period.
#[apply(plain!)]
pub(super) struct FaultWave {
    pub(super) faults: Vec<PlannedAction>,
    /// Changes and planned work; their times count from the begin of the quiet period.
    pub(super) changes: Vec<PlannedAction>,
    pub(super) quiet_span: Duration,
}

/// Number of parts of each kind.
#[apply(key!)]
pub(super) struct PartCounts {
    pub(super) entries: usize,
    pub(super) hosts: usize,
    /// Backend servers: first those with an engine, then those without.
    pub(super) backends: usize,
}

/// Duration of a wave with its quiet period.
pub(super) const fn wave_duration() -> Duration {
    Duration::from_secs(FAULTS_SPAN.as_secs() + QUIET_SPAN.as_secs())
}

/// Draws the waves of a run.
pub(super) fn plan_waves(
    seed: u64,
    count: u32,
    (parts, load): (PartCounts, EngineLoad),
) -> Vec<FaultWave> {
    let mut planner = WavePlanner {
        rng: StdRng::seed_from_u64(seed),
        work_rng: StdRng::seed_from_u64(seed ^ WORK_SALT),
        platform_rng: StdRng::seed_from_u64(seed ^ PLATFORM_SALT),
        harmful_rng: StdRng::seed_from_u64(seed ^ HARMFUL_SALT),
        evacuation_rng: StdRng::seed_from_u64(seed ^ EVACUATION_SALT),
        parts,
        load,
        busy: Vec::new(),
    };
    (0..count).map(|_| planner.draw_wave()).collect()
}

struct WavePlanner {
    rng: StdRng,
    work_rng: StdRng,
    platform_rng: StdRng,
    harmful_rng: StdRng,
    evacuation_rng: StdRng,
    parts: PartCounts,
    load: EngineLoad,
    /// Parts that an action of this wave affects, and until when.
    busy: Vec<(SoakPart, Duration)>,
}

impl WavePlanner {
    fn draw_wave(&mut self) -> FaultWave {
        self.busy.clear();
        let mut faults = Vec::new();
        if self.rng.random_range(0..3_u8) == 0 {
            self.plan_rolling_restart(&mut faults);
        }
        let mut at = self.draw_duration(&FAULT_INTERVAL_MS);
        while at < FAULTS_SPAN {
            let span = self.draw_duration(&FAULT_MS);
            let action = self.draw_action();
            if let Some(action) = self.reserve(action, at, span) {
                faults.push(PlannedAction { at, span, action });
            }
            at += self.draw_duration(&FAULT_INTERVAL_MS);
        }
        self.plan_platform_changes(&mut faults);
        faults.push(self.draw_harmful_part());
        faults.push(self.draw_evacuation());
        faults.sort_by_key(|planned| planned.at);
        FaultWave {
            faults,
            changes: self.draw_changes(),
            quiet_span: QUIET_SPAN,
        }
    }

    /// Plans a return of the store from an older copy, and backend servers that announce that they
    /// are leaving or ask for a pause.
    fn plan_platform_changes(&mut self, faults: &mut Vec<PlannedAction>) {
        let end = u64::try_from(FAULTS_SPAN.as_millis()).unwrap_or(u64::MAX);
        let backends = self.parts.backends;
        for number in 0..3_u8 {
            let rng = &mut self.platform_rng;
            let at = Duration::from_millis(rng.random_range(0..end));
            let span = Duration::from_millis(rng.random_range(FAULT_MS));
            let backend = rng.random_range(0..backends);
            let action = match number {
                0 => SoakAction::StoreReturn,
                1 => SoakAction::Leave(backend),
                _ => SoakAction::Refuse(backend),
            };
            if let Some(action) = self.reserve(action, at, span) {
                faults.push(PlannedAction { at, span, action });
            }
        }
    }

    /// Draws a harmful part beside the other faults.
    fn draw_harmful_part(&mut self) -> PlannedAction {
        let end = u64::try_from(FAULTS_SPAN.as_millis()).unwrap_or(u64::MAX);
        let rng = &mut self.harmful_rng;
        PlannedAction {
            at: Duration::from_millis(rng.random_range(0..end)),
            span: Duration::from_millis(rng.random_range(FAULT_MS)),
            action: SoakAction::HarmfulPart,
        }
    }

    /// Draws an evacuation beside the other faults.
    fn draw_evacuation(&mut self) -> PlannedAction {
        let end = u64::try_from(FAULTS_SPAN.as_millis()).unwrap_or(u64::MAX);
        let rng = &mut self.evacuation_rng;
        PlannedAction {
            at: Duration::from_millis(rng.random_range(0..end)),
            span: Duration::from_millis(rng.random_range(FAULT_MS)),
            action: SoakAction::Evacuate,
        }
    }

    /// Plans a rolling restart of the entry hosts.
    fn plan_rolling_restart(&mut self, faults: &mut Vec<PlannedAction>) {
        let mut at = Duration::ZERO;
        for entry in 0..self.parts.entries {
            if at >= FAULTS_SPAN {
                return;
            }
            let part = SoakPart::Entry(entry);
            self.busy.push((part, at + STOP_RESERVED_SPAN));
            let action = SoakAction::Stop(part);
            let span = Duration::ZERO;
            faults.push(PlannedAction { at, span, action });
            at += ROLLING_RESTART_INTERVAL;
        }
    }

    fn draw_changes(&mut self) -> Vec<PlannedAction> {
        let mut changes = Vec::new();
        let mut plan = |millis: u64, action: SoakAction| {
            let at = Duration::from_millis(millis);
            let span = Duration::ZERO;
            changes.push(PlannedAction { at, span, action });
        };
        plan(self.rng.random_range(0..2_000), SoakAction::NameVersion);
        plan(self.rng.random_range(0..2_000), SoakAction::AddKey);
        plan(self.rng.random_range(3_000..7_000), SoakAction::RevokeKey);
        let burst = self.rng.random_range(2..7);
        plan(
            self.rng.random_range(0..9_000),
            SoakAction::Documents(burst),
        );
        if self.rng.random_range(0..3_u8) > 0 {
            changes.extend(self.draw_paused_hosts());
        }
        changes.extend(self.draw_planned_work());
        changes.push(PlannedAction {
            at: Duration::from_millis(self.harmful_rng.random_range(HARMFUL_AT_MS)),
            span: HARMFUL_SPAN,
            action: SoakAction::HarmfulPart,
        });
        changes.push(PlannedAction {
            at: Duration::from_millis(self.evacuation_rng.random_range(EVACUATION_AT_MS)),
            span: EVACUATED_SPAN,
            action: SoakAction::Evacuate,
        });
        changes.sort_by_key(|planned| planned.at);
        changes
    }

    /// Draws a series of documents and SIGHUPs that accompanies the stop of one entry host.
    fn draw_planned_work(&mut self) -> Vec<PlannedAction> {
        let rng = &mut self.work_rng;
        let entries = self.parts.entries;
        let stopped = rng.random_range(0..entries);
        let planned = |at, action| PlannedAction {
            at,
            span: Duration::ZERO,
            action,
        };
        let stop = SoakAction::Stop(SoakPart::Entry(stopped));
        let mut planned_work = vec![planned(WORK_FROM, stop)];
        let mut at = WORK_FROM;
        while at < WORK_UNTIL {
            let action = if rng.random_range(0..2_u8) == 0 {
                SoakAction::Documents(rng.random_range(1..3))
            } else {
                // The stopped entry host may not have set up its signal handler again: SIGHUP would
                // kill it.
                let other = (stopped + rng.random_range(1..entries)) % entries;
                SoakAction::Reload(SoakPart::Entry(other))
            };
            planned_work.push(planned(at, action));
            at += Duration::from_millis(rng.random_range(WORK_INTERVAL_MS));
        }
        if self.load != EngineLoad::Light {
            planned_work.push(PlannedAction {
                at: WORK_FROM + Duration::from_millis(rng.random_range(STALL_AT_MS)),
                span: Duration::from_millis(rng.random_range(STALL_MS)),
                action: SoakAction::Stall,
            });
        }
        planned_work
    }

    /// Freezes half of the hosts during the quiet period. Their engines keep the previous version
    /// while no other part on a request's path is disturbed, so only the entry hosts can withhold
    /// requests from them. A single frozen host would get too few requests to reveal a missing
    /// rule.
    fn draw_paused_hosts(&mut self) -> impl Iterator<Item = PlannedAction> + use<> {
        let hosts = self.parts.hosts;
        let first = self.rng.random_range(0..hosts);
        (0..hosts / 2).map(move |number| PlannedAction {
            at: Duration::ZERO,
            span: HOSTS_PAUSED_SPAN,
            action: SoakAction::Freeze(SoakPart::Host((first + number) % hosts)),
        })
    }

    fn draw_action(&mut self) -> SoakAction {
        match self.rng.random_range(0..20_u8) {
            0 | 1 => SoakAction::Freeze(self.draw_process()),
            2 | 3 => SoakAction::Kill(self.draw_process()),
            4 => SoakAction::Stop(self.draw_process()),
            5 | 6 => SoakAction::Crash(self.rng.random_range(0..self.parts.backends)),
            7 => SoakAction::StoreDown,
            8 => SoakAction::StoreSlow(Duration::from_millis(self.rng.random_range(50..1500))),
            9 => SoakAction::StoreSilent,
            10 if self.rng.random_range(0..2_u8) == 0 => SoakAction::OriginDown,
            10 => SoakAction::Documents(self.rng.random_range(1..6)),
            11 => SoakAction::NameVersion,
            12 => SoakAction::AddKey,
            13 => SoakAction::RevokeKey,
            _ => {
                let part = self.draw_link();
                SoakAction::Link(part, self.draw_link_fault())
            }
        }
    }

    fn draw_process(&mut self) -> SoakPart {
        let PartCounts { entries, hosts, .. } = self.parts;
        match self.rng.random_range(0..entries + hosts) {
            number if number < entries => SoakPart::Entry(number),
            number => SoakPart::Host(number - entries),
        }
    }

    /// Draws the link of an entry host to the store, or the links of all entry hosts to a backend
    /// server.
    fn draw_link(&mut self) -> SoakPart {
        if self.rng.random_range(0..3_u8) == 0 {
            SoakPart::Entry(self.rng.random_range(0..self.parts.entries))
        } else {
            SoakPart::Backend(self.rng.random_range(0..self.parts.backends))
        }
    }

    fn draw_link_fault(&mut self) -> LinkFault {
        match self.rng.random_range(0..5_u8) {
            0 => LinkFault::Delay(Duration::from_millis(self.rng.random_range(20..800))),
            1 => LinkFault::Reset,
            2 => LinkFault::CutCalls,
            3 => LinkFault::CutAnswers,
            _ => LinkFault::Silence,
        }
    }

    /// Reserves the affected part for the duration of `action`; `None` when an earlier action on a
    /// frozen, stopped or killed part still lasts.
    fn reserve(&mut self, action: SoakAction, at: Duration, span: Duration) -> Option<SoakAction> {
        let (part, until) = match action {
            SoakAction::Freeze(part) | SoakAction::Kill(part) => (part, at + span),
            SoakAction::Stop(part) => (part, at + STOP_RESERVED_SPAN),
            SoakAction::Crash(number) | SoakAction::Refuse(number) => {
                (SoakPart::Backend(number), at + span)
            }
            SoakAction::Leave(number) => (SoakPart::Backend(number), at + span + RESTART_SPAN),
            _ => return Some(action),
        };
        let is_busy = |(busy, end): &(SoakPart, Duration)| *busy == part && *end >= at;
        if self.busy.iter().any(is_busy) {
            return None;
        }
        self.busy.push((part, until));
        Some(action)
    }

    fn draw_duration(&mut self, range: &std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range.clone()))
    }
}
