//! Waits until a version of weights is loaded, by polling the engines themselves at `/lab/engine`:
//! what they report to the control plane lags.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::launch::{LabClient, LabSystem};
use crate::lab::stand_ins::{EngineSnapshot, WeightsCounts};
use crate::time::clock_now;
use crate::weights::WeightsDigest;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A progress bar of `length` steps; it is drawn only if standard error is a terminal.
pub(crate) fn progress_bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{msg:28} [{bar:40}] {pos}/{len}");
    if let Ok(style) = style {
        bar.set_style(style.progress_chars("=> "));
    }
    bar
}

/// Waits until the engines of the backend servers at `backend_indices` have loaded `digest`.
/// Returns the elapsed time and how many copies of `size` bytes the origin sent in that time.
///
/// # Errors
///
/// `ActivationFailed` when an engine has not loaded it after `timeout`; the error of the request
/// when the origin does not return its counts.
pub(crate) async fn wait_for_rollout(
    system: &LabSystem,
    backend_indices: &[usize],
    digest: WeightsDigest,
    size: u64,
    timeout: Duration,
) -> SwitchResult<(Duration, f64)> {
    let start = clock_now();
    let sent_before = origin_bytes(system).await?;
    let bar = progress_bar(backend_indices.len() as u64);
    bar.set_message("engines with the new weights");
    loop {
        let mut loaded_count = 0;
        for index in backend_indices {
            loaded_count += u64::from(has_loaded(system, *index, digest).await);
        }
        bar.set_position(loaded_count);
        let elapsed = clock_now().since(start);
        if loaded_count == backend_indices.len() as u64 {
            bar.finish_and_clear();
            let sent = origin_bytes(system).await? - sent_before;
            return Ok((elapsed, copy_count(sent, size)));
        }
        if elapsed > timeout {
            let detail = format!(
                "only {loaded_count} of {} engines have loaded the weights after {elapsed:?}",
                backend_indices.len()
            );
            return Err(SwitchError::new(ErrorKind::ActivationFailed, detail));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn has_loaded(system: &LabSystem, index: usize, digest: WeightsDigest) -> bool {
    let Ok(address) = system.backends[index].engine.address("") else {
        return false;
    };
    let client = LabClient::default();
    let engine: SwitchResult<EngineSnapshot> = client.get(address, "/lab/engine").await;
    let loaded = engine.ok().and_then(|engine| engine.loaded);
    loaded.is_some_and(|loaded| loaded.digest == digest)
}

async fn origin_bytes(system: &LabSystem) -> SwitchResult<u64> {
    let address = system.origin.address("")?;
    let counts: WeightsCounts = LabClient::default().get(address, "/lab/counts").await?;
    Ok(counts.data_bytes)
}

#[expect(clippy::cast_precision_loss, reason = "a ratio that is only displayed")]
fn copy_count(bytes: u64, size: u64) -> f64 {
    bytes as f64 / size.max(1) as f64
}
