//! Picks under evacuations and home regions.

use super::*;
use crate::placement::{HomeRegions, PlacementRules, RegionMap};

const DATA_CENTRES: [&str; 4] = ["here", "there", "far", "unknown"];

/// Each data centre but the last is in a region of the same name.
fn region_map() -> RegionMap {
    let names = DATA_CENTRES[..3].iter().map(|name| ByteString::from(*name));
    RegionMap::new(names.map(|name| (name.clone(), name)).collect())
}

/// Guards against sends that the rules forbid, and against refusals although a backend server that
/// may take the request has a free slot.
#[test]
fn a_request_goes_to_a_permitted_backend_server_if_one_is_free() {
    run_cases(400, 512, |u| {
        let mut backends = Vec::new();
        for number in 0..u.int_in_range(0..=6)? {
            let mut backend = facts(&format!("b{number}"), u.choose(&DATA_CENTRES)?, 1);
            backend.address.set_port(u16::try_from(number).unwrap_or(0));
            backend.slots = 1;
            if u.ratio(1, 5)? {
                backend.phase = BackendPhase::Leaving;
            }
            backends.push(backend);
        }
        let mut evacuated = Vec::new();
        let mut home_list = Vec::new();
        for name in DATA_CENTRES {
            if u.ratio(1, 3)? {
                evacuated.push(ByteString::from(name));
            }
            if u.ratio(1, 3)? {
                home_list.push(ByteString::from(name));
            }
        }
        evacuated.sort_unstable();
        let rules = PlacementRules {
            homes: HomeRegions::of_list(home_list.clone()),
            regions: Arc::new(region_map()),
            evacuated: Arc::new(evacuated.clone()),
        };
        let is_permitted = |facts: &BackendFacts| {
            let name = &facts.data_centre;
            let is_home = home_list.is_empty() || (home_list.contains(name) && *name != "unknown");
            facts.phase == BackendPhase::Serving && is_home && !evacuated.contains(name)
        };
        let permitted = backends.iter().filter(|facts| is_permitted(facts)).count();
        let registry = registry_of(backends);
        let wanted = PickRequirements {
            queue_room: 0,
            placement: rules,
            ..requirements(None)
        };
        let mut tickets = Vec::new();
        for _ in 0..permitted {
            let ticket = registry.pick(&wanted, NOW).expect("a slot is free");
            assert!(is_permitted(&ticket.facts));
            tickets.push(ticket);
        }
        assert!(registry.pick(&wanted, NOW).is_err());
        Ok(())
    });
}

/// Guards against a refusal that names full backend servers where only evacuated ones are left, and
/// the other way round.
#[test]
fn a_refusal_names_what_is_in_the_way() {
    let registry = registry_of(vec![facts("a", "here", 1), facts("b", "there", 1)]);
    let refusal = |homes: &[&'static str], evacuated: &[&'static str]| {
        let list = |names: &[&'static str]| -> Vec<ByteString> {
            names.iter().map(|name| ByteString::from(*name)).collect()
        };
        let wanted = PickRequirements {
            placement: PlacementRules {
                homes: HomeRegions::of_list(list(homes)),
                regions: Arc::new(region_map()),
                evacuated: Arc::new(list(evacuated)),
            },
            ..requirements(None)
        };
        registry.pick(&wanted, NOW).err()
    };
    assert_eq!(refusal(&["here"], &["there"]), None);
    assert_eq!(refusal(&["far"], &[]), Some(PickRefusal::NotInHomes));
    let evacuated = Some(PickRefusal::AllEvacuated);
    assert_eq!(refusal(&["here"], &["here"]), evacuated);
    assert_eq!(refusal(&[], &["here", "there"]), evacuated);
}
