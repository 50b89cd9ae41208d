//! Simulation of backend servers that run a limited number of requests at a time and queue the
//! others, and of entry hosts that pick a backend server for each arriving request. All times are
//! simulated, in microseconds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fixtures::{backend_number, document, entry, snapshot};
use crate::documents::ServiceDocument;
use crate::membership::LoadReport;
use crate::routing::{BackendKey, BackendPool, PickCriteria, PickTarget};
use crate::time::ClockTime;

const MICROS_PER_SECOND: f64 = 1e6;
/// Interval at which each backend server sends a load report.
const REPORT_INTERVAL_MICROS: u64 = 1_000_000;
/// Delay until a load report arrives.
const REPORT_DELAY_MICROS: std::ops::Range<u64> = 1_000_000..2_000_000;
/// Interval at which entry hosts refresh their pools from the reports that have arrived.
const REFRESH_INTERVAL_MICROS: u64 = 20_000;
const REPORTED_QUEUE_ROOM: u32 = 64;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Strategy by which an entry host picks a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PickStrategy {
    /// Uniformly at random.
    Random,
    /// All in a fixed order, one after the other.
    RoundRobin,
    /// The one with the fewest unfinished requests of this entry host.
    LeastOwnRequests,
    /// The product's picks, which know the load only from the delayed reports.
    Product,
    /// The product's picks, where the end of each answer also carries its host's current load, as
    /// the answers of host processes do.
    ProductWithEndLoads,
}

impl PickStrategy {
    pub(super) const ALL: [Self; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastOwnRequests,
        Self::Product,
        Self::ProductWithEndLoads,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastOwnRequests => "least_own",
            Self::Product => "product",
            Self::ProductWithEndLoads => "product_with_ends",
        }
    }

    const fn uses_backend_pool(self) -> bool {
        matches!(self, Self::Product | Self::ProductWithEndLoads)
    }
}

/// Configuration of one simulation run.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulationConfig {
    pub(super) seed: u64,
    pub(super) backends: usize,
    pub(super) entries: usize,
    /// Requested fraction of the backend servers' total capacity.
    pub(super) load: f64,
    pub(super) seconds: u64,
}

/// Latencies of the requests, from arrival to end.
pub(super) struct SimulationResult {
    pub(super) requests: u64,
    pub(super) p50: Duration,
    pub(super) p99: Duration,
    /// 99th percentile of the time from arrival to the start on a backend server.
    pub(super) wait_p99: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: usize },
    Finish { request: usize },
    Report { backend: usize },
    ReportArrives { backend: usize, load: [u32; 2] },
    Refresh { entry: usize },
}

/// A request and the backend server it was sent to.
struct SimulatedRequest {
    entry: usize,
    arrived_at: u64,
    /// Service time on a backend server of speed 1, in microseconds.
    length_micros: f64,
    /// The entry host's estimate of the service time, in milliseconds.
    cost: u64,
    backend: usize,
    key: Option<BackendKey>,
    sent_at: u64,
}

struct SimulatedBackend {
    capacity: u32,
    speed: f64,
    running: u32,
    queue: VecDeque<usize>,
}

struct SimulatedEntry {
    pool: BackendPool,
    /// Unfinished requests of this entry host per backend server.
    own_requests: Vec<u32>,
    round_robin_position: usize,
    /// Requests that wait for a pick.
    waiting: VecDeque<usize>,
}

/// Runs one simulation.
pub(super) fn run_simulation(config: SimulationConfig, strategy: PickStrategy) -> SimulationResult {
    let mut simulation = PickSimulation::new(config, strategy);
    simulation.run()
}

struct PickSimulation {
    config: SimulationConfig,
    strategy: PickStrategy,
    document: ServiceDocument,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled so far; orders events of the same time.
    scheduled_events: u64,
    requests: Vec<SimulatedRequest>,
    backends: Vec<SimulatedBackend>,
    entries: Vec<SimulatedEntry>,
    /// Last report that has arrived from each backend server, with the number of its reports that
    /// have arrived.
    reports: Vec<(LoadReport, u64)>,
    has_new_reports: bool,
    generation: u64,
    latencies: Histogram<u64>,
    waits: Histogram<u64>,
}

