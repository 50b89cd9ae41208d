//! Generated traffic at backend servers that crash under a harmful part of prompts, and sometimes by
//! themselves. Compares the likelihood ratio of the judgement with a count that each answer clears.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::START;
use crate::quarantine::{
    AnswerCount, AnswerTally, BackendIncarnation, CrashLedger, CrashRecord, CrashSuspect,
    CrashVerdict, PromptPart, SuspectDigest,
};
use crate::time::{ClockTime, StoreTime};

/// First parts of prompts; a request has one of them, the first ones more often.
const COMMON_PARTS: u64 = 180;
const HARMFUL: u64 = 1_000_000;
/// One request in this number has a harmful part.
const HARMFUL_ONE_IN: u32 = 30;
/// From the arrival of a request until it has gone on beyond the beginning of its answer, and until
/// its end.
const BEGIN_SPAN: Duration = Duration::from_millis(250);
const RUN_SPAN: Duration = Duration::from_millis(1600);
const DOWN_SPAN: Duration = Duration::from_secs(4);
/// Traffic without harmful parts at the start, and the whole run.
const WARM_UP: Duration = Duration::from_secs(5);
const SPAN: Duration = Duration::from_secs(25);
const SEEDS: u64 = 10;

/// One setting of the traffic.
#[derive(Clone, Copy, Debug)]
struct TrafficSpec {
    backends: usize,
    per_s: u64,
    /// Chance in percent that a backend server crashes as it begins a request with a harmful part.
    crash_percent: u32,
    harmful_parts: u64,
    /// Crashes per 100 seconds that have nothing to do with any request.
    other_crashes: u32,
}

#[derive(Clone, Debug)]
struct ModelRun {
    begun: ClockTime,
    parts: Vec<PromptPart>,
    has_answered: bool,
}

#[derive(Clone, Debug, Default)]
struct ModelBackend {
    runs: VecDeque<ModelRun>,
    down_until: ClockTime,
    starts: u64,
}

/// What one way of judging came to.
#[derive(Clone, Copy, Debug, Default)]
struct WayResult {
    /// Harmful parts that were found, and the crashes until the last of them was.
    found: u64,
    crashes: u64,
    /// Harmless parts that were quarantined at any time.
    wrong: u64,
    /// Requests without a harmful part that were refused.
    refused: u64,
}

trait JudgementWay {
    fn note_crash(&mut self, backend: u64, parts: &[PromptPart], now: ClockTime);
    fn note_answer(&mut self, parts: &[PromptPart], now: ClockTime);
    fn is_quarantined(&self, part: PromptPart, now: ClockTime) -> bool;
}

#[derive(Default)]
struct RatioWay {
    ledger: CrashLedger,
    tally: AnswerTally,
}

impl JudgementWay for RatioWay {
    fn note_crash(&mut self, backend: u64, parts: &[PromptPart], now: ClockTime) {
        for suspect in CrashSuspect::of_parts(None, parts) {
            let record = CrashRecord {
                suspect: suspect.digest,
                backend: BackendIncarnation(backend),
                verdict: CrashVerdict::Suspected,
                seen: StoreTime(now.0),
                depth: suspect.depth,
            };
            self.ledger.note_crash(record, now);
        }
        self.ledger.judge();
        let suspects: Vec<SuspectDigest> = self
            .ledger
            .at_risk()
            .iter()
            .map(|suspect| suspect.digest)
            .collect();
        for (part, answers) in self.tally.take_changed(&suspects, now) {
            self.ledger.note_answers(AnswerCount {
                part,
                process: 1,
                answers,
            });
        }
        self.ledger.judge();
    }

    fn note_answer(&mut self, parts: &[PromptPart], now: ClockTime) {
        for part in parts {
            self.tally.push(SuspectDigest::of_part(None, *part), now);
        }
    }

    fn is_quarantined(&self, part: PromptPart, now: ClockTime) -> bool {
        let digest = SuspectDigest::of_part(None, part);
        self.ledger.quarantine(digest, now).is_some()
    }
}

/// Three crashes quarantine a part, and each answer clears it.
#[derive(Default)]
struct CountWay {
    /// Sorted by part.
    crashes: Vec<(PromptPart, u32)>,
}

impl JudgementWay for CountWay {
    fn note_crash(&mut self, _backend: u64, parts: &[PromptPart], _now: ClockTime) {
        for part in parts {
            match self.crashes.binary_search_by_key(part, |(part, _)| *part) {
                Ok(at) => self.crashes[at].1 += 1,
                Err(at) => self.crashes.insert(at, (*part, 1)),
            }
        }
    }

    fn note_answer(&mut self, parts: &[PromptPart], _now: ClockTime) {
        self.crashes.retain(|(part, _)| !parts.contains(part));
    }

    fn is_quarantined(&self, part: PromptPart, _now: ClockTime) -> bool {
        let found = self.crashes.binary_search_by_key(&part, |(part, _)| *part);
        found.is_ok_and(|at| self.crashes[at].1 >= 3)
    }
}

struct TrafficModel<'a> {
    spec: TrafficSpec,
    rng: StdRng,
    backends: Vec<ModelBackend>,
    way: &'a mut dyn JudgementWay,
    crashes: u64,
}

