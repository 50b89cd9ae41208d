//! Random rollouts: several hosts' activations over engines that lose answers, report late, restart
//! and refuse, and over a table that is away, answers late or not at all.

use std::time::Duration;

use arbitrary::{Result, Unstructured};
use bytestring::ByteString;

use crate::documents::{RolloutSpec, SpreadObjective, TableAwayRule, WeightsSpec};
use crate::engines::EngineState;
use crate::errors::{ErrorKind, SwitchError};
use crate::membership::{LoadReport, ServingVersion};
use crate::stores::RowRevision;
use crate::time::ClockTime;
use crate::weights::LeaseHolder;
use crate::weights::{
    ActivationInputs, ActivationMachine, ActivationStep, RolloutRow, RowSnapshot, RowWriteResult,
    TargetVersion, WeightsDigest,
};

const HOSTS_MAX: usize = 5;
const STEP: Duration = Duration::from_millis(100);
const WILD_STEPS: usize = 400;
/// How long every host then has to come to what it should serve.
const CALM_STEPS: usize = 6_000;
const PART: f64 = 0.5;

/// What one case is about.
struct Rollout {
    now: ClockTime,
    hosts: Vec<FakeHost>,
    table: FakeTable,
    target: TargetVersion,
    /// No engine loads it.
    bad: Option<WeightsDigest>,
    is_wild: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a state of its own that may stand beside any other"
)]
struct FakeHost {
    name: ByteString,
    machine: ActivationMachine,
    engine: FakeEngine,
    gate: Option<ServingVersion>,
    /// When the order under way is done, and what comes of it.
    order: Option<FakeOrder>,
    /// The document as this host knows it.
    target: TargetVersion,
    incarnation: u64,
    /// Whether the bad version took this host out of service and was refused.
    was_refused: bool,
    /// Whether this process has let requests in.
    has_served: bool,
    /// Whether requests of an earlier version are still under way.
    still_runs: bool,
    /// Whether this host alone does not reach the table.
    is_cut_off: bool,
    /// When this host last gave an order.
    ordered_at: ClockTime,
}

#[derive(Clone)]
struct FakeOrder {
    done_at: ClockTime,
    fence: u64,
    serving: ServingVersion,
    answer_is_lost: bool,
    is_swap: bool,
}

struct FakeEngine {
    serving: Option<ServingVersion>,
    checks_fencing: bool,
    /// Loses what it serves when it does not load another version.
    loses: bool,
    fence: u64,
    /// What it served, by the time from which on.
    past: Vec<(ClockTime, Option<ServingVersion>)>,
}

#[derive(Default)]
struct FakeTable {
    row: Option<(RowRevision, RolloutRow)>,
    last_revision: u64,
    is_away: bool,
}

/// Runs one case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut rollout = Rollout::new(u)?;
    for _ in 0..WILD_STEPS {
        rollout.disturb(u)?;
        rollout.step(u)?;
    }
    rollout.is_wild = false;
    rollout.table.is_away = false;
    let newest = rollout.target.clone();
    for host in &mut rollout.hosts {
        host.target = newest.clone();
        host.is_cut_off = false;
    }
    let mut steps = 0;
    while !rollout.is_done() {
        assert!(
            steps < CALM_STEPS,
            "a host did not come to what it should serve: {}",
            rollout.describe()
        );
        rollout.step(u)?;
        steps += 1;
    }
    Ok(())
}

