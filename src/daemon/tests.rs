//! The graceful stop waits for requests in flight; log output is limited and never blocks a
//! request; stalls are detected.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use log::Level;

use super::DrainState;
use super::log_output::{LineQueue, LineRateLimiter};
use super::stall_watch::{StallClock, stall_span};
use crate::time::ClockTime;

const ZERO: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_mins(10);

/// Guards against a planned stop that cuts a stream of several minutes because it waits for a fixed
/// time instead of the requests in flight.
#[tokio::test]
async fn the_stop_waits_for_requests_in_flight() {
    let drain = DrainState::new(ZERO, LONG);
    let guard = drain.track_request();
    let stop = tokio::spawn({
        let drain = drain.clone();
        async move { drain.drain_and_wait().await }
    });
    drain.wait_begun().await;
    assert!(drain.is_draining());
    assert!(!stop.is_finished(), "one request is in flight");
    drop(guard);
    stop.await.expect("the stop ends");
    assert_eq!(drain.in_flight_count(), 0);
}

#[tokio::test]
async fn the_stop_waits_for_requests_that_arrive_during_it() {
    let drain = DrainState::new(ZERO, LONG);
    let first = drain.track_request();
    drain.begin();
    let second = drain.track_request();
    drop(first);
    assert_eq!(drain.in_flight_count(), 1);
    drop(second);
    drain.drain_and_wait().await;
}

#[tokio::test]
async fn the_stop_ends_after_its_maximum_wait() {
    let drain = DrainState::new(ZERO, Duration::from_millis(1));
    let _guard = drain.track_request();
    drain.drain_and_wait().await;
    assert_eq!(drain.in_flight_count(), 1, "the request is still counted");
}

/// An output that reports each write and then blocks until it is released.
struct BlockingOutput {
    writes: Sender<Vec<u8>>,
    release: Receiver<()>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let reported = self.writes.send(bytes.to_vec());
        let released = self.release.recv();
        if reported.is_err() || released.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a stall of all requests of an entry host when the log collector stops reading and
/// the pipe is full, because the thread that serves requests writes the log lines itself.
#[test]
fn a_log_reader_that_stops_reading_does_not_block_logging() {
    let (mut queue, writer) = LineQueue::new(4);
    let (written_sender, written) = channel();
    let (release, releases) = channel();
    let output = BlockingOutput {
        writes: written_sender,
        release: releases,
    };
    let (report, reports) = channel();
    let writer_thread = thread::spawn(move || {
        writer.write_all(output, ZERO, |count| {
            report.send(count).expect("the test receives");
        });
    });
    queue.write_all(b"first\n").expect("queued");
    assert_eq!(written.recv().expect("the line is written"), b"first\n");
    // The output blocks on the first line; four more are queued and the others are dropped.
    for _ in 0..10 {
        queue.write_all(b"more\n").expect("queued or dropped");
    }
    assert_eq!(queue.dropped(), 6);
    for _ in 0..10 {
        release.send(()).expect("the output is open");
    }
    queue.flush_within(LONG);
    drop(queue);
    writer_thread
        .join()
        .expect("the writer ends with its queue");
    let rest: Vec<u8> = written.iter().flatten().collect();
    assert_eq!(rest, b"more\n".repeat(4), "in order, each once");
    assert_eq!(
        reports.iter().sum::<u64>(),
        0,
        "reported at most once per second"
    );
}

/// Guards against late responses of an entry host whose log grows by megabytes: when a data centre
/// is cut off, each request fails several times, and logging takes the processor time of the
/// requests.
#[test]
fn bursts_of_info_lines_are_limited_and_warnings_are_not() {
    let start = ClockTime::from_millis(5);
    let mut limiter = LineRateLimiter::new(start);
    let count_at = |limiter: &mut LineRateLimiter, now| {
        (0..5000)
            .filter(|_| limiter.allows(Level::Info, now))
            .count()
    };
    assert_eq!(count_at(&mut limiter, start), 1000);
    assert!(limiter.allows(Level::Warn, start));
    assert!(limiter.allows(Level::Error, start));
    let later = start + Duration::from_millis(100);
    assert_eq!(count_at(&mut limiter, later), 50, "500 per second");
    let much_later = start + Duration::from_mins(1);
    assert_eq!(count_at(&mut limiter, much_later), 1000, "no larger burst");
}

#[test]
fn frequent_refills_add_up_to_the_rate() {
    let mut limiter = LineRateLimiter::new(ClockTime::from_millis(0));
    while limiter.allows(Level::Info, ClockTime::from_millis(0)) {}
    let steps = (1..=10_000_u64).map(|step| ClockTime(step * 10));
    let allowed = steps
        .filter(|now| limiter.allows(Level::Info, *now))
        .count();
    assert_eq!(allowed, 50, "500 per second for 0.1 s");
}

/// Guards against undetected stalls, and against a log line for each late timer of a busy process.
#[test]
fn a_stall_is_distinguished_from_a_late_timer() {
    let due = ClockTime::from_millis(7000);
    let stall_after = |millis: u64| stall_span(due, due + Duration::from_millis(millis));
    assert_eq!(stall_after(0), None);
    assert_eq!(stall_after(250), None);
    assert_eq!(stall_after(1200), Some(Duration::from_millis(1200)));
    assert_eq!(stall_span(due, ClockTime::from_millis(6990)), None);
}

/// Guards against requests that count as sent when a process that stood still reads them.
#[test]
fn what_waited_during_a_stall_may_be_as_old_as_the_stall() {
    let at = |millis: u64| ClockTime::from_millis(100_000 + millis);
    let mut clock = StallClock::default();
    assert_eq!(clock.waiting_since(at(0)), at(0));
    clock.check(at(0));
    clock.check(at(500));
    assert_eq!(clock.waiting_since(at(900)), at(900));
    // The process stands still for two seconds.
    assert_eq!(clock.waiting_since(at(3000)), at(500));
    clock.check(at(3001));
    assert_eq!(clock.waiting_since(at(3100)), at(500));
    assert_eq!(clock.waiting_since(at(3400)), at(3400));
}
