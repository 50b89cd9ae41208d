//! Non-blocking log output. Requests never wait for the reader of the log: lines go into a bounded
//! queue, and a dedicated thread writes them. The rate of lines is limited as well. Dropped lines
//! are counted and reported.

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

/// Lines queued while the reader of the log does not read: four seconds at the highest rate, about
/// 0.4 MB.
const QUEUE_LINES: usize = 2048;
/// Sustained rate of lines. An entry host with 30 requests per second writes less than a tenth of
/// it.
const LINES_PER_SECOND: u32 = 500;
/// Burst of lines allowed beyond the sustained rate, as when all requests of a data centre fail at
/// the same time.
const LINES_BURST: u32 = 1000;
/// Time for which lines are collected before they are written in one call. Each line is delayed by
/// as much, and a process that is killed loses the lines of this span.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Interval between reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the last lines at the exit of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// An item of the queue to the writing thread.
enum LogItem {
    Line(Vec<u8>),
    /// Acknowledged when all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Token bucket that limits the rate of log lines.
///
/// In a burst of failures each request writes several lines, which takes processor time from the
/// requests: the symptom is late responses on hosts whose logs grow. Warnings and errors are not
/// limited, since none of them is written per request.
#[derive(Debug)]
pub(super) struct LineRateLimiter {
    /// Tokens in thousandths of a line.
    tokens: u64,
    refilled_at: ClockTime,
}

impl LineRateLimiter {
    const CAPACITY: u64 = LINES_BURST as u64 * 1000;

    pub(super) const fn new(now: ClockTime) -> Self {
        Self {
            tokens: Self::CAPACITY,
            refilled_at: now,
        }
    }

    /// Whether a line at `level` may be written now.
    pub(super) fn allows(&mut self, level: Level, now: ClockTime) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let refill = micros.saturating_mul(LINES_PER_SECOND.into()) / 1000;
        if refill > 0 {
            self.tokens = Self::CAPACITY.min(self.tokens.saturating_add(refill));
            self.refilled_at = now;
        }
        let is_allowed = self.tokens >= 1000;
        if is_allowed {
            self.tokens -= 1000;
        }
        is_allowed
    }
}

/// Sending side of the queue of complete lines to the writing thread. A line that does not fit into
/// the queue is dropped.
#[derive(Clone)]
pub(super) struct LineQueue {
    items: SyncSender<LogItem>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Creates a queue for `capacity` lines and the writer that empties it.
    pub(super) fn new(capacity: usize) -> (Self, LineWriter) {
        let (sender, items) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let queue = Self {
            items: sender,
            dropped: dropped.clone(),
        };
        (queue, LineWriter { items, dropped })
    }

    /// Counts a dropped line.
    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of dropped lines that are not yet reported.
    #[cfg(test)]
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines queued so far are written, or for `timeout`.
    pub(super) fn flush_within(&self, timeout: Duration) {
        let (written, is_written) = sync_channel(1);
        if self.items.try_send(LogItem::Flush(written)).is_ok() {
            // A time-out cannot be reported: the log itself is not read.
            let _ = is_written.recv_timeout(timeout);
        }
    }
}

impl Write for LineQueue {
    /// Queues one complete line without blocking.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.items.try_send(LogItem::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.count_dropped(),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Receiving side of a [`LineQueue`], which writes the lines to the log's output.
pub(super) struct LineWriter {
    items: Receiver<LogItem>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Writes lines to `output` until all senders are dropped. Lines queued within `batch_delay` of
    /// the first are written in one call. `report_dropped` gets the number of dropped lines.
    pub(super) fn write_all(
        self,
        mut output: impl Write,
        batch_delay: Duration,
        mut report_dropped: impl FnMut(u64),
    ) {
        let mut reported_at = clock_now();
        let mut bytes = Vec::new();
        while let Ok(first) = self.items.recv() {
            let mut next = Some(first);
            if matches!(next, Some(LogItem::Line(_))) {
                thread::sleep(batch_delay);
            }
            let mut flushes = Vec::new();
            while let Some(item) = next {
                match item {
                    LogItem::Line(line) => bytes.extend_from_slice(&line),
                    LogItem::Flush(written) => flushes.push(written),
                }
                next = self.items.try_recv().ok();
            }
            // A failure to write the log cannot be reported anywhere.
            let _ = output.write_all(&bytes).and_then(|()| output.flush());
            bytes.clear();
            for written in flushes {
                let _ = written.try_send(());
            }
            let now = clock_now();
            if now.since(reported_at) >= DROP_REPORT_INTERVAL {
                let count = self.dropped.swap(0, Ordering::Relaxed);
                if count > 0 {
                    reported_at = now;
                    report_dropped(count);
                }
            }
        }
    }
}

/// The logger of the process: lines formatted by `env_logger`, rate-limited and queued.
struct QueuedLogger {
    formatter: env_logger::Logger,
    queue: LineQueue,
    rate_limiter: Mutex<LineRateLimiter>,
}

impl Log for QueuedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.formatter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.formatter.matches(record) {
            return;
        }
        let mut rate_limiter = self
            .rate_limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_allowed = rate_limiter.allows(record.level(), clock_now());
        drop(rate_limiter);
        if is_allowed {
            self.formatter.log(record);
        } else {
            self.queue.count_dropped();
        }
    }

    fn flush(&self) {
        self.queue.flush_within(FLUSH_TIMEOUT);
    }
}

/// Installs the logger of the process and starts its writing thread. `builder` sets the line format
/// and the filter. A second call, as in tests, has no effect.
///
/// # Errors
///
/// When the thread cannot be started.
pub(super) fn start_log(
    mut builder: env_logger::Builder,
    output: impl Write + Send + 'static,
) -> io::Result<()> {
    let (queue, writer) = LineQueue::new(QUEUE_LINES);
    let formatter = builder
        .target(env_logger::Target::Pipe(Box::new(queue.clone())))
        .build();
    let max_level = formatter.filter();
    let log = QueuedLogger {
        formatter,
        queue,
        rate_limiter: Mutex::new(LineRateLimiter::new(clock_now())),
    };
    if log::set_boxed_logger(Box::new(log)).is_err() {
        return Ok(());
    }
    log::set_max_level(max_level);
    let report = |count| {
        count_event("log_lines_left_out", count);
        log_event!(events::LINES_DROPPED, "count={count}");
    };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || writer.write_all(output, BATCH_DELAY, report))
        .map(drop)
}
