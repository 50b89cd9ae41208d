//! Hosts that start, leave, die, freeze and come back, seen by one process through streams that
//! break, deliver late and deliver old words again, and through a list that lags.

use std::time::Duration;

use arbitrary::{Result, Unstructured};

use crate::control::MemberState;
use crate::membership::{HostStatus, LoadReport, MemberFacts, MemberTable, MemberView};
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::time::ClockTime;

const STEPS: usize = 400;
const HOSTS: usize = 4;
const PACE: Duration = Duration::from_millis(500);
/// Long enough for every hold on a flapping host and every silence to be over.
const QUIET_STEPS: usize = 120;

/// Whether a host's process runs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HostLife {
    Runs,
    Frozen,
    Dead,
}

/// A host as it really is.
struct RealHost {
    name: String,
    incarnation: u64,
    sequence: u64,
    life: HostLife,
    leaving: bool,
    /// The words that it has said so far, any of which may still arrive.
    said: Vec<Word>,
    /// Whether the observer's stream from it is open.
    stream: bool,
}

/// A host's word, told by itself or told on.
#[derive(Clone)]
enum Word {
    Status(HostStatus),
    Facts(MemberFacts),
}

/// Everything in one run.
struct Run {
    now: ClockTime,
    hosts: Vec<RealHost>,
    table: MemberTable,
    /// For each host the greatest incarnation of which the observer has heard that it leaves.
    heard_leaving: Vec<u64>,
}

/// One run: events, and checks after each step.
///
/// # Errors
///
/// Never by itself; `u` ends a run early when its bytes are used up.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut run = Run {
        now: ClockTime::from_millis(100_000),
        hosts: (0..HOSTS).map(RealHost::new).collect(),
        table: MemberTable::new("observer".into()),
        heard_leaving: vec![0; HOSTS],
    };
    run.show_list();
    for host in &run.hosts {
        run.table.on_watched(&host.name, run.now);
    }
    for _ in 0..STEPS {
        run.now = run.now + Duration::from_millis(u.int_in_range(10..=1500)?);
        let index = u.choose_index(HOSTS)?;
        run.step(u, index)?;
        run.check();
    }
    run.settle();
    Ok(())
}

impl RealHost {
    fn new(index: usize) -> Self {
        Self {
            name: format!("host-{index}"),
            incarnation: 1,
            sequence: 0,
            life: HostLife::Runs,
            leaving: false,
            said: Vec::new(),
            stream: false,
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

    fn thaw(&mut self) {
        if self.life == HostLife::Frozen {
            self.life = HostLife::Runs;
        }
    }

    fn speak(&mut self) {
        self.sequence += 1;
        self.said.push(Word::Status(self.status()));
        self.said.push(Word::Facts(self.facts()));
    }

    fn speaks(&self) -> bool {
        self.life == HostLife::Runs
    }
}

impl Run {
    fn step(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        match u.int_in_range(0..=11)? {
            0 => self.change_host(u, index)?,
            1 => self.show_list(),
            2 => self.break_stream(index),
            3 | 4 => self.replay(u, index)?,
            5 => self.hosts[index].thaw(),
            _ => self.frame(index),
        }
        self.table.on_tick(self.now);
        Ok(())
    }

    fn change_host(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let host = &mut self.hosts[index];
        match u.int_in_range(0..=3)? {
            0 if host.speaks() => host.life = HostLife::Frozen,
            1 if host.speaks() => {
                host.leaving = true;
                host.speak();
            }
            2 => {
                host.life = HostLife::Dead;
                self.break_stream(index);
            }
            _ => {
                // A new process on the host, also when the old one was only frozen.
                host.incarnation += 1;
                host.sequence = 0;
                host.life = HostLife::Runs;
                host.leaving = false;
                self.break_stream(index);
            }
        }
        Ok(())
    }

    /// The list as it stands; it lags, since it is shown now and then only.
    fn show_list(&mut self) {
        let entries: Vec<HostEntry> = self.hosts.iter().map(RealHost::entry).collect();
        self.table.on_list(&entries, self.now);
    }

    fn break_stream(&mut self, index: usize) {
        self.hosts[index].stream = false;
        let name = self.hosts[index].name.clone();
        self.table.on_stream_lost(&name, self.now);
    }

    /// The host's stream brings its newest word.
    fn frame(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !host.speaks() {
            return;
        }
        if !host.stream {
            host.stream = true;
            host.speak();
        }
        let (name, status) = (host.name.clone(), host.status());
        self.table.on_frame_received(&name, PACE, self.now);
        self.hear(index, Word::Status(status));
    }

    /// Any word of the past arrives, for the first time or again.
    fn replay(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let said = &self.hosts[index].said;
        if !said.is_empty() {
            let word = said[u.choose_index(said.len())?].clone();
            self.hear(index, word);
        }
        Ok(())
    }

    fn hear(&mut self, index: usize, word: Word) {
        let (incarnation, leaving) = match &word {
            Word::Status(status) => (status.incarnation, status.leaving),
            Word::Facts(facts) => {
                let leaving = facts.entry.state == ListedState::Leaving;
                (facts.incarnation, leaving)
            }
        };
        if leaving {
            let heard = &mut self.heard_leaving[index];
            *heard = (*heard).max(incarnation);
        }
        match word {
            Word::Status(status) => {
                self.table.on_status(status, self.now);
            }
            Word::Facts(facts) => {
                self.table.on_facts(&facts, self.now);
            }
        }
        self.table.on_tick(self.now);
    }

    fn check(&self) {
        for (host, leaving) in self.hosts.iter().zip(&self.heard_leaving) {
            let Some(member) = self.table.get(&host.name) else {
                continue;
            };
            let known = member.facts.incarnation;
            assert!(known <= host.incarnation, "a process that never was");
            let takes_work = member.state() == MemberState::Live;
            assert!(
                !takes_work || known != *leaving || known == 0,
                "{} takes new work after its word that it leaves",
                host.name
            );
            assert!(
                known >= *leaving,
                "{} is taken for an earlier process",
                host.name
            );
        }
    }

    /// Nothing fails any more: the observer comes to see every host as it is.
    fn settle(&mut self) {
        for _ in 0..QUIET_STEPS {
            self.now = self.now + PACE;
            self.show_list();
            for index in 0..HOSTS {
                self.frame(index);
            }
            self.table.on_tick(self.now);
        }
        for host in &self.hosts {
            let state = self.table.get(&host.name).map(MemberView::state);
            let state = state.expect("a listed host is known");
            let is_due = match (host.speaks(), host.leaving) {
                (false, _) => state != MemberState::Live,
                (true, true) => state == MemberState::Leaving,
                (true, false) => state == MemberState::Live,
            };
            let speaks = host.speaks();
            assert!(
                is_due,
                "{} speaks: {speaks}, is seen as {state:?}",
                host.name
            );
        }
    }
}
