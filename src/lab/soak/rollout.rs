//! Drives random rollouts: the activation machines of several hosts, whose engines lose responses,
//! report late, restart and reject orders, and whose shared table is unavailable or loses
//! responses.

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
const FAULT_STEPS: usize = 400;
/// Steps without faults within which every host must serve the expected version.
const RECOVERY_STEPS: usize = 6_000;
const JITTER: f64 = 0.5;

/// State of one case.
struct RolloutCase {
    now: ClockTime,
    hosts: Vec<FakeHost>,
    table: FakeTable,
    target: TargetVersion,
    /// The version that no engine can load, if there is one.
    unloadable_digest: Option<WeightsDigest>,
    /// Whether random faults are injected.
    has_faults: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
struct FakeHost {
    name: ByteString,
    machine: ActivationMachine,
    engine: FakeEngine,
    /// The version for which the host admits requests.
    gate: Option<ServingVersion>,
    /// The order that the engine carries out.
    order: Option<FakeOrder>,
    /// The target version as this host knows it, which may be stale.
    target: TargetVersion,
    incarnation: u64,
    /// Whether the host was out of service for the unloadable version and its engine rejected it.
    has_failed_swap: bool,
    /// Whether this process has admitted requests.
    has_served: bool,
    /// Whether requests on the previous version are still running.
    has_running_requests: bool,
    /// Whether this host, unlike the others, cannot reach the table.
    is_cut_off_from_table: bool,
    /// When this host last gave its engine an order.
    last_order_at: ClockTime,
}

#[derive(Clone)]
struct FakeOrder {
    done_at: ClockTime,
    fence: u64,
    serving: ServingVersion,
    is_response_lost: bool,
    /// Whether the host was out of service for the order.
    is_swap: bool,
}

struct FakeEngine {
    serving: Option<ServingVersion>,
    /// Whether it rejects orders with a fencing number lower than the greatest so far.
    checks_fencing: bool,
    /// Whether it unloads the current version when it fails to load another.
    unloads_on_failure: bool,
    fence: u64,
    /// The versions that it has served, each with the time from which it was served.
    history: Vec<(ClockTime, Option<ServingVersion>)>,
}

#[derive(Default)]
struct FakeTable {
    row: Option<(RowRevision, RolloutRow)>,
    last_revision: u64,
    is_unavailable: bool,
}

/// Runs one random case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = RolloutCase::new(u)?;
    for _ in 0..FAULT_STEPS {
        case.inject_fault(u)?;
        case.step(u)?;
    }
    case.has_faults = false;
    case.table.is_unavailable = false;
    let newest = case.target.clone();
    for host in &mut case.hosts {
        host.target = newest.clone();
        host.is_cut_off_from_table = false;
    }
    let mut steps = 0;
    while !case.is_done() {
        assert!(
            steps < RECOVERY_STEPS,
            "a host does not serve the expected version after the recovery steps: {}",
            case.describe()
        );
        case.step(u)?;
        steps += 1;
    }
    Ok(())
}

