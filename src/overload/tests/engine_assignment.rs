use bytestring::ByteString;

use crate::overload::{EngineAssignment, EntryHostId, relocated_entry_hosts};
use crate::test_support::run_cases;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

fn entry_hosts(counts: [usize; 3]) -> Vec<EntryHostId> {
    let hosts = DATA_CENTRES.iter().zip(counts);
    hosts
        .flat_map(|(data_centre, count)| {
            (0..count).map(move |number| EntryHostId {
                data_centre: ByteString::from(*data_centre),
                host: format!("{data_centre}{number}").into(),
            })
        })
        .collect()
}

/// Guards against entry hosts of an evacuated data centre that have no engines assigned to them,
/// while others have many.
#[test]
fn entry_hosts_of_an_evacuated_data_centre_share_the_engines_of_the_others() {
    run_cases(200, 64, |u| {
        let mut counts = [0; 3];
        for count in &mut counts {
            *count = u.int_in_range(1..=12)?;
        }
        let entries = entry_hosts(counts);
        let evacuated = [ByteString::from("b")];
        let relocated = relocated_entry_hosts(&entries, &evacuated);
        assert_eq!(relocated.len(), entries.len());
        for data_centre in ["a", "c"] {
            let is_of = |entry: &&EntryHostId| entry.data_centre == *data_centre;
            let before = entries.iter().filter(is_of).count();
            let after = relocated.iter().filter(is_of).count();
            let joined = after - before;
            assert!(joined >= counts[1] / 2, "{joined} of {}", counts[1]);
        }
        for own in &relocated {
            let assignment = EngineAssignment::new(own, &relocated);
            assert!((0..24).any(|rank| assignment.is_assigned(rank)));
        }
        Ok(())
    });
}

/// Guards against an assignment that changes without an evacuation, or if all are evacuated.
#[test]
fn entry_hosts_stay_where_they_are_without_an_evacuation() {
    let entries = entry_hosts([3, 2, 4]);
    assert_eq!(relocated_entry_hosts(&entries, &[]), entries);
    let all = DATA_CENTRES.map(ByteString::from);
    assert_eq!(relocated_entry_hosts(&entries, &all), entries);
}
