//! Compares what authors were told and what processes showed with what the table holds.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::operators::PutEnd;
use super::report::{DocumentsReport, FaultCount};
use super::run::DocumentsRun;
use crate::documents::{DocumentRecord, document_key, history_prefix};
use crate::errors::{ErrorKind, SwitchResult};
use crate::lab::launch::LabClient;
use crate::stores::TableStore;
use crate::stores::http::{HttpTable, PlatformClient};
use crate::transport::{ClientLimits, PeerClient};

/// While nothing changes, how long the table's reads are counted.
const QUIET_SPAN: Duration = Duration::from_secs(10);
const SLOWEST_SHOWN: usize = 5;
const READ_AGAIN: usize = 5;

impl DocumentsRun {
    /// Ends the run and says what it found.
    pub(super) async fn finish(mut self) -> SwitchResult<DocumentsReport> {
        let mut report = DocumentsReport {
            seed: self.order.seed,
            processes: self.processes.len(),
            changes: u64::try_from(self.ends.len()).unwrap_or(u64::MAX),
            not_in_force: self.not_in_force,
            reverted: self.board.reverted(),
            table_reads_per_s: self.count_reads().await?,
            leaving_known_max_s: self.measure_leaving().await?,
            ..DocumentsReport::default()
        };
        self.judge_ends(&mut report).await?;
        self.judge_spans(&mut report);
        for process in &self.processes {
            process.task.abort();
        }
        self.system.end().await;
        Ok(report)
    }

    /// The processes' own counts of reads for documents, over a quiet span.
    async fn count_reads(&self) -> SwitchResult<f64> {
        let before = self.reads_so_far().await?;
        sleep(QUIET_SPAN).await;
        let after = self.reads_so_far().await?;
        Ok((after - before) / QUIET_SPAN.as_secs_f64())
    }

    async fn reads_so_far(&self) -> SwitchResult<f64> {
        let client = LabClient::default();
        let mut reads = 0.0;
        for node in &self.system.entries {
            reads += reads_in(&client.text(node.admin()?, "/metrics").await?);
        }
        for node in &self.system.backends {
            let address = node.process.address("peer")?;
            reads += reads_in(&client.text(address, "/metrics").await?);
        }
        Ok(reads)
    }

    /// Compares what the authors were told with what the table holds.
    async fn judge_ends(&self, report: &mut DocumentsReport) -> SwitchResult<()> {
        let mut records = Vec::new();
        for (document, _) in &self.standing {
            records.extend(self.read_records(&document.service).await?);
        }
        for (change, end) in &self.ends {
            let made: Vec<u64> = records
                .iter()
                .filter(|record| record.nonce == *change.nonce)
                .map(|record| record.version)
                .collect();
            report.accepted_twice += u64::from(made.len() > 1);
            match end {
                PutEnd::Accepted(version, _) => {
                    report.accepted += 1;
                    report.accepted_lost += u64::from(!made.contains(&version.version));
                }
                PutEnd::Refused => {
                    report.refused += 1;
                    report.refused_but_stand += u64::from(!made.is_empty());
                }
                PutEnd::InDoubt => report.in_doubt += 1,
            }
        }
        Ok(())
    }

    /// Every version of a document, from its row and its history.
    async fn read_records(&self, service: &str) -> SwitchResult<Vec<DocumentRecord>> {
        // The stand-in keeps a port silent for good that was silenced once, and the system may give
        // that port to a new connection; the next one gets another.
        let mut outcome = self.try_read_records(service).await;
        for _ in 0..READ_AGAIN {
            if outcome.is_ok() {
                break;
            }
            outcome = self.try_read_records(service).await;
        }
        outcome
    }

    async fn try_read_records(&self, service: &str) -> SwitchResult<Vec<DocumentRecord>> {
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        let address = self.system.table.address("")?;
        let within = Duration::from_secs(1);
        let away = ErrorKind::TableUnavailable;
        let table = HttpTable(PlatformClient::new(address, client, within, away));
        let mut rows = table.list(&history_prefix(service)).await?;
        rows.extend(table.read(&document_key(service)).await?);
        rows.iter()
            .map(|row| DocumentRecord::from_row(&row.value))
            .collect()
    }

    fn judge_spans(&mut self, report: &mut DocumentsReport) {
        self.spans
            .sort_by(|left, right| left.seconds.total_cmp(&right.seconds));
        let at = |percent: usize| {
            let rank = (self.spans.len() * percent).div_ceil(100).max(1) - 1;
            self.spans.get(rank).map_or(0.0, |span| span.seconds)
        };
        report.in_force_p50_s = at(50);
        report.in_force_p99_s = at(99);
        report.in_force_max_s = at(100);
        for span in &self.spans {
            let known = report
                .faults
                .iter_mut()
                .find(|known| known.fault == span.fault);
            match known {
                Some(known) => {
                    known.count += 1;
                    known.in_force_max_s = known.in_force_max_s.max(span.seconds);
                }
                None => report.faults.push(FaultCount {
                    fault: span.fault.clone(),
                    count: 1,
                    in_force_max_s: span.seconds,
                }),
            }
        }
        let slowest = self.spans.iter().rev().take(SLOWEST_SHOWN);
        report.slowest = slowest.cloned().collect();
    }
}

/// The count of reads for documents in a process's metrics.
fn reads_in(metrics: &str) -> f64 {
    let line = metrics
        .lines()
        .find(|line| line.starts_with("savory_events") && line.contains("\"table_reads\""));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