impl RolloutCase {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let count = u.int_in_range(1..=HOSTS_MAX)?;
        let max_out_of_service = u.int_in_range(1..=2)?;
        let stop_after = u.int_in_range(1..=2)?;
        let first_target = target_version(1, max_out_of_service, stop_after);
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
                    unloads_on_failure: u.arbitrary()?,
                    fence: 0,
                    history: vec![(now, None)],
                },
                gate: None,
                order: None,
                target: first_target.clone(),
                incarnation: 1,
                has_failed_swap: false,
                has_served: false,
                has_running_requests: false,
                is_cut_off_from_table: false,
                last_order_at: now,
            });
        }
        Ok(Self {
            now,
            hosts,
            table: FakeTable::default(),
            target: first_target,
            unloadable_digest: None,
            has_faults: true,
        })
    }

    /// Returns whether all hosts serve the target version or, if no engine can load it, a previous
    /// one.
    fn is_done(&self) -> bool {
        let target = self.target.digest;
        self.hosts.iter().all(|host| {
            let served_digest = host.gate.as_ref().map(|serving| serving.digest);
            let serves_expected = match self.unloadable_digest {
                // A process that started with an empty engine knows no previous version to restore.
                Some(unloadable_digest) if unloadable_digest == target => match served_digest {
                    Some(digest) => digest != unloadable_digest,
                    None => !host.has_served,
                },
                _ => served_digest == Some(target),
            };
            serves_expected && !host.machine.is_changing()
        })
    }

    fn describe(&self) -> String {
        let hosts = self.hosts.iter().map(|host| {
            let served = host.gate.as_ref().map(|serving| serving.version.clone());
            format!(
                "{} admits requests for {served:?}, {:?}\n",
                host.name, host.machine
            )
        });
        let hosts: String = hosts.collect();
        format!(
            "target {:?}, row {:?}\n{hosts}",
            self.target, self.table.row
        )
    }

    /// Injects or ends a fault at random, or changes the target version.
    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !u.ratio(1, 15)? {
            return Ok(());
        }
        let index = u.choose_index(self.hosts.len())?;
        match u.int_in_range(0..=5)? {
            5 => self.hosts[index].is_cut_off_from_table = !self.hosts[index].is_cut_off_from_table,
            0 => self.table.is_unavailable = !self.table.is_unavailable,
            1 => self.restart_process(index),
            2 => self.hosts[index].engine.serve(None, self.now),
            3 => self.hosts[index].target = self.target.clone(),
            _ => self.set_next_target(u)?,
        }
        Ok(())
    }

    /// Sets a new target version, which some hosts know at once. If all engines serve a version,
    /// the new one may be one that no engine can load.
    fn set_next_target(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let document_version = self.target.document + 1;
        let rollout = &self.target.rollout;
        self.target = target_version(
            document_version,
            rollout.max_out_of_service,
            rollout.stop_after_failures,
        );
        let all_serve = self.hosts.iter().all(|host| host.engine.serving.is_some());
        self.unloadable_digest = (all_serve && u.ratio(1, 3)?).then_some(self.target.digest);
        for host in &mut self.hosts {
            host.has_failed_swap = false;
            if u.ratio(3, 4)? {
                host.target = self.target.clone();
            }
        }
        Ok(())
    }

    /// Starts a new process on the host without any state. The engine and its running order
    /// continue, but the response to that order is lost.
    fn restart_process(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.machine = ActivationMachine::new(holder(&host.name, host.incarnation), self.now);
        host.gate = None;
        host.has_served = false;
        if let Some(order) = host.order.as_mut() {
            order.is_response_lost = true;
        }
    }

    /// Runs all hosts for one step of the clock and checks the limits of the rollout.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for index in 0..self.hosts.len() {
            self.complete_order(index);
            self.run_host_steps(u, index)?;
        }
        let max_out_of_service =
            usize::try_from(self.target.rollout.max_out_of_service).unwrap_or(0);
        let out_of_service = self.hosts.iter().filter(|host| host.machine.is_swapping());
        assert!(
            out_of_service.count() <= max_out_of_service,
            "more hosts are out of service than allowed: {}",
            self.describe()
        );
        let stop_after = usize::try_from(self.target.rollout.stop_after_failures).unwrap_or(0);
        let failed_swaps = self
            .hosts
            .iter()
            .filter(|host| host.has_failed_swap)
            .count();
        assert!(
            failed_swaps < stop_after + max_out_of_service,
            "the rollout of an unloadable version continued after too many failures: {}",
            self.describe()
        );
        self.now = self.now + STEP;
        Ok(())
    }

    /// Completes the order of a host that is due, and passes the response to the host's machine.
    fn complete_order(&mut self, index: usize) {
        let now = self.now;
        let unloadable_digest = self.unloadable_digest;
        let host = &mut self.hosts[index];
        let Some(order) = host.order.take_if(|order| order.done_at <= now) else {
            return;
        };
        let response = if host.engine.checks_fencing && order.fence < host.engine.fence {
            Err(SwitchError::new(
                ErrorKind::OrderStale,
                "the fencing number is outdated",
            ))
        } else if Some(order.serving.digest) == unloadable_digest {
            host.has_failed_swap |= order.is_swap;
            if host.engine.unloads_on_failure {
                host.engine.serve(None, now);
            }
            Err(SwitchError::new(
                ErrorKind::ActivationFailed,
                "the engine cannot load the version",
            ))
        } else {
            host.engine.fence = order.fence;
            host.engine.serve(Some(order.serving), now);
            Ok(())
        };
        let response = if order.is_response_lost {
            Err(SwitchError::new(
                ErrorKind::PeerSilent,
                "no response from the engine",
            ))
        } else {
            response
        };
        if host.machine.is_ordering() {
            host.machine.on_ordered(response, now);
        }
    }

    /// Carries out the steps of a host until it waits, at most six of them.
    fn run_host_steps(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        for _ in 0..6 {
            let now = self.now;
            let host = &mut self.hosts[index];
            let gate = host.gate.clone();
            let inputs = ActivationInputs {
                target: Some(&host.target),
                is_complete: &|_| true,
                gate: gate.as_ref(),
                is_live: &|_| true,
                batches_ahead: 0,
                jitter: JITTER,
            };
            match host.machine.next_step(&inputs, now) {
                ActivationStep::WaitUntil(_) => return Ok(()),
                ActivationStep::ReadEngine => self.read_engine(u, index)?,
                ActivationStep::ReadRow => {
                    let response = if host.is_cut_off_from_table {
                        Err(table_unavailable())
                    } else {
                        self.table.read()
                    };
                    self.hosts[index].machine.on_row(response, JITTER, now);
                }
                ActivationStep::WriteRow { expected, row } => {
                    let is_lost = self.has_faults && u.ratio(1, 6)?;
                    let response = if host.is_cut_off_from_table {
                        Err(table_unavailable())
                    } else {
                        self.table.write(expected, row, is_lost)
                    };
                    self.hosts[index].machine.on_written(response, JITTER, now);
                }
                ActivationStep::CloseGate => {
                    host.gate = None;
                    let all_ended = !self.has_faults || u.ratio(2, 3)?;
                    let host = &mut self.hosts[index];
                    host.has_running_requests = !all_ended;
                    host.machine.on_gate_closed(all_ended);
                }
                ActivationStep::Order { fence, serving } => {
                    self.receive_order(u, index, fence, serving)?;
                }
                ActivationStep::OpenGate(serving) => {
                    host.engine.assert_served(&serving, host.last_order_at, now);
                    host.gate = Some(serving);
                    host.has_served = true;
                }
            }
        }
        Ok(())
    }

    /// Passes an order to a host's engine, which completes it later.
    fn receive_order(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        fence: u64,
        serving: ServingVersion,
    ) -> Result<()> {
        let millis = match self.has_faults {
            true if u.ratio(1, 6)? => 15_000,
            true => u.int_in_range(0..=3_000)?,
            false => 300,
        };
        let order = FakeOrder {
            done_at: self.now + Duration::from_millis(millis),
            fence,
            serving,
            is_response_lost: self.has_faults && u.ratio(1, 5)?,
            is_swap: self.hosts[index].machine.is_swapping(),
        };
        let host = &mut self.hosts[index];
        assert!(
            host.gate.is_none(),
            "an order was given while requests were admitted"
        );
        assert!(
            !host.has_running_requests,
            "an order was given while requests were running"
        );
        host.last_order_at = self.now;
        if let Some(earlier) = &host.order {
            // The earlier order is of a previous process on the host, since a machine gives one
            // order at a time.
            assert!(
                earlier.is_response_lost,
                "one process gave two orders at a time"
            );
        }
        host.order = Some(order);
        Ok(())
    }

    /// Reports the state of a host's engine, possibly delayed, or a lost response.
    fn read_engine(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let now = self.now;
        let lag_ms = if self.has_faults {
            u.int_in_range(0..=900)?
        } else {
            0
        };
        let is_unresponsive = self.has_faults && u.ratio(1, 8)?;
        let host = &mut self.hosts[index];
        let response = if is_unresponsive {
            Err(SwitchError::new(
                ErrorKind::PeerSilent,
                "no response from the engine",
            ))
        } else {
            Ok(EngineState {
                load: LoadReport::default(),
                serving: host.engine.served_at(now - Duration::from_millis(lag_ms)),
                fence: host.engine.fence,
                age_ms: lag_ms,
            })
        };
        host.machine.on_engine(response, now, now);
        Ok(())
    }
}

