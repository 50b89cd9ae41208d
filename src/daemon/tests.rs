//! The graceful stop: begun once, over when nothing is under way. The log: bounded, and never waited
//! for.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use log::Level;

use super::DrainState;
use super::log_output::{LineBudget, LineQueue};
use super::stall_watch::stall_span;
use crate::time::ClockTime;

const NO_LINGER: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_mins(10);

// Symptom: a planned stop cuts a stream of several minutes. Events: the stop is told while a
// request is under way. Cause: the stop waits for a fixed time, not for the request.
#[tokio::test]
async fn the_stop_waits_for_requests_under_way() {
    let drain = DrainState::new(NO_LINGER, LONG);
    let guard = drain.track_request();
    let stopping = tokio::spawn({
        let drain = drain.clone();
        async move { drain.drain_and_wait().await }
    });
    drain.wait_begun().await;
    assert!(drain.is_draining());
    assert!(!stopping.is_finished(), "one request is under way");
    drop(guard);
    stopping.await.expect("the stop ends");
    assert_eq!(drain.in_flight_count(), 0);
}

#[tokio::test]
async fn requests_that_come_while_stopping_are_waited_for_too() {
    let drain = DrainState::new(NO_LINGER, LONG);
    let first = drain.track_request();
    drain.begin();
    let second = drain.track_request();
    drop(first);
    assert_eq!(drain.in_flight_count(), 1);
    drop(second);
    drain.drain_and_wait().await;
}

#[tokio::test]
async fn a_stop_ends_at_its_longest() {
    let drain = DrainState::new(NO_LINGER, Duration::from_millis(1));
    let _guard = drain.track_request();
    drain.drain_and_wait().await;
    assert_eq!(drain.in_flight_count(), 1, "it was given up, not forgotten");
}

/// An output that tells of each write and then waits until it is let go on.
struct HeldOutput {
    writes: Sender<Vec<u8>>,
    go_on: Receiver<()>,
}

impl Write for HeldOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let told = self.writes.send(bytes.to_vec());
        let let_go = self.go_on.recv();
        if told.is_err() || let_go.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Symptom: every request of an entry host stands still. Events: whoever collects the logs stops
// reading, the pipe is full. Cause: the thread that serves requests writes its lines itself.
#[test]
fn a_reader_of_the_log_that_stops_holds_nobody_up() {
    let (mut queue, reader) = LineQueue::new(4);
    let (writes, written) = channel();
    let (go_on, held) = channel();
    let output = HeldOutput {
        writes,
        go_on: held,
    };
    let (told, left_out) = channel();
    let writing = thread::spawn(move || {
        reader.write_all(output, NO_LINGER, |count| {
            told.send(count).expect("the test listens");
        });
    });
    queue.write_all(b"first\n").expect("taken");
    assert_eq!(written.recv().expect("it is written"), b"first\n");
    // The output holds the first line; four more wait and the rest are left out.
    for _ in 0..10 {
        queue.write_all(b"more\n").expect("taken or left out");
    }
    assert_eq!(queue.left_out(), 6);
    for _ in 0..10 {
        go_on.send(()).expect("the output waits");
    }
    queue.finish(LONG);
    drop(queue);
    writing.join().expect("the writer ends with its queue");
    let rest: Vec<u8> = written.iter().flatten().collect();
    assert_eq!(rest, b"more\n".repeat(4), "in order, each once");
    assert_eq!(
        left_out.iter().sum::<u64>(),
        0,
        "told once a second at most"
    );
}

// Symptom: late answers on an entry host whose log grows by megabytes. Events: a data centre is cut
// off, each request fails several times. Cause: the lines take the processor time of the requests.
#[test]
fn a_storm_of_lines_is_bounded_and_warnings_are_not() {
    let start = ClockTime::from_millis(5);
    let mut budget = LineBudget::new(start);
    let count_at = |budget: &mut LineBudget, now| {
        (0..5000)
            .filter(|_| budget.allows(Level::Info, now))
            .count()
    };
    assert_eq!(count_at(&mut budget, start), 1000);
    assert!(budget.allows(Level::Warn, start));
    assert!(budget.allows(Level::Error, start));
    let later = start + Duration::from_millis(100);
    assert_eq!(count_at(&mut budget, later), 50, "500 a second");
    let much_later = start + Duration::from_mins(1);
    assert_eq!(
        count_at(&mut budget, much_later),
        1000,
        "never more at once"
    );
}

#[test]
fn many_short_steps_earn_as_much_as_a_long_one() {
    let mut budget = LineBudget::new(ClockTime::from_millis(0));
    while budget.allows(Level::Info, ClockTime::from_millis(0)) {}
    let steps = (1..=10_000_u64).map(|step| ClockTime(step * 10));
    let allowed = steps.filter(|now| budget.allows(Level::Info, *now)).count();
    assert_eq!(allowed, 50, "500 a second for 0.1 s");
}

/// Guards against stalls that go unnoticed, and against a line for each late timer of a busy process.
#[test]
fn a_stall_is_told_apart_from_a_late_timer() {
    let due = ClockTime::from_millis(7000);
    let late = |millis: u64| stall_span(due, due + Duration::from_millis(millis));
    assert_eq!(late(0), None);
    assert_eq!(late(250), None);
    assert_eq!(late(1200), Some(Duration::from_millis(1200)));
    assert_eq!(stall_span(due, ClockTime::from_millis(6990)), None);
}
