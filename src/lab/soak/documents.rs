//! Drives random changes of one document by several operators through a table that is unavailable,
//! responds late or not at all, and returns stale rows. Other processes receive the accepted
//! versions out of order.

use arbitrary::{Result, Unstructured};
use bytes::Bytes;

use crate::documents::{
    AcceptanceMachine, AcceptanceOutcome, AcceptanceStep, ActiveDocuments, ChangeRequest,
    DocumentRecord, KeyDigest, TableResponse, document_key,
};
use crate::errors::ErrorKind;
use crate::stores::{RowRevision, TableRow};
use crate::time::{ClockTime, WallTime};

const STEPS: usize = 250;
const OPERATORS: usize = 3;
const PROCESSES: usize = 3;
const SERVICE: &str = "sky-writer";
const TEAM_KEY: &[u8] = b"team-key";
const OPERATOR_KEY: &[u8] = b"operator-key";

/// An in-memory table that records all values of the document's row.
#[derive(Default)]
struct FakeTable {
    rows: Vec<TableRow>,
    last_revision: u64,
    /// All values of the document's row, oldest first.
    row_history: Vec<Bytes>,
    /// The parsed records of `row_history`.
    record_history: Vec<DocumentRecord>,
    /// Writes that have not reached the table, although their senders no longer wait for a
    /// response.
    delayed_writes: Vec<FakeWrite>,
}

struct FakeWrite {
    key: String,
    expected: RowRevision,
    value: Bytes,
}

impl FakeTable {
    fn read(&self, key: &str) -> Option<TableRow> {
        self.rows.iter().find(|row| row.key == key).cloned()
    }

    fn write(&mut self, write: &FakeWrite) -> TableResponse {
        let current = self.read(&write.key);
        let revision = current
            .as_ref()
            .map_or(RowRevision::ABSENT, |row| row.revision);
        if revision != write.expected {
            return TableResponse::Conflict(current);
        }
        self.last_revision += 1;
        let revision = RowRevision(self.last_revision);
        self.rows.retain(|row| row.key != write.key);
        self.rows.push(TableRow {
            key: write.key.clone(),
            revision,
            value: write.value.clone(),
        });
        if write.key == document_key(SERVICE) {
            let record = DocumentRecord::from_row(&write.value)
                .expect("rows written by the acceptance machine parse");
            let expected_version = u64::try_from(self.row_history.len()).unwrap_or(u64::MAX) + 1;
            assert_eq!(
                record.version, expected_version,
                "a version was skipped or written twice"
            );
            self.row_history.push(write.value.clone());
            self.record_history.push(record);
        }
        TableResponse::Written(revision)
    }

    /// Returns the versions that were written for the change `nonce`.
    fn versions_of(&self, nonce: &str) -> Vec<u64> {
        self.record_history
            .iter()
            .filter(|record| record.nonce == *nonce)
            .map(|record| record.version)
            .collect()
    }
}

/// An operator's current change, with the order kept for retries.
struct Operator {
    order: ChangeRequest,
    machine: AcceptanceMachine,
}

/// State of one run.
struct AcceptanceRun {
    table: FakeTable,
    now: ClockTime,
    nonce_count: u64,
    team_digest: String,
    operators: Vec<Operator>,
    /// Nonces of the changes that were reported to their authors as refused.
    refused: Vec<String>,
    /// Nonces of the changes that were reported to their authors as accepted, with the versions.
    accepted: Vec<(String, u64)>,
    processes: Vec<ActiveDocuments>,
}

/// Runs one case: random changes and faults, with checks whenever a change ends.
///
/// # Errors
///
/// Only if the bytes of `u` are used up, which ends the run early.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut run = AcceptanceRun {
        table: FakeTable::default(),
        now: ClockTime::from_millis(1000),
        nonce_count: 0,
        team_digest: KeyDigest::of_key(TEAM_KEY).hex().to_owned(),
        operators: Vec::new(),
        refused: Vec::new(),
        accepted: Vec::new(),
        processes: vec![ActiveDocuments::default(); PROCESSES],
    };
    for _ in 0..OPERATORS {
        let operator = run.new_change(u)?;
        run.operators.push(operator);
    }
    for _ in 0..STEPS {
        run.now = run.now + std::time::Duration::from_millis(u.int_in_range(1..=400)?);
        run.step(u)?;
    }
    run.finish();
    Ok(())
}

