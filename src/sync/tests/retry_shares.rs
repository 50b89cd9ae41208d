//! Retry budget shares of entry hosts that learn of each other from the store and from neighbours,
//! judged together: entry hosts are added, cut off, restarted and paused, and clients move.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::{at_once, found_at, set_clock, store_time};
use crate::daemon::{CHECK_INTERVAL, StallClock};
use crate::fleet::{RetryBudgetShare, RetryShareLimits, SEND_BEGIN_SPAN};
use crate::platform::{StoreRow, TableView};
use crate::sync::own_rows::OwnRows;
use crate::sync::peer_messages::EntryRecord;
use crate::sync::target_update_time::FollowState;
use crate::sync::{DeploymentState, SharedDeploymentState};
use crate::test_support::{run_cases, worst_budget_excess};
use crate::time::ClockTime;

const START: ClockTime = ClockTime::from_millis(100_000);
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
/// Length of one step of the model.
const STEP: Duration = Duration::from_millis(100);
/// Number of steps of a run: seven windows.
const STEPS: u32 = 700;
/// Requests begin this long after the first entry hosts start.
const LEAD: Duration = Duration::from_secs(10);
const CLIENTS: usize = 12;
/// A client sends a request each this many steps.
const REQUEST_STEPS: usize = 5;
const HOSTS_MAX: usize = 9;
/// Longest time until the connection for a send is open.
const CONNECT_MS: u64 = 150;
/// Longest time from the write of a request to its arrival.
const ARRIVAL_DELAY_MS: u64 = 150;
/// After this time clients leave an entry host that does not answer.
const CLIENT_PATIENCE: Duration = Duration::from_secs(1);
/// Pause between two reads of the entry hosts, and after a failed one.
const READ_PAUSE: Duration = Duration::from_secs(10);
const READ_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two queries of neighbours, and that of an entry host without the store, or that is
/// not counted yet.
const QUERY_PAUSE: Duration = Duration::from_secs(1);
const QUERY_PAUSE_SHORT: Duration = Duration::from_millis(250);
/// How long an entry host names itself in its queries.
const INTRODUCTION_SPAN: Duration = Duration::from_secs(10);

/// What happens to the deployment.
#[derive(Clone, Copy, Debug)]
enum HostDisturbance {
    /// The clients of some entry hosts move to others.
    ClientsMove,
    /// An entry host is added.
    Add,
    /// An entry host restarts.
    Restart,
    /// All entry hosts restart.
    RestartAll,
    /// The entry hosts are cut into two sides; one of them reaches the store, or none does.
    Cut,
    /// Some entry hosts stand still.
    Pause,
}

/// The entry hosts that reach each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutSide {
    Left,
    Right,
}

/// A send that was charged and not yet written.
#[derive(Clone, Copy, Debug)]
struct PendingSend {
    claimed_at: ClockTime,
    /// When its connection is open.
    write_at: ClockTime,
}

/// One entry host.
struct ModelHost {
    record: EntryRecord,
    state: SharedDeploymentState,
    share: RetryBudgetShare,
    started_at: ClockTime,
    next_read_at: ClockTime,
    next_query_at: ClockTime,
    paused_since: Option<ClockTime>,
    paused_until: ClockTime,
    side: CutSide,
    stalls: StallClock,
    next_check_at: ClockTime,
    pending: Vec<PendingSend>,
    /// Requests that arrived while it stood still.
    unread: u32,
}

impl ModelHost {
    fn new(index: usize, now: ClockTime) -> Self {
        let port = u16::try_from(index).unwrap_or(0) + 1000;
        let address = SocketAddr::from(([10, 0, 0, 1], port));
        let record = EntryRecord {
            host: format!("e{index}").into(),
            data_centre: "z".into(),
            control: address,
            reports: address,
        };
        Self {
            state: started_state(&record, now),
            share: RetryBudgetShare::default(),
            record,
            started_at: now,
            next_read_at: now,
            next_query_at: now,
            paused_since: None,
            paused_until: now,
            side: CutSide::Left,
            stalls: StallClock::default(),
            next_check_at: now,
            pending: Vec::new(),
            unread: 0,
        }
    }

    /// Starts a new process.
    fn restart(&mut self, now: ClockTime) {
        self.state = started_state(&self.record, now);
        self.share = RetryBudgetShare::default();
        self.started_at = now;
        self.next_read_at = now;
        self.next_query_at = now;
        self.stalls = StallClock::default();
        self.pending.clear();
        self.unread = 0;
    }

    fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }

    fn limits(&self, extra: f64, now: ClockTime) -> RetryShareLimits {
        let sharing = self.state.snapshot().load().entry_sharing;
        RetryShareLimits {
            extra,
            entries: sharing.divisor(now),
            counted_since: sharing.counted_since,
            ..unknown_limits()
        }
    }
}

/// The state of a process that starts at `now`.
fn started_state(record: &EntryRecord, now: ClockTime) -> SharedDeploymentState {
    let state = SharedDeploymentState::default();
    set_clock(&state, now);
    state.change(|state| state.set_own_host(record.host.clone()));
    state
}

/// The limits of an entry host that knows no others.
const fn unknown_limits() -> RetryShareLimits {
    RetryShareLimits {
        ratio: RATIO,
        extra: 0.0,
        window: WINDOW,
        entries: 0,
        counted_since: None,
    }
}

/// A deployment with its store, and what clients and backend servers see of it.
struct ShareModel {
    extra: f64,
    hosts: Vec<ModelHost>,
    /// The entry host of each client.
    homes: Vec<usize>,
    rows: Vec<StoreRow>,
    /// The side that reaches the store, and the end of the cut.
    store_side: Option<CutSide>,
    cut_until: ClockTime,
    requests: Vec<ClockTime>,
    arrivals: Vec<ClockTime>,
}