impl Rollout {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let count = u.int_in_range(1..=HOSTS_MAX)?;
        let bound = u.int_in_range(1..=2)?;
        let stop_after = u.int_in_range(1..=2)?;
        let first = version(1, bound, stop_after);
        let now = ClockTime(0);
        let mut hosts = Vec::new();
        for index in 0..count {
            let name = ByteString::from(format!("host-{index}"));
            hosts.push(FakeHost {
                machine: ActivationMachine::new(holder(&name, 1), now),
                name,
                engine: FakeEngine {
                    serving: None,
                    checks_fencing: u.arbitrary()?,
                    loses: u.arbitrary()?,
                    fence: 0,
                    past: vec![(now, None)],
                },
                gate: None,
                order: None,
                target: first.clone(),
                incarnation: 1,
                was_refused: false,
                has_served: false,
                still_runs: false,
                is_cut_off: false,
                ordered_at: now,
            });
        }
        Ok(Self {
            now,
            hosts,
            table: FakeTable::default(),
            target: first,
            bad: None,
            is_wild: true,
        })
    }

    /// All serve what they should: the wanted version, or, when that is bad, something older.
    fn is_done(&self) -> bool {
        let target = self.target.digest;
        self.hosts.iter().all(|host| {
            let open = host.gate.as_ref().map(|serving| serving.digest);
            let is_right = match self.bad {
                // A process that found an empty engine knows no older version to go back to.
                Some(bad) if bad == target => match open {
                    Some(digest) => digest != bad,
                    None => !host.has_served,
                },
                _ => open == Some(target),
            };
            is_right && !host.machine.is_changing()
        })
    }

    fn describe(&self) -> String {
        let hosts = self.hosts.iter().map(|host| {
            let open = host.gate.as_ref().map(|serving| serving.version.clone());
            format!("{} open for {open:?}, {:?}\n", host.name, host.machine)
        });
        let hosts: String = hosts.collect();
        format!(
            "wanted {:?}, row {:?}\n{hosts}",
            self.target, self.table.row
        )
    }

    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !u.ratio(1, 15)? {
            return Ok(());
        }
        let index = u.choose_index(self.hosts.len())?;
        match u.int_in_range(0..=5)? {
            5 => self.hosts[index].is_cut_off = !self.hosts[index].is_cut_off,
            0 => self.table.is_away = !self.table.is_away,
            1 => self.restart_process(index),
            2 => self.hosts[index].engine.serve(None, self.now),
            3 => self.hosts[index].target = self.target.clone(),
            _ => self.want_another(u)?,
        }
        Ok(())
    }

    /// A new document, which some hosts see at once. After a first version that is served
    /// everywhere, one that no engine loads may come.
    fn want_another(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let number = self.target.document + 1;
        let rollout = &self.target.rollout;
        self.target = version(
            number,
            rollout.max_out_of_service,
            rollout.stop_after_failures,
        );
        let all_serve = self.hosts.iter().all(|host| host.engine.serving.is_some());
        self.bad = (all_serve && u.ratio(1, 3)?).then_some(self.target.digest);
        for host in &mut self.hosts {
            host.was_refused = false;
            if u.ratio(3, 4)? {
                host.target = self.target.clone();
            }
        }
        Ok(())
    }

    /// A new process on the host knows nothing; the engine and an order under way go on.
    fn restart_process(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.machine = ActivationMachine::new(holder(&host.name, host.incarnation), self.now);
        host.gate = None;
        host.has_served = false;
        if let Some(order) = host.order.as_mut() {
            order.answer_is_lost = true;
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for index in 0..self.hosts.len() {
            self.finish_order(index);
            self.act(u, index)?;
        }
        let bound = usize::try_from(self.target.rollout.max_out_of_service).unwrap_or(0);
        let out = self.hosts.iter().filter(|host| host.machine.is_swapping());
        assert!(
            out.count() <= bound,
            "more hosts than allowed are out of service: {}",
            self.describe()
        );
        let stop_after = usize::try_from(self.target.rollout.stop_after_failures).unwrap_or(0);
        let refused = self.hosts.iter().filter(|host| host.was_refused).count();
        assert!(
            refused < stop_after + bound,
            "a bad version went on after it should have stopped: {}",
            self.describe()
        );
        self.now = self.now + STEP;
        Ok(())
    }

    fn finish_order(&mut self, index: usize) {
        let now = self.now;
        let bad = self.bad;
        let host = &mut self.hosts[index];
        let Some(order) = host.order.take_if(|order| order.done_at <= now) else {
            return;
        };
        let answer = if host.engine.checks_fencing && order.fence < host.engine.fence {
            Err(SwitchError::new(ErrorKind::OrderStale, "an old number"))
        } else if Some(order.serving.digest) == bad {
            host.was_refused |= order.is_swap;
            if host.engine.loses {
                host.engine.serve(None, now);
            }
            Err(SwitchError::new(
                ErrorKind::ActivationFailed,
                "does not load",
            ))
        } else {
            host.engine.fence = order.fence;
            host.engine.serve(Some(order.serving), now);
            Ok(())
        };
        let answer = if order.answer_is_lost {
            Err(SwitchError::new(ErrorKind::PeerSilent, "no answer"))
        } else {
            answer
        };
        if host.machine.is_ordering() {
            host.machine.on_ordered(answer, now);
        }
    }

    /// Carries out steps of a host until one of them waits.
    fn act(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        for _ in 0..6 {
            let now = self.now;
            let host = &mut self.hosts[index];
            let gate = host.gate.clone();
            let view = ActivationInputs {
                target: Some(&host.target),
                is_complete: &|_| true,
                gate: gate.as_ref(),
                is_live: &|_| true,
                batches_ahead: 0,
                jitter: PART,
            };
            match host.machine.next_step(&view, now) {
                ActivationStep::WaitUntil(_) => return Ok(()),
                ActivationStep::ReadEngine => self.read_engine(u, index)?,
                ActivationStep::ReadRow => {
                    let answer = if host.is_cut_off {
                        Err(away())
                    } else {
                        self.table.read()
                    };
                    self.hosts[index].machine.on_row(answer, PART, now);
                }
                ActivationStep::WriteRow { expected, row } => {
                    let is_lost = self.is_wild && u.ratio(1, 6)?;
                    let answer = if host.is_cut_off {
                        Err(away())
                    } else {
                        self.table.write(expected, row, is_lost)
                    };
                    self.hosts[index].machine.on_written(answer, PART, now);
                }
                ActivationStep::CloseGate => {
                    host.gate = None;
                    let all_ended = !self.is_wild || u.ratio(2, 3)?;
                    let host = &mut self.hosts[index];
                    host.still_runs = !all_ended;
                    host.machine.on_gate_closed(all_ended);
                }
                ActivationStep::Order { fence, serving } => {
                    self.take_order(u, index, fence, serving)?;
                }
                ActivationStep::OpenGate(serving) => {
                    host.engine.assert_served(&serving, host.ordered_at, now);
                    host.gate = Some(serving);
                    host.has_served = true;
                }
            }
        }
        Ok(())
    }

    fn take_order(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        fence: u64,
        serving: ServingVersion,
    ) -> Result<()> {
        let millis = match self.is_wild {
            true if u.ratio(1, 6)? => 15_000,
            true => u.int_in_range(0..=3_000)?,
            false => 300,
        };
        let order = FakeOrder {
            done_at: self.now + Duration::from_millis(millis),
            fence,
            serving,
            answer_is_lost: self.is_wild && u.ratio(1, 5)?,
            is_swap: self.hosts[index].machine.is_swapping(),
        };
        let host = &mut self.hosts[index];
        assert!(
            host.gate.is_none(),
            "an order was given while requests were let in"
        );
        assert!(
            !host.still_runs,
            "an order was given while requests were under way"
        );
        host.ordered_at = self.now;
        if let Some(earlier) = &host.order {
            // Of an earlier process on the host; the machine itself gives one at a time.
            assert!(
                earlier.answer_is_lost,
                "two orders of one process at a time"
            );
        }
        host.order = Some(order);
        Ok(())
    }

    fn read_engine(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let now = self.now;
        let lag_ms = if self.is_wild {
            u.int_in_range(0..=900)?
        } else {
            0
        };
        let is_silent = self.is_wild && u.ratio(1, 8)?;
        let host = &mut self.hosts[index];
        let answer = if is_silent {
            Err(SwitchError::new(ErrorKind::PeerSilent, "no answer"))
        } else {
            Ok(EngineState {
                load: LoadReport::default(),
                serving: host.engine.served_at(now - Duration::from_millis(lag_ms)),
                fence: host.engine.fence,
                age_ms: lag_ms,
            })
        };
        host.machine.on_engine(answer, now, now);
        Ok(())
    }
}

