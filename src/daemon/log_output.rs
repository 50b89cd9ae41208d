//! Log lines on their way out. A request never waits for whoever reads the log: its lines go into a
//! queue, and a thread of their own writes them out. How many lines there may be is bounded, and
//! what is left out is counted and told.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use log::{Level, Log, Metadata, Record};

use super::events;
use crate::events::log_event;
use crate::metrics::count_event;
use crate::time::{ClockTime, clock_now};

/// Lines that wait for a reader of the log that has stopped reading: some four seconds of the most
/// lines that may be written, about 0.4 MB.
const QUEUE_LINES: usize = 2048;
/// Lines a second that are written in the long run: over ten times what an entry host with 30 requests
/// a second writes, counted in its log.
const LINES_PER_SECOND: u32 = 500;
/// Lines that may come at once beyond that, as when all requests of a data centre fail together.
const LINES_AT_ONCE: u32 = 1000;
/// How long lines are gathered before they are written in one call. A line is late by so much; a
/// process that is killed loses the lines of this span.
const GATHER_SPAN: Duration = Duration::from_millis(50);
/// How often the lines that were left out are told.
const LEFT_OUT_EVERY: Duration = Duration::from_secs(1);
/// How long the end of a process waits for its last lines.
const FINISH_WITHIN: Duration = Duration::from_millis(300);

/// What goes through the queue.
enum LogItem {
    Line(Vec<u8>),
    /// Answered when all earlier lines are written.
    Finish(SyncSender<()>),
}

/// How many lines may still be written.
///
/// Under a storm of failures each request writes several lines, and writing them takes the
/// processor time that the requests lack. One would notice late answers on hosts whose logs grow.
/// Warnings and errors are not bounded here: none of them is written for each request.
#[derive(Debug)]
pub(super) struct LineBudget {
    /// In thousandths of a line.
    left: u64,
    filled_at: ClockTime,
}

impl LineBudget {
    const FULL: u64 = LINES_AT_ONCE as u64 * 1000;

    pub(super) const fn new(now: ClockTime) -> Self {
        Self {
            left: Self::FULL,
            filled_at: now,
        }
    }

    /// Whether a line at `level` may be written now.
    pub(super) fn allows(&mut self, level: Level, now: ClockTime) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let micros = u64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(LINES_PER_SECOND.into()) / 1000;
        if gained > 0 {
            self.left = Self::FULL.min(self.left.saturating_add(gained));
            self.filled_at = now;
        }
        let is_allowed = self.left >= 1000;
        if is_allowed {
            self.left -= 1000;
        }
        is_allowed
    }
}

/// Where whole lines are put for the writing thread. A line that finds the queue full is left out.
#[derive(Clone)]
pub(super) struct LineQueue {
    items: SyncSender<LogItem>,
    left_out: Arc<AtomicU64>,
}

impl LineQueue {
    /// A queue of `lines` and its other end.
    pub(super) fn new(lines: usize) -> (Self, LineReader) {
        let (sender, items) = sync_channel(lines);
        let left_out = Arc::new(AtomicU64::new(0));
        let queue = Self {
            items: sender,
            left_out: left_out.clone(),
        };
        (queue, LineReader { items, left_out })
    }

    /// Counts a line that is not written.
    fn leave_out(&self) {
        self.left_out.fetch_add(1, Ordering::Relaxed);
    }

    /// How many lines were left out and not yet told.
    #[cfg(test)]
    pub(super) fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    /// Returns when all lines up to now are written, or after `within`.
    pub(super) fn finish(&self, within: Duration) {
        let (done, is_done) = sync_channel(1);
        if self.items.try_send(LogItem::Finish(done)).is_ok() {
            // Nobody is left to be told when a reader of the log does not read.
            let _ = is_done.recv_timeout(within);
        }
    }
}

impl Write for LineQueue {
    /// Takes one whole line; never waits.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.items.try_send(LogItem::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.leave_out(),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The other end of a [`LineQueue`].
pub(super) struct LineReader {
    items: Receiver<LogItem>,
    left_out: Arc<AtomicU64>,
}

impl LineReader {
    /// Writes lines to `output` until the queue's writers are gone. Lines that come within `gather`
    /// of one another go out in one call; `tell_left_out` is given how many were left out.
    pub(super) fn write_all(
        self,
        mut output: impl Write,
        gather: Duration,
        mut tell_left_out: impl FnMut(u64),
    ) {
        let mut told_at = clock_now();
        let mut bytes = Vec::new();
        while let Ok(first) = self.items.recv() {
            let mut next = Some(first);
            if matches!(next, Some(LogItem::Line(_))) {
                thread::sleep(gather);
            }
            let mut finished = Vec::new();
            while let Some(item) = next {
                match item {
                    LogItem::Line(line) => bytes.extend_from_slice(&line),
                    LogItem::Finish(done) => finished.push(done),
                }
                next = self.items.try_recv().ok();
            }
            // There is nowhere to tell that the log itself cannot be written.
            let _ = output.write_all(&bytes).and_then(|()| output.flush());
            bytes.clear();
            for done in finished {
                let _ = done.try_send(());
            }
            let now = clock_now();
            if now.since(told_at) >= LEFT_OUT_EVERY {
                let count = self.left_out.swap(0, Ordering::Relaxed);
                if count > 0 {
                    told_at = now;
                    tell_left_out(count);
                }
            }
        }
    }
}

/// The process's log: `env_logger`'s lines, bounded and through the queue.
struct BoundedLog {
    lines: env_logger::Logger,
    queue: LineQueue,
    budget: Mutex<LineBudget>,
}

impl Log for BoundedLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.lines.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.lines.matches(record) {
            return;
        }
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_allowed = budget.allows(record.level(), clock_now());
        drop(budget);
        if is_allowed {
            self.lines.log(record);
        } else {
            self.queue.leave_out();
        }
    }

    fn flush(&self) {
        self.queue.finish(FINISH_WITHIN);
    }
}

/// Starts the process's log; `builder` says what a line looks like and what is shown. A second start,
/// as tests do it, keeps the first.
pub(super) fn start_log(
    mut builder: env_logger::Builder,
    output: impl Write + Send + 'static,
) -> io::Result<()> {
    let (queue, reader) = LineQueue::new(QUEUE_LINES);
    let lines = builder
        .target(env_logger::Target::Pipe(Box::new(queue.clone())))
        .build();
    let shown = lines.filter();
    let log = BoundedLog {
        lines,
        queue,
        budget: Mutex::new(LineBudget::new(clock_now())),
    };
    if log::set_boxed_logger(Box::new(log)).is_err() {
        return Ok(());
    }
    log::set_max_level(shown);
    let tell = |count| {
        count_event("log_lines_left_out", count);
        log_event!(events::LINES_DROPPED, "count={count}");
    };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || reader.write_all(output, GATHER_SPAN, tell))
        .map(drop)
}
