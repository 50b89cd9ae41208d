//! Drives the member table of one observing process. Its hosts start, leave, fail, pause and
//! return. Their streams break, and deliver announcements late or repeatedly; the host list is
//! updated late.

use std::time::Duration;

use arbitrary::{Result, Unstructured};

use crate::control::MemberState;
use crate::membership::{HostStatus, LoadReport, MemberFacts, MemberTable, MemberView};
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::time::ClockTime;

const STEPS: usize = 400;
const HOSTS: usize = 4;
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Steps of one `STATUS_INTERVAL` each. Together they exceed the hold time of a flapping host and
/// every silence timeout.
const FAULTLESS_STEPS: usize = 120;

/// State of a host's process.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProcessState {
    Running,
    Paused,
    Dead,
}

/// The true state of a host, which the observer may not know.
struct SimulatedHost {
    name: String,
    incarnation: u64,
    sequence: u64,
    process: ProcessState,
    leaving: bool,
    /// All announcements so far, any of which may still arrive.
    announcements: Vec<HostAnnouncement>,
    /// Whether the observer's stream from it is open.
    is_stream_open: bool,
}

/// A host's announcement, received from itself (status) or forwarded by another process (facts).
#[derive(Clone)]
enum HostAnnouncement {
    Status(HostStatus),
    Facts(MemberFacts),
}

/// State of one run.
struct ObserverRun {
    now: ClockTime,
    hosts: Vec<SimulatedHost>,
    table: MemberTable,
    /// For each host, the greatest incarnation that announced to the observer that it leaves; 0 if
    /// none did.
    leaving_incarnations: Vec<u64>,
}

/// Runs one case: random events, with checks after each step.
///
/// # Errors
///
/// Only if the bytes of `u` are used up, which ends the run early.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut run = ObserverRun {
        now: ClockTime::from_millis(100_000),
        hosts: (0..HOSTS).map(SimulatedHost::new).collect(),
        table: MemberTable::new("observer".into()),
        leaving_incarnations: vec![0; HOSTS],
    };
    run.update_host_list();
    for host in &run.hosts {
        run.table.on_watched(&host.name, run.now);
    }
    for _ in 0..STEPS {
        run.now = run.now + Duration::from_millis(u.int_in_range(10..=1500)?);
        let index = u.choose_index(HOSTS)?;
        run.step(u, index)?;
        run.check();
    }
    run.converge();
    Ok(())
}

impl SimulatedHost {
    fn new(index: usize) -> Self {
        Self {
            name: format!("host-{index}"),
            incarnation: 1,
            sequence: 0,
            process: ProcessState::Running,
            leaving: false,
            announcements: Vec::new(),
            is_stream_open: false,
        }
    }

    fn entry(&self) -> HostEntry {
        HostEntry {
            host: self.name.as_str().into(),
            data_centre: "lima-hall-a".into(),
            region: "costa".into(),
            role: HostRole::Backend,
            service: Some("sky-writer".into()),
            peer_address: ([127, 0, 0, 1], 1).into(),
            state: if self.leaving {
                ListedState::Leaving
            } else {
                ListedState::Live
            },
        }
    }

    fn status(&self) -> HostStatus {
        HostStatus {
            host: self.name.as_str().into(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving: self.leaving,
            load: LoadReport::default(),
            serving: None,
            staging: None,
        }
    }

    fn facts(&self) -> MemberFacts {
        MemberFacts {
            entry: self.entry(),
            incarnation: self.incarnation,
            sequence: u64::from(self.leaving),
        }
    }

    fn resume(&mut self) {
        if self.process == ProcessState::Paused {
            self.process = ProcessState::Running;
        }
    }

    fn announce(&mut self) {
        self.sequence += 1;
        self.announcements
            .push(HostAnnouncement::Status(self.status()));
        self.announcements
            .push(HostAnnouncement::Facts(self.facts()));
    }

    fn is_running(&self) -> bool {
        self.process == ProcessState::Running
    }
}

impl ObserverRun {
    fn step(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        match u.int_in_range(0..=11)? {
            0 => self.change_host(u, index)?,
            1 => self.update_host_list(),
            2 => self.close_stream(index),
            3 | 4 => self.deliver_past_announcement(u, index)?,
            5 => self.hosts[index].resume(),
            _ => self.receive_status(index),
        }
        self.table.on_tick(self.now);
        Ok(())
    }

