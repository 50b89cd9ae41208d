//! The world of delayed words: a store with a clock, entry hosts near it and far from it, hosts of engines,
//! and what is on its way between them.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::delayed_process::{Caller, NEAR_MAX, Process, millis};
use super::delayed_words::{
    StoreWord, has_news, make_answer, make_ask, take_answer, take_ask, take_store_mark,
};
use super::{document, named};
use crate::sync::naming_time::NamingKnowledge;
use crate::sync::peer_messages::{PeerQuery, PeerView};
use crate::time::ClockTime;

/// How long words are delayed, and how long all is calm behind it.
const DELAYED_SPAN: Duration = Duration::from_secs(25);
const CALM_SPAN: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(5);
/// Versions are forgotten beyond eight, and the oldest then counts from before its own naming.
const NAMINGS_MAX: usize = 6;
/// The limits of the calls, as the processes have them.
const WATCH_WAIT: Duration = Duration::from_millis(1400);
const WATCH_WITHIN: Duration = Duration::from_millis(2300);
const READ_WITHIN: Duration = Duration::from_millis(900);
const ENTRY_WITHIN: Duration = Duration::from_millis(400);
const POLL_WITHIN: Duration = Duration::from_millis(1300);
const POLL_WAIT: Duration = Duration::from_millis(800);
/// The longest way of a question, and of a neighbour's answer, in milliseconds.
const QUESTION_MAX: u64 = 400;

/// Holds what a process has just come to believe against the world.
pub(super) type Check = fn(&World, usize);

/// Something on its way or held back by whoever is to answer.
enum Word {
    ToStore(Caller, Option<u64>),
    HeldByStore(Caller, u64),
    FromStore(Caller, StoreWord),
    /// The other tables, whose answers are short.
    MarkToStore(Caller),
    MarkFromStore(Caller, StoreWord),
    ToPeer(Caller, usize, PeerQuery),
    HeldByPeer(Caller, (usize, u32, ClockTime), PeerQuery),
    FromPeer(Caller, PeerView),
}

pub(super) struct World {
    pub(super) now: ClockTime,
    is_calm: bool,
    pub(super) processes: Vec<Process>,
    /// Each word with when it arrives, or is held back no longer.
    words: Vec<(ClockTime, Word)>,
    /// When each version was named, from version 2 on; its row has the same revision.
    pub(super) named: Vec<ClockTime>,
    /// When a process last heard of the store again behind a cut.
    pub(super) rejoined: ClockTime,
    /// When a process last started again.
    pub(super) restarted: ClockTime,
}

