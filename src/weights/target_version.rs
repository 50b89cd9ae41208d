//! What the document in force wants of this host, and which other hosts want the same.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::digest::WeightsDigest;
use super::host_ranking::HostLocation;
use super::peer_table::PeerHost;
use crate::control::{ControlHandle, ControlSnapshot, MemberRecord, MemberState};
use crate::derives::plain;
use crate::documents::{RolloutSpec, WeightsSpec};
use crate::membership::{HostIdentity, ServingVersion};
use crate::stores::HostRole;

/// The version that this host should serve.
#[apply(plain!)]
pub(crate) struct TargetVersion {
    /// The service.
    pub(crate) service: ByteString,
    /// The version of the document that says so.
    pub(crate) document: u64,
    /// The weights as the document names them.
    pub(crate) spec: WeightsSpec,
    /// How a change goes through the hosts.
    pub(crate) rollout: RolloutSpec,
    /// The digest of the weights.
    pub(crate) digest: WeightsDigest,
}

impl TargetVersion {
    /// What the document in force wants of the host of `control`; `None` while there is no document
    /// or it names no weights.
    pub(crate) fn read(control: &ControlHandle) -> Option<Self> {
        let service = control.identity().service.clone()?;
        let snapshot = control.snapshot().load();
        let record = snapshot.service(&service)?;
        let spec = record.document.weights.clone()?;
        // The document was checked before it was accepted; one that does not read wants nothing.
        let digest = spec.digest.parse().ok()?;
        Some(Self {
            service,
            document: record.version,
            spec,
            rollout: record.document.rollout.clone(),
            digest,
        })
    }

    /// What an engine that serves it reports.
    pub(crate) fn serving(&self) -> ServingVersion {
        ServingVersion {
            version: self.spec.version.clone(),
            digest: self.digest,
        }
    }
}

/// The place of `identity` in lines.
pub(crate) fn host_location(identity: &HostIdentity) -> HostLocation {
    HostLocation {
        host: identity.host.clone(),
        data_centre: identity.data_centre.clone(),
        region: identity.region.clone(),
    }
}

/// The live hosts whose service wants the weights `digest`, of any service, sorted by name.
pub(crate) fn target_hosts(snapshot: &ControlSnapshot, digest: WeightsDigest) -> Vec<PeerHost> {
    let digest = ByteString::from(digest.to_string());
    let wants = |member: &MemberRecord| {
        let service = member
            .service
            .as_deref()
            .and_then(|name| snapshot.service(name));
        let weights = service.and_then(|service| service.document.weights.as_ref());
        weights.is_some_and(|weights| weights.digest == digest)
    };
    let members = snapshot.members.iter().filter(|member| {
        member.role == HostRole::Backend && member.state == MemberState::Live && wants(member)
    });
    let hosts = members.map(|member| PeerHost {
        location: HostLocation {
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            region: member.region.clone(),
        },
        address: member.peer_address,
    });
    hosts.collect()
}
