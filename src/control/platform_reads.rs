//! Reading the platform's table and list for the control thread.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::control_thread::{ControlEvent, DocumentFreshness};
use super::events;
use crate::documents::{
    ActiveDocuments, DOCUMENTS_PREFIX, HINT_KEY, HintRecord, TableReadScheduler, TableReadStep,
    document_key,
};
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::metrics;
use crate::stores::{HostList, TableStore};
use crate::time::{ClockTime, clock_now};

/// What the table's reader needs to know of the control state.
#[derive(Clone, Debug, Default)]
pub(super) struct TableReaderRole {
    /// Whether this process reads for its data centre.
    pub(super) is_reader: bool,
    /// The documents in force.
    pub(super) held: ActiveDocuments,
}

/// Reads the table as long as the process lives.
pub(super) struct TablePoller {
    pub(super) table: Arc<dyn TableStore>,
    pub(super) duty: watch::Receiver<TableReaderRole>,
    pub(super) fresh: DocumentFreshness,
    pub(super) events: mpsc::Sender<ControlEvent>,
    pub(super) first_pause: Duration,
}

const CHECK_PAUSE: Duration = Duration::from_millis(250);

impl TablePoller {
    /// Reads the table as long as the process lives.
    pub(super) async fn run(self) {
        let mut reader = TableReadScheduler::new(clock_now() + self.first_pause);
        let mut answered = None;
        loop {
            let now = clock_now();
            if let Some(at) = self.fresh.get() {
                reader.on_neighbour_current(at);
            }
            let is_reader = self.duty.borrow().is_reader;
            let step = reader.next_step(now, is_reader, jitter());
            let TableReadStep::WaitUntil(due) = step else {
                let outcome = self.carry_out(&mut reader, step, now).await;
                self.settle(&mut reader, outcome, &mut answered).await;
                continue;
            };
            sleep(due.since(now).clamp(Duration::from_millis(5), CHECK_PAUSE)).await;
        }
    }

    async fn settle(
        &self,
        reader: &mut TableReadScheduler,
        outcome: SwitchResult<()>,
        answered: &mut Option<bool>,
    ) {
        let answers = outcome.is_ok();
        if let Err(error) = outcome {
            metrics::count_refusal(error.kind, "control");
            reader.on_unavailable(clock_now(), jitter());
        }
        if *answered != Some(answers) {
            let event = if answers {
                events::TABLE_BACK
            } else {
                events::TABLE_AWAY
            };
            log_event!(event);
            *answered = Some(answers);
            self.tell(ControlEvent::TableAnswered(answers)).await;
        }
    }

    async fn carry_out(
        &self,
        reader: &mut TableReadScheduler,
        step: TableReadStep,
        sent: ClockTime,
    ) -> SwitchResult<()> {
        metrics::count_event("table_reads", 1);
        match step {
            TableReadStep::WaitUntil(_) => {}
            TableReadStep::ReadAll => {
                let rows = self.table.list(DOCUMENTS_PREFIX).await?;
                let rows = rows.into_iter().map(|row| row.value).collect();
                self.tell(ControlEvent::Rows(rows)).await;
                reader.on_all(sent, clock_now());
                self.fresh.advance(sent);
            }
            TableReadStep::ReadHint => {
                let row = self.table.read(HINT_KEY).await?;
                let hint =
                    row.map_or_else(HintRecord::default, |row| HintRecord::from_row(&row.value));
                let held = self.duty.borrow().held.clone();
                reader.on_hint(&hint, &held, sent, clock_now());
                self.fresh.advance(sent);
            }
            TableReadStep::ReadDocument(service) => {
                let row = self.table.read(&document_key(&service)).await?;
                let rows: Vec<Bytes> = row.into_iter().map(|row| row.value).collect();
                self.tell(ControlEvent::Rows(rows)).await;
                reader.on_document();
            }
        }
        Ok(())
    }

    async fn tell(&self, event: ControlEvent) {
        // The control thread ends with the process only.
        let _ = self.events.send(event).await;
    }
}

fn jitter() -> u8 {
    rand::rng().random()
}

/// How long the list is read often after the start, and while it does not name this host.
const YOUNG_FOR: Duration = Duration::from_secs(20);
const LIST_PAUSE_SHORTEST: Duration = Duration::from_secs(1);
/// Hosts that make the pause between two readings a second longer: the list's bytes count against
/// what control may send and receive, and hosts tell of themselves faster than the list does.
const HOSTS_PER_SECOND: u32 = 2;

/// Reads the platform's list as long as the process lives.
pub(super) async fn read_list(
    list: Arc<dyn HostList>,
    own_host: bytestring::ByteString,
    events: mpsc::Sender<ControlEvent>,
) {
    let started = clock_now();
    loop {
        let pause = match list.read_hosts().await {
            Ok(entries) => {
                let is_listed = entries.iter().any(|entry| entry.host == own_host);
                let is_young = clock_now().since(started) < YOUNG_FOR;
                let hosts = u32::try_from(entries.len()).unwrap_or(u32::MAX);
                if events.send(ControlEvent::List(entries)).await.is_err() {
                    return;
                }
                if is_young || !is_listed {
                    LIST_PAUSE_SHORTEST
                } else {
                    LIST_PAUSE_SHORTEST * (1 + hosts / HOSTS_PER_SECOND)
                }
            }
            Err(error) => {
                metrics::count_refusal(error.kind, "control");
                log_event!(events::LIST_AWAY, "{error}");
                LIST_PAUSE_SHORTEST * 2
            }
        };
        let jitter = rand::rng().random_range(0.75..1.25);
        sleep(pause.mul_f64(jitter)).await;
    }
}
