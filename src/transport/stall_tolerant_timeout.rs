//! Timeouts for peers that tolerate a stall of this process.

use std::pin::pin;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Waits for `future` for at most `span`.
///
/// After a stall of this process (it did not run for a while), a timer may fire before the sockets'
/// pending input is processed. The future is therefore polled once more, after the sockets, before
/// the peer counts as unresponsive.
///
/// # Errors
///
/// `Elapsed` when `future` is not ready in time.
pub(crate) async fn stall_tolerant_timeout<F: Future>(
    span: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    if let Ok(output) = timeout(span, &mut future).await {
        return Ok(output);
    }
    // In a single-threaded runtime, a task that yields runs again after the tasks of ready sockets.
    yield_now().await;
    timeout(Duration::ZERO, future).await
}
