//! Carries out what the [`ActivationMachine`] decides, towards the engine, the gate and the table.

use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::activation::{ActivationMachine, ActivationStep, ActivationView};
use super::digest::WeightsDigest;
use super::events;
use super::rollout_row::{RolloutRow, RowOutcome, SeenRow};
use super::staged_version::VersionShelf;
use super::wanted_version::WantedVersion;
use super::weights_thread::WeightsEdges;
use crate::control::{ControlSnapshot, MemberState};
use crate::engines::LoadOrder;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::membership::ServingVersion;
use crate::metrics;
use crate::stores::{RowRevision, TableRow, WriteResult};
use crate::time::clock_now;
use crate::weights::LeaseHolder;

const WAIT_MOST: Duration = Duration::from_millis(200);
const WAIT_LEAST: Duration = Duration::from_millis(5);
const GATE_WAIT: Duration = Duration::from_millis(500);

/// The task that brings the engine to what the document wants.
pub(crate) struct ActivationEdge {
    edges: WeightsEdges,
    shelf: VersionShelf,
    machine: ActivationMachine,
    order: Option<JoinHandle<SwitchResult<()>>>,
    stopped_told: bool,
}

impl ActivationEdge {
    /// The task of the process with `edges`.
    pub(crate) fn new(edges: WeightsEdges, shelf: VersionShelf) -> Self {
        let identity = edges.control.identity();
        let holder = LeaseHolder {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
        };
        Self {
            machine: ActivationMachine::new(holder, clock_now()),
            edges,
            shelf,
            order: None,
            stopped_told: false,
        }
    }