    fn change_host(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let host = &mut self.hosts[index];
        match u.int_in_range(0..=3)? {
            0 if host.is_running() => host.process = ProcessState::Paused,
            1 if host.is_running() => {
                host.leaving = true;
                host.announce();
            }
            2 => {
                host.process = ProcessState::Dead;
                self.close_stream(index);
            }
            _ => {
                // A new process starts on the host, even if the previous one was only paused.
                host.incarnation += 1;
                host.sequence = 0;
                host.process = ProcessState::Running;
                host.leaving = false;
                self.close_stream(index);
            }
        }
        Ok(())
    }

    /// Passes the current host list to the observer. The observer's list is stale in between, since
    /// this happens at random steps only.
    fn update_host_list(&mut self) {
        let entries: Vec<HostEntry> = self.hosts.iter().map(SimulatedHost::entry).collect();
        self.table.on_list(&entries, self.now);
    }

    fn close_stream(&mut self, index: usize) {
        self.hosts[index].is_stream_open = false;
        let name = self.hosts[index].name.clone();
        self.table.on_stream_lost(&name, self.now);
    }

    /// Delivers the host's newest status over its stream, which is opened if necessary.
    fn receive_status(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !host.is_running() {
            return;
        }
        if !host.is_stream_open {
            host.is_stream_open = true;
            host.announce();
        }
        let (name, status) = (host.name.clone(), host.status());
        self.table
            .on_frame_received(&name, STATUS_INTERVAL, self.now);
        self.receive(index, HostAnnouncement::Status(status));
    }

    /// Delivers a randomly chosen past announcement, which may have been delivered before.
    fn deliver_past_announcement(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let announcements = &self.hosts[index].announcements;
        if !announcements.is_empty() {
            let announcement = announcements[u.choose_index(announcements.len())?].clone();
            self.receive(index, announcement);
        }
        Ok(())
    }

    fn receive(&mut self, index: usize, announcement: HostAnnouncement) {
        let (incarnation, leaving) = match &announcement {
            HostAnnouncement::Status(status) => (status.incarnation, status.leaving),
            HostAnnouncement::Facts(facts) => {
                let leaving = facts.entry.state == ListedState::Leaving;
                (facts.incarnation, leaving)
            }
        };
        if leaving {
            let leaving_incarnation = &mut self.leaving_incarnations[index];
            *leaving_incarnation = (*leaving_incarnation).max(incarnation);
        }
        match announcement {
            HostAnnouncement::Status(status) => {
                self.table.on_status(status, self.now);
            }
            HostAnnouncement::Facts(facts) => {
                self.table.on_facts(&facts, self.now);
            }
        }
        self.table.on_tick(self.now);
    }

    fn check(&self) {
        for (host, leaving) in self.hosts.iter().zip(&self.leaving_incarnations) {
            let Some(member) = self.table.get(&host.name) else {
                continue;
            };
            let known_incarnation = member.facts.incarnation;
            assert!(
                known_incarnation <= host.incarnation,
                "the observer reports an incarnation that never existed"
            );
            let is_live = member.state() == MemberState::Live;
            assert!(
                !is_live || known_incarnation != *leaving || known_incarnation == 0,
                "{} counts as live after it announced that it leaves",
                host.name
            );
            assert!(
                known_incarnation >= *leaving,
                "{} is known by an earlier incarnation than the one that leaves",
                host.name
            );
        }
    }

    /// Runs without further faults, after which the observer must know the true state of every
    /// host.
    fn converge(&mut self) {
        for _ in 0..FAULTLESS_STEPS {
            self.now = self.now + STATUS_INTERVAL;
            self.update_host_list();
            for index in 0..HOSTS {
                self.receive_status(index);
            }
            self.table.on_tick(self.now);
        }
        for host in &self.hosts {
            let state = self.table.get(&host.name).map(MemberView::state);
            let state = state.expect("the observer knows every listed host");
            let is_expected = match (host.is_running(), host.leaving) {
                (false, _) => state != MemberState::Live,
                (true, true) => state == MemberState::Leaving,
                (true, false) => state == MemberState::Live,
            };
            let is_running = host.is_running();
            assert!(
                is_expected,
                "{}: process running: {is_running}, known as {state:?}",
                host.name
            );
        }
    }
}
