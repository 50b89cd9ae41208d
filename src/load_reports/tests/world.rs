//! All entry hosts and hosts of a deployment, as far as load reports go.

use std::time::Duration;

use super::*;

const STEP: Duration = Duration::from_millis(20);
const REPORT_STEPS: u64 = 10;
const LENGTH: Duration = Duration::from_secs(5);
const RELAYS: usize = 2;

/// A data centre's entry hosts: the first ones relay, all keep when each engine's state was.
struct TestHall {
    queues: Vec<DigestQueue>,
    /// By entry host and backend server: the moment of the newest state that it heard.
    heard: Vec<Vec<ClockTime>>,
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

/// Plays `halls` data centres of `entries` entry hosts and `hosts` hosts, of which each reports every
/// 200 ms, at its own moment. With `dead_relay` the first relay of each receives and sends nothing.
fn play(halls: usize, entries: usize, hosts: usize, dead_relay: bool) -> RunCounts {
    let all_hosts = halls * hosts;
    let mut world: Vec<TestHall> = (0..halls)
        .map(|_| TestHall {
            queues: vec![DigestQueue::default(); RELAYS],
            heard: vec![vec![NOW; all_hosts]; entries],
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
                let hall = &mut world[host / hosts];
                let number = u16::try_from(host).expect("small");
                for relay in first_relay..RELAYS {
                    hall.queues[relay].push(report(number, active), now);
                    hall.heard[relay][host] = now;
                    hall.datagrams[relay] += 1;
                    sent += 1;
                }
            }
        }
        sent += pass_on(&mut world, first_relay, step, now);
        if now.since(NOW) > Duration::from_secs(2) {
            note_oldest(&world, hosts, first_relay, now, &mut oldest);
        }
    }
    let seconds = usize::try_from(LENGTH.as_secs()).expect("small");
    let received = world.iter().flat_map(|hall| hall.datagrams.iter());
    RunCounts {
        received_most: received.max().expect("entry hosts") / seconds,
        sent: sent / seconds,
        oldest_near: oldest.0,
        oldest_far: oldest.1,
    }
}

/// Delivers the digests that are due, and returns how many datagrams that took.
fn pass_on(world: &mut [TestHall], first_relay: usize, step: u64, now: ClockTime) -> usize {
    let mut sent = 0;
    for from in 0..world.len() {
        for relay in first_relay..RELAYS {
            for digest in world[from].queues[relay].take_due(now) {
                match digest.reach {
                    DigestReach::Receiver => {
                        sent += tell_hall(&mut world[from], &digest, relay, now);
                    }
                    DigestReach::DataCentre => {
                        for to in (0..world.len()).filter(|to| *to != from) {
                            let entries = world[to].heard.len() - first_relay;
                            let chosen = usize::try_from(step).expect("small") * 7 + relay;
                            let receiver = first_relay + chosen % entries;
                            hear(&mut world[to], receiver, &digest, now);
                            sent += 1 + tell_hall(&mut world[to], &digest, receiver, now);
                        }
                    }
                }
            }
        }
    }
    sent
}

/// From one entry host of a data centre to all others.
fn tell_hall(hall: &mut TestHall, digest: &LoadDigest, from: usize, now: ClockTime) -> usize {
    let others = (0..hall.heard.len()).filter(|to| *to != from);
    let others: Vec<usize> = others.collect();
    for to in &others {
        hear(hall, *to, digest, now);
    }
    others.len()
}

fn hear(hall: &mut TestHall, entry: usize, digest: &LoadDigest, now: ClockTime) {
    hall.datagrams[entry] += 1;
    for told in digest.unpack() {
        let SocketAddr::V4(told) = told.address else {
            panic!("hosts have addresses of the fourth version");
        };
        let [.., high, low] = told.ip().octets();
        hall.heard[entry][usize::from(u16::from_be_bytes([high, low]))] = now;
    }
}

fn note_oldest(
    world: &[TestHall],
    hosts: usize,
    first_relay: usize,
    now: ClockTime,
    oldest: &mut (Duration, Duration),
) {
    for (at, hall) in world.iter().enumerate() {
        for heard in &hall.heard[first_relay..] {
            for (host, heard) in heard.iter().enumerate() {
                let age = now.since(*heard);
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
fn what_an_entry_host_receives_does_not_grow_with_the_fleet() {
    let large = play(5, 20, 28, false);
    let direct = 5 * 28 * 5 * 20 * 5;
    assert!(large.sent * 6 <= direct, "{} of {direct}", large.sent);
    // One digest of each data centre and relay a pause, and the reports that a relay takes itself.
    assert!(large.received_most <= 400, "{}", large.received_most);
    let wider = play(5, 40, 28, false);
    assert!(
        wider.received_most <= large.received_most,
        "{} with more entry hosts, {}",
        wider.received_most,
        large.received_most
    );
}

/// Guards against placing by old loads: an engine begins some seven requests a second.
#[test]
fn loads_are_known_within_two_pauses_also_without_a_relay() {
    for dead_relay in [false, true] {
        let counts = play(5, 20, 28, dead_relay);
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
