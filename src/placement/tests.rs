//! Home regions and evacuations.

use std::sync::Arc;

use bytestring::ByteString;

use super::*;
use crate::test_support::run_cases;

fn names(names: &[&str]) -> Vec<ByteString> {
    names.iter().map(|name| ByteString::from(*name)).collect()
}

fn rules(homes: HomeRegions, evacuated: &[&str]) -> PlacementRules {
    let pairs = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let pairs = pairs.map(|(data_centre, region)| (data_centre.into(), region.into()));
    PlacementRules {
        homes,
        regions: Arc::new(RegionMap::new(pairs.into())),
        evacuated: Arc::new(names(evacuated)),
    }
}

#[test]
fn a_request_without_home_regions_may_be_served_everywhere() {
    let rules = rules(HomeRegions::of_list(Vec::new()), &[]);
    for data_centre in ["a1", "b1", "unknown"] {
        assert_eq!(rules.check(&data_centre.into()), Ok(()));
    }
}

#[test]
fn a_request_is_confined_to_its_home_regions() {
    let rules = rules(HomeRegions::of_list(names(&["b", "nowhere", "b"])), &[]);
    assert_eq!(rules.check(&"b1".into()), Ok(()));
    for data_centre in ["a1", "a2", "unknown"] {
        let denial = rules.check(&data_centre.into());
        assert_eq!(denial, Err(PlacementDenial::OutsideHomes));
    }
}

#[test]
fn an_evacuated_data_centre_serves_nothing() {
    let rules = rules(HomeRegions::Anywhere, &["a1", "unknown"]);
    assert_eq!(rules.check(&"a2".into()), Ok(()));
    for data_centre in ["a1", "unknown"] {
        let denial = rules.check(&data_centre.into());
        assert_eq!(denial, Err(PlacementDenial::Evacuated));
    }
}

#[test]
fn the_home_regions_of_route_and_account_both_bind() {
    run_cases(300, 64, |u| {
        let mut lists: Vec<Vec<ByteString>> = Vec::new();
        for _ in 0..2 {
            let mut list = Vec::new();
            for name in ["a", "b", "c", "d"] {
                if u.arbitrary()? {
                    list.push(ByteString::from(name));
                }
            }
            lists.push(list);
        }
        let [route, account] = [0, 1].map(|at| HomeRegions::of_list(lists[at].clone()));
        let both = route.intersect(&account);
        for name in names(&["a", "b", "c", "d", "e"]) {
            let expected = lists
                .iter()
                .all(|list| list.is_empty() || list.contains(&name));
            assert_eq!(both.allows(Some(&name)), expected);
        }
        let is_anywhere = lists.iter().all(Vec::is_empty);
        assert_eq!(both.allows(None), is_anywhere);
        Ok(())
    });
}