impl AcceptanceRun {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0 => self.deliver_delayed_write(u)?,
            1 | 2 => self.offer_past_version(u)?,
            _ => {
                let index = u.choose_index(OPERATORS)?;
                self.advance_operator(u, index)?;
            }
        }
        Ok(())
    }

    /// Creates a change that replaces the version an operator last read, which may be stale.
    fn new_change(&mut self, u: &mut Unstructured<'_>) -> Result<Operator> {
        self.nonce_count += 1;
        let newest = u64::try_from(self.table.row_history.len()).unwrap_or(u64::MAX);
        let replaces = if u.ratio(1, 4)? && newest > 0 {
            u.int_in_range(0..=newest)?
        } else {
            newest
        };
        let key = if replaces == 0 {
            OPERATOR_KEY
        } else {
            TEAM_KEY
        };
        let order = ChangeRequest {
            service: SERVICE.into(),
            replaces,
            nonce: format!("change-{}", self.nonce_count).into(),
            is_first_attempt: true,
            author: "operator".into(),
            key: KeyDigest::of_key(key),
            operator_key_digest: KeyDigest::of_key(OPERATOR_KEY).hex().into(),
            document: document(&self.team_digest, self.nonce_count),
        };
        Ok(self.submit(order))
    }

    /// Submits the same change again.
    fn retry(&self, order: ChangeRequest) -> Operator {
        self.submit(ChangeRequest {
            is_first_attempt: false,
            ..order
        })
    }

    fn submit(&self, order: ChangeRequest) -> Operator {
        let machine = AcceptanceMachine::new(order.clone(), self.now, WallTime(self.now.0 / 1000));
        Operator { order, machine }
    }

    /// Carries out the next step of an operator's change.
    fn advance_operator(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let step = self.operators[index].machine.next_step(self.now);
        match step {
            AcceptanceStep::WaitUntil(_) => {}
            AcceptanceStep::Done(outcome) => {
                let operator = self.next_operator(u, index, *outcome)?;
                self.operators[index] = operator;
                self.check();
            }
            AcceptanceStep::Read { key } => {
                let event = if u.ratio(1, 5)? {
                    TableResponse::Unavailable
                } else {
                    TableResponse::Row(self.table.read(&key))
                };
                self.operators[index].machine.on_response(event, self.now);
            }
            AcceptanceStep::Write {
                key,
                expected,
                value,
            } => {
                let write = FakeWrite {
                    key,
                    expected,
                    value,
                };
                let event = self.write(u, write)?;
                self.operators[index].machine.on_response(event, self.now);
            }
        }
        Ok(())
    }

    /// Writes to the table. The response may be lost, and so may the write, or it is delayed.
    fn write(&mut self, u: &mut Unstructured<'_>, write: FakeWrite) -> Result<TableResponse> {
        match u.int_in_range(0..=5)? {
            0 => Ok(TableResponse::Unavailable),
            1 => {
                self.table.write(&write);
                Ok(TableResponse::Unavailable)
            }
            2 => {
                self.table.delayed_writes.push(write);
                Ok(TableResponse::Unavailable)
            }
            _ => Ok(self.table.write(&write)),
        }
    }

    /// Delivers one of the delayed writes, if there are any.
    fn deliver_delayed_write(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.table.delayed_writes.is_empty() {
            let index = u.choose_index(self.table.delayed_writes.len())?;
            let write = self.table.delayed_writes.remove(index);
            self.table.write(&write);
        }
        Ok(())
    }

    /// Records how an operator's change ended. Returns a retry of it or the operator's next change.
    fn next_operator(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        outcome: AcceptanceOutcome,
    ) -> Result<Operator> {
        let order = self.operators[index].order.clone();
        match outcome {
            AcceptanceOutcome::Accepted { version, .. } => {
                self.accepted.push((order.nonce.to_string(), version));
                if u.ratio(1, 4)? {
                    return Ok(self.retry(order));
                }
            }
            AcceptanceOutcome::Refused { error, .. }
                if error.kind == ErrorKind::DocumentInDoubt =>
            {
                return Ok(self.retry(order));
            }
            AcceptanceOutcome::Refused { .. } => {
                self.refused.push(order.nonce.to_string());
            }
        }
        self.new_change(u)
    }

    /// Offers a process a randomly chosen past or current version, as from a stale table read or
    /// from a neighbour.
    fn offer_past_version(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.table.row_history.is_empty() {
            return Ok(());
        }
        let row = self.table.row_history[u.choose_index(self.table.row_history.len())?].clone();
        let process = &mut self.processes[u.choose_index(PROCESSES)?];
        let before = process.version_of(SERVICE);
        process
            .install_if_newer(&row)
            .expect("rows written by the acceptance machine parse");
        let after = process.version_of(SERVICE);
        assert!(after >= before, "version reverted from {before} to {after}");
        Ok(())
    }

    fn check(&self) {
        for (nonce, version) in &self.accepted {
            let versions = self.table.versions_of(nonce);
            assert_eq!(
                versions,
                [*version],
                "{nonce} was not accepted exactly once"
            );
        }
        for nonce in &self.refused {
            let versions = self.table.versions_of(nonce);
            assert!(
                versions.is_empty(),
                "{nonce} was reported as refused but written as {versions:?}"
            );
        }
    }

    /// Delivers all delayed writes and offers every process the newest version, which all of them
    /// must then hold.
    fn finish(&mut self) {
        while let Some(write) = self.table.delayed_writes.pop() {
            self.table.write(&write);
        }
        self.check();
        if let Some(row) = self.table.row_history.last() {
            for process in &mut self.processes {
                process
                    .install_if_newer(row)
                    .expect("rows written by the acceptance machine parse");
                let newest = u64::try_from(self.table.row_history.len()).unwrap_or(u64::MAX);
                assert_eq!(
                    process.version_of(SERVICE),
                    newest,
                    "a process does not hold the newest version"
                );
            }
        }
    }
}

fn document(team_digest: &str, change: u64) -> serde_json::Value {
    serde_json::json!({
        "format": 1,
        "service": SERVICE,
        "team": "writers",
        "change_key_digests": [team_digest],
        "kind": "plain",
        "data_centres": ["cusco-hall-a"],
        "hosts": "listed",
        "accounts": [{
            "name": "guides",
            "key_digest": team_digest,
            "requests_per_second": change,
            "concurrency": 1,
            "weight": 1,
            "urgent_percent": 0,
        }],
    })
}
