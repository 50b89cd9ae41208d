use std::time::Duration;

use crate::overload::{SendRate, SendSchedule};
use crate::routing::name_hash;
use crate::test_support::run_cases;
use crate::time::StoreTime;

/// In any window of this length a backend server gets at most the advertised rate times
/// `RATE_FACTOR`, and `EXTRA_REQUESTS` requests.
const WINDOW: Duration = Duration::from_secs(4);
const RATE_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;

const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 3000;
const START: StoreTime = StoreTime::from_millis(1_234_567);

fn hosts(count: u64) -> Vec<u64> {
    let names = (0..count).map(|number| name_hash(&format!("e{number}")));
    names.collect()
}

/// Returns when `entry_hosts`, whose clocks are `ahead`, send requests at `rate`. `wants` says
/// whether an entry host has a request to send in a step.
fn sends(
    rate: SendRate,
    entry_hosts: &[u64],
    ahead: &[Duration],
    wants: impl Fn(usize, u32) -> bool,
) -> Vec<StoreTime> {
    let mut used = vec![START; entry_hosts.len()];
    let mut sent = Vec::new();
    for step in 0..STEPS {
        let now = START + STEP * step;
        for (at, own_hash) in entry_hosts.iter().enumerate() {
            let schedule = SendSchedule {
                backend: 7,
                entry_hosts,
                own_hash: *own_hash,
            };
            if wants(at, step)
                && let Some(start) = schedule.open_interval(rate, used[at], now + ahead[at])
            {
                used[at] = start;
                sent.push(now);
            }
        }
    }
    sent
}

fn most_in_window(sent: &[StoreTime]) -> usize {
    let counts = sent.iter().enumerate().map(|(at, from)| {
        let rest = sent[at..].iter();
        rest.take_while(|to| to.since(*from) < WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

fn float_of(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("few"))
}

/// Guards against bursts above the allowance when entry hosts save up their parts of a rate,
/// whatever their number, their clock differences and the times at which they have requests.
#[test]
fn no_window_exceeds_the_allowance() {
    run_cases(60, 4096, |source| {
        let rate = f64::from(source.int_in_range(1_u32..=80)?) / 10.0;
        let entry_hosts = hosts(source.int_in_range(1..=24)?);
        let mut ahead = Vec::new();
        for _ in &entry_hosts {
            ahead.push(Duration::from_millis(source.int_in_range(0..=400)?));
        }
        let busy = source.int_in_range(1_u64..=100)?;
        let quiet = source.int_in_range(0_u32..=STEPS)?;
        let wants = |at: usize, step: u32| {
            let lot = name_hash(&format!("{at} {step}")) % 100;
            step >= quiet && lot < busy
        };
        let most = float_of(most_in_window(&sends(
            SendRate::advertised(rate),
            &entry_hosts,
            &ahead,
            wants,
        )));
        let allowed = rate * WINDOW.as_secs_f64() * RATE_FACTOR + EXTRA_REQUESTS;
        assert!(
            most <= allowed,
            "{most} at {rate} per second, {allowed} allowed"
        );
        Ok(())
    });
}

/// Guards against leaving part of the rate unused while every entry host has requests to send.
#[test]
fn the_full_rate_is_used() {
    for (rate, count) in [(0.5, 2), (1.0, 6), (2.2, 8), (10.0, 2), (30.0, 20)] {
        let entry_hosts = hosts(count);
        let ahead = vec![Duration::ZERO; entry_hosts.len()];
        let sent = float_of(
            sends(SendRate::advertised(rate), &entry_hosts, &ahead, |_, _| {
                true
            })
            .len(),
        );
        let offered = rate * (STEP * STEPS).as_secs_f64();
        assert!(sent >= offered * 0.9, "{sent} of {offered} at {rate}");
    }
}

/// Guards against sending to a backend server that accepts no requests.
#[test]
fn a_rate_of_zero_has_no_intervals() {
    let sent = sends(
        SendRate::advertised(0.0),
        &hosts(2),
        &[Duration::ZERO; 2],
        |_, _| true,
    );
    assert!(sent.is_empty());
}

/// Guards against more requests to a cold backend server in one second than it tolerates, if all
/// entry hosts have requests and know each other.
#[test]
fn no_second_exceeds_what_a_cold_backend_server_tolerates() {
    const OVERSHOOT: f64 = 1.5;
    const SLACK: f64 = 5.0;
    run_cases(60, 4096, |source| {
        let rate = SendRate {
            per_s: f64::from(source.int_in_range(1_u32..=60)?),
            carry_span: Duration::from_secs_f64(OVERSHOOT - 1.0),
        };
        let entry_hosts = hosts(source.int_in_range(1..=24)?);
        let quiet = source.int_in_range(0_u32..=STEPS / 2)?;
        let ahead = vec![Duration::ZERO; entry_hosts.len()];
        let sent = sends(rate, &entry_hosts, &ahead, |_, step| step >= quiet);
        let counts = sent.iter().enumerate().map(|(at, from)| {
            let rest = sent[at..].iter();
            rest.take_while(|to| to.since(*from) < Duration::from_secs(1))
                .count()
        });
        let most = float_of(counts.max().unwrap_or(0));
        let allowed = rate.per_s * OVERSHOOT + SLACK;
        assert!(most <= allowed, "{most} of {allowed}");
        let offered = rate.per_s * (STEP * (STEPS - quiet)).as_secs_f64();
        assert!(float_of(sent.len()) >= offered * 0.9, "the rate is used");
        Ok(())
    });
}
