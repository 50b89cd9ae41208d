//! Keyed calls on several host processes that are killed, paused and replaced, over a table that
//! goes away, loses answers and lets writes take effect late. No key runs twice, nothing that was
//! told "not run" runs, a replay is the first answer, and no two processes have one slot open.

use std::sync::Arc;
use std::time::Duration;

use arbitrary::{Result, Unstructured};
use bytestring::ByteString;
use uuid::{ContextV7, Timestamp, Uuid};

pub(crate) use super::guard_host::GuardCoverage;
use super::guard_host::{LEASE, SLOTS, ServiceLog, SoakHost};
use super::guard_table::{FateTable, OperationFate};
use crate::delivery::AttemptId;
use crate::documents::OutageRule;
use crate::guard::keyed_call::{KeyHash, KeyedCall, OrderHash};
use crate::time::{ClockTime, WallTime};

const HOSTS: usize = 3;
const EVENTS: usize = 1500;
/// Callers ask for the newest so many keys.
const KEYS_ASKED: usize = 5;
/// How far hosts' and callers' clocks are ahead at most, in milliseconds.
const AHEAD_MS: u64 = 4_500;
/// How far a wrong caller's clock is ahead, in milliseconds.
const WRONG_AHEAD_MS: u64 = 40_000;
const START: ClockTime = ClockTime::from_millis(1_000_000);
/// Long enough for what is settled to be forgotten, in milliseconds.
const LONG_MS: u64 = 1_300_000;
/// Rounds in which everything works again.
const HEALING: usize = 60;

struct World {
    now: ClockTime,
    table: Arc<FateTable>,
    is_away: bool,
    hosts: Vec<SoakHost>,
    calls: Vec<KeyedCall>,
    /// Attempts with the host and the incarnation that they went to.
    attempts: Vec<(AttemptId, usize)>,
    log: ServiceLog,
}

/// Runs one case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    run_counted(u).map(|_| ())
}

/// Runs one case and tells what it came to.
pub(crate) fn run_counted(u: &mut Unstructured<'_>) -> Result<GuardCoverage> {
    let table = Arc::new(FateTable::default());
    let mut hosts = Vec::new();
    for index in 0..HOSTS {
        let ahead_ms = u.int_in_range(0..=AHEAD_MS)?;
        hosts.push(SoakHost::new(&format!("host-{index}"), 1, ahead_ms, &table));
    }
    let mut world = World {
        now: START,
        table,
        is_away: false,
        hosts,
        calls: Vec::new(),
        attempts: Vec::new(),
        log: ServiceLog::default(),
    };
    for _ in 0..EVENTS {
        world.step(u)?;
        world.check();
    }
    world.heal(u)?;
    Ok(world.log.coverage)
}

