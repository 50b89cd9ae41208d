//! Drives the admission of one service through random arrivals, departures, dispatches and changes
//! of the document. Checked beside the assertions inside: a more urgent class goes first, accounts
//! share by weight, limits hold, and nothing is lost or counted twice.

use arbitrary::{Result, Unstructured};
use bytestring::ByteString;

use crate::admission::{AccountKey, AdmissionState, DispatchOutcome, QueuedRequest, TicketKey};
use crate::documents::{AccountSpec, RequestPriority};
use crate::time::ClockTime;

const STEPS: usize = 400;
const ACCOUNTS: u32 = 4;
const COST_MAX: u64 = 500;
/// Nothing in a case comes near it.
const NO_DEADLINE: ClockTime = ClockTime::from_millis(u32::MAX as u64);

/// One request that the case knows to be waiting.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: TicketKey,
    account: AccountKey,
    priority: RequestPriority,
}

struct Case {
    book: AdmissionState<u64>,
    now: ClockTime,
    waiting: Vec<Waiting>,
    placed: Vec<Waiting>,
    /// Tickets of requests that wait no longer.
    old: Vec<TicketKey>,
    numbers: u64,
}

/// One random case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = Case {
        book: AdmissionState::new(),
        now: ClockTime::from_millis(1),
        waiting: Vec::new(),
        placed: Vec::new(),
        old: Vec::new(),
        numbers: 0,
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

fn spec(number: u32, u: &mut Unstructured<'_>) -> Result<AccountSpec> {
    Ok(AccountSpec {
        name: format!("account-{number}").into(),
        key_digest: ByteString::new(),
        requests_per_second: u.int_in_range(1..=1000)?,
        concurrency: u.int_in_range(1..=64)?,
        weight: u.int_in_range(1..=8)?,
        urgent_percent: u.int_in_range(0..=100)?,
    })
}

impl Case {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9_u8)? {
            0..=4 => self.arrive(u),
            5 | 6 => {
                let room = u.int_in_range(0..=8)?;
                self.dispatch(room);
                Ok(())
            }
            7 => self.depart(u),
            8 => self.give_up(u),
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
                specs.push(spec(number, u)?);
            }
        }
        let entries = u.int_in_range(1..=8)?;
        self.book.refresh(&specs, 10, entries, self.now);
        Ok(())
    }

    fn arrive(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let name = format!("account-{}", u.int_in_range(0..=ACCOUNTS)?).into();
        let priority = *u.choose(&RequestPriority::ALL)?;
        let Ok(account) = self.book.admit(&name, priority, self.now) else {
            return Ok(());
        };
        let cost = u.int_in_range(1..=COST_MAX)?;
        self.numbers += 1;
        let wish = QueuedRequest {
            account,
            priority,
            cost,
            deadline: NO_DEADLINE,
            skips_fair_queue: u.ratio(1, 10)?,
            target: self.numbers,
        };
        match self.book.enqueue(wish, self.now) {
            Ok(ticket) => self.waiting.push(Waiting {
                ticket,
                account,
                priority,
            }),
            Err(_) => self.book.release(account),
        }
        Ok(())
    }

    fn dispatch(&mut self, mut room: usize) {
        let mut went = Vec::new();
        let mut is_full = false;
        self.book.dispatch(self.now, |ticket, wish| {
            assert!(
                !is_full || wish.skips_fair_queue,
                "a request was let past one that found no room"
            );
            if room == 0 {
                is_full |= !wish.skips_fair_queue;
                return DispatchOutcome::Full;
            }
            room -= 1;
            went.push(ticket);
            DispatchOutcome::Dispatched
        });
        let in_order = went.iter().map(|ticket| self.known(*ticket).priority);
        assert!(in_order.is_sorted(), "a less urgent request went first");
        for ticket in went {
            let place = self.place_of(ticket);
            let waiting = self.waiting.remove(place);
            self.old.push(ticket);
            self.placed.push(waiting);
        }
        assert!(
            room == 0 || self.waiting.is_empty(),
            "a request waits although there is room"
        );
        self.check_counts();
        for ticket in &self.old {
            assert!(
                !self.book.dequeue(*ticket),
                "an old ticket took another request out"
            );
        }
    }

    fn depart(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.placed.is_empty() {
            let place = u.choose_index(self.placed.len())?;
            let gone = self.placed.swap_remove(place);
            self.book.release(gone.account);
        }
        Ok(())
    }

    fn give_up(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !self.waiting.is_empty() {
            let place = u.choose_index(self.waiting.len())?;
            let gone = self.waiting.remove(place);
            assert!(
                self.book.dequeue(gone.ticket),
                "a waiting request was not there"
            );
            self.old.push(gone.ticket);
            self.book.release(gone.account);
            self.check_counts();
        }
        Ok(())
    }

    fn finish(&mut self) {
        self.dispatch(usize::MAX);
        assert!(self.book.is_empty(), "a request was lost in its line");
        for gone in std::mem::take(&mut self.placed) {
            self.book.release(gone.account);
        }
    }

    fn check_counts(&self) {
        for priority in RequestPriority::ALL {
            let known = self.waiting.iter();
            let expected = known.filter(|one| one.priority == priority).count();
            assert_eq!(self.book.count(priority), expected, "the count is off");
        }
    }

    fn known(&self, ticket: TicketKey) -> Waiting {
        self.waiting[self.place_of(ticket)]
    }

    fn place_of(&self, ticket: TicketKey) -> usize {
        let found = self.waiting.iter().position(|one| one.ticket == ticket);
        found.expect("only what waits can go")
    }
}

/// One random case of two accounts that always have something waiting. However unlike their
/// requests are in size and number, what they get differs from their weights by less than one
/// request of each: the bound that start-time fair queuing is known to keep.
pub(crate) fn run_fair_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut book = AdmissionState::new();
    let now = ClockTime::from_millis(1);
    let mut specs = vec![spec(0, u)?, spec(1, u)?];
    for spec in &mut specs {
        spec.requests_per_second = 1_000_000;
        spec.concurrency = 1_000_000;
    }
    book.refresh(&specs, 10, 1, now);
    let mut accounts = Vec::new();
    for spec in &specs {
        let admitted = book.admit(&spec.name, RequestPriority::Normal, now);
        accounts.push(admitted.expect("the limits are wide"));
    }
    let mut served = [0_u64; 2];
    for _ in 0..STEPS {
        for (place, account) in accounts.iter().enumerate() {
            // The second account keeps ten times as many waiting.
            for _ in 0..=(9 * place) {
                let wish = QueuedRequest {
                    account: *account,
                    priority: RequestPriority::Normal,
                    cost: u.int_in_range(1..=COST_MAX)?,
                    deadline: NO_DEADLINE,
                    skips_fair_queue: false,
                    target: place as u64,
                };
                // A full line is as good as a longer one.
                let _ = book.enqueue(wish, now);
            }
        }
        let mut room = 1;
        book.dispatch(now, |_, wish| {
            if room == 0 {
                return DispatchOutcome::Full;
            }
            room -= 1;
            let place = usize::try_from(wish.target).expect("0 or 1");
            served[place] += wish.cost;
            DispatchOutcome::Dispatched
        });
        let weights = [u64::from(specs[0].weight), u64::from(specs[1].weight)];
        let ahead = (served[0] * weights[1]).abs_diff(served[1] * weights[0]);
        let bound = COST_MAX * (weights[0] + weights[1]) + weights[0] * weights[1];
        assert!(ahead <= bound, "an account got more than its share");
    }
    Ok(())
}
