//! Random changes of one document by several operators through a table that is away, answers late
//! or not at all, and shows old rows; and processes that hear of what was accepted out of order.

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

/// A table of rows with everything that ever stood in the document's row.
#[derive(Default)]
struct FakeTable {
    rows: Vec<TableRow>,
    last_revision: u64,
    /// Each value that the document's row has had, the oldest first.
    stood: Vec<Bytes>,
    /// The same, read.
    records: Vec<DocumentRecord>,
    /// Writes whose sender has given up on their answer and which have not arrived yet.
    under_way: Vec<FakeWrite>,
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
        let standing = self.read(&write.key);
        let revision = standing
            .as_ref()
            .map_or(RowRevision::ABSENT, |row| row.revision);
        if revision != write.expected {
            return TableResponse::Conflict(standing);
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
            let record = DocumentRecord::from_row(&write.value).expect("a row of ours reads");
            let due = u64::try_from(self.stood.len()).unwrap_or(u64::MAX) + 1;
            assert_eq!(record.version, due, "a version was left out or made twice");
            self.stood.push(write.value.clone());
            self.records.push(record);
        }
        TableResponse::Written(revision)
    }

    /// The record that the change `nonce` made, if it was ever accepted.
    fn accepted(&self, nonce: &str) -> Vec<u64> {
        self.records
            .iter()
            .filter(|record| record.nonce == *nonce)
            .map(|record| record.version)
            .collect()
    }
}

/// One operator's change on its way, and the same change asked for again.
struct Operator {
    order: ChangeRequest,
    machine: AcceptanceMachine,
}

/// Everything in one run.
struct Run {
    table: FakeTable,
    now: ClockTime,
    nonces: u64,
    team_digest: String,
    operators: Vec<Operator>,
    /// Changes of which the author was told that they are refused.
    refused: Vec<String>,
    /// Changes of which the author was told that they are accepted, with their versions.
    accepted: Vec<(String, u64)>,
    processes: Vec<ActiveDocuments>,
}

/// One run: changes, faults, and checks after each step.
///
/// # Errors
///
/// Never by itself; `u` ends a run early when its bytes are used up.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut run = Run {
        table: FakeTable::default(),
        now: ClockTime::from_millis(1000),
        nonces: 0,
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

impl Run {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0 => self.let_one_arrive(u)?,
            1 | 2 => self.spread(u)?,
            _ => {
                let index = u.choose_index(OPERATORS)?;
                self.drive(u, index)?;
            }
        }
        Ok(())
    }

    /// A change over what an operator last saw, which may be old.
    fn new_change(&mut self, u: &mut Unstructured<'_>) -> Result<Operator> {
        self.nonces += 1;
        let newest = u64::try_from(self.table.stood.len()).unwrap_or(u64::MAX);
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
            nonce: format!("change-{}", self.nonces).into(),
            is_first_attempt: true,
            author: "operator".into(),
            key: KeyDigest::of_key(key),
            operator_key_digest: KeyDigest::of_key(OPERATOR_KEY).hex().into(),
            document: document(&self.team_digest, self.nonces),
        };
        Ok(self.ask(order))
    }

    /// The author asks for the same change once more.
    fn ask_again(&self, order: ChangeRequest) -> Operator {
        self.ask(ChangeRequest {
            is_first_attempt: false,
            ..order
        })
    }

    fn ask(&self, order: ChangeRequest) -> Operator {
        let machine = AcceptanceMachine::new(order.clone(), self.now, WallTime(self.now.0 / 1000));
        Operator { order, machine }
    }

    fn drive(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let step = self.operators[index].machine.next_step(self.now);
        match step {
            AcceptanceStep::WaitUntil(_) => {}
            AcceptanceStep::Done(end) => {
                let operator = self.settle(u, index, *end)?;
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

    fn write(&mut self, u: &mut Unstructured<'_>, write: FakeWrite) -> Result<TableResponse> {
        match u.int_in_range(0..=5)? {
            0 => Ok(TableResponse::Unavailable),
            1 => {
                self.table.write(&write);
                Ok(TableResponse::Unavailable)
            }
            2 => {
                self.table.under_way.push(write);
                Ok(TableResponse::Unavailable)
            }
            _ => Ok(self.table.write(&write)),
        }
    }

    fn let_one_arrive(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.table.under_way.is_empty() {
            let index = u.choose_index(self.table.under_way.len())?;
            let write = self.table.under_way.remove(index);
            self.table.write(&write);
        }
        Ok(())
    }

    /// The author learns how it ended, and asks again or goes on to the next change.
    fn settle(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        end: AcceptanceOutcome,
    ) -> Result<Operator> {
        let order = self.operators[index].order.clone();
        match end {
            AcceptanceOutcome::Accepted { version, .. } => {
                self.accepted.push((order.nonce.to_string(), version));
                if u.ratio(1, 4)? {
                    return Ok(self.ask_again(order));
                }
            }
            AcceptanceOutcome::Refused { error, .. }
                if error.kind == ErrorKind::DocumentInDoubt =>
            {
                return Ok(self.ask_again(order));
            }
            AcceptanceOutcome::Refused { .. } => {
                self.refused.push(order.nonce.to_string());
            }
        }
        self.new_change(u)
    }

    /// A process hears of any version that ever stood, from the table or from a neighbour.
    fn spread(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.table.stood.is_empty() {
            return Ok(());
        }
        let row = self.table.stood[u.choose_index(self.table.stood.len())?].clone();
        let process = &mut self.processes[u.choose_index(PROCESSES)?];
        let before = process.version_of(SERVICE);
        process.install_if_newer(&row).expect("a row of ours reads");
        let after = process.version_of(SERVICE);
        assert!(after >= before, "version {before} went back to {after}");
        Ok(())
    }

    fn check(&self) {
        for (nonce, version) in &self.accepted {
            let made = self.table.accepted(nonce);
            assert_eq!(made, [*version], "{nonce} was not accepted exactly once");
        }
        for nonce in &self.refused {
            let made = self.table.accepted(nonce);
            assert!(
                made.is_empty(),
                "{nonce} was refused and stands as {made:?}"
            );
        }
    }

    /// Every write arrives, every process hears of what stands: all of them hold the same.
    fn finish(&mut self) {
        while let Some(write) = self.table.under_way.pop() {
            self.table.write(&write);
        }
        self.check();
        if let Some(row) = self.table.stood.last() {
            for process in &mut self.processes {
                process.install_if_newer(row).expect("a row of ours reads");
                let newest = u64::try_from(self.table.stood.len()).unwrap_or(u64::MAX);
                assert_eq!(process.version_of(SERVICE), newest, "not everyone has it");
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
