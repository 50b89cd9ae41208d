//! Simulates load reports between all entry hosts and hosts of a deployment.

use std::time::Duration;

use super::*;

const STEP: Duration = Duration::from_millis(20);
const REPORT_STEPS: u64 = 10;
const RUN_SPAN: Duration = Duration::from_secs(5);
const RELAYS: usize = 2;

/// The entry hosts of a data centre. The first ones are relays; all keep the time of each engine's
/// state.
struct TestDataCentre {
    queues: Vec<DigestQueue>,
    /// Per entry host and backend server: the time of the newest state received.
    updated_at: Vec<Vec<ClockTime>>,
    datagrams: Vec<usize>,
}

/// Results of a run.
struct RunCounts {
    /// Datagrams per second received by the busiest entry host.
    received_most: usize,
    /// Datagrams per second sent by all processes.
    sent: usize,
    /// Largest age of an entry host's state of an engine in its data centre, and in another one.
    oldest_near: Duration,
    oldest_far: Duration,
}

/// Simulates `data_centres` data centres with `entries` entry hosts and `hosts` hosts each. Each
/// host reports every 200 ms, at its own offset. With `dead_relay` the first relay of each data
/// centre neither receives nor sends.
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
    let steps = u64::try_from(RUN_SPAN.as_millis() / STEP.as_millis()).expect("small");
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
    let seconds = usize::try_from(RUN_SPAN.as_secs()).expect("small");
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

/// Delivers the digests that are due; returns the number of datagrams.
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

/// Sends a digest from one entry host of a data centre to all others.
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
            panic!("hosts have IPv4 addresses");
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

/// Guards against control traffic that grows with the product of entry hosts and hosts. The load
/// pattern: all hosts of a deployment report continuously, at today's largest size and at the
/// planned one.
#[test]
fn datagrams_per_entry_host_do_not_grow_with_their_number() {
    let large = run_simulation(5, 20, 28, false);
    let direct = 5 * 28 * 5 * 20 * 5;
    assert!(large.sent * 6 <= direct, "{} of {direct}", large.sent);
    // One digest per data centre, relay and interval, and the reports that a relay receives itself.
    assert!(large.received_most <= 400, "{}", large.received_most);
    let wider = run_simulation(5, 40, 28, false);
    assert!(
        wider.received_most <= large.received_most,
        "{} with more entry hosts, {}",
        wider.received_most,
        large.received_most
    );
}

/// Guards against choosing backend servers by outdated loads: an engine begins about seven requests
/// a second.
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
