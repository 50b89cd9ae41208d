//! Driver of the [`ActivationMachine`]: carries out its steps on the engine, the gate and the
//! table.

use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::activation::{ActivationInputs, ActivationMachine, ActivationStep};
use super::digest::WeightsDigest;
use super::events;
use super::rollout_row::{RolloutRow, RowSnapshot, RowWriteResult};
use super::staged_version::VersionCache;
use super::target_version::TargetVersion;
use super::weights_tasks::WeightsContext;
use crate::control::{ControlSnapshot, MemberState};
use crate::engines::LoadOrder;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::membership::ServingVersion;
use crate::metrics;
use crate::stores::{RowRevision, TableRow, WriteResult};
use crate::time::clock_now;
use crate::weights::LeaseHolder;

const WAIT_MAX: Duration = Duration::from_millis(200);
const WAIT_MIN: Duration = Duration::from_millis(5);
const GATE_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The task that brings the engine to the target version.
pub(crate) struct ActivationDriver {
    context: WeightsContext,
    versions: VersionCache,
    machine: ActivationMachine,
    order: Option<JoinHandle<SwitchResult<()>>>,
    is_stop_logged: bool,
}

impl ActivationDriver {
    /// Creates the driver of the process that `context` belongs to.
    pub(crate) fn new(context: WeightsContext, versions: VersionCache) -> Self {
        let identity = context.control.identity();
        let holder = LeaseHolder {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
        };
        Self {
            machine: ActivationMachine::new(holder, clock_now()),
            context,
            versions,
            order: None,
            is_stop_logged: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            self.collect_order_result().await;
            let target = TargetVersion::read(&self.context.control);
            let gate = self.context.gate.serving();
            self.publish_serving(target.as_ref(), gate.as_ref());
            let step = self.decide(target.as_ref(), gate.as_ref());
            self.execute(step, target.as_ref()).await;
        }
    }

    fn decide(
        &mut self,
        target: Option<&TargetVersion>,
        gate: Option<&ServingVersion>,
    ) -> ActivationStep {
        let snapshot = self.context.control.snapshot().load();
        let is_leaving = self.context.drain.is_draining() && !self.machine.is_changing();
        let versions = &self.versions;
        let inputs = ActivationInputs {
            // A host that is draining starts no change.
            target: target.filter(|_| !is_leaving),
            is_complete: &|digest: WeightsDigest| {
                versions
                    .find(digest)
                    .is_some_and(|version| version.is_complete())
            },
            gate,
            is_live: &|host: &str| {
                let member = snapshot.member(host);
                member.is_some_and(|member| member.state == MemberState::Live)
            },
            batches_ahead: target.map_or(0, |target| self.batches_ahead(&snapshot, target)),
            jitter: rand::rng().random(),
        };
        self.machine.next_step(&inputs, clock_now())
    }

    async fn execute(&mut self, step: ActivationStep, target: Option<&TargetVersion>) {
        match step {
            ActivationStep::WaitUntil(until) => {
                let wait = until.since(clock_now());
                sleep(wait.clamp(WAIT_MIN, WAIT_MAX)).await;
            }
            ActivationStep::ReadEngine => self.read_engine().await,
            ActivationStep::ReadRow => {
                let answer = self.read_row(target).await;
                let jitter = rand::rng().random();
                self.machine.on_row(answer, jitter, clock_now());
                self.log_stopped();
            }
            ActivationStep::WriteRow { expected, row } => {
                let answer = self.write_row(target, expected, &row).await;
                let jitter = rand::rng().random();
                self.machine.on_written(answer, jitter, clock_now());
            }
            ActivationStep::CloseGate => {
                let all_ended = self.context.gate.close(GATE_CLOSE_TIMEOUT).await;
                if !all_ended {
                    log_event!(events::GATE_CLOSE_PENDING);
                }
                self.machine.on_gate_closed(all_ended);
            }
            ActivationStep::Order { fence, serving } => self.give_order(fence, serving),
            ActivationStep::OpenGate(serving) => {
                // Requests of a previous version must have ended, or responses of two versions
                // would mix.
                if self.context.gate.close(GATE_CLOSE_TIMEOUT).await {
                    log_event!(
                        events::VERSION_SERVED,
                        "{} {}",
                        serving.version,
                        serving.digest
                    );
                    self.context.gate.open(serving);
                }
            }
        }
    }

    async fn read_engine(&mut self) {
        let queried_at = clock_now();
        let answer = self.context.engine.read_state().await;
        if let Err(error) = &answer {
            metrics::count_retry(error.kind);
            log_event!(events::ENGINE_UNREADABLE, "{error}");
        }
        self.machine.on_engine(answer, queried_at, clock_now());
    }

