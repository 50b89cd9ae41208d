//! All entry hosts and hosts of a deployment, as far as load reports go.

use std::time::Duration;

use super::*;

const STEP: Duration = Duration::from_millis(20);
const REPORT_STEPS: u64 = 10;
const LENGTH: Duration = Duration::from_secs(5);
const RELAYS: usize = 2;

/// A data centre's entry hosts: the first ones relay, all keep when each engine's state was.
struct TestDataCentre {
    queues: Vec<DigestQueue>,
    /// By entry host and backend server: the moment of the newest state that it heard.
    updated_at: Vec<Vec<ClockTime>>,
    datagrams: Vec<usize>,
}

/// What was counted in a run.
struct RunCounts {
    /// Datagrams that the busiest entry host received in a second.
    received_most: usize,
    /// Datagrams that all processes sent in a second.
    sent: usize,
    /// The oldest that an entry host's view of an engine of its data centre became.
    oldest_near: Duration,
    oldest_far: Duration,
}

/// Plays `data_centres` data centres of `entries` entry hosts and `hosts` hosts, of which each reports every
/// 200 ms, at its own moment. With `dead_relay` the first relay of each receives and sends nothing.
fn run_simulation(
    data_centres: usize,
    entries: usize,
    hosts: usize,
    dead_relay: bool,
) -> RunCounts {
    let all_hosts = data_centres * hosts;
    let mut simulation: Vec<TestDataCentre> = (0..data_centres)
        .map(|_| TestDataCentre {
            queues: vec![DigestQueue::default(); RELAYS],
            updated_at: vec![vec![NOW; all_hosts]; entries],
            datagrams: vec![0; entries],
        })
        .collect();
    let first_relay = usize::from(dead_relay);
    let mut sent = 0;
    let mut oldest = (Duration::ZERO, Duration::ZERO);
    let steps = u64::try_from(LENGTH.as_millis() / STEP.as_millis()).expect("small");
    for step in 0..steps {
        let now = NOW + STEP * u32::try_from(step).expect("small");
        for (host, active) in (0..all_hosts).zip(0..) {
            if (step + u64::try_from(host).expect("small")).is_multiple_of(REPORT_STEPS) {
                let data_centre = &mut simulation[host / hosts];
                let number = u16::try_from(host).expect("small");
                for relay in first_relay..RELAYS {
                    data_centre.queues[relay].push(report(number, active), now);
                    data_centre.updated_at[relay][host] = now;
                    data_centre.datagrams[relay] += 1;
                    sent += 1;
                }
            }
        }
        sent += forward_due(&mut simulation, first_relay, step, now);
        if now.since(NOW) > Duration::from_secs(2) {
            note_oldest(&simulation, hosts, first_relay, now, &mut oldest);
        }
    }
    let seconds = usize::try_from(LENGTH.as_secs()).expect("small");
    let received = simulation
        .iter()
        .flat_map(|data_centre| data_centre.datagrams.iter());
    RunCounts {
        received_most: received.max().expect("entry hosts") / seconds,
        sent: sent / seconds,
        oldest_near: oldest.0,
        oldest_far: oldest.1,
    }
}

/// Delivers the digests that are due, and returns how many datagrams that took.
fn forward_due(
    simulation: &mut [TestDataCentre],
    first_relay: usize,
    step: u64,
    now: ClockTime,
) -> usize {
    let mut sent = 0;
    for from in 0..simulation.len() {
        for relay in first_relay..RELAYS {
            for digest in simulation[from].queues[relay].take_due(now) {
                match digest.reach {
                    DigestReach::Receiver => {
                        sent += forward_within(&mut simulation[from], &digest, relay, now);
                    }
                    DigestReach::DataCentre => {
                        for to in (0..simulation.len()).filter(|to| *to != from) {
                            let entries = simulation[to].updated_at.len() - first_relay;
                            let chosen = usize::try_from(step).expect("small") * 7 + relay;
                            let receiver = first_relay + chosen % entries;
                            receive(&mut simulation[to], receiver, &digest, now);
                            sent += 1 + forward_within(&mut simulation[to], &digest, receiver, now);
                        }
                    }
                }
            }
        }
    }
    sent
}

/// From one entry host of a data centre to all others.
fn forward_within(
    data_centre: &mut TestDataCentre,
    digest: &LoadDigest,
    from: usize,
    now: ClockTime,
) -> usize {
    let others = (0..data_centre.updated_at.len()).filter(|to| *to != from);
    let others: Vec<usize> = others.collect();
    for to in &others {
        receive(data_centre, *to, digest, now);
    }
    others.len()
}

fn receive(data_centre: &mut TestDataCentre, entry: usize, digest: &LoadDigest, now: ClockTime) {
    data_centre.datagrams[entry] += 1;
    for report in digest.unpack() {
        let SocketAddr::V4(report) = report.address else {
            panic!("hosts have addresses of the fourth version");
        };
        let [.., high, low] = report.ip().octets();
        data_centre.updated_at[entry][usize::from(u16::from_be_bytes([high, low]))] = now;
    }
}

fn note_oldest(
    simulation: &[TestDataCentre],
    hosts: usize,
    first_relay: usize,
    now: ClockTime,
    oldest: &mut (Duration, Duration),
) {
    for (at, data_centre) in simulation.iter().enumerate() {
        for updated_at in &data_centre.updated_at[first_relay..] {
            for (host, updated_at) in updated_at.iter().enumerate() {
                let age = now.since(*updated_at);
                let kept = if host / hosts == at {
                    &mut oldest.0
                } else {
                    &mut oldest.1
                };
                *kept = age.max(*kept);
            }
        }
    }
}

/// Guards against control traffic that grows with entry hosts times hosts. The load pattern: all hosts
/// of a deployment report all the time, at the size of today's largest and at the planned one.
#[test]
fn datagrams_per_entry_host_do_not_grow_with_their_number() {
    let large = run_simulation(5, 20, 28, false);
    let direct = 5 * 28 * 5 * 20 * 5;
    assert!(large.sent * 6 <= direct, "{} of {direct}", large.sent);
    // One digest of each data centre and relay a pause, and the reports that a relay takes itself.
    assert!(large.received_most <= 400, "{}", large.received_most);
    let wider = run_simulation(5, 40, 28, false);
    assert!(
        wider.received_most <= large.received_most,
        "{} with more entry hosts, {}",
        wider.received_most,
        large.received_most
    );
}

/// Guards against placing by old loads: an engine begins some seven requests a second.
#[test]
fn loads_arrive_within_two_intervals_without_one_relay() {
    for dead_relay in [false, true] {
        let counts = run_simulation(5, 20, 28, dead_relay);
        assert!(
            counts.oldest_near <= Duration::from_millis(400),
            "{:?}",
            counts.oldest_near
        );
        assert!(
            counts.oldest_far <= Duration::from_secs(1),
            "{:?}",
            counts.oldest_far
        );
    }
}
