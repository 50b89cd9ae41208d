//! The queueing model: backend servers that run a number of requests at a time and queue the rest,
//! entry hosts that pick for each arrival by one way or another. All times are simulated.

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
/// Backend servers say how they are this often, in microseconds.
const REPORT_EVERY: u64 = 1_000_000;
/// What they say arrives this much later, in microseconds.
const REPORT_LAG: std::ops::Range<u64> = 1_000_000..2_000_000;
/// Entry hosts take what has arrived this often, in microseconds.
const REFRESH_EVERY: u64 = 20_000;
const QUEUE_ROOM: u32 = 64;
const LATENCY_DIGITS: u8 = 3;

/// How an entry host picks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PickWay {
    /// Any, evenly.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests of this entry host.
    LeastOwn,
    /// The product's picks, with late reports only.
    Product,
    /// The product's picks; each answer's end tells how busy its host is, as host processes do.
    ProductWithEnds,
}

impl PickWay {
    pub(super) const ALL: [Self; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastOwn,
        Self::Product,
        Self::ProductWithEnds,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastOwn => "least_own",
            Self::Product => "product",
            Self::ProductWithEnds => "product_with_ends",
        }
    }

    const fn uses_pool(self) -> bool {
        matches!(self, Self::Product | Self::ProductWithEnds)
    }
}

/// The sizes of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelSize {
    pub(super) seed: u64,
    pub(super) backends: usize,
    pub(super) entries: usize,
    /// Part of what the backend servers can do that is asked of them.
    pub(super) load: f64,
    pub(super) seconds: u64,
}

/// How long requests took, from arrival to end.
pub(super) struct ModelOutcome {
    pub(super) requests: u64,
    pub(super) p50: Duration,
    pub(super) p99: Duration,
    /// From arrival to the start at a backend server.
    pub(super) wait_p99: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { job: usize },
    Finish { job: usize },
    Report { backend: usize },
    ReportArrives { backend: usize, load: [u32; 2] },
    Refresh { entry: usize },
}

/// One request.
struct Job {
    entry: usize,
    arrived: u64,
    /// Its length on a backend server of speed 1, in microseconds.
    length: f64,
    /// What the entry host takes it for, in milliseconds.
    cost: u64,
    backend: usize,
    key: Option<BackendKey>,
    sent: u64,
}

struct Backend {
    capacity: u32,
    speed: f64,
    running: u32,
    queue: VecDeque<usize>,
}

struct Entry {
    pool: BackendPool,
    own: Vec<u32>,
    turn: usize,
    waiting: VecDeque<usize>,
}

/// Runs the model once.
pub(super) fn run_model(size: ModelSize, way: PickWay) -> ModelOutcome {
    let mut model = Model::new(size, way);
    model.run()
}

struct Model {
    size: ModelSize,
    way: PickWay,
    document: ServiceDocument,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    numbers: u64,
    jobs: Vec<Job>,
    backends: Vec<Backend>,
    entries: Vec<Entry>,
    /// What has arrived of each backend server, with how many reports it has sent.
    reports: Vec<(LoadReport, u64)>,
    has_news: bool,
    generation: u64,
    latencies: Histogram<u64>,
    waits: Histogram<u64>,
}

impl Model {
    fn new(size: ModelSize, way: PickWay) -> Self {
        let mut rng = StdRng::seed_from_u64(size.seed);
        // A quarter is small, a quarter is large; speeds differ by four.
        let backends: Vec<Backend> = (0..size.backends)
            .map(|_| Backend {
                capacity: [4, 8, 8, 16][rng.random_range(0..4)],
                speed: rng.random_range(0.5..2.0),
                running: 0,
                queue: VecDeque::new(),
            })
            .collect();
        let reports = backends.iter().map(|one| (report_of(one), 0)).collect();
        let entries = (0..size.entries)
            .map(|number| Entry {
                pool: BackendPool::new(size.seed + number as u64),
                own: vec![0; size.backends],
                turn: number,
                waiting: VecDeque::new(),
            })
            .collect();
        Self {
            size,
            way,
            document: document(1),
            rng,
            events: BinaryHeap::new(),
            numbers: 0,
            jobs: Vec::new(),
            backends,
            entries,
            reports,
            has_news: true,
            generation: 0,
            latencies: new_histogram(),
            waits: new_histogram(),
        }
    }

    fn run(&mut self) -> ModelOutcome {
        self.make_arrivals();
        for backend in 0..self.size.backends {
            let first = self.rng.random_range(0..REPORT_EVERY);
            self.schedule(first, Event::Report { backend });
        }
        for entry in 0..self.size.entries {
            self.schedule(0, Event::Refresh { entry });
        }
        let mut open = self.jobs.len();
        while open > 0 {
            let Some(Reverse((now, _, event))) = self.events.pop() else {
                break;
            };
            if matches!(event, Event::Finish { .. }) {
                open -= 1;
            }
            self.handle(event, now);
        }
        ModelOutcome {
            requests: self.latencies.len(),
            p50: Duration::from_micros(self.latencies.value_at_quantile(0.5)),
            p99: Duration::from_micros(self.latencies.value_at_quantile(0.99)),
            wait_p99: Duration::from_micros(self.waits.value_at_quantile(0.99)),
        }
    }

