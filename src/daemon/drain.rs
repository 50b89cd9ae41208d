//! The graceful stop of a process: it begins once and waits until no request is in flight.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::events;
use super::stop_signals::{StopSignalTime, wait_for_stop_signal};
use crate::events::log_event;

/// Progress of the graceful stop and number of requests in flight. Clones share one state.
#[derive(Clone, Debug)]
pub(crate) struct DrainState {
    shared: Arc<DrainShared>,
}

#[derive(Debug)]
struct DrainShared {
    draining: watch::Sender<bool>,
    in_flight: watch::Sender<u64>,
    finished: watch::Sender<bool>,
    min_duration: Duration,
    max_wait: Duration,
}

impl DrainState {
    /// Creates the state of a running process. A stop lasts at least `min_duration`, so that
    /// senders and the load balancer notice it while requests are still served. After that it waits
    /// at most `max_wait` for requests in flight.
    pub(crate) fn new(min_duration: Duration, max_wait: Duration) -> Self {
        let draining = watch::Sender::new(false);
        let in_flight = watch::Sender::new(0);
        Self {
            shared: Arc::new(DrainShared {
                draining,
                in_flight,
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

    /// Begins the stop when the process receives SIGTERM or SIGINT.
    ///
    /// If the signal arrived before the server's own handlers were installed, returns when the stop
    /// is over. Otherwise it never returns, since the server ends by its own handlers.
    pub(crate) async fn handle_signals(&self) {
        match wait_for_stop_signal().await {
            Ok(StopSignalTime::BeforeHandlers) => return self.drain_and_wait().await,
            Ok(StopSignalTime::AfterHandlers) => self.begin(),
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
        self.shared
            .in_flight
            .send_modify(|in_flight| *in_flight += 1);
        RequestGuard {
            drain: self.clone(),
        }
    }

    /// Number of requests in flight.
    pub(crate) fn in_flight_count(&self) -> u64 {
        *self.shared.in_flight.borrow()
    }

    /// Begins the stop and waits for its end: at least the minimum duration, then until no request
    /// is in flight or the maximum wait has passed.
    pub(crate) async fn drain_and_wait(&self) {
        self.begin();
        tokio::time::sleep(self.shared.min_duration).await;
        let mut in_flight = self.shared.in_flight.subscribe();
        let all_done = timeout(
            self.shared.max_wait,
            in_flight.wait_for(|in_flight| *in_flight == 0),
        )
        .await
        .is_ok();
        if all_done {
            log_event!(events::DRAIN_DONE);
        } else {
            log_event!(
                events::DRAIN_CUT_SHORT,
                "{} in flight",
                self.in_flight_count()
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
        self.drain
            .shared
            .in_flight
            .send_modify(|in_flight| *in_flight -= 1);
    }
}
