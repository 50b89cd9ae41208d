//! Detects exhausted limits of the machine. A run that reaches one has no verdict: its failures say
//! nothing about the daemons' promises.

use std::time::Duration;

use tokio::time::sleep;

use crate::errors::{ErrorKind, SwitchError};

const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the descriptor limit, in percent, at which a run ends: before connections fail.
const EXHAUSTION_PERCENT: usize = 95;
const DESCRIPTORS_FOLDER: &str = "/proc/self/fd";
const LIMITS_FILE: &str = "/proc/self/limits";
const LIMIT_LINE_PREFIX: &str = "Max open files";

/// Returns an error once this process, with its stand-ins, proxies and clients, has nearly reached
/// its limit of file descriptors. Never returns where the descriptors cannot be counted.
pub(super) async fn descriptors_exhausted() -> SwitchError {
    loop {
        sleep(COUNT_INTERVAL).await;
        let Some(limit) = descriptor_limit() else {
            continue;
        };
        let Ok(open) = std::fs::read_dir(DESCRIPTORS_FOLDER).map(Iterator::count) else {
            continue;
        };
        if is_nearly_exhausted(open, limit) {
            let detail = format!(
                "a limit of the machine ended the run without a verdict: {open} of {limit} \
                 file descriptors are open"
            );
            return SwitchError::new(ErrorKind::Internal, detail);
        }
    }
}

/// Whether `open` descriptors are so close to `limit` that connections will soon fail.
pub(super) const fn is_nearly_exhausted(open: usize, limit: usize) -> bool {
    open >= limit / 100 * EXHAUSTION_PERCENT
}

/// Reads the soft limit of descriptors from `LIMITS_FILE`; `None` when it is unlimited or
/// unreadable.
fn descriptor_limit() -> Option<usize> {
    let text = std::fs::read_to_string(LIMITS_FILE).ok()?;
    parse_descriptor_limit(&text)
}

/// Parses the soft limit of descriptors from the text of `LIMITS_FILE`; `None` when it is
/// unlimited.
pub(super) fn parse_descriptor_limit(text: &str) -> Option<usize> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(LIMIT_LINE_PREFIX))?;
    line.split_whitespace().next()?.parse().ok()
}
