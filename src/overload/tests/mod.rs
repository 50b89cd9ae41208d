mod engine_assignment;
mod send_schedule;
mod slot_reserve;

use std::time::Duration;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(6);

/// Guards against refusing new requests while two of sixteen slots are free at every engine, which
/// are reserved for new requests. Clients wait between five and six seconds. Any request that
/// stated more than 20 ms less than the six seconds of its route counted as a retry.
#[test]
fn a_client_with_a_short_wait_is_not_taken_for_a_retry() {
    for client_wait in [5100, 5500, 5900, 5990, 6000, 7000] {
        assert!(
            !is_retry(Duration::from_millis(client_wait), TIMEOUT),
            "{client_wait}"
        );
    }
    assert!(!is_retry(
        Duration::from_millis(510),
        Duration::from_millis(600)
    ));
}

#[test]
fn a_client_that_waits_for_the_retry_delay_is_recognised() {
    for part in [0.0, 0.5, 1.0] {
        let client_wait = TIMEOUT.saturating_sub(retry_delay(part));
        assert!(is_retry(client_wait, TIMEOUT), "{part}");
    }
    // Clients wait for at most a third of their time before a retry.
    assert!(is_retry(
        Duration::from_millis(400),
        Duration::from_millis(600)
    ));
}
