//! The target version of this host according to the service document, and the other hosts with the
//! same target.

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
    /// The service that the host belongs to.
    pub(crate) service: ByteString,
    /// Version of the service document.
    pub(crate) document: u64,
    /// The weights as specified in the document.
    pub(crate) spec: WeightsSpec,
    /// Limits for the rollout of a new version.
    pub(crate) rollout: RolloutSpec,
    /// The digest of the weights.
    pub(crate) digest: WeightsDigest,
}

impl TargetVersion {
    /// The target version of the host of `control`; `None` if there is no document or it specifies
    /// no weights.
    pub(crate) fn read(control: &ControlHandle) -> Option<Self> {
        let service = control.identity().service.clone()?;
        let snapshot = control.snapshot().load();
        let record = snapshot.service(&service)?;
        let spec = record.document.weights.clone()?;
        // Documents are checked before they are accepted; a digest that cannot be parsed means no
        // target.
        let digest = spec.digest.parse().ok()?;
        Some(Self {
            service,
            document: record.version,
            spec,
            rollout: record.document.rollout.clone(),
            digest,
        })
    }

    /// What an engine that serves this version reports.
    pub(crate) fn serving(&self) -> ServingVersion {
        ServingVersion {
            version: self.spec.version.clone(),
            digest: self.digest,
        }
    }
}

/// Name and location of the host `identity`.
pub(crate) fn host_location(identity: &HostIdentity) -> HostLocation {
    HostLocation {
        host: identity.host.clone(),
        data_centre: identity.data_centre.clone(),
        region: identity.region.clone(),
    }
}

/// The live hosts of all services that have the weights `digest` as target, sorted by name.
pub(crate) fn target_hosts(snapshot: &ControlSnapshot, digest: WeightsDigest) -> Vec<PeerHost> {
    let digest = ByteString::from(digest.to_string());
    let has_target = |member: &MemberRecord| {
        let service = member
            .service
            .as_deref()
            .and_then(|name| snapshot.service(name));
        let weights = service.and_then(|service| service.document.weights.as_ref());
        weights.is_some_and(|weights| weights.digest == digest)
    };
    let members = snapshot.members.iter().filter(|member| {
        member.role == HostRole::Backend && member.state == MemberState::Live && has_target(member)
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
