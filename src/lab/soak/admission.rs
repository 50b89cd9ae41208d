//! Drives the admission state of one service through random arrivals, cancellations, dispatches,
//! ends of requests and document changes. In addition to the assertions inside the state, the cases
//! check that more urgent requests are dispatched first, that accounts share capacity by weight,
//! that limits are respected, and that no request is lost or counted twice.

use arbitrary::{Result, Unstructured};
use bytestring::ByteString;

use crate::admission::{AccountKey, AdmissionState, DispatchOutcome, QueuedRequest, TicketKey};
use crate::documents::{AccountSpec, RequestPriority};
use crate::time::ClockTime;

const STEPS: usize = 400;
const ACCOUNTS: u32 = 4;
const COST_MAX: u64 = 500;
/// A deadline that no case reaches.
const NO_DEADLINE: ClockTime = ClockTime::from_millis(u32::MAX as u64);

/// A request in the queue, as recorded by the case.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: TicketKey,
    account: AccountKey,
    priority: RequestPriority,
}

struct AdmissionCase {
    state: AdmissionState<u64>,
    now: ClockTime,
    waiting: Vec<WaitingRequest>,
    /// Requests that were dispatched and have not ended.
    dispatched: Vec<WaitingRequest>,
    /// Tickets of requests that have left the queue.
    removed_tickets: Vec<TicketKey>,
    /// Number of requests created so far; numbers them.
    request_count: u64,
}

/// Runs one random case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = AdmissionCase {
        state: AdmissionState::new(),
        now: ClockTime::from_millis(1),
        waiting: Vec::new(),
        dispatched: Vec::new(),
        removed_tickets: Vec::new(),
        request_count: 0,
    };
    case.refresh(u)?;
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        case.step(u)?;
    }
    case.finish();
    Ok(())
}

fn account_spec(number: u32, u: &mut Unstructured<'_>) -> Result<AccountSpec> {
    Ok(AccountSpec {
        name: format!("account-{number}").into(),
        key_digest: ByteString::new(),
        requests_per_second: u.int_in_range(1..=1000)?,
        concurrency: u.int_in_range(1..=64)?,
        weight: u.int_in_range(1..=8)?,
        urgent_percent: u.int_in_range(0..=100)?,
    })
}

