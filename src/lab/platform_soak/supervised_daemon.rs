//! Runs one daemon process under a fixed name: injects process faults, restarts it, and records a
//! breach when it exits on its own.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;

use super::run_journal::RunJournal;
use crate::errors::SwitchResult;
use crate::lab::launch::{ChildProcess, LaunchSpec};
use crate::time::clock_now;

/// How long a process may take to exit after SIGTERM.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// How often the process is checked for an unexpected exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The current process and what is needed to restart it.
struct DaemonState {
    order: LaunchSpec,
    child: ChildProcess,
    /// The logs of earlier processes of this daemon.
    previous_logs: String,
}

/// A daemon that is restarted whenever it exits. Clones share its state.
#[derive(Clone)]
pub(super) struct SupervisedDaemon {
    state: Arc<Mutex<DaemonState>>,
    journal: RunJournal,
}

impl SupervisedDaemon {
    /// Starts the daemon and its supervision.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when the process cannot be started.
    pub(super) fn start(order: LaunchSpec, journal: &RunJournal) -> SwitchResult<Self> {
        let child = ChildProcess::start_without_addresses(&order)?;
        let previous_logs = String::new();
        let state = DaemonState {
            order,
            child,
            previous_logs,
        };
        let daemon = Self {
            state: Arc::new(Mutex::new(state)),
            journal: journal.clone(),
        };
        tokio::spawn(daemon.clone().supervise());
        Ok(daemon)
    }

    /// Stops the process with SIGSTOP and continues it with SIGCONT after `span`.
    pub(super) async fn freeze(&self, span: Duration) {
        let state = self.state.lock().await;
        state.child.freeze();
        sleep(span).await;
        state.child.thaw();
    }

    /// Kills the process with SIGKILL and restarts it after `span`.
    pub(super) async fn kill(&self, span: Duration) {
        let mut state = self.state.lock().await;
        state.child.kill().await;
        sleep(span).await;
        self.restart(&mut state);
    }

    /// Sends SIGHUP, on which the daemon reloads its settings file.
    pub(super) async fn reload(&self) {
        self.state.lock().await.child.request_reload();
    }

    /// Sends SIGTERM and restarts the process once it has exited. A process that exits with an
    /// error, or not within `STOP_GRACE`, breaks a promise.
    pub(super) async fn stop(&self) {
        let mut state = self.state.lock().await;
        state.child.request_stop();
        let ended = state.child.wait(STOP_GRACE).await;
        let name = state.order.name.clone();
        match ended {
            Some(true) => {}
            Some(false) => self.note(format!("{name} exited with an error after SIGTERM")),
            None => {
                self.note(format!("{name} still runs {STOP_GRACE:?} after SIGTERM"));
                state.child.kill().await;
            }
        }
        self.restart(&mut state);
    }

    /// Returns the name of the daemon and the logs of all of its processes.
    pub(super) async fn log(&self) -> (String, String) {
        let state = self.state.lock().await;
        let text = format!("{}{}", state.previous_logs, state.child.log_text());
        (state.order.name.clone(), text)
    }

    async fn supervise(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            // The lock is taken while a fault is injected: the process may exit then.
            let Ok(mut state) = self.state.try_lock() else {
                continue;
            };
            if state.child.ended().is_some() {
                self.note(format!("{} exited unexpectedly", state.order.name));
                self.restart(&mut state);
            }
        }
    }

    fn restart(&self, state: &mut DaemonState) {
        state.previous_logs += &state.child.log_text();
        state.previous_logs += "\n--- restarted ---\n";
        match ChildProcess::start_without_addresses(&state.order) {
            Ok(child) => state.child = child,
            Err(error) => self.note(format!("{} did not start: {error}", state.order.name)),
        }
    }

    fn note(&self, text: String) {
        self.journal.note_breach(clock_now(), text);
    }
}