    /// Works until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            self.take_order().await;
            let wanted = WantedVersion::read(&self.edges.control);
            let gate = self.edges.gate.serving();
            self.tell_serving(wanted.as_ref(), gate.as_ref());
            let step = self.decide(wanted.as_ref(), gate.as_ref());
            self.carry_out(step, wanted.as_ref()).await;
        }
    }

    fn decide(
        &mut self,
        wanted: Option<&WantedVersion>,
        gate: Option<&ServingVersion>,
    ) -> ActivationStep {
        let snapshot = self.edges.control.snapshot().load();
        let is_leaving = self.edges.drain.is_draining() && !self.machine.is_changing();
        let versions = &self.shelf;
        let view = ActivationView {
            // A host that leaves begins no change.
            wanted: wanted.filter(|_| !is_leaving),
            is_whole: &|digest: WeightsDigest| {
                versions
                    .find(digest)
                    .is_some_and(|version| version.is_whole())
            },
            gate,
            is_live: &|host: &str| {
                let member = snapshot.member(host);
                member.is_some_and(|member| member.state == MemberState::Live)
            },
            place: wanted.map_or(0, |wanted| self.place(&snapshot, wanted)),
            part: rand::rng().random(),
        };
        self.machine.next_step(&view, clock_now())
    }

    async fn carry_out(&mut self, step: ActivationStep, wanted: Option<&WantedVersion>) {
        match step {
            ActivationStep::WaitUntil(until) => {
                let wait = until.since(clock_now());
                sleep(wait.clamp(WAIT_LEAST, WAIT_MOST)).await;
            }
            ActivationStep::ReadEngine => self.read_engine().await,
            ActivationStep::ReadRow => {
                let answer = self.read_row(wanted).await;
                let part = rand::rng().random();
                self.machine.on_row(answer, part, clock_now());
                self.tell_stopped();
            }
            ActivationStep::WriteRow { expected, row } => {
                let answer = self.write_row(wanted, expected, &row).await;
                let part = rand::rng().random();
                self.machine.on_written(answer, part, clock_now());
            }
            ActivationStep::CloseGate => {
                let all_ended = self.edges.gate.close(GATE_WAIT).await;
                if !all_ended {
                    log_event!(events::GATE_WAITS);
                }
                self.machine.on_gate_closed(all_ended);
            }
            ActivationStep::Order { fence, serving } => self.give_order(fence, serving),
            ActivationStep::OpenGate(serving) => {
                // Requests of an earlier version must have ended, or two versions would mix.
                if self.edges.gate.close(GATE_WAIT).await {
                    log_event!(
                        events::VERSION_SERVED,
                        "{} {}",
                        serving.version,
                        serving.digest
                    );
                    self.edges.gate.open(serving);
                }
            }
        }
    }

    async fn read_engine(&mut self) {
        let asked_at = clock_now();
        let answer = self.edges.engine.read_state().await;
        if let Err(error) = &answer {
            metrics::count_retry(error.kind);
            log_event!(events::ENGINE_SILENT, "{error}");
        }
        self.machine.on_engine(answer, asked_at, clock_now());
    }

    fn give_order(&mut self, fence: u64, serving: ServingVersion) {
        let Some(version) = self.shelf.find(serving.digest) else {
            let gone = SwitchError::new(ErrorKind::Internal, "the version was let go");
            self.machine.on_ordered(Err(gone), clock_now());
            return;
        };
        assert!(
            version.is_whole(),
            "an order was given for weights that are not whole"
        );
        let address = self.edges.control.identity().peer_address;
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
        let engine = std::sync::Arc::clone(&self.edges.engine);
        self.order = Some(tokio::spawn(
            async move { engine.load_version(&order).await },
        ));
    }

    /// Takes the answer to an order, once it is there.
    async fn take_order(&mut self) {
        let Some(task) = self.order.take_if(|task| task.is_finished()) else {
            return;
        };
        let fault = |fault: tokio::task::JoinError| {
            Err(SwitchError::new(ErrorKind::Internal, fault.to_string()))
        };
        let answer = task.await.unwrap_or_else(fault);
        if let Err(error) = &answer {
            metrics::count_refusal(error.kind, "weights");
            let event = match error.kind {
                ErrorKind::ActivationFailed => events::LOAD_FAILED,
                _ => events::READ_BACK,
            };
            log_event!(event, "{error}");
        }
        self.machine.on_ordered(answer, clock_now());
    }

    async fn read_row(&self, wanted: Option<&WantedVersion>) -> SwitchResult<SeenRow> {
        let Some(wanted) = wanted else {
            return Ok(SeenRow::absent());
        };
        let row = self.edges.table.read(&row_key(&wanted.service)).await?;
        parse_row(row)
    }

    async fn write_row(
        &self,
        wanted: Option<&WantedVersion>,
        expected: RowRevision,
        row: &RolloutRow,
    ) -> SwitchResult<RowOutcome> {
        let Some(wanted) = wanted else {
            return Ok(RowOutcome::Conflict(SeenRow::absent()));
        };
        let text = serde_json::to_vec(row)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let key = row_key(&wanted.service);
        match self.edges.table.write(&key, expected, text.into()).await? {
            WriteResult::Written(_) => Ok(RowOutcome::Written),
            WriteResult::Conflict(standing) => parse_row(standing).map(RowOutcome::Conflict),
        }
    }

    /// How many hosts come before this one among those that still serve another version.
    fn place(&self, snapshot: &ControlSnapshot, wanted: &WantedVersion) -> u32 {
        let me = &self.edges.control.identity().host;
        let waits = snapshot.members.iter().filter(|member| {
            let status = member.status.as_ref();
            let serving = status.and_then(|status| status.serving.as_ref());
            member.host < *me
                && member.state == MemberState::Live
                && member.service.as_ref() == Some(&wanted.service)
                && serving.is_some_and(|serving| serving.digest != wanted.digest)
        });
        let waits = u32::try_from(waits.count()).unwrap_or(u32::MAX);
        waits / wanted.rollout.max_out_of_service.max(1)
    }

    /// Says what is served. A version that only got a new name is told under the new one.
    fn tell_serving(&self, wanted: Option<&WantedVersion>, gate: Option<&ServingVersion>) {
        let serving = match (wanted, gate) {
            (Some(wanted), Some(gate)) if gate.digest == wanted.digest => Some(wanted.serving()),
            (_, gate) => gate.cloned(),
        };
        // A host that is about to change says so before its gate closes.
        let serving = serving.filter(|_| !self.machine.is_swapping());
        let is_done = match (wanted, &serving) {
            (Some(wanted), Some(serving)) => serving.digest == wanted.digest,
            (None, _) => true,
            _ => false,
        };
        self.edges.board.update(|status| {
            status.serving = serving;
            if is_done {
                status.staging = None;
            }
        });
    }

    fn tell_stopped(&mut self) {
        let stopped = self.machine.stopped().map(ToOwned::to_owned);
        if let Some(reason) = &stopped
            && !self.stopped_told
        {
            log_event!(events::ROLLOUT_STOPPED, "{reason}");
        }
        self.stopped_told = stopped.is_some();
    }
}

fn row_key(service: &ByteString) -> String {
    format!("rollouts/{service}")
}

fn parse_row(row: Option<TableRow>) -> SwitchResult<SeenRow> {
    let Some(row) = row else {
        return Ok(SeenRow::absent());
    };
    let parsed = serde_json::from_slice(&row.value).map_err(|fault| {
        SwitchError::new(
            ErrorKind::TableUnavailable,
            format!("row {}: {fault}", row.key),
        )
    })?;
    Ok(SeenRow {
        revision: row.revision,
        row: parsed,
    })
}