    /// The same arrivals for every way of picking: they are drawn before anything else happens.
    fn make_arrivals(&mut self) {
        let work: f64 = self
            .backends
            .iter()
            .map(|backend| f64::from(backend.capacity) * backend.speed)
            .sum();
        // The mean length is one second at speed 1.
        let gap = MICROS_PER_SECOND / (work * self.size.load);
        let end = Duration::from_secs(self.size.seconds).as_secs_f64() * MICROS_PER_SECOND;
        let mut at = 0.0;
        while at < end {
            at += gap * exponential(&mut self.rng);
            // One request in ten is long.
            let mean = if self.rng.random_range(0..10) == 0 {
                5.5
            } else {
                0.5
            };
            let length = mean * MICROS_PER_SECOND * exponential(&mut self.rng);
            // What a request asks for is not what it gets.
            let guess = self.rng.random_range(0.5..2.0);
            let job = self.jobs.len();
            let arrived = whole(at);
            self.jobs.push(Job {
                entry: self.rng.random_range(0..self.size.entries),
                arrived,
                length,
                cost: whole(length * guess / 1_000.0),
                backend: 0,
                key: None,
                sent: 0,
            });
            self.schedule(arrived, Event::Arrive { job });
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse((at, self.numbers, event)));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive { job } => {
                let entry = self.jobs[job].entry;
                self.entries[entry].waiting.push_back(job);
                self.send_waiting(entry, now);
            }
            Event::Finish { job } => self.finish(job, now),
            Event::Report { backend } => {
                let report = report_of(&self.backends[backend]);
                let lag = self.rng.random_range(REPORT_LAG);
                let load = [report.running, report.waiting];
                self.schedule(now + lag, Event::ReportArrives { backend, load });
                self.schedule(now + REPORT_EVERY, Event::Report { backend });
            }
            Event::ReportArrives { backend, load } => {
                let (report, sequence) = &mut self.reports[backend];
                [report.running, report.waiting] = load;
                *sequence += 1;
                self.has_news = true;
            }
            Event::Refresh { entry } => {
                if self.way.uses_pool() {
                    self.refresh(entry, now);
                    self.send_waiting(entry, now);
                }
                self.schedule(now + REFRESH_EVERY, Event::Refresh { entry });
            }
        }
    }

    fn refresh(&mut self, entry_number: usize, now: u64) {
        if std::mem::take(&mut self.has_news) {
            self.generation += 1;
        }
        let snapshot = snapshot(self.generation, self.size.entries, &self.reports);
        let identity = entry(entry_number);
        let pool = &mut self.entries[entry_number].pool;
        pool.refresh(&snapshot, &self.document, &identity, ClockTime(now));
    }

    fn send_waiting(&mut self, entry: usize, now: u64) {
        while let Some(job) = self.entries[entry].waiting.front().copied() {
            let Some((backend, key)) = self.pick(entry, now) else {
                return;
            };
            self.entries[entry].waiting.pop_front();
            self.entries[entry].own[backend] += 1;
            self.jobs[job].backend = backend;
            self.jobs[job].key = key;
            self.jobs[job].sent = now;
            self.backends[backend].queue.push_back(job);
            self.start_queued(backend, now);
        }
    }

    fn pick(&mut self, entry: usize, now: u64) -> Option<(usize, Option<BackendKey>)> {
        let count = self.size.backends;
        let entry = &mut self.entries[entry];
        match self.way {
            PickWay::Random => Some((self.rng.random_range(0..count), None)),
            PickWay::RoundRobin => {
                entry.turn += 1;
                Some((entry.turn % count, None))
            }
            PickWay::LeastOwn => {
                let start = self.rng.random_range(0..count);
                let circle = (0..count).map(|step| (start + step) % count);
                let least = circle.min_by_key(|backend| entry.own[*backend])?;
                Some((least, None))
            }
            PickWay::Product | PickWay::ProductWithEnds => {
                let wish = PickCriteria {
                    target: PickTarget::Any,
                    urgent: false,
                    prefix: None,
                    avoid: None,
                };
                let picked = entry.pool.pick(&wish, ClockTime(now)).ok()?;
                Some((backend_number(&picked.host), Some(picked.key)))
            }
        }
    }

    fn start_queued(&mut self, backend: usize, now: u64) {
        while self.backends[backend].running < self.backends[backend].capacity {
            let Some(job) = self.backends[backend].queue.pop_front() else {
                return;
            };
            self.backends[backend].running += 1;
            let waited = now - self.jobs[job].arrived;
            self.waits.record(waited).expect("the histogram grows");
            let takes = whole(self.jobs[job].length / self.backends[backend].speed);
            self.schedule(now + takes, Event::Finish { job });
        }
    }

    fn finish(&mut self, number: usize, now: u64) {
        let job = &self.jobs[number];
        let (entry, backend, key, cost) = (job.entry, job.backend, job.key, job.cost);
        let took = Duration::from_micros(now - job.sent);
        self.latencies
            .record(now - job.arrived)
            .expect("the histogram grows");
        self.backends[backend].running -= 1;
        self.entries[entry].own[backend] -= 1;
        self.start_queued(backend, now);
        if let Some(key) = key {
            let pool = &mut self.entries[entry].pool;
            if self.way == PickWay::ProductWithEnds {
                let load = report_of(&self.backends[backend]);
                pool.note_success(key, took, cost, Some(load), ClockTime(now));
            } else {
                pool.note_success(key, took, cost, None, ClockTime(now));
            }
            self.send_waiting(entry, now);
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(LATENCY_DIGITS).expect("three digits are allowed")
}

fn report_of(backend: &Backend) -> LoadReport {
    LoadReport {
        running: backend.running,
        waiting: u32::try_from(backend.queue.len()).unwrap_or(u32::MAX),
        capacity: backend.capacity,
        queue_room: QUEUE_ROOM,
    }
}

/// An exponentially distributed number with mean 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "simulated microseconds, from 0 to some minutes"
)]
const fn whole(micros: f64) -> u64 {
    micros as u64
}
