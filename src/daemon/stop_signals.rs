//! The signals that tell a process to end: SIGTERM and SIGINT.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use signal_hook::consts::{SIGINT, SIGTERM};
use tokio::signal::unix::{SignalKind, signal};

/// Whether a signal came since [`register_stop_signals`]. Signals are told to the process as a whole.
static TOLD: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Keeps the signals from ending the process, and remembers them for [`stop_told`]. Called first in
/// `main`: until then SIGTERM ends the process at once, with an error.
pub(crate) fn register_stop_signals() {
    let told = TOLD.get_or_init(Arc::default);
    for number in [SIGTERM, SIGINT] {
        if let Err(fault) = signal_hook::flag::register(number, told.clone()) {
            eprintln!("signal {number} cannot be followed: {fault}");
        }
    }
}

/// When a process was told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopNotice {
    /// Before anybody listened: whoever set up a listener of its own since then has not heard of it.
    Earlier,
    /// While listeners stood.
    Now,
}

/// Returns when the process is told to end, or was told before.
///
/// # Errors
///
/// When the signals cannot be followed.
pub(super) async fn stop_told() -> io::Result<StopNotice> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Looked at once the listeners stand, so that no signal falls between the two.
    if TOLD.get().is_some_and(|told| told.load(Ordering::Relaxed)) {
        return Ok(StopNotice::Earlier);
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(StopNotice::Now)
}
