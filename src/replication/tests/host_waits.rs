//! What a host says that it waits for.

use crate::replication::host_wait::{HostWait, WaitState};

/// A host that had stopped on its way to the wanted weights said nothing, and one saw it only by what
/// was missing in its log. Each change is told, and each once.
#[test]
fn a_host_tells_each_change_of_what_it_waits_for_once() {
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

/// An engine that falls silent in the middle of a load is what is waited for; and a load that ended
/// while a newer version is fetched leaves the host waiting for that.
#[test]
fn a_silent_engine_and_a_newer_version_are_told() {
    let mut state = WaitState::default();
    state.set_fetch(HostWait::Schedule);
    state.set_load(Some(HostWait::Load));
    assert_eq!(state.set_fetch(HostWait::Engine), Some(HostWait::Engine));
    assert_eq!(state.set_fetch(HostWait::Chunks), Some(HostWait::Load));
    assert_eq!(state.end_load(), Some(HostWait::Chunks));
}