impl World {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.set_fates(u)?;
        let index = u.choose_index(HOSTS)?;
        match u.int_in_range(0..=59)? {
            0 => self.is_away = true,
            1 | 4 => self.is_away = false,
            2 if u.ratio(1, 2)? => self.kill(index),
            3 if u.ratio(1, 4)? => {
                let pause = Duration::from_millis(u.int_in_range(1_000..=60_000)?);
                self.hosts[index].paused_until = self.now + pause;
            }
            5 | 6 => self.table.land_late(),
            7..=15 => self.advance(u)?,
            16 => self.settle(u)?,
            17..=26 => self.call(u, index)?,
            _ if self.hosts[index].paused_until > self.now => {}
            27..=36 => {
                let hosts = self.believed_hosts(u, index)?;
                self.hosts[index].step_leases(&hosts, self.now);
            }
            37..=54 => {
                for _ in 0..u.int_in_range(1..=4)? {
                    self.hosts[index].step_task(u, self.now, &mut self.log)?;
                }
            }
            55 | 56 => self.hosts[index].step_removal(),
            _ => self.hosts[index].step_records(self.now),
        }
        Ok(())
    }

    fn set_fates(&self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut fates = [OperationFate::Answered; 4];
        for fate in &mut fates {
            *fate = match u.int_in_range(0..=15)? {
                0 => OperationFate::AnswerLost,
                1 => OperationFate::Late,
                2 => OperationFate::Away,
                _ if self.is_away => OperationFate::Away,
                _ => OperationFate::Answered,
            };
        }
        self.table.set_fates(&fates);
        Ok(())
    }

    fn advance(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let most = match u.int_in_range(0..=99)? {
            0 => LONG_MS,
            1..=12 => 20_000,
            _ => 1_500,
        };
        self.now = self.now + Duration::from_millis(u.int_in_range(0..=most)?);
        Ok(())
    }

    fn kill(&mut self, index: usize) {
        self.hosts[index] = self.hosts[index].replaced();
        self.attempts.retain(|(_, host)| *host != index);
    }

    fn believed_hosts(&self, u: &mut Unstructured<'_>, index: usize) -> Result<Vec<ByteString>> {
        let mut hosts = vec![self.hosts[index].name().clone()];
        for (other, host) in self.hosts.iter().enumerate() {
            if other != index && u.ratio(7, 8)? {
                hosts.push(host.name().clone());
            }
        }
        Ok(hosts)
    }

    /// A caller sends a new call, or one that it sent before.
    fn call(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        if self.calls.is_empty() || u.ratio(1, 5)? {
            let call = self.new_call(u)?;
            self.calls.push(call);
        }
        let newest = if u.ratio(2, 3)? {
            self.calls.len().saturating_sub(KEYS_ASKED)
        } else {
            0
        };
        let call = u.choose(&self.calls[newest..])?.clone();
        let holder = self
            .hosts
            .iter()
            .position(|host| host.is_open(call.slot, self.now));
        let index = holder.filter(|_| index != 0).unwrap_or(index);
        let attempt = self.new_attempt();
        let is_paused = self.hosts[index].paused_until > self.now;
        if !is_paused {
            self.attempts.push((attempt, index));
            self.hosts[index].take_call(&call, attempt, self.now, &mut self.log);
        }
        Ok(())
    }

    fn new_call(&self, u: &mut Unstructured<'_>) -> Result<KeyedCall> {
        let number = self.calls.len();
        let slot = u.int_in_range(0..=SLOTS - 1)?;
        let ahead = if u.ratio(1, 4)? {
            WRONG_AHEAD_MS
        } else {
            u.int_in_range(0..=AHEAD_MS)?
        };
        let made = WallTime(self.now.0 / 1000 + ahead);
        let in_outage = if u.ratio(2, 3)? {
            OutageRule::Lease
        } else {
            OutageRule::Refuse
        };
        Ok(KeyedCall {
            key: KeyHash::of("desk", "lodge", &number.to_string()),
            order: OrderHash::of("desk", "lodge", &slot.to_string()),
            slot,
            fingerprint: [0; 16],
            made: u.ratio(5, 6)?.then_some(made),
            in_outage,
        })
    }

    fn new_attempt(&self) -> AttemptId {
        let context = ContextV7::new();
        let time = Timestamp::from_unix(&context, self.now.0 / 1_000_000, 0);
        AttemptId(Uuid::new_v7(time))
    }

    fn settle(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let (attempt, index) = *u.choose(&self.attempts)?;
        self.hosts[index].settle(attempt, self.now, &mut self.log);
        Ok(())
    }

    fn check(&self) {
        for slot in 0..SLOTS {
            let open = self
                .hosts
                .iter()
                .filter(|host| host.is_open(slot, self.now));
            assert!(open.count() <= 1, "two processes have slot {slot} open");
        }
    }

    /// When everything works again, all that ran is written down and a new call runs.
    fn heal(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let hosts: Vec<_> = self.hosts.iter().map(|host| host.name().clone()).collect();
        self.table.set_fates(&[]);
        for host in &mut self.hosts {
            host.paused_until = ClockTime::default();
        }
        let mut fresh = None;
        for round in 0..HEALING {
            self.now = self.now + LEASE / 10;
            for index in 0..HOSTS {
                self.table.land_late();
                self.hosts[index].step_leases(&hosts, self.now);
                self.hosts[index].step_records(self.now);
                for _ in 0..4 {
                    self.hosts[index].step_task(u, self.now, &mut self.log)?;
                }
                self.hosts[index].step_removal();
            }
            self.check();
            if round == HEALING / 2 {
                fresh = Some(self.call_holder());
            }
        }
        for host in &self.hosts {
            assert!(host.is_traced(), "a run was never written down");
        }
        let is_told = fresh.is_none_or(|attempt| {
            self.log.started.contains(&attempt) || self.log.told_not_run.contains(&attempt)
        });
        assert!(is_told, "a call got no end though everything works");
        Ok(())
    }

    /// A new call goes to whoever holds its slot; somebody must.
    fn call_holder(&mut self) -> AttemptId {
        let call = KeyedCall {
            key: KeyHash::of("desk", "lodge", "fresh"),
            order: OrderHash::of("desk", "lodge", "fresh"),
            slot: 0,
            fingerprint: [0; 16],
            made: None,
            in_outage: OutageRule::Refuse,
        };
        let now = self.now;
        let holder = self.hosts.iter().position(|host| host.is_open(0, now));
        let index = holder.expect("nobody took the slot though everything works");
        let attempt = self.new_attempt();
        self.hosts[index].take_call(&call, attempt, now, &mut self.log);
        attempt
    }
}
