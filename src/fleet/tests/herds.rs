//! Several entry hosts that send to the same engines.

use super::*;
use crate::overload::{EngineSpeed, EntryHostId};

const SPEED: EngineSpeed = EngineSpeed {
    step_s: 0.009,
    request_step_s: 0.000_04,
    read_per_s: 19_000.0,
    typical_prompt_tokens: 950.0,
    typical_answer_tokens: 100.0,
};
const SLOTS: u32 = 16;

fn entries() -> Vec<EntryHostId> {
    ["e1", "e2", "e3"]
        .map(|host| entry_place(host, "here"))
        .into()
}

fn engine(id: &str) -> BackendFacts {
    let mut facts = facts(id, "here", 1);
    facts.slots = SLOTS;
    facts.address.set_port(u16::from(id.as_bytes()[1]));
    facts
}

/// The desk of the entry host `host` among [`entries`].
fn desk_of_entry(host: &str, engines: &[&str]) -> SharedDesk {
    let mut desk = BackendDesk::new(entry_place(host, "here"));
    desk.set_fleet(&FleetView {
        backends: engines.iter().map(|id| Arc::new(engine(id))).collect(),
    });
    desk.share_among(&entries());
    SharedDesk::new(desk)
}

fn work_need(prompt_tokens: u32) -> PickNeed<'static> {
    let mut need = need(None);
    need.work = Some(EngineWork {
        speed: SPEED,
        prompt_tokens,
    });
    need
}

fn report(id: &str, active: u32, pace: f64) -> LoadReport {
    let facts = engine(id);
    LoadReport {
        address: facts.address,
        born: None,
        active,
        queued: 0,
        is_loading: false,
        pace,
        holdings: facts.holdings,
    }
}

/// Symptom: streams came late at engines that had free places, while other engines read nothing. Events:
/// a report showed three entry hosts the same engine as the least loaded one; in the 200 ms until the
/// next each sent its requests there, and their prompts were read one behind the other. Cause: each knew
/// its own requests only, and all went by the same order.
#[test]
fn entry_hosts_that_hear_the_same_do_not_send_to_the_same_engine() {
    let engines = ["m1", "m2", "m3", "m4", "m5", "m6"];
    let mut taken: Vec<String> = Vec::new();
    let mut tickets = Vec::new();
    for host in ["e1", "e2", "e3"] {
        let desk = desk_of_entry(host, &engines);
        for id in engines {
            let active = if id == "m1" { 6 } else { 8 };
            desk.lock().note_report(report(id, active, 1.0), NOW);
        }
        for _ in 0..2 {
            let ticket = desk.pick(&work_need(950), NOW).expect("places are free");
            taken.push(ticket.facts.id.to_string());
            tickets.push(ticket);
        }
    }
    taken.sort();
    assert_eq!(taken, engines, "each engine reads one prompt");
}

/// Symptom: requests were late at an entry host's own engines while those of its neighbours were nearly
/// idle: the share of clients that each entry host gets is uneven. The shares say who goes first, not
/// who may go.
#[test]
fn an_entry_host_with_more_clients_uses_its_neighbours_engines() {
    let desk = desk_of_entry("e1", &["m1", "m2", "m3"]);
    let tickets: Vec<BackendTicket> = (0..40)
        .map(|_| desk.pick(&work_need(950), NOW).expect("places are free"))
        .collect();
    for id in ["m1", "m2", "m3"] {
        let there = tickets.iter().filter(|ticket| *ticket.facts.id == *id);
        let there = there.count();
        assert!((9..=17).contains(&there), "{there} at {id}");
    }
}

/// Symptom: one prompt in eight came late behind another that the same entry host had sent to the same
/// engine 50 ms before, though an engine with one request more was reading nothing.
#[test]
fn a_prompt_goes_where_none_is_being_read() {
    let desk = desk_of_entry("e1", &["m1", "m4"]);
    desk.lock().share_among(&[]);
    desk.lock().note_report(report("m1", 7, 1.0), NOW);
    desk.lock().note_report(report("m4", 8, 1.0), NOW);
    let first = desk.pick(&work_need(3800), NOW).expect("a place");
    assert_eq!(&*first.facts.id, "m1");
    let mut second = desk.pick(&work_need(100), NOW).expect("a place");
    assert_eq!(&*second.facts.id, "m4");
    second.note_begun();
    drop(first);
    let third = desk.pick(&work_need(100), NOW).expect("a place");
    assert_eq!(&*third.facts.id, "m1", "what has ended is not waited for");
}

