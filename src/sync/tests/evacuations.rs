//! Which data centres are evacuated, by what the store and neighbours report.

use super::readers::TestDataCentre;
use super::*;
use crate::platform::{TableName, revision_in};
use crate::sync::DeploymentSnapshot;
use crate::sync::evacuations::{EvacuationList, EvacuationRecord};
use crate::test_support::run_cases;

fn evacuation(data_centre: &str, revision: u64) -> StoreRow {
    row(&format!("evacuate/{data_centre}"), revision, Some("{}"))
}

fn removal(data_centre: &str, revision: u64) -> StoreRow {
    row(&format!("evacuate/{data_centre}"), revision, None)
}

fn change(state: &SharedDeploymentState, rows: &[StoreRow]) {
    state.change(|state| state.change_operator_rows(rows, witnessed_at(START)));
}

fn read_full(state: &SharedDeploymentState, rows: Vec<StoreRow>, revision: u64) {
    let view = view(rows, revision);
    state.change(|state| {
        state.set_operator_rows(&view.rows, witnessed_at(START));
        state.keep_listed_evacuations(&view);
    });
}

fn evacuated(state: &SharedDeploymentState) -> Vec<String> {
    let snapshot = state.snapshot().load();
    let names = snapshot.evacuated.iter();
    names.map(ToString::to_string).collect()
}

/// Reports all that `from` knows to `to`.
fn tell(from: &SharedDeploymentState, to: &SharedDeploymentState) {
    let query = to.read(DeploymentState::query);
    let answer = from.read(|state| state.answer(&query, Duration::ZERO, START));
    to.change(|state| state.merge(answer, at_once(START)));
}

#[test]
fn an_evacuation_lasts_from_the_write_of_its_row_to_the_removal() {
    let state = new_state();
    change(&state, &[evacuation("a", 5), evacuation("b", 6)]);
    assert_eq!(evacuated(&state), ["a", "b"]);
    change(&state, &[removal("a", 7)]);
    assert_eq!(evacuated(&state), ["b"]);
    read_full(&state, vec![document(1)], 9);
    assert!(evacuated(&state).is_empty());
    read_full(&state, vec![evacuation("c", 10)], 11);
    assert_eq!(evacuated(&state), ["c"]);
}

/// Guards against an evacuation without effect because another program wrote its row. Only the key
/// matters.
#[test]
fn an_evacuation_is_in_force_whatever_its_row_holds() {
    let state = new_state();
    let values = ["", "no json", "[1]", "null", "{\"x\":[1,2,{\"y\":-1e300}]}"];
    for (revision, value) in (1..).zip(values) {
        let key = format!("evacuate/z{revision}");
        change(&state, &[row(&key, revision, Some(value))]);
        assert_eq!(evacuated(&state).len() as u64, revision, "{value}");
    }
    change(&state, &[row("evacuate/", 90, Some("{}"))]);
    change(&state, &[row("evacuated/z", 91, Some("{}"))]);
    assert_eq!(evacuated(&state).len(), values.len());
}

/// Guards against an entry host that the store refuses, or that has just started, and sends requests
/// to an evacuated data centre.
#[test]
fn a_neighbour_reports_evacuations_and_their_end_at_once() {
    let (reader, other) = (new_state(), new_state());
    change(&reader, &[evacuation("a", 5)]);
    let is_urgent = || {
        let query = other.read(DeploymentState::query);
        reader.read(|state| state.has_urgent_changes(&query))
    };
    assert!(is_urgent());
    tell(&reader, &other);
    assert_eq!(evacuated(&other), ["a"]);
    assert!(!is_urgent());
    change(&reader, &[removal("a", 8)]);
    assert!(is_urgent());
    tell(&reader, &other);
    assert!(evacuated(&other).is_empty());
}

