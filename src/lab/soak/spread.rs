//! Drives the spreading of one document among several control processes. They read it from a table
//! that may return stale rows and pull it from each other, are separated by network partitions and
//! rejoined, and restart.

use std::time::Duration;

use arbitrary::{Result, Unstructured};
use bytes::Bytes;

use crate::control::ControlMachine;
use crate::documents::{AcceptedChange, DocumentRecord};
use crate::membership::HostIdentity;
use crate::stores::HostRole;
use crate::time::ClockTime;

const STEPS: usize = 300;
const PROCESSES: usize = 5;
const SERVICE: &str = "pisar";

/// A process that runs a control machine.
struct ControlProcess {
    machine: ControlMachine,
    incarnation: u64,
    /// The network partition that it is in. It reaches only processes of the same partition.
    partition: u8,
    /// The greatest version that this process or an earlier one on the host has applied.
    applied_version: u64,
}

/// State of one run.
struct SpreadRun {
    now: ClockTime,
    /// All rows of the document, oldest first.
    row_history: Vec<Bytes>,
    processes: Vec<ControlProcess>,
}

/// Runs one case: random changes, table reads, pulls, partitions and restarts, with checks after
/// each.
///
/// # Errors
///
/// Only if the bytes of `u` are used up, which ends the run early.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut run = SpreadRun {
        now: ClockTime::from_millis(1000),
        row_history: Vec::new(),
        processes: (0..PROCESSES).map(ControlProcess::new).collect(),
    };
    run.accept_change(0);
    for _ in 0..STEPS {
        run.now = run.now + Duration::from_millis(u.int_in_range(1..=500)?);
        let index = u.choose_index(PROCESSES)?;
        run.step(u, index)?;
    }
    run.rejoin_all();
    Ok(())
}

impl ControlProcess {
    fn new(index: usize) -> Self {
        Self {
            machine: control_machine(index, 1),
            incarnation: 1,
            partition: 0,
            applied_version: 0,
        }
    }

    /// Applies the latest snapshot, whose version must not be older than the one applied before.
    fn apply_documents(&mut self) {
        self.machine.take_gossip();
        let Some(snapshot) = self.machine.take_snapshot() else {
            return;
        };
        let Some(record) = snapshot.service(SERVICE) else {
            return;
        };
        assert!(
            record.version >= self.applied_version,
            "version {} was applied again after {}",
            record.version,
            self.applied_version
        );
        self.applied_version = record.version;
    }
}

impl SpreadRun {
    fn step(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0 => self.accept_change(index),
            1 => self.processes[index].partition = u.int_in_range(0..=1)?,
            2 => self.restart(u, index)?,
            3 | 4 => self.read_table(u, index)?,
            _ => self.pull_documents(index, u.choose_index(PROCESSES)?),
        }
        self.processes[index].apply_documents();
        Ok(())
    }

    /// Accepts a change at a process, whose control machine receives the new row at once.
    fn accept_change(&mut self, index: usize) {
        let version = u64::try_from(self.row_history.len()).unwrap_or(u64::MAX) + 1;
        let row = document_row(version);
        self.row_history.push(row.clone());
        self.processes[index].machine.on_row(&row);
    }

    /// Reads the table, with a stale row in some cases.
    fn read_table(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let newest = self.row_history.len() - 1;
        let row_index = if u.ratio(1, 3)? {
            u.int_in_range(0..=newest)?
        } else {
            newest
        };
        let machine = &mut self.processes[index].machine;
        machine.on_row(&self.row_history[row_index]);
        machine.on_table(true);
        machine.on_tick(false, self.now);
        Ok(())
    }

    /// Copies the documents of another process, if it is reachable and has newer ones.
    fn pull_documents(&mut self, index: usize, other: usize) {
        if index == other || self.processes[index].partition != self.processes[other].partition {
            return;
        }
        let other_documents = self.processes[other].machine.documents().clone();
        let machine = &mut self.processes[index].machine;
        if machine.lacks_any(&other_documents.versions()) {
            for document in other_documents.all() {
                machine.on_row(&document.row);
            }
        }
    }

    /// Starts a new process on the host, which reads the table and pulls from all reachable
    /// processes. Does nothing if no reachable process holds the version that the host has applied
    /// or a newer one: a stale read could then make the new process apply an older version, which
    /// nothing can prevent.
    fn restart(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let applied_version = self.processes[index].applied_version;
        let partition = self.processes[index].partition;
        let is_current = |process: &ControlProcess| {
            process.partition == partition
                && process.machine.documents().version_of(SERVICE) >= applied_version
        };
        let others = (0..PROCESSES).filter(|other| *other != index);
        let can_catch_up = others
            .clone()
            .any(|other| is_current(&self.processes[other]));
        if !can_catch_up {
            return Ok(());
        }
        let process = &mut self.processes[index];
        process.incarnation += 1;
        process.machine = control_machine(index, process.incarnation);
        self.read_table(u, index)?;
        self.processes[index].apply_documents();
        for other in others {
            self.pull_documents(index, other);
            self.processes[index].apply_documents();
        }
        let machine = &mut self.processes[index].machine;
        machine.on_list(&[], self.now);
        machine.on_tick(true, self.now);
        Ok(())
    }

    /// Ends all partitions, after which every process must apply the newest version.
    fn rejoin_all(&mut self) {
        self.now = self.now + Duration::from_secs(5);
        for process in &mut self.processes {
            process.partition = 0;
            process.machine.on_tick(true, self.now);
            process.apply_documents();
        }
        for index in 0..PROCESSES {
            self.processes[index].machine.on_table(true);
        }
        let newest = u64::try_from(self.row_history.len()).unwrap_or(u64::MAX);
        let last = self.row_history.len() - 1;
        let row = self.row_history[last].clone();
        self.processes[0].machine.on_row(&row);
        for index in 0..PROCESSES {
            self.pull_documents(index, 0);
            self.now = self.now + Duration::from_secs(5);
            let process = &mut self.processes[index];
            process.machine.on_tick(true, self.now);
            process.apply_documents();
            assert_eq!(
                process.applied_version, newest,
                "process {index} does not converge"
            );
        }
    }
}

fn control_machine(index: usize, incarnation: u64) -> ControlMachine {
    ControlMachine::new(HostIdentity {
        host: format!("entry-{index}").into(),
        data_centre: "kp-luka".into(),
        region: "obala".into(),
        role: HostRole::Entry,
        service: None,
        peer_address: ([127, 0, 0, 1], 1).into(),
        incarnation,
    })
}

fn document_row(version: u64) -> Bytes {
    let nonce = format!("change-{version}");
    let document = serde_json::json!({
        "format": 1,
        "service": SERVICE,
        "team": "hosting",
        "change_key_digests": ["00"],
        "kind": "plain",
        "data_centres": ["kp-luka"],
        "hosts": "listed",
        "accounts": [],
    });
    let record = DocumentRecord {
        version,
        nonce: nonce.clone().into(),
        changed_by: "someone".into(),
        changed_wall_ms: 0,
        recent: vec![AcceptedChange {
            version,
            nonce: nonce.into(),
        }],
        document,
    };
    record.to_row().expect("the record is serialisable")
}