/// Symptom: streams at an engine that had become five times slower were late and kept being sent there.
/// Its reports say so; its requests, which last longer, do not until it is full.
#[test]
fn an_engine_that_says_that_it_is_slow_comes_last() {
    let desk = desk_of_entry("e1", &["m1", "m4"]);
    desk.lock().share_among(&[]);
    desk.lock().note_report(report("m1", 2, 5.0), NOW);
    desk.lock().note_report(report("m4", 10, 1.0), NOW);
    let ticket = desk.pick(&work_need(950), NOW).expect("a place");
    assert_eq!(&*ticket.facts.id, "m4");
}

/// Somebody else's document may hold any figures; none of them ends a process.
#[test]
fn figures_out_of_all_range_make_no_place_and_no_process_fail() {
    for figure in [0.0, -1.0, 1e300, f64::NAN, f64::INFINITY] {
        let desk = desk_of_entry("e1", &["m1", "m2"]);
        desk.lock().note_report(report("m1", 20, figure), NOW);
        let mut need = work_need(u32::MAX);
        need.work = Some(EngineWork {
            speed: EngineSpeed {
                step_s: figure,
                request_step_s: figure,
                read_per_s: figure,
                typical_prompt_tokens: figure,
                typical_answer_tokens: figure,
            },
            prompt_tokens: u32::MAX,
        });
        let tickets: Vec<BackendTicket> = (0..3)
            .map(|_| desk.pick(&need, NOW).expect("places are free"))
            .collect();
        drop(tickets);
    }
}

/// Guards against a herd of one data centre's entry hosts on an engine elsewhere that has just emptied. The
/// load pattern: all engines here are full, and for 0.4 s all twenty entry hosts see the same far one as
/// the least loaded.
#[test]
fn entry_hosts_whose_engines_are_full_do_not_meet_at_one_far_engine() {
    const ENTRIES: u8 = 20;
    const EMPTIED: u32 = 2;
    let near = ["m1", "m2", "m3", "m4"];
    let far: Vec<String> = (b'A'..=b'X')
        .map(|letter| format!("f{}", char::from(letter)))
        .collect();
    let places: Vec<EntryHostId> = (0..ENTRIES)
        .map(|number| entry_place(&format!("e{number:02}"), "here"))
        .collect();
    let mut tickets = Vec::new();
    for place in &places {
        let mut desk = BackendDesk::new(place.clone());
        let near_facts = near.iter().map(|id| engine(id));
        let far_facts = far.iter().map(|id| BackendFacts {
            data_centre: "there".into(),
            ..engine(id)
        });
        let mut backends: Vec<BackendFacts> = near_facts.chain(far_facts).collect();
        backends.sort_by(|left, right| left.id.cmp(&right.id));
        desk.set_fleet(&FleetView {
            backends: backends.into_iter().map(Arc::new).collect(),
        });
        desk.share_among(&places);
        for id in near {
            desk.note_report(report(id, SLOTS, 1.0), NOW);
        }
        for id in &far {
            let active = if id == "fA" { EMPTIED } else { SLOTS / 2 };
            desk.note_report(report(id, active, 1.0), NOW);
        }
        let desk = SharedDesk::new(desk);
        for _ in 0..2 {
            tickets.push(desk.pick(&work_need(950), NOW).expect("places are free"));
        }
    }
    for id in &far {
        let there = tickets.iter().filter(|ticket| *ticket.facts.id == **id);
        let free = if id == "fA" {
            SLOTS - EMPTIED
        } else {
            SLOTS / 2
        };
        let there = there.count();
        assert!(
            there <= usize::try_from(free / 2).expect("small"),
            "{there} at {id}"
        );
    }
}
