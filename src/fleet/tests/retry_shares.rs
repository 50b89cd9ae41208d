//! Retry budget shares of many entry hosts, judged together: clients move between entry hosts,
//! entry hosts restart, some do not know all others, and sends arrive later than they were claimed.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::{NOW, WINDOW};
use crate::fleet::{RetryBudgetShare, RetryShareLimits};
use crate::test_support::{run_cases, worst_budget_excess};
use crate::time::ClockTime;

/// Length of one step of the model.
const STEP: Duration = Duration::from_millis(100);
/// Number of steps of a run: a little more than four windows.
const STEPS: u32 = 420;
/// Longest time between the begin of a send and its arrival. A connection opens within 150 ms.
const ARRIVAL_DELAY_MS: u64 = 300;
/// Longest time for which a claimed send waits for a slot, in steps.
const SLOT_WAIT_STEPS: u32 = 20;

/// A budget of one entry host of which requests add nothing.
const FIXED_LIMITS: RetryShareLimits = RetryShareLimits {
    ratio: 0.0,
    extra: 100.0,
    window: WINDOW,
    entries: 1,
    counted_since: Some(ClockTime(0)),
};

/// What disturbs an entry host at a step.
#[derive(Clone, Copy, Debug)]
enum HostDisturbance {
    /// Its clients move to others, and it stays.
    ClientsMove,
    /// The process restarts, and its clients move to others.
    Restart,
}

/// A claimed send that waits for a slot.
#[derive(Clone, Copy, Debug)]
struct WaitingSend {
    host: usize,
    claimed_at: ClockTime,
    slot_at: ClockTime,
}

/// Entry hosts that share one budget, and what clients and backend servers see of them.
struct ShareModel {
    limits: RetryShareLimits,
    shares: Vec<RetryBudgetShare>,
    /// The entry host of each client.
    homes: Vec<usize>,
    /// When each entry host last restarted.
    restarted: Vec<Option<ClockTime>>,
    /// Claimed sends that wait for a slot.
    waiting: Vec<WaitingSend>,
    requests: Vec<ClockTime>,
    arrivals: Vec<ClockTime>,
}

impl ShareModel {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let entries = u.int_in_range(2..=10)?;
        let limits = RetryShareLimits {
            ratio: 0.2,
            extra: *u.choose(&[0.0, 20.0, 100.0])?,
            window: WINDOW,
            entries,
            counted_since: Some(ClockTime(0)),
        };
        let homes = (0..40).map(|_| u.choose_index(entries));
        Ok(Self {
            limits,
            shares: vec![RetryBudgetShare::default(); entries],
            homes: homes.collect::<Result<_>>()?,
            restarted: vec![None; entries],
            waiting: Vec::new(),
            requests: Vec::new(),
            arrivals: Vec::new(),
        })
    }

    /// Disturbs some of the entry hosts, but not all.
    fn disturb(
        &mut self,
        u: &mut Unstructured<'_>,
        disturbance: HostDisturbance,
        now: ClockTime,
    ) -> Result<()> {
        let entries = self.shares.len();
        let disturbed = u.int_in_range(1..=entries - 1)?;
        let first = u.choose_index(entries)?;
        let is_disturbed = |host: usize| (host + entries - first) % entries < disturbed;
        for home in &mut self.homes {
            if is_disturbed(*home) {
                let others = entries - disturbed;
                *home = (first + disturbed + u.choose_index(others)?) % entries;
            }
        }
        for host in (0..entries).filter(|host| is_disturbed(*host)) {
            let is_recent = self.restarted[host].is_some_and(|at| now.since(at) < WINDOW * 2);
            if matches!(disturbance, HostDisturbance::Restart) && !is_recent {
                self.shares[host] = RetryBudgetShare::default();
                self.waiting.retain(|send| send.host != host);
                self.restarted[host] = Some(now);
            }
        }
        Ok(())
    }

    /// What the entry host `host` knows: for a second after a restart not how many there are.
    fn known_limits(&self, host: usize, now: ClockTime) -> RetryShareLimits {
        let is_new = self.restarted[host].is_some_and(|at| now.since(at) < Duration::from_secs(1));
        RetryShareLimits {
            entries: if is_new { 0 } else { self.limits.entries },
            counted_since: self.restarted[host].or(self.limits.counted_since),
            ..self.limits
        }
    }

    /// Sends the requests of one step; of ten, `failing` are sent again twice if the budget allows.
    fn step(&mut self, u: &mut Unstructured<'_>, failing: u32, now: ClockTime) -> Result<()> {
        for client in 0..self.homes.len() {
            let host = self.homes[client];
            let limits = self.known_limits(host, now);
            if !u.ratio(2, 5)? {
                continue;
            }
            self.requests.push(now);
            self.shares[host].credit(limits, now);
            if failing == 0 || !u.ratio(failing, 10)? {
                continue;
            }
            for _ in 0..2 {
                if !self.shares[host].try_spend(limits, now) {
                    continue;
                }
                if u.ratio(1, 8)? {
                    self.waiting.push(WaitingSend {
                        host,
                        claimed_at: now,
                        slot_at: now + STEP * u.int_in_range(1..=SLOT_WAIT_STEPS)?,
                    });
                } else {
                    self.send(u, now)?;
                }
            }
        }
        self.send_waiting(u, now)
    }

    /// Sends what has waited for a slot until `now`, if the budget still allows it.
    fn send_waiting(&mut self, u: &mut Unstructured<'_>, now: ClockTime) -> Result<()> {
        let due = self.waiting.extract_if(.., |send| send.slot_at <= now);
        for send in due.collect::<Vec<_>>() {
            let limits = self.known_limits(send.host, now);
            if self.shares[send.host].try_move(limits, send.claimed_at, now) {
                self.send(u, now)?;
            }
        }
        Ok(())
    }

    fn send(&mut self, u: &mut Unstructured<'_>, now: ClockTime) -> Result<()> {
        let delay = u.int_in_range(0..=ARRIVAL_DELAY_MS)?;
        self.arrivals.push(now + Duration::from_millis(delay));
        Ok(())
    }
}