impl FakeEngine {
    fn serve(&mut self, serving: Option<ServingVersion>, now: ClockTime) {
        self.history.push((now, serving.clone()));
        self.serving = serving;
    }

    /// Returns what the engine served at the given time.
    fn served_at(&self, time: ClockTime) -> Option<ServingVersion> {
        let entry = self.history.iter().rev().find(|(since, _)| *since <= time);
        entry.and_then(|(_, serving)| serving.clone())
    }

    /// Checks that the gate opens only for a version that the engine has served since the last
    /// order and within the last 2 s, which covers the delay of a report and the interval between
    /// reads.
    fn assert_served(&self, serving: &ServingVersion, last_order_at: ClockTime, now: ClockTime) {
        let window_start = last_order_at.max(now - Duration::from_secs(2));
        let served_at_start = self.served_at(window_start);
        let recent = self
            .history
            .iter()
            .filter(|(since, _)| *since >= window_start);
        let mut served = recent.filter_map(|(_, serving)| serving.as_ref());
        assert!(
            served_at_start.as_ref() == Some(serving)
                || served.any(|served_version| served_version == serving),
            "the gate opened for a version that the engine does not serve"
        );
    }
}

impl FakeTable {
    fn read(&self) -> std::result::Result<RowSnapshot, SwitchError> {
        if self.is_unavailable {
            return Err(table_unavailable());
        }
        Ok(self.snapshot())
    }