impl ShareModel {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let count = u.int_in_range(1..=6)?;
        let homes = (0..CLIENTS).map(|_| u.choose_index(count));
        Ok(Self {
            homes: homes.collect::<Result<_>>()?,
            extra: *u.choose(&[30.0, 100.0, 300.0])?,
            hosts: (0..count).map(|at| ModelHost::new(at, START)).collect(),
            rows: Vec::new(),
            store_side: Some(CutSide::Left),
            cut_until: START,
            requests: Vec::new(),
            arrivals: Vec::new(),
        })
    }

    fn is_cut(&self, now: ClockTime) -> bool {
        now < self.cut_until
    }

    fn reaches_store(&self, host: usize, now: ClockTime) -> bool {
        !self.is_cut(now) || self.store_side == Some(self.hosts[host].side)
    }

    fn reaches(&self, from: usize, to: usize, now: ClockTime) -> bool {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        !to.is_paused(now) && (!self.is_cut(now) || from.side == to.side)
    }

    fn disturb(
        &mut self,
        u: &mut Unstructured<'_>,
        disturbance: HostDisturbance,
        now: ClockTime,
    ) -> Result<()> {
        let count = self.hosts.len();
        match disturbance {
            HostDisturbance::ClientsMove => {
                let from = u.choose_index(count)?;
                for client in 0..CLIENTS {
                    if self.homes[client] == from || u.ratio(1, 2)? {
                        self.homes[client] = u.choose_index(count)?;
                    }
                }
            }
            HostDisturbance::Add if count < HOSTS_MAX => {
                let mut host = ModelHost::new(count, now);
                host.side = any_side(u)?;
                self.hosts.push(host);
                for client in 0..CLIENTS {
                    if u.ratio(1, 3)? {
                        self.homes[client] = count;
                    }
                }
            }
            HostDisturbance::Add => {}
            HostDisturbance::Restart => {
                let host = u.choose_index(count)?;
                self.hosts[host].restart(now);
            }
            HostDisturbance::RestartAll => {
                for host in &mut self.hosts {
                    host.restart(now);
                }
            }
            HostDisturbance::Cut => {
                for host in &mut self.hosts {
                    host.side = any_side(u)?;
                }
                self.store_side = *u.choose(&[Some(CutSide::Left), Some(CutSide::Right), None])?;
                self.cut_until = now + STEP * u.int_in_range(10..=350)?;
            }
            HostDisturbance::Pause => {
                let until = now + STEP * u.int_in_range(5..=40)?;
                let first = u.choose_index(count)?;
                for at in 0..u.int_in_range(1..=count)? {
                    let host = &mut self.hosts[(first + at) % count];
                    host.paused_since = Some(now);
                    host.paused_until = until;
                }
            }
        }
        Ok(())
    }

    /// Lets the entry host `host` follow the store and its neighbours.
    fn sync(&mut self, u: &mut Unstructured<'_>, host: usize, now: ClockTime) -> Result<()> {
        if self.hosts[host].next_read_at <= now {
            let is_read = self.reaches_store(host, now);
            if is_read {
                self.read_store(host, now);
            }
            let pause = if is_read {
                READ_PAUSE
            } else {
                READ_RETRY_PAUSE
            };
            self.hosts[host].next_read_at = now + pause;
        }
        if self.hosts[host].next_query_at <= now {
            self.query_neighbour(u, host, now)?;
            let is_new = now.since(self.hosts[host].started_at) < INTRODUCTION_SPAN;
            let is_counted = self.hosts[host].state.read(DeploymentState::is_counted);
            let pause = if self.reaches_store(host, now) && (is_counted || !is_new) {
                QUERY_PAUSE
            } else {
                QUERY_PAUSE_SHORT
            };
            let jitter = f64::from(u.int_in_range(75..=125)?) / 100.0;
            self.hosts[host].next_query_at = now + pause.mul_f64(jitter);
        }
        Ok(())
    }

    /// Reads the table of entry hosts, registers the entry host if it is not there, and reads again.
    fn read_store(&mut self, host: usize, now: ClockTime) {
        let key = self.hosts[host].record.host.clone();
        self.read_table(host, now);
        if !self.rows.iter().any(|row| *row.key == *key) {
            let value = serde_json::to_vec(&self.hosts[host].record);
            self.rows.push(StoreRow {
                key: key.to_string(),
                revision: self.rows.len() as u64 + 1,
                value: Some(value.unwrap_or_default().into()),
            });
            self.read_table(host, now);
        }
    }

    fn read_table(&mut self, host: usize, now: ClockTime) {
        let host = &self.hosts[host];
        let is_registered = self.rows.iter().any(|row| *row.key == *host.record.host);
        let view = TableView {
            rows: self.rows.clone(),
            revision: self.rows.len() as u64 + 1,
            store_time: store_time(now),
        };
        let set_at = found_at(FollowState::Started, now);
        host.state.change(|state| {
            state.take_own_rows(OwnRows::of(&view), set_at);
            state.note_entry_table(is_registered, view.store_time, now);
        });
    }

    fn query_neighbour(
        &mut self,
        u: &mut Unstructured<'_>,
        host: usize,
        now: ClockTime,
    ) -> Result<()> {
        let own = self.hosts[host].record.clone();
        let known = self.hosts[host].state.snapshot().load().entries.clone();
        // The first entry hosts are the seeds of all.
        let is_known = |at: &usize| *at < 2 || known.contains(&self.hosts[*at].record);
        let others: Vec<usize> = (0..self.hosts.len())
            .filter(|at| *at != host && is_known(at))
            .collect();
        if others.is_empty() {
            return Ok(());
        }
        let other = *u.choose(&others)?;
        if !self.reaches(host, other, now) {
            return Ok(());
        }
        let mut query = self.hosts[host].state.read(DeploymentState::entry_query);
        if now.since(self.hosts[host].started_at) < INTRODUCTION_SPAN {
            query.sender = Some(own);
        }
        let asked = &self.hosts[other].state;
        if let Some(sender) = &query.sender {
            asked.change(|state| state.add_entries(vec![sender.clone()]));
        }
        if let Some(agreement) = &query.agreement {
            asked.change(|state| state.merge_agreement(agreement, false, now));
        }
        let view = asked.read(|state| state.answer(&query, Duration::ZERO, now));
        let state = &self.hosts[host].state;
        state.change(|state| state.merge(view, at_once(now)));
        Ok(())
    }

    /// Sends the requests of one step; if they fail, each is sent again twice as far as the budget
    /// allows.
    fn send_requests(
        &mut self,
        u: &mut Unstructured<'_>,
        step: usize,
        is_failing: bool,
        now: ClockTime,
    ) -> Result<()> {
        for client in 0..CLIENTS {
            if !(step + client).is_multiple_of(REQUEST_STEPS) {
                continue;
            }
            let mut home = self.homes[client];
            let paused_since = self.hosts[home].paused_since.unwrap_or(now);
            if self.hosts[home].is_paused(now) && now.since(paused_since) >= CLIENT_PATIENCE {
                home = u.choose_index(self.hosts.len())?;
                self.homes[client] = home;
            }
            self.requests.push(now);
            let host = &mut self.hosts[home];
            if host.is_paused(now) {
                host.unread += 1;
            } else {
                take_request(u, host, self.extra, is_failing, now)?;
            }
        }
        Ok(())
    }

    /// Lets an entry host that stood still read its requests, and writes sends whose connections
    /// are open.
    fn run_host(
        &mut self,
        u: &mut Unstructured<'_>,
        host: usize,
        is_failing: bool,
        now: ClockTime,
    ) -> Result<()> {
        let extra = self.extra;
        let host = &mut self.hosts[host];
        for _ in 0..std::mem::take(&mut host.unread) {
            take_request(u, host, extra, is_failing, now)?;
        }
        if now >= host.next_check_at {
            host.stalls.check(now);
            host.next_check_at = now + CHECK_INTERVAL;
        }
        let limits = host.limits(extra, now);
        let due = host.pending.extract_if(.., |send| send.write_at <= now);
        for send in due.collect::<Vec<_>>() {
            let is_in_time = now <= send.claimed_at + SEND_BEGIN_SPAN;
            if !is_in_time && !host.share.try_move(limits, send.claimed_at, now) {
                continue;
            }
            let delay = Duration::from_millis(u.int_in_range(0..=ARRIVAL_DELAY_MS)?);
            self.arrivals.push(now + delay);
        }
        Ok(())
    }
}