impl PickSimulation {
    fn new(config: SimulationConfig, strategy: PickStrategy) -> Self {
        let mut rng = StdRng::seed_from_u64(config.seed);
        // On average a quarter has capacity 4, half 8 and a quarter 16. Speeds differ by up to a
        // factor of four.
        let backends: Vec<SimulatedBackend> = (0..config.backends)
            .map(|_| SimulatedBackend {
                capacity: [4, 8, 8, 16][rng.random_range(0..4)],
                speed: rng.random_range(0.5..2.0),
                running: 0,
                queue: VecDeque::new(),
            })
            .collect();
        let reports = backends
            .iter()
            .map(|backend| (report_of(backend), 0))
            .collect();
        let entries = (0..config.entries)
            .map(|number| SimulatedEntry {
                pool: BackendPool::new(config.seed + number as u64),
                own_requests: vec![0; config.backends],
                round_robin_position: number,
                waiting: VecDeque::new(),
            })
            .collect();
        Self {
            config,
            strategy,
            document: document(1),
            rng,
            events: BinaryHeap::new(),
            scheduled_events: 0,
            requests: Vec::new(),
            backends,
            entries,
            reports,
            has_new_reports: true,
            generation: 0,
            latencies: new_histogram(),
            waits: new_histogram(),
        }
    }

    fn run(&mut self) -> SimulationResult {
        self.schedule_arrivals();
        for backend in 0..self.config.backends {
            let first = self.rng.random_range(0..REPORT_INTERVAL_MICROS);
            self.schedule(first, Event::Report { backend });
        }
        for entry in 0..self.config.entries {
            self.schedule(0, Event::Refresh { entry });
        }
        let mut unfinished = self.requests.len();
        while unfinished > 0 {
            let Some(Reverse((now, _, event))) = self.events.pop() else {
                break;
            };
            if matches!(event, Event::Finish { .. }) {
                unfinished -= 1;
            }
            self.handle(event, now);
        }
        SimulationResult {
            requests: self.latencies.len(),
            p50: Duration::from_micros(self.latencies.value_at_quantile(0.5)),
            p99: Duration::from_micros(self.latencies.value_at_quantile(0.99)),
            wait_p99: Duration::from_micros(self.waits.value_at_quantile(0.99)),
        }
    }

    /// Schedules all arrivals. They are drawn before any pick or report, so that every strategy
    /// gets the same arrivals for a seed.
    fn schedule_arrivals(&mut self) {
        let total_speed: f64 = self
            .backends
            .iter()
            .map(|backend| f64::from(backend.capacity) * backend.speed)
            .sum();
        // The mean service time is one second at speed 1.
        let mean_gap = MICROS_PER_SECOND / (total_speed * self.config.load);
        let end = Duration::from_secs(self.config.seconds).as_secs_f64() * MICROS_PER_SECOND;
        let mut at = 0.0;
        while at < end {
            at += mean_gap * exponential(&mut self.rng);
            // One request in ten has a mean of 5.5 s, the others of 0.5 s.
            let mean = if self.rng.random_range(0..10) == 0 {
                5.5
            } else {
                0.5
            };
            let length_micros = mean * MICROS_PER_SECOND * exponential(&mut self.rng);
            // The estimate from the request is wrong by up to a factor of two.
            let cost_error = self.rng.random_range(0.5..2.0);
            let request = self.requests.len();
            let arrived_at = truncate_to_u64(at);
            self.requests.push(SimulatedRequest {
                entry: self.rng.random_range(0..self.config.entries),
                arrived_at,
                length_micros,
                cost: truncate_to_u64(length_micros * cost_error / 1_000.0),
                backend: 0,
                key: None,
                sent_at: 0,
            });
            self.schedule(arrived_at, Event::Arrive { request });
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled_events += 1;
        self.events
            .push(Reverse((at, self.scheduled_events, event)));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive { request } => {
                let entry = self.requests[request].entry;
                self.entries[entry].waiting.push_back(request);
                self.send_waiting(entry, now);
            }
            Event::Finish { request } => self.finish(request, now),
            Event::Report { backend } => {
                let report = report_of(&self.backends[backend]);
                let delay = self.rng.random_range(REPORT_DELAY_MICROS);
                let load = [report.running, report.waiting];
                self.schedule(now + delay, Event::ReportArrives { backend, load });
                self.schedule(now + REPORT_INTERVAL_MICROS, Event::Report { backend });
            }
            Event::ReportArrives { backend, load } => {
                let (report, sequence) = &mut self.reports[backend];
                [report.running, report.waiting] = load;
                *sequence += 1;
                self.has_new_reports = true;
            }
            Event::Refresh { entry } => {
                if self.strategy.uses_backend_pool() {
                    self.refresh(entry, now);
                    self.send_waiting(entry, now);
                }
                self.schedule(now + REFRESH_INTERVAL_MICROS, Event::Refresh { entry });
            }
        }
    }

