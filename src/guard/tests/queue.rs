//! Tests of the queue for the backend server.

use std::time::Duration;

use crate::documents::RequestPriority;
use crate::guard::run_queue::{QueueAdmission, QueueRefusal, RunQueue, RunTicket};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const CASES: u32 = 200;
const CASE_BYTES: u32 = 2048;
const EVENTS: usize = 200;
const RUNNING: u32 = 3;
const WAITING: usize = 8;

struct TrackedRun {
    ticket: RunTicket,
    priority: RequestPriority,
    is_running: bool,
}

// Guards against urgent requests that wait for less urgent ones: a slot that becomes free goes to
// the request that arrived first, or long runs of other requests hold all slots. Requests of all
// priorities arrive, leave and end in any sequence.
#[test]
fn a_free_slot_goes_to_the_first_request_of_the_highest_priority() {
    run_cases(CASES, CASE_BYTES, |u| {
        let mut queue = RunQueue::new(RUNNING, WAITING);
        let mut tracked: Vec<TrackedRun> = Vec::new();
        let mut now = ClockTime::from_millis(1);
        for _ in 0..EVENTS {
            now = now + Duration::from_millis(u.int_in_range(0..=20)?);
            if tracked.is_empty() || u.ratio(1, 2)? {
                let priority = *u.choose(&RequestPriority::ALL)?;
                offer(&mut queue, &mut tracked, priority, now);
            } else {
                let index = u.choose_index(tracked.len())?;
                let ended = tracked.remove(index);
                let started = if queue.withdraw(ended.ticket) {
                    assert!(!ended.is_running, "a running request was in the queue");
                    Vec::new()
                } else {
                    assert!(ended.is_running, "a waiting request was not in the queue");
                    queue.end(ended.ticket, now)
                };
                check_started(&mut tracked, &started);
            }
            let running = tracked.iter().filter(|one| one.is_running).count();
            assert_eq!(running, queue.running_count());
            assert_eq!(tracked.len() - running, queue.waiting_count());
            assert!(running <= RUNNING as usize && queue.waiting_count() <= WAITING);
        }
        Ok(())
    });
}

fn offer(
    queue: &mut RunQueue,
    tracked: &mut Vec<TrackedRun>,
    priority: RequestPriority,
    now: ClockTime,
) {
    let deadline = now + Duration::from_mins(1);
    let (ticket, is_running) = match queue.offer(priority, deadline, now) {
        Ok(QueueAdmission::Started(ticket)) => (ticket, true),
        Ok(QueueAdmission::Waiting(ticket)) => (ticket, false),
        Err(refused) => {
            assert!(refused == QueueRefusal::Full, "{refused:?}");
            assert_eq!(queue.waiting_count(), WAITING);
            return;
        }
    };
    let others = tracked.iter().filter(|one| one.is_running).count();
    let slots = if priority == RequestPriority::Urgent {
        RUNNING
    } else {
        RUNNING - 1
    };
    assert_eq!(is_running, others < slots as usize, "{priority:?}");
    tracked.push(TrackedRun {
        ticket,
        priority,
        is_running,
    });
}

fn check_started(tracked: &mut [TrackedRun], started: &[RunTicket]) {
    for ticket in started {
        let waiting = tracked.iter().filter(|one| !one.is_running);
        let best = waiting.min_by_key(|one| (one.priority, one.ticket));
        assert_eq!(best.map(|one| one.ticket), Some(*ticket));
        for one in tracked.iter_mut().filter(|one| one.ticket == *ticket) {
            one.is_running = true;
        }
    }
}

// Guards against requests that wait until their deadline and are refused only then, although the
// mean run time of earlier requests shows that they cannot start in time.
#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut queue = RunQueue::new(1, WAITING);
    let started_at = ClockTime::from_millis(1);
    let priority = RequestPriority::Normal;
    let late_deadline = started_at + Duration::from_mins(1);
    let Ok(QueueAdmission::Started(first)) = queue.offer(priority, late_deadline, started_at)
    else {
        panic!("the slot is free");
    };
    let ended_at = started_at + Duration::from_secs(4);
    queue.end(first, ended_at);
    assert!(queue.offer(priority, late_deadline, ended_at).is_ok());
    let early_deadline = ended_at + Duration::from_secs(1);
    let refused = queue.offer(priority, early_deadline, ended_at);
    let wait = Duration::from_secs(4);
    assert_eq!(refused, Err(QueueRefusal::TooLate { wait }));
}
