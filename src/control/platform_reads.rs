//! The tasks that read the platform's table and host list for the control thread.

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

/// The part of the control state that the table poller needs.
#[derive(Clone, Debug, Default)]
pub(super) struct TableReaderRole {
    /// Whether this process reads the table for its data centre.
    pub(super) is_reader: bool,
    /// The documents in force.
    pub(super) active: ActiveDocuments,
}

/// Reads the table until the process ends.
pub(super) struct TablePoller {
    pub(super) table: Arc<dyn TableStore>,
    pub(super) reader_role: watch::Receiver<TableReaderRole>,
    pub(super) freshness: DocumentFreshness,
    pub(super) events: mpsc::Sender<ControlEvent>,
    pub(super) first_pause: Duration,
}

/// Maximum pause between two checks whether a read is due.
const CHECK_PAUSE_MAX: Duration = Duration::from_millis(250);

impl TablePoller {
    /// Reads the table until the process ends.
    pub(super) async fn run(self) {
        let mut scheduler = TableReadScheduler::new(clock_now() + self.first_pause);
        let mut last_available = None;
        loop {
            let now = clock_now();
            if let Some(at) = self.freshness.get() {
                scheduler.on_neighbour_current(at);
            }
            let is_reader = self.reader_role.borrow().is_reader;
            let step = scheduler.next_step(now, is_reader, jitter());
            let TableReadStep::WaitUntil(due) = step else {
                let outcome = self.execute(&mut scheduler, step, now).await;
                self.handle_outcome(&mut scheduler, outcome, &mut last_available)
                    .await;
                continue;
            };
            sleep(
                due.since(now)
                    .clamp(Duration::from_millis(5), CHECK_PAUSE_MAX),
            )
            .await;
        }
    }

    async fn handle_outcome(
        &self,
        scheduler: &mut TableReadScheduler,
        outcome: SwitchResult<()>,
        last_available: &mut Option<bool>,
    ) {
        let is_available = outcome.is_ok();
        if let Err(error) = outcome {
            metrics::count_refusal(error.kind, "control");
            scheduler.on_unavailable(clock_now(), jitter());
        }
        if *last_available != Some(is_available) {
            let event = if is_available {
                events::TABLE_AVAILABLE
            } else {
                events::TABLE_UNAVAILABLE
            };
            log_event!(event);
            *last_available = Some(is_available);
            self.send(ControlEvent::TableAnswered(is_available)).await;
        }
    }

    async fn execute(
        &self,
        scheduler: &mut TableReadScheduler,
        step: TableReadStep,
        sent: ClockTime,
    ) -> SwitchResult<()> {
        metrics::count_event("table_reads", 1);
        match step {
            TableReadStep::WaitUntil(_) => {}
            TableReadStep::ReadAll => {
                let rows = self.table.list(DOCUMENTS_PREFIX).await?;
                let rows = rows.into_iter().map(|row| row.value).collect();
                self.send(ControlEvent::Rows(rows)).await;
                scheduler.on_all(sent, clock_now());
                self.freshness.advance(sent);
            }
            TableReadStep::ReadHint => {
                let row = self.table.read(HINT_KEY).await?;
                let hint =
                    row.map_or_else(HintRecord::default, |row| HintRecord::from_row(&row.value));
                let active = self.reader_role.borrow().active.clone();
                scheduler.on_hint(&hint, &active, sent, clock_now());
                self.freshness.advance(sent);
            }
            TableReadStep::ReadDocument(service) => {
                let row = self.table.read(&document_key(&service)).await?;
                let rows: Vec<Bytes> = row.into_iter().map(|row| row.value).collect();
                self.send(ControlEvent::Rows(rows)).await;
                scheduler.on_document();
            }
        }
        Ok(())
    }

    async fn send(&self, event: ControlEvent) {
        // Sending fails only when the process ends, since the control thread runs until then.
        let _ = self.events.send(event).await;
    }
}

fn jitter() -> u8 {
    rand::rng().random()
}

/// Time after the start during which the list is read at the minimum interval. After that, the list
/// is read at this interval only while it does not contain this host.
const STARTUP_PERIOD: Duration = Duration::from_secs(20);
const LIST_PAUSE_MIN: Duration = Duration::from_secs(1);
/// The pause between two reads grows by one [`LIST_PAUSE_MIN`] per this number of hosts. The size
/// of the list counts against the traffic budget of the control thread, and hosts announce
/// themselves faster than the list is updated.
const HOSTS_PER_PAUSE_STEP: u32 = 2;

/// Reads the platform's host list until the process ends.
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
                let is_startup = clock_now().since(started) < STARTUP_PERIOD;
                let hosts = u32::try_from(entries.len()).unwrap_or(u32::MAX);
                if events.send(ControlEvent::List(entries)).await.is_err() {
                    return;
                }
                if is_startup || !is_listed {
                    LIST_PAUSE_MIN
                } else {
                    LIST_PAUSE_MIN * (1 + hosts / HOSTS_PER_PAUSE_STEP)
                }
            }
            Err(error) => {
                metrics::count_refusal(error.kind, "control");
                log_event!(events::LIST_UNAVAILABLE, "{error}");
                LIST_PAUSE_MIN * 2
            }
        };
        let jitter = rand::rng().random_range(0.75..1.25);
        sleep(pause.mul_f64(jitter)).await;
    }
}
