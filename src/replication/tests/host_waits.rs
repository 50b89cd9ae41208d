//! What a host publishes about its waits.

use crate::replication::host_wait::{HostWait, WaitState};

/// Failure: a host that was stuck before it had the target weights logged nothing, so that the
/// fault showed only by missing log lines. Each change must be published, exactly once.
#[test]
fn a_host_publishes_each_change_of_its_wait_once() {
    let mut state = WaitState::default();
    assert_eq!(state.set_load(None), None, "nothing is known yet");
    let fetch = [HostWait::Document, HostWait::Engine, HostWait::Chunks];
    for wait in fetch {
        assert_eq!(state.set_fetch(wait), Some(wait));
        assert_eq!(state.set_fetch(wait), None);
    }
    assert_eq!(
        state.set_fetch(HostWait::Schedule),
        Some(HostWait::Schedule)
    );
    for wait in [HostWait::Staging, HostWait::Order, HostWait::Load] {
        assert_eq!(state.set_load(Some(wait)), Some(wait));
    }
    assert_eq!(state.set_fetch(HostWait::Schedule), None);
    assert_eq!(state.end_load(), Some(HostWait::Nothing));
    assert_eq!(state.set_fetch(HostWait::Nothing), None);
}

/// An engine that stops answering during a load is what the host waits for. After the end of a
/// load, the host waits for the newer version that is being fetched.
#[test]
fn an_unresponsive_engine_and_a_newer_version_are_published() {
    let mut state = WaitState::default();
    state.set_fetch(HostWait::Schedule);
    state.set_load(Some(HostWait::Load));
    assert_eq!(state.set_fetch(HostWait::Engine), Some(HostWait::Engine));
    assert_eq!(state.set_fetch(HostWait::Chunks), Some(HostWait::Load));
    assert_eq!(state.end_load(), Some(HostWait::Chunks));
}
