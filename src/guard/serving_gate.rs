//! The gate that separates requests from changes of version.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::ServingVersion;
use crate::weights::WeightsDigest;

/// Admits requests while a version is served, and allows a change of version only after the last
/// request on the old version has ended.
///
/// An engine that loads another version while it generates would return answers whose tokens come
/// from both versions. The gate prevents this: each request holds a pass for one version, and the
/// version changes only while no request holds a pass. Clones share one gate.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServingGate {
    state: Arc<watch::Sender<GateState>>,
}

#[derive(Debug, Default)]
struct GateState {
    serving: Option<ServingVersion>,
    passes: u32,
}

impl ServingGate {
    /// Opens the gate for `serving`, which the engine has just reported as completely loaded.
    ///
    /// # Panics
    ///
    /// If requests on another version are still running: the tokens of two versions would mix.
    pub(crate) fn open(&self, serving: ServingVersion) {
        self.state.send_modify(|state| {
            assert!(
                state.passes == 0 || state.serving.as_ref() == Some(&serving),
                "a version was opened while requests on another version were running"
            );
            state.serving = Some(serving);
        });
    }

    /// Closes the gate and waits for the running requests to end. Returns whether all have ended
    /// `within` the given time. If not, the gate stays closed and the caller may wait again.
    pub(crate) async fn close(&self, within: Duration) -> bool {
        self.state.send_modify(|state| state.serving = None);
        let mut state = self.state.subscribe();
        timeout(within, state.wait_for(|state| state.passes == 0))
            .await
            .is_ok()
    }

    /// Returns the version that is served, or `None` while the gate is closed.
    pub(crate) fn serving(&self) -> Option<ServingVersion> {
        self.state.borrow().serving.clone()
    }

    /// Admits one request, which must run on the version `required` if one is given.
    ///
    /// # Errors
    ///
    /// `WeightsNotReady` while the gate is closed; `VersionMismatch` when a version other than
    /// `required` is served.
    pub(crate) fn enter(&self, required: Option<&WeightsDigest>) -> SwitchResult<ServingPass> {
        let mut refusal = None;
        let mut serving = None;
        self.state.send_if_modified(|state| {
            match admit(state, required) {
                Ok(version) => serving = Some(version),
                Err(error) => refusal = Some(error),
            }
            refusal.is_none()
        });
        match (serving, refusal) {
            (Some(serving), None) => Ok(ServingPass {
                gate: self.clone(),
                serving,
            }),
            (_, Some(error)) => Err(error),
            (None, None) => Err(SwitchError::new(
                ErrorKind::Internal,
                "the gate neither admitted nor refused the request",
            )),
        }
    }
}

fn admit(state: &mut GateState, required: Option<&WeightsDigest>) -> SwitchResult<ServingVersion> {
    let Some(serving) = state.serving.clone() else {
        return Err(SwitchError::new(
            ErrorKind::WeightsNotReady,
            "no version is served",
        ));
    };
    if required.is_some_and(|digest| *digest != serving.digest) {
        let detail = format!("version {} is served", serving.version);
        return Err(SwitchError::new(ErrorKind::VersionMismatch, detail));
    }
    state.passes += 1;
    Ok(serving)
}

/// Allows one request to run on one version. Dropping it ends the request.
#[derive(Debug)]
pub(crate) struct ServingPass {
    gate: ServingGate,
    serving: ServingVersion,
}

impl ServingPass {
    /// The version that the request runs on.
    pub(crate) const fn serving(&self) -> &ServingVersion {
        &self.serving
    }
}

impl Drop for ServingPass {
    fn drop(&mut self) {
        self.gate.state.send_modify(|state| state.passes -= 1);
    }
}
