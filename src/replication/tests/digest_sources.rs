//! Which hosts read the digests of a version, and from where.

use std::time::Duration;

use crate::fleet::{ModelVersion, WeightsVersion};
use crate::replication::digest_sources::DigestSources;
use crate::weights::{HostLocation, PeerHost};

const CENTRES: u8 = 5;
const HOSTS: u8 = 47;

fn hosts() -> Vec<PeerHost> {
    let numbers = (0..CENTRES).flat_map(|centre| (0..HOSTS).map(move |number| (centre, number)));
    let host = |(centre, number): (u8, u8)| PeerHost {
        location: HostLocation {
            host: format!("10.{centre}.0.{number}").into(),
            data_centre: format!("hall-{centre}").into(),
            region: "all".into(),
        },
        address: ([10, centre, 0, number], 7300).into(),
    };
    numbers.map(host).collect()
}

fn target() -> ModelVersion {
    ModelVersion {
        model: "m".into(),
        version: WeightsVersion(2),
    }
}

/// Guards against hundreds of hosts that read the digests from the origin at once, over the link
/// and the connections that are needed for chunks.
#[test]
fn two_hosts_of_hundreds_read_the_origin_at_once() {
    let hosts = hosts();
    let sources_by_host: Vec<DigestSources> = hosts
        .iter()
        .map(|host| DigestSources::new(&hosts, &host.location, &target()))
        .collect();
    let read_at_once = sources_by_host
        .iter()
        .filter(|sources| sources.choose(0.0).is_none());
    assert_eq!(read_at_once.count(), 2);
    let soon = sources_by_host.iter().filter(|sources| {
        sources.choose(0.0).is_some() && sources.wait_limit() <= Duration::from_secs(1)
    });
    let most = 2 * usize::from(CENTRES);
    assert!(soon.count() <= most, "others wait for higher-ranked hosts");
}

/// Guards against one host that answers all others, which takes two seconds of its link.
#[test]
fn a_host_is_queried_for_digests_by_a_few_dozen() {
    let hosts = hosts();
    let mut queried = vec![0_u32; hosts.len()];
    for host in &hosts {
        let sources = DigestSources::new(&hosts, &host.location, &target());
        if let Some(address) = sources.choose(0.25) {
            let at = hosts.iter().position(|host| host.address == address);
            queried[at.expect("it is one of them")] += 1;
        }
    }
    let most = queried.iter().max().expect("hosts");
    assert!(*most <= u32::from(HOSTS) + u32::from(CENTRES) * 2, "{most}");
}