impl FakeEngine {
    fn serve(&mut self, serving: Option<ServingVersion>, now: ClockTime) {
        self.past.push((now, serving.clone()));
        self.serving = serving;
    }

    fn served_at(&self, then: ClockTime) -> Option<ServingVersion> {
        let held = self.past.iter().rev().find(|(since, _)| *since <= then);
        held.and_then(|(_, serving)| serving.clone())
    }

    /// The gate opens only for what the engine served after the last order, at most a report's lag
    /// and a look ago.
    fn assert_served(&self, serving: &ServingVersion, ordered_at: ClockTime, now: ClockTime) {
        let lately = ordered_at.max(now - Duration::from_secs(2));
        let in_force = self.served_at(lately);
        let since = self.past.iter().filter(|(since, _)| *since >= lately);
        let mut served = since.filter_map(|(_, serving)| serving.as_ref());
        assert!(
            in_force.as_ref() == Some(serving) || served.any(|known| known == serving),
            "the gate opened for a version that the engine does not serve"
        );
    }
}

impl FakeTable {
    fn read(&self) -> std::result::Result<RowSnapshot, SwitchError> {
        if self.is_away {
            return Err(away());
        }
        Ok(self.seen())
    }

    fn write(
        &mut self,
        expected: RowRevision,
        row: RolloutRow,
        is_lost: bool,
    ) -> std::result::Result<RowWriteResult, SwitchError> {
        if self.is_away {
            return Err(away());
        }
        if self.seen().revision != expected {
            return Ok(RowWriteResult::Conflict(self.seen()));
        }
        let last = self.row.as_ref().map_or(0, |(_, row)| row.fence);
        assert!(row.fence >= last, "a fencing number went back");
        self.last_revision += 1;
        self.row = Some((RowRevision(self.last_revision), row));
        if is_lost {
            return Err(away());
        }
        Ok(RowWriteResult::Written)
    }

    fn seen(&self) -> RowSnapshot {
        match &self.row {
            Some((revision, row)) => RowSnapshot {
                revision: *revision,
                row: row.clone(),
            },
            None => RowSnapshot::absent(),
        }
    }
}

fn away() -> SwitchError {
    SwitchError::new(ErrorKind::TableUnavailable, "away")
}

fn holder(name: &ByteString, incarnation: u64) -> LeaseHolder {
    LeaseHolder {
        host: name.clone(),
        incarnation,
    }
}

fn version(number: u64, max_out_of_service: u32, stop_after_failures: u32) -> TargetVersion {
    let digest = WeightsDigest::of(&number.to_be_bytes());
    TargetVersion {
        service: "sky-writer".into(),
        document: number,
        spec: WeightsSpec {
            version: format!("v{number}").into(),
            source: "weights".into(),
            digest: digest.to_string().into(),
            objective: SpreadObjective::Time,
        },
        rollout: RolloutSpec {
            max_out_of_service,
            table_away: TableAwayRule::IdleHostsOnly,
            stop_after_failures,
        },
        digest,
    }
}
