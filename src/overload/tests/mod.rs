mod rate_turns;

use std::time::Duration;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(6);

/// Symptom: new requests were refused while two places of sixteen were free at every engine. Events:
/// clients wait between five and six seconds, each as it likes; a request that said less than the
/// route's six counted as one that was refused before, and had to leave the last places to new ones.
/// Cause: the limit between the two was 20 ms.
#[test]
fn an_impatient_client_is_no_returned_one() {
    for asked in [5100, 5500, 5900, 5990, 6000, 7000] {
        assert!(
            !is_returned(Duration::from_millis(asked), TIMEOUT),
            "{asked}"
        );
    }
    assert!(!is_returned(
        Duration::from_millis(510),
        Duration::from_millis(600)
    ));
}

#[test]
fn whoever_comes_back_as_it_was_told_is_known_again() {
    for part in [0.0, 0.5, 1.0] {
        let asked = TIMEOUT.saturating_sub(come_back_after(part));
        assert!(is_returned(asked, TIMEOUT), "{part}");
    }
    // A client stays away for a third of its time at most.
    assert!(is_returned(
        Duration::from_millis(400),
        Duration::from_millis(600)
    ));
}