/// Runs the model and returns its largest excess over the budget.
fn run_model(u: &mut Unstructured<'_>, disturbances: &[HostDisturbance]) -> Result<f64> {
    let mut model = ShareModel::new(u)?;
    let mut next_disturbance = u.int_in_range(0..=120)?;
    let mut failing = 0;
    for step in 0..STEPS {
        let now = NOW + STEP * step;
        if step >= next_disturbance {
            let disturbance = *u.choose(disturbances)?;
            model.disturb(u, disturbance, now)?;
            failing = *u.choose(&[0, 2, 10])?;
            next_disturbance = step + u.int_in_range(5..=80)?;
        }
        model.step(u, failing, now)?;
    }
    Ok(worst_budget_excess(
        model.limits,
        &model.requests,
        &model.arrivals,
    ))
}

/// Guards against more second sends of all entry hosts together than the budget of the service
/// allows in some window, while clients move between entry hosts.
#[test]
fn shares_keep_to_the_budget_while_clients_move() {
    run_cases(40, 1 << 16, |u| {
        let excess = run_model(u, &[HostDisturbance::ClientsMove])?;
        assert!(excess <= 0.0, "{excess:.1} second sends beyond the budget");
        Ok(())
    });
}

/// Guards against the same while entry hosts restart and do not know the others for a while.
#[test]
fn shares_keep_to_the_budget_while_entry_hosts_restart() {
    run_cases(40, 1 << 16, |u| {
        let disturbances = [HostDisturbance::ClientsMove, HostDisturbance::Restart];
        let excess = run_model(u, &disturbances)?;
        assert!(excess <= 0.0, "{excess:.1} second sends beyond the budget");
        Ok(())
    });
}

/// Guards against a window that counts too few second sends, because a retry that was claimed before
/// it and not used is refunded within it.
#[test]
fn a_refund_does_not_count_for_a_later_window() {
    let limits = FIXED_LIMITS;
    let mut share = RetryBudgetShare::default();
    let claim = |share: &mut RetryBudgetShare, count: usize, now: ClockTime| {
        (0..count).filter(|_| share.try_spend(limits, now)).count()
    };
    let searched_at = NOW + WINDOW * 3;
    let unused = claim(&mut share, 40, searched_at);
    let sent_at = searched_at + WINDOW * 6 / 10;
    let sent = claim(&mut share, 40, sent_at);
    for _ in 0..unused {
        share.refund(limits, searched_at);
    }
    let later = sent + claim(&mut share, 200, searched_at + WINDOW * 12 / 10);
    assert!(later <= 100, "{later} second sends within a window");
}

/// Guards against sends that wait for a slot and all begin in a window that counts none of them.
#[test]
fn a_send_that_waited_counts_when_it_begins() {
    let limits = FIXED_LIMITS;
    let mut share = RetryBudgetShare::default();
    let claimed_at = NOW + WINDOW * 3;
    let claimed = (0..200)
        .filter(|_| share.try_spend(limits, claimed_at))
        .count();
    let begun_at = claimed_at + WINDOW * 6 / 10;
    let begun = (0..claimed).filter(|_| share.try_move(limits, claimed_at, begun_at));
    let begun = begun.count();
    assert_eq!(begun, claimed);
    let later = claimed_at + WINDOW * 12 / 10;
    let sent = (0..200).filter(|_| share.try_spend(limits, later)).count();
    assert!(
        begun + sent <= 100,
        "{begun} and {sent} second sends within a window"
    );
}

/// Guards against a window that counts requests which were sent before it, because they were read in
/// it.
#[test]
fn a_request_that_waited_counts_when_it_was_sent() {
    let limits = RetryShareLimits {
        ratio: 1.0,
        extra: 0.0,
        ..FIXED_LIMITS
    };
    let mut share = RetryBudgetShare::default();
    share.credit(limits, NOW);
    let read_at = NOW + WINDOW * 9 / 10;
    share.credit(limits, read_at);
    for _ in 0..100 {
        share.credit(limits, NOW + WINDOW / 10);
    }
    // The window before this moment has the time of the read, but not that of the send.
    let later = NOW + WINDOW * 112 / 100;
    let sent = (0..200).filter(|_| share.try_spend(limits, later));
    assert_eq!(sent.count(), 0);
}