    fn give_order(&mut self, fence: u64, serving: ServingVersion) {
        let Some(version) = self.versions.find(serving.digest) else {
            let evicted = SwitchError::new(ErrorKind::Internal, "the version was evicted");
            self.machine.on_ordered(Err(evicted), clock_now());
            return;
        };
        assert!(
            version.is_complete(),
            "an order was given for an incomplete version"
        );
        let address = self.context.control.identity().peer_address;
        let order = LoadOrder {
            fence,
            source_url: format!("http://{address}/engine/weights/{}", serving.digest),
            size: version.manifest().size,
            serving,
        };
        log_event!(
            events::ORDER_GIVEN,
            "{} fence {fence}",
            order.serving.version
        );
        let engine = std::sync::Arc::clone(&self.context.engine);
        self.order = Some(tokio::spawn(
            async move { engine.load_version(&order).await },
        ));
    }

    /// Passes the result of an order to the machine once the order has been answered.
    async fn collect_order_result(&mut self) {
        let Some(task) = self.order.take_if(|task| task.is_finished()) else {
            return;
        };
        let into_error = |error: tokio::task::JoinError| {
            Err(SwitchError::new(ErrorKind::Internal, error.to_string()))
        };
        let answer = task.await.unwrap_or_else(into_error);
        if let Err(error) = &answer {
            metrics::count_refusal(error.kind, "weights");
            let event = match error.kind {
                ErrorKind::ActivationFailed => events::LOAD_FAILED,
                _ => events::ORDER_READ_BACK,
            };
            log_event!(event, "{error}");
        }
        self.machine.on_ordered(answer, clock_now());
    }

    async fn read_row(&self, target: Option<&TargetVersion>) -> SwitchResult<RowSnapshot> {
        let Some(target) = target else {
            return Ok(RowSnapshot::absent());
        };
        let row = self.context.table.read(&row_key(&target.service)).await?;
        parse_row(row)
    }

    async fn write_row(
        &self,
        target: Option<&TargetVersion>,
        expected: RowRevision,
        row: &RolloutRow,
    ) -> SwitchResult<RowWriteResult> {
        let Some(target) = target else {
            return Ok(RowWriteResult::Conflict(RowSnapshot::absent()));
        };
        let text = serde_json::to_vec(row)
            .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))?;
        let key = row_key(&target.service);
        match self
            .context
            .table
            .write(&key, expected, text.into())
            .await?
        {
            WriteResult::Written(_) => Ok(RowWriteResult::Written),
            WriteResult::Conflict(current) => parse_row(current).map(RowWriteResult::Conflict),
        }
    }

    /// How many rollout batches of hosts that still serve another version go before this host.
    fn batches_ahead(&self, snapshot: &ControlSnapshot, target: &TargetVersion) -> u32 {
        let local = &self.context.control.identity().host;
        let hosts_ahead = snapshot.members.iter().filter(|member| {
            let status = member.status.as_ref();
            let serving = status.and_then(|status| status.serving.as_ref());
            member.host < *local
                && member.state == MemberState::Live
                && member.service.as_ref() == Some(&target.service)
                && serving.is_some_and(|serving| serving.digest != target.digest)
        });
        let hosts_ahead = u32::try_from(hosts_ahead.count()).unwrap_or(u32::MAX);
        hosts_ahead / target.rollout.max_out_of_service.max(1)
    }

    /// Publishes the serving version. If the target has the same digest under a new version name,
    /// the new name is published.
    fn publish_serving(&self, target: Option<&TargetVersion>, gate: Option<&ServingVersion>) {
        let serving = match (target, gate) {
            (Some(target), Some(gate)) if gate.digest == target.digest => Some(target.serving()),
            (_, gate) => gate.cloned(),
        };
        // A host that is about to change version publishes so before its gate closes.
        let serving = serving.filter(|_| !self.machine.is_swapping());
        let is_done = match (target, &serving) {
            (Some(target), Some(serving)) => serving.digest == target.digest,
            (None, _) => true,
            _ => false,
        };
        self.context.publisher.update(|status| {
            status.serving = serving;
            if is_done {
                status.staging = None;
            }
        });
    }

    fn log_stopped(&mut self) {
        let stopped = self.machine.stopped().map(ToOwned::to_owned);
        if let Some(reason) = &stopped
            && !self.is_stop_logged
        {
            log_event!(events::ROLLOUT_STOPPED, "{reason}");
        }
        self.is_stop_logged = stopped.is_some();
    }
}

fn row_key(service: &ByteString) -> String {
    format!("rollouts/{service}")
}

fn parse_row(row: Option<TableRow>) -> SwitchResult<RowSnapshot> {
    let Some(row) = row else {
        return Ok(RowSnapshot::absent());
    };
    let parsed = serde_json::from_slice(&row.value).map_err(|error| {
        SwitchError::new(
            ErrorKind::TableUnavailable,
            format!("cannot parse row {}: {error}", row.key),
        )
    })?;
    Ok(RowSnapshot {
        revision: row.revision,
        row: parsed,
    })
}