/// Guards against a neighbour that has not heard of the end of an evacuation and brings it back.
#[test]
fn a_late_report_does_not_bring_back_an_evacuation() {
    let (late, informed, started) = (new_state(), new_state(), new_state());
    change(&late, &[evacuation("a", 5)]);
    change(&informed, &[evacuation("a", 5), removal("a", 8)]);
    tell(&late, &informed);
    assert!(evacuated(&informed).is_empty());
    // A process that started later has read the table without the row.
    read_full(&started, vec![document(1)], 9);
    started.change(|state| state.operator_mut().note_read(9, store_time(START), START));
    tell(&late, &started);
    assert!(evacuated(&started).is_empty());
    tell(&informed, &late);
    assert!(evacuated(&late).is_empty());
}

/// Guards against requests to a data centre whose evacuation the store lost when it returned from an
/// older copy: the operator has not taken it back.
#[test]
fn an_evacuation_that_the_store_lost_stays_in_force() {
    let state = new_state();
    change(&state, &[evacuation("a", revision_in(1, 500))]);
    read_full(&state, vec![document(1)], revision_in(2, 400));
    assert_eq!(evacuated(&state), ["a"]);
    change(&state, &[evacuation("a", revision_in(2, 410))]);
    change(&state, &[removal("a", revision_in(2, 420))]);
    assert!(evacuated(&state).is_empty());
}

/// Guards against a state that depends on the order in which reports arrive.
#[test]
fn reports_in_any_order_lead_to_the_same_state() {
    run_cases(200, 256, |u| {
        let mut records = Vec::new();
        for revision in 1..=u.int_in_range(1_u64..=12)? {
            records.push(EvacuationRecord {
                data_centre: u.choose(&["a", "b", "c"])?.to_string().into(),
                revision,
                is_active: u.arbitrary()?,
            });
        }
        let mut ordered = EvacuationList::default();
        ordered.merge(&records, None);
        let mut shuffled = EvacuationList::default();
        while !records.is_empty() {
            let at = u.int_in_range(0..=records.len() - 1)?;
            let record = records.swap_remove(at);
            shuffled.merge(std::slice::from_ref(&record), None);
            if u.arbitrary()? {
                shuffled.merge(&[record], None);
            }
        }
        assert_eq!(shuffled.records(), ordered.records());
        Ok(())
    });
}

/// Guards against memory that grows with the rows that other programs write.
#[test]
fn ended_evacuations_are_forgotten_beyond_a_limit() {
    let mut list = EvacuationList::default();
    for number in 0..1000 {
        list.put(&format!("z{number}"), 2 * number + 1, true);
        list.put(&format!("z{number}"), 2 * number + 2, false);
    }
    assert!(list.records().len() <= 128);
    assert!(list.active().is_empty());
}

/// Within this time all entry hosts know of an evacuation that the store has confirmed, and of its
/// end.
const EVACUATION_TIME_LIMIT: Duration = Duration::from_secs(5);

/// Guards against entry hosts that learn of an evacuation too late: those that read the store, those
/// that follow them, and those that the store stops answering.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_entry_hosts_learn_of_an_evacuation_in_time() {
    let data_centre = TestDataCentre::start().await;
    let key = "evacuate/a";
    let is_evacuated = |snapshot: &DeploymentSnapshot| snapshot.evacuated.len() == 1;
    let is_ended = |snapshot: &DeploymentSnapshot| snapshot.evacuated.is_empty();
    data_centre.store.put(TableName::Operator, key, "{}");
    data_centre
        .wait_for_all(is_evacuated, EVACUATION_TIME_LIMIT)
        .await;
    data_centre.store.remove(TableName::Operator, key);
    data_centre
        .wait_for_all(is_ended, EVACUATION_TIME_LIMIT)
        .await;
    data_centre.cut_off_readers();
    data_centre.store.put(TableName::Operator, key, "{}");
    data_centre
        .wait_for_all(is_evacuated, EVACUATION_TIME_LIMIT)
        .await;
    data_centre.end();
}