    /// Writes the row if its revision is `expected`. With `is_lost`, the write succeeds but its
    /// response is lost.
    fn write(
        &mut self,
        expected: RowRevision,
        row: RolloutRow,
        is_lost: bool,
    ) -> std::result::Result<RowWriteResult, SwitchError> {
        if self.is_unavailable {
            return Err(table_unavailable());
        }
        if self.snapshot().revision != expected {
            return Ok(RowWriteResult::Conflict(self.snapshot()));
        }
        let last = self.row.as_ref().map_or(0, |(_, row)| row.fence);
        assert!(row.fence >= last, "a fencing number decreased");
        self.last_revision += 1;
        self.row = Some((RowRevision(self.last_revision), row));
        if is_lost {
            return Err(table_unavailable());
        }
        Ok(RowWriteResult::Written)
    }

    fn snapshot(&self) -> RowSnapshot {
        match &self.row {
            Some((revision, row)) => RowSnapshot {
                revision: *revision,
                row: row.clone(),
            },
            None => RowSnapshot::absent(),
        }
    }
}

fn table_unavailable() -> SwitchError {
    SwitchError::new(ErrorKind::TableUnavailable, "the table is unavailable")
}

fn holder(name: &ByteString, incarnation: u64) -> LeaseHolder {
    LeaseHolder {
        host: name.clone(),
        incarnation,
    }
}

fn target_version(
    document_version: u64,
    max_out_of_service: u32,
    stop_after_failures: u32,
) -> TargetVersion {
    let digest = WeightsDigest::of(&document_version.to_be_bytes());
    TargetVersion {
        service: "sky-writer".into(),
        document: document_version,
        spec: WeightsSpec {
            version: format!("v{document_version}").into(),
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