    fn refresh(&mut self, entry_number: usize, now: u64) {
        if std::mem::take(&mut self.has_new_reports) {
            self.generation += 1;
        }
        let snapshot = snapshot(self.generation, self.config.entries, &self.reports);
        let identity = entry(entry_number);
        let pool = &mut self.entries[entry_number].pool;
        pool.refresh(&snapshot, &self.document, &identity, ClockTime(now));
    }

    fn send_waiting(&mut self, entry: usize, now: u64) {
        while let Some(request) = self.entries[entry].waiting.front().copied() {
            let Some((backend, key)) = self.pick(entry, now) else {
                return;
            };
            self.entries[entry].waiting.pop_front();
            self.entries[entry].own_requests[backend] += 1;
            self.requests[request].backend = backend;
            self.requests[request].key = key;
            self.requests[request].sent_at = now;
            self.backends[backend].queue.push_back(request);
            self.start_queued(backend, now);
        }
    }

    fn pick(&mut self, entry: usize, now: u64) -> Option<(usize, Option<BackendKey>)> {
        let count = self.config.backends;
        let entry = &mut self.entries[entry];
        match self.strategy {
            PickStrategy::Random => Some((self.rng.random_range(0..count), None)),
            PickStrategy::RoundRobin => {
                entry.round_robin_position += 1;
                Some((entry.round_robin_position % count, None))
            }
            PickStrategy::LeastOwnRequests => {
                let start = self.rng.random_range(0..count);
                let candidates = (0..count).map(|step| (start + step) % count);
                let chosen = candidates.min_by_key(|backend| entry.own_requests[*backend])?;
                Some((chosen, None))
            }
            PickStrategy::Product | PickStrategy::ProductWithEndLoads => {
                let criteria = PickCriteria {
                    target: PickTarget::Any,
                    urgent: false,
                    prefix: None,
                    avoid: None,
                };
                let picked = entry.pool.pick(&criteria, ClockTime(now)).ok()?;
                Some((backend_number(&picked.host), Some(picked.key)))
            }
        }
    }

    fn start_queued(&mut self, backend: usize, now: u64) {
        while self.backends[backend].running < self.backends[backend].capacity {
            let Some(request) = self.backends[backend].queue.pop_front() else {
                return;
            };
            self.backends[backend].running += 1;
            let waited = now - self.requests[request].arrived_at;
            self.waits
                .record(waited)
                .expect("the histogram resizes automatically");
            let service_time = truncate_to_u64(
                self.requests[request].length_micros / self.backends[backend].speed,
            );
            self.schedule(now + service_time, Event::Finish { request });
        }
    }

    fn finish(&mut self, number: usize, now: u64) {
        let request = &self.requests[number];
        let (entry, backend, key, cost) =
            (request.entry, request.backend, request.key, request.cost);
        let time_since_send = Duration::from_micros(now - request.sent_at);
        self.latencies
            .record(now - request.arrived_at)
            .expect("the histogram resizes automatically");
        self.backends[backend].running -= 1;
        self.entries[entry].own_requests[backend] -= 1;
        self.start_queued(backend, now);
        if let Some(key) = key {
            let pool = &mut self.entries[entry].pool;
            if self.strategy == PickStrategy::ProductWithEndLoads {
                let load = report_of(&self.backends[backend]);
                pool.note_success(key, time_since_send, cost, Some(load), ClockTime(now));
            } else {
                pool.note_success(key, time_since_send, cost, None, ClockTime(now));
            }
            self.send_waiting(entry, now);
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("three significant digits are valid")
}

fn report_of(backend: &SimulatedBackend) -> LoadReport {
    LoadReport {
        running: backend.running,
        waiting: u32::try_from(backend.queue.len()).unwrap_or(u32::MAX),
        capacity: backend.capacity,
        queue_room: REPORTED_QUEUE_ROOM,
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "simulated times are non-negative and a few minutes at most"
)]
const fn truncate_to_u64(micros: f64) -> u64 {
    micros as u64
}
