//! Timeouts on peers that do not run out because this process stood still.

use std::pin::pin;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Waits for `future` at most `span`.
///
/// A process that did not run for a while may find its timers due before it has read what its sockets
/// received meanwhile. The sockets are therefore read once more before a peer counts as silent.
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
    // On one thread, a task that yields runs again behind the sockets' own tasks.
    yield_now().await;
    timeout(Duration::ZERO, future).await
}