impl AdmissionCase {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9_u8)? {
            0..=4 => self.arrive(u),
            5 | 6 => {
                let free_slots = u.int_in_range(0..=8)?;
                self.dispatch(free_slots);
                Ok(())
            }
            7 => self.depart(u),
            8 => self.cancel(u),
            _ => {
                if u.ratio(1, 20)? {
                    self.refresh(u)?;
                }
                self.now = self.now + std::time::Duration::from_millis(u.int_in_range(0..=500)?);
                Ok(())
            }
        }
    }

    fn refresh(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut specs = Vec::new();
        for number in 0..ACCOUNTS {
            if number == 0 || u.ratio(3, 4)? {
                specs.push(account_spec(number, u)?);
            }
        }
        let entry_hosts = u.int_in_range(1..=8)?;
        self.state.refresh(&specs, 10, entry_hosts, self.now);
        Ok(())
    }

    fn arrive(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let name = format!("account-{}", u.int_in_range(0..=ACCOUNTS)?).into();
        let priority = *u.choose(&RequestPriority::ALL)?;
        let Ok(account) = self.state.admit(&name, priority, self.now) else {
            return Ok(());
        };
        let cost = u.int_in_range(1..=COST_MAX)?;
        self.request_count += 1;
        let request = QueuedRequest {
            account,
            priority,
            cost,
            deadline: NO_DEADLINE,
            skips_fair_queue: u.ratio(1, 10)?,
            target: self.request_count,
        };
        match self.state.enqueue(request, self.now) {
            Ok(ticket) => self.waiting.push(WaitingRequest {
                ticket,
                account,
                priority,
            }),
            Err(_) => self.state.release(account),
        }
        Ok(())
    }

    fn dispatch(&mut self, mut free_slots: usize) {
        let mut tickets = Vec::new();
        let mut is_blocked = false;
        self.state.dispatch(self.now, |ticket, request| {
            assert!(
                !is_blocked || request.skips_fair_queue,
                "a request was dispatched ahead of one that found no free slot"
            );
            if free_slots == 0 {
                is_blocked |= !request.skips_fair_queue;
                return DispatchOutcome::Full;
            }
            free_slots -= 1;
            tickets.push(ticket);
            DispatchOutcome::Dispatched
        });
        let in_order = tickets
            .iter()
            .map(|ticket| self.waiting_request(*ticket).priority);
        assert!(
            in_order.is_sorted(),
            "a less urgent request was dispatched first"
        );
        for ticket in tickets {
            let index = self.position_of(ticket);
            let waiting = self.waiting.remove(index);
            self.removed_tickets.push(ticket);
            self.dispatched.push(waiting);
        }
        assert!(
            free_slots == 0 || self.waiting.is_empty(),
            "a request is queued although a slot is free"
        );
        self.check_counts();
        for ticket in &self.removed_tickets {
            assert!(
                !self.state.dequeue(*ticket),
                "a ticket of a removed request dequeued another request"
            );
        }
    }

    fn depart(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.dispatched.is_empty() {
            let index = u.choose_index(self.dispatched.len())?;
            let request = self.dispatched.swap_remove(index);
            self.state.release(request.account);
        }
        Ok(())
    }

    fn cancel(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.waiting.is_empty() {
            let index = u.choose_index(self.waiting.len())?;
            let request = self.waiting.remove(index);
            assert!(
                self.state.dequeue(request.ticket),
                "a waiting request was missing from the queue"
            );
            self.removed_tickets.push(request.ticket);
            self.state.release(request.account);
            self.check_counts();
        }
        Ok(())
    }

    fn finish(&mut self) {
        self.dispatch(usize::MAX);
        assert!(
            self.state.is_empty(),
            "requests remain in the queue after the last dispatch"
        );
        for request in std::mem::take(&mut self.dispatched) {
            self.state.release(request.account);
        }
    }

    fn check_counts(&self) {
        for priority in RequestPriority::ALL {
            let queued = self.waiting.iter();
            let expected = queued
                .filter(|request| request.priority == priority)
                .count();
            assert_eq!(
                self.state.count(priority),
                expected,
                "wrong count of queued {priority:?} requests"
            );
        }
    }

    fn waiting_request(&self, ticket: TicketKey) -> WaitingRequest {
        self.waiting[self.position_of(ticket)]
    }

    fn position_of(&self, ticket: TicketKey) -> usize {
        let found = self
            .waiting
            .iter()
            .position(|request| request.ticket == ticket);
        found.expect("only recorded waiting requests leave the queue")
    }
}

/// Runs one random case of two accounts that always have requests waiting. Whatever the cost and
/// number of their requests, the served costs deviate from the ratio of the weights by less than
/// one request of each account, which is the fairness bound of start-time fair queuing.
pub(crate) fn run_fair_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut state = AdmissionState::new();
    let now = ClockTime::from_millis(1);
    let mut specs = vec![account_spec(0, u)?, account_spec(1, u)?];
    for spec in &mut specs {
        spec.requests_per_second = 1_000_000;
        spec.concurrency = 1_000_000;
    }
    state.refresh(&specs, 10, 1, now);
    let mut accounts = Vec::new();
    for spec in &specs {
        let admitted = state.admit(&spec.name, RequestPriority::Normal, now);
        accounts.push(admitted.expect("the limits exceed the load of the case"));
    }
    let mut served_cost = [0_u64; 2];
    for _ in 0..STEPS {
        for (index, account) in accounts.iter().enumerate() {
            // The second account enqueues ten times as many requests.
            for _ in 0..=(9 * index) {
                let request = QueuedRequest {
                    account: *account,
                    priority: RequestPriority::Normal,
                    cost: u.int_in_range(1..=COST_MAX)?,
                    deadline: NO_DEADLINE,
                    skips_fair_queue: false,
                    target: index as u64,
                };
                // A refusal by a full queue is fine: the account then has requests waiting.
                let _ = state.enqueue(request, now);
            }
        }
        let mut free_slots = 1;
        state.dispatch(now, |_, request| {
            if free_slots == 0 {
                return DispatchOutcome::Full;
            }
            free_slots -= 1;
            let index = usize::try_from(request.target).expect("0 or 1");
            served_cost[index] += request.cost;
            DispatchOutcome::Dispatched
        });
        let weights = [u64::from(specs[0].weight), u64::from(specs[1].weight)];
        let difference = (served_cost[0] * weights[1]).abs_diff(served_cost[1] * weights[0]);
        let difference_max = COST_MAX * (weights[0] + weights[1]) + weights[0] * weights[1];
        assert!(
            difference <= difference_max,
            "an account was served more than its share"
        );
    }
    Ok(())
}
