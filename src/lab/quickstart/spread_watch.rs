//! Watches a version reach the engines, by asking the engines themselves.

use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::lab::launch::{LabClient, LabSystem};
use crate::lab::stand_ins::{EngineSnapshot, WeightsCounts};
use crate::time::clock_now;
use crate::weights::WeightsDigest;

const PAUSE: Duration = Duration::from_millis(100);

/// A progress bar of `length` steps on a terminal, and none elsewhere.
pub(crate) fn progress_bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{msg:28} [{bar:40}] {pos}/{len}");
    if let Ok(style) = style {
        bar.set_style(style.progress_chars("=> "));
    }
    bar
}

/// Waits until the engines of the backend servers `places` serve `digest`. Returns how long it took
/// and how many copies of `size` bytes the origin sent meanwhile.
///
/// # Errors
///
/// `ActivationFailed` when some do not within `patience`.
pub(crate) async fn wait_for_spread(
    system: &LabSystem,
    places: &[usize],
    digest: WeightsDigest,
    size: u64,
    patience: Duration,
) -> SwitchResult<(Duration, f64)> {
    let begun = clock_now();
    let sent_before = origin_bytes(system).await?;
    let bar = progress_bar(places.len() as u64);
    bar.set_message("engines on the version");
    loop {
        let mut serving = 0;
        for place in places {
            serving += u64::from(serves(system, *place, digest).await);
        }
        bar.set_position(serving);
        let taken = clock_now().since(begun);
        if serving == places.len() as u64 {
            bar.finish_and_clear();
            let sent = origin_bytes(system).await? - sent_before;
            return Ok((taken, copies(sent, size)));
        }
        if taken > patience {
            let detail = format!("{serving} of {} engines after {taken:?}", places.len());
            return Err(SwitchError::new(ErrorKind::ActivationFailed, detail));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn serves(system: &LabSystem, place: usize, digest: WeightsDigest) -> bool {
    let Ok(address) = system.backends[place].engine.address("") else {
        return false;
    };
    let client = LabClient::default();
    let truth: SwitchResult<EngineSnapshot> = client.get(address, "/lab/engine").await;
    let loaded = truth.ok().and_then(|truth| truth.loaded);
    loaded.is_some_and(|loaded| loaded.digest == digest)
}

async fn origin_bytes(system: &LabSystem) -> SwitchResult<u64> {
    let address = system.origin.address("")?;
    let counts: WeightsCounts = LabClient::default().get(address, "/lab/counts").await?;
    Ok(counts.data_bytes)
}

#[expect(clippy::cast_precision_loss, reason = "a ratio for people")]
fn copies(bytes: u64, size: u64) -> f64 {
    bytes as f64 / size.max(1) as f64
}
