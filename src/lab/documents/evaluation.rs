//! Evaluates a run: compares the outcomes reported to the operators with the versions stored in the
//! table, and summarises how long the changes took.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::documents_report::{DocumentsReport, FaultCount};
use super::documents_run::DocumentsRun;
use super::operator_change::PutOutcome;
use crate::documents::{DocumentRecord, document_key, history_prefix};
use crate::errors::{ErrorKind, SwitchResult};
use crate::lab::launch::LabClient;
use crate::stores::TableStore;
use crate::stores::http::{HttpTable, PlatformClient};
use crate::transport::{ClientLimits, PeerClient};

/// How long the table's reads are counted while no document changes.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Number of the slowest changes listed in the report.
const SLOWEST_REPORTED: usize = 5;
/// Retries of a failed read of the stored versions.
const READ_RETRIES: usize = 5;

impl DocumentsRun {
    /// Takes the final measurements, stops the system and returns the report.
    ///
    /// # Errors
    ///
    /// Fails if a process has no known address, or its metrics or the table cannot be read.
    pub(super) async fn finish(mut self) -> SwitchResult<DocumentsReport> {
        let mut report = DocumentsReport {
            seed: self.settings.seed,
            processes: self.processes.len(),
            changes: u64::try_from(self.outcomes.len()).unwrap_or(u64::MAX),
            not_in_force: self.not_in_force,
            reverted: self.observer.reverted(),
            table_reads_per_s: self.measure_table_reads().await?,
            leaving_known_max_s: self.measure_leaving().await?,
            ..DocumentsReport::default()
        };
        self.check_outcomes(&mut report).await?;
        self.summarize_timings(&mut report);
        for process in &self.processes {
            process.watch_task.abort();
        }
        self.system.end().await;
        Ok(report)
    }

    /// Returns the table reads for documents per second over an idle period, all processes
    /// together, as counted by the processes themselves.
    async fn measure_table_reads(&self) -> SwitchResult<f64> {
        let before = self.total_table_reads().await?;
        sleep(IDLE_PERIOD).await;
        let after = self.total_table_reads().await?;
        Ok((after - before) / IDLE_PERIOD.as_secs_f64())
    }

    /// Returns the table reads for documents that all processes have counted so far.
    async fn total_table_reads(&self) -> SwitchResult<f64> {
        let client = LabClient::default();
        let mut reads = 0.0;
        for node in &self.system.entries {
            reads += table_reads_in(&client.text(node.admin()?, "/metrics").await?);
        }
        for node in &self.system.backends {
            let address = node.process.address("peer")?;
            reads += table_reads_in(&client.text(address, "/metrics").await?);
        }
        Ok(reads)
    }

    /// Compares the outcome reported for each change with the versions stored in the table. A
    /// version belongs to a change if it has its nonce.
    async fn check_outcomes(&self, report: &mut DocumentsReport) -> SwitchResult<()> {
        let mut records = Vec::new();
        for (document, _) in &self.current_documents {
            records.extend(self.read_records(&document.service).await?);
        }
        for (change, outcome) in &self.outcomes {
            let stored_versions: Vec<u64> = records
                .iter()
                .filter(|record| record.nonce == *change.nonce)
                .map(|record| record.version)
                .collect();
            report.accepted_twice += u64::from(stored_versions.len() > 1);
            match outcome {
                PutOutcome::Accepted(version, _) => {
                    report.accepted += 1;
                    report.accepted_lost += u64::from(!stored_versions.contains(&version.version));
                }
                PutOutcome::Refused => {
                    report.refused += 1;
                    report.refused_but_stand += u64::from(!stored_versions.is_empty());
                }
                PutOutcome::Unknown => report.in_doubt += 1,
            }
        }
        Ok(())
    }

    /// Reads every stored version of the document of `service`: the current row and the history,
    /// with retries.
    async fn read_records(&self, service: &str) -> SwitchResult<Vec<DocumentRecord>> {
        // A stand-in never responds again to a client port that it has silenced, and the operating
        // system may assign that port to a new connection. A retry connects from another port.
        let mut outcome = self.try_read_records(service).await;
        for _ in 0..READ_RETRIES {
            if outcome.is_ok() {
                break;
            }
            outcome = self.try_read_records(service).await;
        }
        outcome
    }

    /// Reads the stored versions once, over a new connection.
    async fn try_read_records(&self, service: &str) -> SwitchResult<Vec<DocumentRecord>> {
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        let address = self.system.table.address("")?;
        let request_timeout = Duration::from_secs(1);
        let unavailable_kind = ErrorKind::TableUnavailable;
        let table = HttpTable(PlatformClient::new(
            address,
            client,
            request_timeout,
            unavailable_kind,
        ));
        let mut rows = table.list(&history_prefix(service)).await?;
        rows.extend(table.read(&document_key(service)).await?);
        rows.iter()
            .map(|row| DocumentRecord::from_row(&row.value))
            .collect()
    }

    /// Fills in the percentiles, the counts per fault and the slowest changes.
    fn summarize_timings(&mut self, report: &mut DocumentsReport) {
        self.timings
            .sort_by(|left, right| left.seconds.total_cmp(&right.seconds));
        let percentile = |percent: usize| {
            let rank = (self.timings.len() * percent).div_ceil(100).max(1) - 1;
            self.timings.get(rank).map_or(0.0, |timing| timing.seconds)
        };
        report.in_force_p50_s = percentile(50);
        report.in_force_p99_s = percentile(99);
        report.in_force_max_s = percentile(100);
        for timing in &self.timings {
            let counted = report
                .faults
                .iter_mut()
                .find(|fault_count| fault_count.fault == timing.fault);
            match counted {
                Some(fault_count) => {
                    fault_count.count += 1;
                    fault_count.in_force_max_s = fault_count.in_force_max_s.max(timing.seconds);
                }
                None => report.faults.push(FaultCount {
                    fault: timing.fault.clone(),
                    count: 1,
                    in_force_max_s: timing.seconds,
                }),
            }
        }
        let slowest = self.timings.iter().rev().take(SLOWEST_REPORTED);
        report.slowest = slowest.cloned().collect();
    }
}

/// Extracts the number of table reads for documents from the metrics text of a process; 0 if it is
/// missing.
fn table_reads_in(metrics: &str) -> f64 {
    let line = metrics
        .lines()
        .find(|line| line.starts_with("savory_events") && line.contains("\"table_reads\""));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}
