//! The graceful stop of a process: it begins once and waits until no request is in flight and each
//! response is written.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::events;
use super::stop_signals::wait_for_stop_signal;
use crate::events::log_event;

/// Progress of the graceful stop and number of requests in flight. Clones share one state.
#[derive(Clone, Debug)]
pub(crate) struct DrainState {
    shared: Arc<DrainShared>,
}

#[derive(Debug)]
struct DrainShared {
    draining: watch::Sender<bool>,
    live: watch::Sender<LiveCounts>,
    finished: watch::Sender<bool>,
    min_duration: Duration,
    max_wait: Duration,
}

/// What a graceful stop waits for.
#[derive(Clone, Copy, Debug, Default)]
struct LiveCounts {
    /// Requests in flight.
    requests: u64,
    /// Connections whose peer does not take the bytes that wait for it.
    unwritten: u64,
}

impl DrainState {
    /// Creates the state of a running process. A stop lasts at least `min_duration`, so that
    /// senders and the load balancer notice it while requests are still served. After that it waits
    /// at most `max_wait` for requests in flight and unwritten responses.
    pub(crate) fn new(min_duration: Duration, max_wait: Duration) -> Self {
        let draining = watch::Sender::new(false);
        let live = watch::Sender::new(LiveCounts::default());
        Self {
            shared: Arc::new(DrainShared {
                draining,
                live,
                finished: watch::Sender::new(false),
                min_duration,
                max_wait,
            }),
        }
    }

    /// Begins the stop. Further calls have no effect.
    pub(crate) fn begin(&self) {
        let has_begun = self
            .shared
            .draining
            .send_if_modified(|draining| !std::mem::replace(draining, true));
        if has_begun {
            log_event!(
                events::DRAIN_BEGUN,
                "{} requests in flight",
                self.in_flight_count()
            );
        }
    }

    /// Begins the stop when the process receives SIGTERM or SIGINT. It never returns.
    pub(crate) async fn handle_signals(&self) {
        match wait_for_stop_signal().await {
            Ok(()) => self.begin(),
            Err(error) => log_event!(events::SIGNAL_HANDLER_FAILED, "SIGTERM and SIGINT: {error}"),
        }
        pending::<()>().await;
    }

    /// Whether the stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        *self.shared.draining.borrow()
    }

    /// Waits until the stop begins.
    pub(crate) async fn wait_begun(&self) {
        let mut draining = self.shared.draining.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = draining.wait_for(|draining| *draining).await;
    }

    /// Counts one request as in flight until the guard is dropped.
    pub(crate) fn track_request(&self) -> RequestGuard {
        self.shared.live.send_modify(|live| live.requests += 1);
        RequestGuard {
            drain: self.clone(),
        }
    }

    /// Counts one connection as having unwritten bytes until the guard is dropped.
    pub(crate) fn track_unwritten(&self) -> UnwrittenGuard {
        self.shared.live.send_modify(|live| live.unwritten += 1);
        UnwrittenGuard {
            drain: self.clone(),
        }
    }

    /// Number of requests in flight.
    pub(crate) fn in_flight_count(&self) -> u64 {
        self.shared.live.borrow().requests
    }

    /// Begins the stop and waits for its end: at least the minimum duration, then until no request
    /// is in flight and each response is written, or the maximum wait has passed.
    pub(crate) async fn drain_and_wait(&self) {
        self.begin();
        tokio::time::sleep(self.shared.min_duration).await;
        let mut live = self.shared.live.subscribe();
        let all_done = timeout(
            self.shared.max_wait,
            live.wait_for(|live| live.requests == 0 && live.unwritten == 0),
        )
        .await
        .is_ok();
        if all_done {
            log_event!(events::DRAIN_DONE);
        } else {
            let live = *self.shared.live.borrow();
            log_event!(
                events::DRAIN_CUT_SHORT,
                "{} in flight, {} connections with unwritten bytes",
                live.requests,
                live.unwritten
            );
        }
        self.shared.finished.send_replace(true);
    }

    /// Whether the stop is over: the process exits and completes no further work.
    pub(crate) fn is_finished(&self) -> bool {
        *self.shared.finished.borrow()
    }

    /// Waits until the stop is over. Endless streams end then.
    pub(crate) async fn wait_finished(&self) {
        let mut finished = self.shared.finished.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = finished.wait_for(|finished| *finished).await;
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    drain: DrainState,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let live = &self.drain.shared.live;
        live.send_modify(|live| live.requests -= 1);
    }
}

/// Counts one connection as having unwritten bytes until it is dropped.
#[derive(Debug)]
pub(crate) struct UnwrittenGuard {
    drain: DrainState,
}

impl Drop for UnwrittenGuard {
    fn drop(&mut self) {
        let live = &self.drain.shared.live;
        live.send_modify(|live| live.unwritten -= 1);
    }
}
