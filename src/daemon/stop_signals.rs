//! Handling of the signals that order a process to stop: SIGTERM and SIGINT.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use signal_hook::consts::{SIGINT, SIGTERM};
use tokio::signal::unix::{SignalKind, signal};

/// Whether a signal arrived since [`register_stop_signals`]. Signals concern the process as a
/// whole, hence a global.
static STOP_RECEIVED: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Installs handlers that record the signals for [`wait_for_stop_signal`] instead of ending the
/// process. Has to be called first in `main`: without a handler, SIGTERM kills the process without
/// a graceful stop.
pub(crate) fn register_stop_signals() {
    let received = STOP_RECEIVED.get_or_init(Arc::default);
    for signal_number in [SIGTERM, SIGINT] {
        if let Err(error) = signal_hook::flag::register(signal_number, received.clone()) {
            eprintln!("cannot install a handler for signal {signal_number}: {error}");
        }
    }
}

/// Waits for a stop signal; returns immediately if one arrived already.
///
/// # Errors
///
/// When the signal handlers cannot be installed.
pub(super) async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Checked after the handlers are installed, so that no signal is missed in between.
    if STOP_RECEIVED
        .get()
        .is_some_and(|received| received.load(Ordering::Relaxed))
    {
        return Ok(());
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
