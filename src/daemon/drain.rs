//! The graceful stop: told once, waits until nothing is under way.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::events;
use super::stop_signals::{StopNotice, stop_told};
use crate::events::log_event;

/// Whether the process is stopping and how many requests are under way. Clones share one state.
#[derive(Clone, Debug)]
pub(crate) struct DrainState {
    shared: Arc<DrainShared>,
}

#[derive(Debug)]
struct DrainShared {
    draining: watch::Sender<bool>,
    live: watch::Sender<u64>,
    finished: watch::Sender<bool>,
    linger: Duration,
    longest: Duration,
}

impl DrainState {
    /// A state whose stop lasts at least `linger`, so that senders and the balancer learn of it
    /// while requests are still served, and at most `longest`.
    pub(crate) fn new(linger: Duration, longest: Duration) -> Self {
        let draining = watch::Sender::new(false);
        let live = watch::Sender::new(0);
        Self {
            shared: Arc::new(DrainShared {
                draining,
                live,
                finished: watch::Sender::new(false),
                linger,
                longest,
            }),
        }
    }

    /// Begins the stop. Later calls change nothing.
    pub(crate) fn begin(&self) {
        let begun = self
            .shared
            .draining
            .send_if_modified(|draining| !std::mem::replace(draining, true));
        if begun {
            log_event!(
                events::DRAIN_BEGUN,
                "{} requests under way",
                self.in_flight_count()
            );
        }
    }

    /// Begins the stop when the process is told to end by SIGTERM or SIGINT.
    ///
    /// Returns when the stop is over if the signal came before a server could listen for it, and
    /// else never: a server that listens ends by itself.
    pub(crate) async fn handle_signals(&self) {
        match stop_told().await {
            Ok(StopNotice::Earlier) => return self.drain_and_wait().await,
            Ok(StopNotice::Now) => self.begin(),
            Err(fault) => log_event!(events::SIGNAL_HANDLER_FAILED, "SIGTERM and SIGINT: {fault}"),
        }
        pending::<()>().await;
    }

    /// Whether the stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        *self.shared.draining.borrow()
    }

    /// Returns when the stop begins.
    pub(crate) async fn wait_begun(&self) {
        let mut draining = self.shared.draining.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = draining.wait_for(|draining| *draining).await;
    }

    /// Counts one request as under way until the guard is dropped.
    pub(crate) fn track_request(&self) -> RequestGuard {
        self.shared.live.send_modify(|live| *live += 1);
        RequestGuard {
            drain: self.clone(),
        }
    }

    /// How many requests are under way.
    pub(crate) fn in_flight_count(&self) -> u64 {
        *self.shared.live.borrow()
    }

    /// Begins the stop and returns when nothing is under way and the lingering is over.
    pub(crate) async fn drain_and_wait(&self) {
        self.begin();
        tokio::time::sleep(self.shared.linger).await;
        let mut live = self.shared.live.subscribe();
        let ended = timeout(self.shared.longest, live.wait_for(|live| *live == 0))
            .await
            .is_ok();
        if ended {
            log_event!(events::DRAIN_DONE);
        } else {
            log_event!(
                events::DRAIN_CUT_SHORT,
                "{} under way",
                self.in_flight_count()
            );
        }
        self.shared.finished.send_replace(true);
    }

    /// Whether the stop is over: the process ends, and can finish nothing more.
    pub(crate) fn is_finished(&self) -> bool {
        *self.shared.finished.borrow()
    }

    /// Returns when the stop is over, so that streams without an end of their own can end.
    pub(crate) async fn wait_finished(&self) {
        let mut finished = self.shared.finished.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = finished.wait_for(|finished| *finished).await;
    }
}

/// One request under way.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    drain: DrainState,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.drain.shared.live.send_modify(|live| *live -= 1);
    }
}
