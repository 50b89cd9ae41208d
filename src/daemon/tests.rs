//! The graceful stop: begun once, over when nothing is under way.

use std::time::Duration;

use super::DrainState;

const NO_LINGER: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_mins(10);

// Symptom: a planned stop cuts a stream of several minutes. Events: the stop is told while a
// request is under way. Cause: the stop waits for a fixed time, not for the request.
#[tokio::test]
async fn the_stop_waits_for_requests_under_way() {
    let drain = DrainState::new(NO_LINGER, LONG);
    let guard = drain.enter();
    let stopping = tokio::spawn({
        let drain = drain.clone();
        async move { drain.drained().await }
    });
    drain.begun().await;
    assert!(drain.is_draining());
    assert!(!stopping.is_finished(), "one request is under way");
    drop(guard);
    stopping.await.expect("the stop ends");
    assert_eq!(drain.live_count(), 0);
}

#[tokio::test]
async fn requests_that_come_while_stopping_are_waited_for_too() {
    let drain = DrainState::new(NO_LINGER, LONG);
    let first = drain.enter();
    drain.begin();
    let second = drain.enter();
    drop(first);
    assert_eq!(drain.live_count(), 1);
    drop(second);
    drain.drained().await;
}

#[tokio::test]
async fn a_stop_ends_at_its_longest() {
    let drain = DrainState::new(NO_LINGER, Duration::from_millis(1));
    let _guard = drain.enter();
    drain.drained().await;
    assert_eq!(drain.live_count(), 1, "it was given up, not forgotten");
}