impl TrafficModel<'_> {
    fn run(mut self) -> WayResult {
        let mut result = WayResult::default();
        let mut found = Vec::new();
        let mut wrong = Vec::new();
        let step = Duration::from_micros(1_000_000 / self.spec.per_s);
        let mut now = START;
        while now < START + SPAN {
            now = now + step;
            self.advance(now);
            let parts = self.draw_parts(now);
            let is_harmful = parts.iter().any(|part| part.0 >= HARMFUL);
            let refusing = parts
                .iter()
                .find(|part| self.way.is_quarantined(**part, now));
            match refusing {
                Some(part) if part.0 >= HARMFUL && !found.contains(part) => {
                    found.push(*part);
                    result.crashes = self.crashes;
                }
                Some(part) if part.0 < HARMFUL => {
                    result.refused += u64::from(!is_harmful);
                    if !wrong.contains(part) {
                        wrong.push(*part);
                    }
                }
                Some(_) => {}
                None => self.begin(parts, now),
            }
        }
        result.found = found.len() as u64;
        result.wrong = wrong.len() as u64;
        result
    }

    fn draw_parts(&mut self, now: ClockTime) -> Vec<PromptPart> {
        let drawn = self.rng.random_range(0..COMMON_PARTS);
        let common = drawn.min(self.rng.random_range(0..COMMON_PARTS));
        let mut parts = vec![PromptPart(common)];
        if now >= START + WARM_UP && self.rng.random_range(0..HARMFUL_ONE_IN) == 0 {
            let number = self.rng.random_range(0..self.spec.harmful_parts);
            parts.push(PromptPart(HARMFUL + number));
        }
        parts
    }

    fn begin(&mut self, parts: Vec<PromptPart>, now: ClockTime) {
        let at = self.rng.random_range(0..self.backends.len());
        let backend = &mut self.backends[at];
        if backend.down_until <= now {
            backend.runs.push_back(ModelRun {
                begun: now,
                parts,
                has_answered: false,
            });
        }
    }

    fn advance(&mut self, now: ClockTime) {
        for at in 0..self.backends.len() {
            let mut has_crashed = self.rng.random_range(0..100 * self.spec.per_s * 10_000)
                < u64::from(self.spec.other_crashes) * 10_000 / self.backends.len() as u64;
            for run in &mut self.backends[at].runs {
                if run.has_answered || now < run.begun + BEGIN_SPAN {
                    continue;
                }
                let is_harmful = run.parts.iter().any(|part| part.0 >= HARMFUL);
                if is_harmful && self.rng.random_range(0..100) < self.spec.crash_percent {
                    has_crashed = true;
                    break;
                }
                run.has_answered = true;
                self.way.note_answer(&run.parts, now);
            }
            if has_crashed {
                self.crash(at, now);
            }
            let runs = &mut self.backends[at].runs;
            while runs.front().is_some_and(|run| run.begun + RUN_SPAN <= now) {
                runs.pop_front();
            }
        }
    }

    fn crash(&mut self, at: usize, now: ClockTime) {
        self.crashes += 1;
        let backend = &mut self.backends[at];
        backend.down_until = now + DOWN_SPAN;
        backend.starts += 1;
        let incarnation = at as u64 * 10_000 + backend.starts;
        let runs = std::mem::take(&mut backend.runs);
        for run in runs.iter().filter(|run| !run.has_answered) {
            self.way.note_crash(incarnation, &run.parts, now);
        }
    }
}

fn result_of(spec: TrafficSpec, seed: u64, way: &mut dyn JudgementWay) -> WayResult {
    let model = TrafficModel {
        spec,
        rng: StdRng::seed_from_u64(seed),
        backends: vec![ModelBackend::default(); spec.backends],
        way,
        crashes: 0,
    };
    model.run()
}

/// Adds up the results of all seeds; `crashes` is the most of any.
fn sum_of(spec: TrafficSpec, mut way: impl FnMut() -> Box<dyn JudgementWay>) -> WayResult {
    let results = (0..SEEDS).map(|seed| result_of(spec, seed, way().as_mut()));
    results.fold(WayResult::default(), |sum, result| WayResult {
        found: sum.found + result.found,
        crashes: sum.crashes.max(result.crashes),
        wrong: sum.wrong + result.wrong,
        refused: sum.refused + result.refused,
    })
}

/// Guards against a judgement that finds a harmful part late or never because backend servers answer
/// some requests with it, or that refuses harmless requests.
#[test]
fn harmful_parts_are_found_in_generated_traffic() {
    for (crash_percent, harmful_parts) in [(100, 1), (50, 1), (20, 1), (100, 2)] {
        let spec = TrafficSpec {
            backends: 24,
            per_s: 130,
            crash_percent,
            harmful_parts,
            other_crashes: 20,
        };
        let ratio = sum_of(spec, || Box::<RatioWay>::default());
        let count = sum_of(spec, || Box::<CountWay>::default());
        println!("{spec:?}\n  ratio {ratio:?}\n  count {count:?}");
        assert_eq!(ratio.found, SEEDS * harmful_parts, "{spec:?}: {ratio:?}");
        assert_eq!((ratio.wrong, ratio.refused), (0, 0), "{spec:?}: {ratio:?}");
        assert!(ratio.crashes <= count.crashes, "{spec:?}: {count:?}");
    }
}