fn any_side(u: &mut Unstructured<'_>) -> Result<CutSide> {
    Ok(*u.choose(&[CutSide::Left, CutSide::Right])?)
}

/// Counts a request and claims what it is sent again.
fn take_request(
    u: &mut Unstructured<'_>,
    host: &mut ModelHost,
    extra: f64,
    is_failing: bool,
    now: ClockTime,
) -> Result<()> {
    let limits = host.limits(extra, now);
    host.share.credit(limits, host.stalls.waiting_since(now));
    if !is_failing {
        return Ok(());
    }
    for _ in 0..2 {
        if host.share.try_spend(limits, now) {
            let snapshot = host.state.snapshot().load();
            snapshot.has_spent.store(true, Ordering::Relaxed);
            host.pending.push(PendingSend {
                claimed_at: now,
                write_at: now + Duration::from_millis(u.int_in_range(0..=CONNECT_MS)?),
            });
        }
    }
    Ok(())
}

/// Runs the model and returns its largest excess over the budget.
fn run_model(u: &mut Unstructured<'_>, disturbances: &[HostDisturbance]) -> Result<f64> {
    let mut model = ShareModel::new(u)?;
    let mut next_disturbance = u.int_in_range(0..=150)?;
    let mut is_failing = false;
    for step in 0..STEPS {
        let now = START + STEP * step;
        if step >= next_disturbance {
            let disturbance = *u.choose(disturbances)?;
            model.disturb(u, disturbance, now)?;
            if u.ratio(1, 3)? {
                is_failing = !is_failing;
            }
            next_disturbance = step + u.int_in_range(3..=80)?;
        }
        for host in 0..model.hosts.len() {
            if !model.hosts[host].is_paused(now) {
                model.sync(u, host, now)?;
                model.run_host(u, host, is_failing, now)?;
            }
        }
        if now.since(START) >= LEAD {
            model.send_requests(u, step as usize, is_failing, now)?;
        }
    }
    let limits = RetryShareLimits {
        extra: model.extra,
        ..unknown_limits()
    };
    Ok(worst_budget_excess(
        limits,
        &model.requests,
        &model.arrivals,
    ))
}

fn check_model(cases: u32, disturbances: &[HostDisturbance]) {
    run_cases(
        std::env::var("CASES").map_or(cases, |c| c.parse().unwrap()),
        1 << 16,
        |u| {
            let excess = run_model(u, disturbances)?;
            assert!(excess <= 0.0, "{excess:.1} second sends beyond the budget");
            Ok(())
        },
    );
}

/// Guards against entry hosts that spend, as soon as they are added, a part of the fixed number of
/// retries that the others have spent.
#[test]
fn shares_keep_to_the_budget_while_entry_hosts_are_added() {
    check_model(100, &[HostDisturbance::ClientsMove, HostDisturbance::Add]);
}

/// Guards against parts of the fixed number that are too large because entry hosts know only some of
/// the others.
#[test]
fn shares_keep_to_the_budget_while_entry_hosts_do_not_know_each_other() {
    check_model(
        100,
        &[
            HostDisturbance::ClientsMove,
            HostDisturbance::Add,
            HostDisturbance::Cut,
        ],
    );
}

/// Guards against the same where processes restart and learn of the others from only some of them.
#[test]
fn shares_keep_to_the_budget_while_entry_hosts_restart_apart() {
    check_model(
        100,
        &[
            HostDisturbance::ClientsMove,
            HostDisturbance::Add,
            HostDisturbance::Cut,
            HostDisturbance::Restart,
            HostDisturbance::RestartAll,
        ],
    );
}

/// Guards against sends of an entry host that stood still after it charged them, which arrive in a
/// later window that does not count them.
#[test]
fn shares_keep_to_the_budget_while_entry_hosts_stand_still() {
    check_model(300, &[HostDisturbance::ClientsMove, HostDisturbance::Pause]);
}