impl World {
    pub(super) fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let now = ClockTime::from_millis(1_000_000);
        let mut processes = Vec::new();
        // One entry host is near the store always; hosts of engines follow entry hosts alone.
        for at in 0..u.int_in_range(2..=4)? {
            processes.push(Process::new(u, now, (true, at == 0))?);
        }
        for _ in 0..u.int_in_range(1..=3)? {
            processes.push(Process::new(u, now, (false, false))?);
        }
        Ok(Self {
            now,
            is_calm: false,
            processes,
            words: Vec::new(),
            named: Vec::new(),
            rejoined: ClockTime(0),
            restarted: ClockTime(0),
        })
    }

    /// A random way; short ones while all is calm.
    fn way(&self, u: &mut Unstructured<'_>, longest: u64) -> Result<Duration> {
        let longest = if self.is_calm {
            longest.min(NEAR_MAX)
        } else {
            longest
        };
        Ok(millis(u.int_in_range(0..=longest)?))
    }

    fn is_lost(&self, u: &mut Unstructured<'_>) -> Result<bool> {
        Ok(!self.is_calm && u.ratio(1, 10)?)
    }

    fn is_cut(&self, at: usize) -> bool {
        self.now < self.processes[at].cut_until
    }

    pub(super) fn revision(&self) -> u64 {
        u64::try_from(self.named.len()).unwrap_or(0) + 1
    }

    fn store_word(&self, caller: Caller, since: Option<u64>) -> StoreWord {
        let rows = match since {
            // A whole read shows the last naming alone, a watch every one.
            None => std::iter::once(document(1))
                .chain((self.revision() > 1).then(|| named(self.revision())))
                .collect(),
            Some(since) => (since + 1..=self.revision()).map(named).collect(),
        };
        let now_ms = self.now.0 / 1000 + 7_000_000;
        StoreWord {
            rows,
            is_whole: since.is_none(),
            revision: self.revision(),
            now_ms,
            sent_at: caller.sent_at,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>, check: Check) -> Result<()> {
        self.now = self.now + TICK;
        for at in 0..self.processes.len() {
            self.begin_calls(at, u)?;
        }
        let mut at = 0;
        while at < self.words.len() {
            if self.is_ripe(&self.words[at]) {
                let (_, word) = self.words.swap_remove(at);
                self.deliver(word, u, check)?;
            } else {
                at += 1;
            }
        }
        Ok(())
    }

    /// Whether a word has arrived, or what it waited for is there.
    fn is_ripe(&self, (due, word): &(ClockTime, Word)) -> bool {
        let is_news = match word {
            Word::HeldByStore(_, since) => self.revision() > *since,
            Word::HeldByPeer(_, (at, _, _), query) => has_news(&self.processes[*at].book, query),
            _ => false,
        };
        *due <= self.now || is_news
    }

    /// Calls that are due begin, and those whose time is over fail.
    fn begin_calls(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.follows_store && process.store_call.due <= now {
            if process.store_call.is_open {
                if !matches!(process.knowledge, NamingKnowledge::Started) {
                    process.knowledge = NamingKnowledge::Interrupted;
                }
                process.touch_since = None;
                let pause = u.int_in_range(50..=800)?;
                process.store_call.end(now + millis(pause));
            } else {
                let within = process.seen.map_or(READ_WITHIN, |_| WATCH_WITHIN);
                let call = process.store_call.begin(now, within);
                let word = Word::ToStore(process.caller(at, call, now), process.seen);
                let way = self.way(u, self.processes[at].store_way.min(QUESTION_MAX))?;
                self.words.push((now + way, word));
            }
        }
        if self.processes[at].follows_store && self.processes[at].mark_call.due <= now {
            self.begin_mark_call(at, u)?;
        }
        if self.processes[at].peer_call.due <= now {
            self.begin_peer_call(at, u)?;
        }
        Ok(())
    }

    fn begin_mark_call(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.mark_call.is_open {
            return process.rest_mark(now, u);
        }
        let call = process.mark_call.begin(now, READ_WITHIN);
        let word = Word::MarkToStore(process.caller(at, call, now));
        let way = self.way(u, self.processes[at].store_way.min(QUESTION_MAX))?;
        self.words.push((now + way, word));
        Ok(())
    }

    fn begin_peer_call(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let entries: Vec<usize> = (0..self.processes.len())
            .filter(|other| *other != at && self.processes[*other].follows_store)
            .collect();
        let process = &mut self.processes[at];
        if process.peer_call.is_open {
            return process.rest(now, u);
        }
        let (within, wait) = if process.follows_store {
            (ENTRY_WITHIN, Duration::ZERO)
        } else {
            (POLL_WITHIN, POLL_WAIT)
        };
        let call = process.peer_call.begin(now, within);
        let caller = process.caller(at, call, now);
        let query = make_ask(&process.book, wait);
        let word = Word::ToPeer(caller, *u.choose(&entries)?, query);
        let way = self.way(u, QUESTION_MAX)?;
        if !self.is_lost(u)? {
            self.words.push((now + way, word));
        }
        Ok(())
    }

    fn deliver(&mut self, word: Word, u: &mut Unstructured<'_>, check: Check) -> Result<()> {
        let now = self.now;
        match word {
            Word::ToStore(caller, since) => {
                if !self.is_cut(caller.at) {
                    match since {
                        Some(since) => self
                            .words
                            .push((now + WATCH_WAIT, Word::HeldByStore(caller, since))),
                        None => self.answer_store(caller, None, u)?,
                    }
                }
            }
            Word::HeldByStore(caller, since) => self.answer_store(caller, Some(since), u)?,
            Word::FromStore(caller, told) => {
                let is_cut = self.is_cut(caller.at);
                let process = &mut self.processes[caller.at];
                if !is_cut && process.expects(caller, process.store_call) {
                    if process.hear_store(told, now) {
                        self.rejoined = now;
                    }
                    check(self, caller.at);
                }
            }
            Word::MarkToStore(caller) => {
                if !self.is_cut(caller.at) {
                    let mark = self.store_word(caller, Some(self.revision()));
                    let way = self.answer_way(caller, u)?;
                    self.words
                        .push((now + way, Word::MarkFromStore(caller, mark)));
                }
            }
            Word::MarkFromStore(caller, mark) => {
                let is_cut = self.is_cut(caller.at);
                let process = &mut self.processes[caller.at];
                if !is_cut && process.expects(caller, process.mark_call) {
                    take_store_mark(&process.book, &mark, process.clock(now));
                    process.rest_mark(now, u)?;
                    check(self, caller.at);
                }
            }
            Word::ToPeer(caller, at, query) => {
                let process = &self.processes[at];
                take_ask(&process.book, &query, process.clock(now));
                let held = Word::HeldByPeer(
                    caller,
                    (at, process.life, process.clock(now)),
                    query.clone(),
                );
                self.words.push((now + millis(query.wait_ms), held));
                check(self, at);
            }
            Word::HeldByPeer(caller, (at, life, came), query) => {
                let process = &self.processes[at];
                let view = make_answer(&process.book, &query, came, process.clock(now));
                let lives = process.life == life;
                let way = self.way(u, QUESTION_MAX)?;
                if lives && !self.is_lost(u)? {
                    self.words.push((now + way, Word::FromPeer(caller, view)));
                }
            }
            Word::FromPeer(caller, view) => {
                let process = &mut self.processes[caller.at];
                if process.expects(caller, process.peer_call) {
                    take_answer(&process.book, view, caller.sent_at, process.clock(now));
                    process.rest(now, u)?;
                    check(self, caller.at);
                }
            }
        }
        Ok(())
    }

    /// The way of the store's answer, which comes within the time that whoever asked gives it: a link
    /// that is slow is no cut.
    fn answer_way(&self, caller: Caller, u: &mut Unstructured<'_>) -> Result<Duration> {
        let left = (caller.fails - 2 * TICK).since(self.now).as_millis();
        let longest = self.processes[caller.at].store_way;
        self.way(u, longest.min(u64::try_from(left).unwrap_or(0)))
    }

    fn answer_store(
        &mut self,
        caller: Caller,
        since: Option<u64>,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let told = self.store_word(caller, since);
        let way = self.answer_way(caller, u)?;
        let word = Word::FromStore(caller, told);
        self.words.push((self.now + way, word));
        Ok(())
    }

    /// Each process asks each entry host, over ways that take no time.
    fn exchange_all(&self) {
        for asks in &self.processes {
            for answers in self
                .processes
                .iter()
                .filter(|process| process.follows_store)
            {
                let query = make_ask(&asks.book, Duration::ZERO);
                take_ask(&answers.book, &query, answers.clock(self.now));
                let view = make_answer(
                    &answers.book,
                    &query,
                    answers.clock(self.now),
                    answers.clock(self.now),
                );
                take_answer(&asks.book, view, asks.clock(self.now), asks.clock(self.now));
            }
        }
    }

    /// An entry host is cut off from the store for a while, or any process starts again.
    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(self.processes.len())?;
        let now = self.now;
        if self.processes[at].follows_store && u.arbitrary()? {
            let span = u.int_in_range(200..=6000)?;
            self.processes[at].cut_until = now + millis(span);
        } else {
            self.restarted = now;
            self.processes[at].restart(u, now)?;
        }
        Ok(())
    }

    pub(super) fn run(&mut self, u: &mut Unstructured<'_>, check: Check) -> Result<()> {
        let begun = self.now;
        let is_disturbed = u.arbitrary()?;
        let mut naming_due = begun + millis(3000);
        let mut trouble_due = begun + millis(4000);
        while self.now.since(begun) < DELAYED_SPAN {
            if self.now >= naming_due && self.named.len() < NAMINGS_MAX {
                self.named.push(self.now);
                naming_due = self.now + millis(u.int_in_range(100..=6000)?);
            }
            if is_disturbed && self.now >= trouble_due {
                self.disturb(u)?;
                trouble_due = self.now + millis(u.int_in_range(1000..=8000)?);
            }
            self.step(u, check)?;
        }
        self.is_calm = true;
        for process in &mut self.processes {
            process.cut_until = ClockTime(0);
        }
        let calm_at = self.now;
        while self.now.since(calm_at) < CALM_SPAN {
            self.step(u, check)?;
        }
        for _ in 0..2 {
            self.exchange_all();
        }
        Ok(())
    }
}
