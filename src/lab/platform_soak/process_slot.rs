//! A daemon under its name: it is ended and started again, and missed when it ends by itself.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;

use super::run_journal::RunJournal;
use crate::errors::SwitchResult;
use crate::lab::launch::{ChildProcess, LaunchSpec};
use crate::time::clock_now;

/// How long a process that got SIGTERM has until it must have ended.
const GRACE: Duration = Duration::from_secs(8);
/// How often a process is looked after.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// What stands under the name.
struct SlotState {
    order: LaunchSpec,
    child: ChildProcess,
    /// The logs of processes that ended.
    past_logs: String,
}

/// The daemon; its clones are the same one.
#[derive(Clone)]
pub(super) struct ProcessSlot {
    state: Arc<Mutex<SlotState>>,
    journal: RunJournal,
}

impl ProcessSlot {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when it cannot be started.
    pub(super) fn start(order: LaunchSpec, journal: &RunJournal) -> SwitchResult<Self> {
        let child = ChildProcess::start_without_addresses(&order)?;
        let past_logs = String::new();
        let state = SlotState {
            order,
            child,
            past_logs,
        };
        let slot = Self {
            state: Arc::new(Mutex::new(state)),
            journal: journal.clone(),
        };
        tokio::spawn(slot.clone().look_after());
        Ok(slot)
    }

    /// Freezes it for `span`.
    pub(super) async fn freeze(&self, span: Duration) {
        let state = self.state.lock().await;
        state.child.freeze();
        sleep(span).await;
        state.child.thaw();
    }

    /// Kills it and starts it again behind `span`.
    pub(super) async fn kill(&self, span: Duration) {
        let mut state = self.state.lock().await;
        state.child.kill().await;
        sleep(span).await;
        self.start_again(&mut state);
    }

    /// Tells it that its settings file has changed.
    pub(super) async fn reload(&self) {
        self.state.lock().await.child.request_reload();
    }

    /// Asks it to stop, and starts it again once it has ended.
    pub(super) async fn stop(&self) {
        let mut state = self.state.lock().await;
        state.child.request_stop();
        let ended = state.child.wait(GRACE).await;
        let name = state.order.name.clone();
        match ended {
            Some(true) => {}
            Some(false) => self.note(format!("{name} ended with an error behind SIGTERM")),
            None => {
                self.note(format!("{name} still runs {GRACE:?} behind SIGTERM"));
                state.child.kill().await;
            }
        }
        self.start_again(&mut state);
    }

    /// Its log, also those of the processes that ended under its name.
    pub(super) async fn log(&self) -> (String, String) {
        let state = self.state.lock().await;
        let text = format!("{}{}", state.past_logs, state.child.log_text());
        (state.order.name.clone(), text)
    }

    async fn look_after(self) {
        loop {
            sleep(LOOK_PAUSE).await;
            // While something is done to it, it may end.
            let Ok(mut state) = self.state.try_lock() else {
                continue;
            };
            if state.child.ended().is_some() {
                self.note(format!("{} ended by itself", state.order.name));
                self.start_again(&mut state);
            }
        }
    }

    fn start_again(&self, state: &mut SlotState) {
        state.past_logs += &state.child.log_text();
        state.past_logs += "\n--- started again ---\n";
        match ChildProcess::start_without_addresses(&state.order) {
            Ok(child) => state.child = child,
            Err(error) => self.note(format!("{} does not start: {error}", state.order.name)),
        }
    }

    fn note(&self, text: String) {
        self.journal.note_breach(clock_now(), text);
    }
}
