//! Several control machines that hear of documents from a table that shows old rows and from each
//! other, are cut off and joined, and start anew.

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

/// One process and what it acts on.
struct Process {
    machine: ControlMachine,
    incarnation: u64,
    /// The group of processes that it can reach.
    group: u8,
    /// The greatest version that it ever acted on, earlier processes on the host included.
    acted_on: u64,
}

/// Everything in one run.
struct Run {
    now: ClockTime,
    /// Every row that the document has had, the oldest first.
    stood: Vec<Bytes>,
    processes: Vec<Process>,
}

/// One run: changes, readings, cuts and restarts, with checks after each.
///
/// # Errors
///
/// Never by itself; `u` ends a run early when its bytes are used up.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut run = Run {
        now: ClockTime::from_millis(1000),
        stood: Vec::new(),
        processes: (0..PROCESSES).map(Process::new).collect(),
    };
    run.accept(0);
    for _ in 0..STEPS {
        run.now = run.now + Duration::from_millis(u.int_in_range(1..=500)?);
        let index = u.choose_index(PROCESSES)?;
        run.step(u, index)?;
    }
    run.join_all();
    Ok(())
}

impl Process {
    fn new(index: usize) -> Self {
        Self {
            machine: machine(index, 1),
            incarnation: 1,
            group: 0,
            acted_on: 0,
        }
    }

    fn act(&mut self) {
        self.machine.take_gossip();
        let Some(snapshot) = self.machine.take_snapshot() else {
            return;
        };
        let Some(record) = snapshot.service(SERVICE) else {
            return;
        };
        assert!(
            record.version >= self.acted_on,
            "version {} is in force again after {}",
            record.version,
            self.acted_on
        );
        self.acted_on = record.version;
    }
}

impl Run {
    fn step(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0 => self.accept(index),
            1 => self.processes[index].group = u.int_in_range(0..=1)?,
            2 => self.restart(u, index)?,
            3 | 4 => self.read_table(u, index)?,
            _ => self.pull(index, u.choose_index(PROCESSES)?),
        }
        self.processes[index].act();
        Ok(())
    }

    /// A change is accepted at a process, which puts it in force at once.
    fn accept(&mut self, index: usize) {
        let version = u64::try_from(self.stood.len()).unwrap_or(u64::MAX) + 1;
        let row = row(version);
        self.stood.push(row.clone());
        self.processes[index].machine.on_row(&row);
    }

    /// A reading of the table, which may be stale.
    fn read_table(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let newest = self.stood.len() - 1;
        let at = if u.ratio(1, 3)? {
            u.int_in_range(0..=newest)?
        } else {
            newest
        };
        let machine = &mut self.processes[index].machine;
        machine.on_row(&self.stood[at]);
        machine.on_table(true);
        machine.on_tick(false, self.now);
        Ok(())
    }

    /// The process asks another for what it lacks, if it can reach it.
    fn pull(&mut self, index: usize, other: usize) {
        if index == other || self.processes[index].group != self.processes[other].group {
            return;
        }
        let there = self.processes[other].machine.documents().clone();
        let machine = &mut self.processes[index].machine;
        if machine.lacks_any(&there.versions()) {
            for held in there.all() {
                machine.on_row(&held.row);
            }
        }
    }

    /// A new process starts on the host, reads the table and asks whom it can reach. The one case
    /// that nothing can help, an old reading while nobody who knows better can be reached, is left
    /// out.
    fn restart(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let greatest = self.processes[index].acted_on;
        let group = self.processes[index].group;
        let knows = |process: &Process| {
            process.group == group && process.machine.documents().version_of(SERVICE) >= greatest
        };
        let others = (0..PROCESSES).filter(|other| *other != index);
        let is_helped = others.clone().any(|other| knows(&self.processes[other]));
        if !is_helped {
            return Ok(());
        }
        let process = &mut self.processes[index];
        process.incarnation += 1;
        process.machine = machine(index, process.incarnation);
        self.read_table(u, index)?;
        self.processes[index].act();
        for other in others {
            self.pull(index, other);
            self.processes[index].act();
        }
        let machine = &mut self.processes[index].machine;
        machine.on_list(&[], self.now);
        machine.on_tick(true, self.now);
        Ok(())
    }

    /// Everyone reaches everyone: all come to act on the newest.
    fn join_all(&mut self) {
        self.now = self.now + Duration::from_secs(5);
        for process in &mut self.processes {
            process.group = 0;
            process.machine.on_tick(true, self.now);
            process.act();
        }
        for index in 0..PROCESSES {
            self.processes[index].machine.on_table(true);
        }
        let newest = u64::try_from(self.stood.len()).unwrap_or(u64::MAX);
        let last = self.stood.len() - 1;
        let row = self.stood[last].clone();
        self.processes[0].machine.on_row(&row);
        for index in 0..PROCESSES {
            self.pull(index, 0);
            self.now = self.now + Duration::from_secs(5);
            let process = &mut self.processes[index];
            process.machine.on_tick(true, self.now);
            process.act();
            assert_eq!(
                process.acted_on, newest,
                "process {index} does not converge"
            );
        }
    }
}

fn machine(index: usize, incarnation: u64) -> ControlMachine {
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

fn row(version: u64) -> Bytes {
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
    record.to_row().expect("a record writes")
}
