//! Estimates the delay of a stream's first event, as far as it depends on the chosen engine.
//!
//! Load pattern: engines are nearly full. Two or three prompts that reach an engine together are
//! read one after the other, which delays each of them and everything that the engine generates.
//!
//! Several constants are in start intervals: the time between two request starts at an engine whose
//! slots are all taken.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;

/// Start intervals by which each running request delays a new one's first event. Passes over a
/// larger batch take longer, mainly because more prompts are read between them.
const RUNNING_REQUEST_DELAY: f64 = 0.05;
/// Start intervals that are counted per other entry host for requests sent since the last load
/// report. Reports arrive five times a second; an engine starts two requests in between.
const UNREPORTED_DELAY: f64 = 0.5;
/// Largest number of other entry hosts that is counted. A higher one would keep all other entry
/// hosts away from an engine whose own entry host keeps it full.
const PEERS_MAX: u32 = 8;
/// Start intervals by which an engine in another data centre has to be faster to be chosen. The way
/// of an answer between regions takes 2 ms and its bytes cost a fiftieth of its value; a late
/// answer loses three quarters of it.
const REMOTE_DELAY: f64 = 1.0;
/// Start intervals that are added for an engine in another data centre that is assigned to another
/// entry host of this one. Where the local engines are full, all entry hosts look elsewhere, and
/// load reports from other data centres are older.
const REMOTE_UNASSIGNED_DELAY: f64 = 1.0;
/// Part of the free slots of an engine in this data centre that the entry hosts to which it is not
/// assigned share for each request of theirs. They see the same reports for about half a second, in
/// which each of them has several requests without a slot at its own engines.
const NEAR_ROOM_PART: f64 = 0.5;
/// The same for an engine in another data centre, whose reports are older. One entry host of each
/// data centre is assigned to it and need not share that data centre's part.
const REMOTE_ROOM_PART: f64 = 0.25;
/// Upper limit of the estimate, in seconds: longer than any client waits for a first event. It also
/// keeps the result of wrong figures in a document within the range of `Duration`.
const DELAY_MAX_S: f64 = 60.0;

/// Returns the pace of an engine that is as fast as published, or reports no pace.
pub(crate) const fn usual_pace() -> f64 {
    1.0
}

/// Published speed of the engines of a service, from the service document.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineSpeed {
    /// Seconds per token step for a batch of one.
    pub(crate) step_s: f64,
    /// Seconds that each further request in the batch adds to a step.
    pub(crate) request_step_s: f64,
    /// Prompt tokens read per second.
    pub(crate) read_per_s: f64,
    /// Tokens of a typical prompt.
    pub(crate) typical_prompt_tokens: f64,
    /// Tokens of a typical answer.
    pub(crate) typical_answer_tokens: f64,
}

impl EngineSpeed {
    /// Returns the seconds that reading `tokens` of a prompt takes.
    fn prompt_read_s(&self, tokens: f64) -> f64 {
        if self.read_per_s > 0.0 {
            tokens / self.read_per_s
        } else {
            0.0
        }
    }

    /// Returns the start interval, in seconds, of an engine with `slots` slots.
    fn start_interval_s(&self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let step = self.step_s + self.request_step_s * slots;
        step * self.typical_answer_tokens / slots + self.prompt_read_s(self.typical_prompt_tokens)
    }
}

/// An engine that an entry host considers for a request.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineCandidate {
    /// Number of requests that the engine runs at once.
    pub(crate) slots: u32,
    /// Known requests at the engine, running or waiting.
    pub(crate) load: u32,
    /// Prompt tokens of requests that this entry host has sent there and that have not started.
    pub(crate) unread_tokens: u32,
    /// Slowdown factor compared with the published speed.
    pub(crate) pace: f64,
    /// Whether the engine is in this data centre.
    pub(crate) is_near: bool,
    /// Whether the engine is assigned to this entry host among those of its data centre.
    pub(crate) is_own: bool,
    /// Number of other entry hosts in this data centre.
    pub(crate) peers: u32,
    /// Number of other entry hosts in all data centres.
    pub(crate) others: u32,
}

/// Returns how many requests of other entry hosts to assume at an engine with `slots` slots that
/// has stopped reporting. `is_filled_by_us` is as in [`EngineCandidate::is_filled_by_us`], `peers`
/// the number of other entry hosts in this data centre.
///
/// Load pattern: the process beside an engine stops, and the engine goes on. If no requests of
/// others were assumed, it would look idle to all entry hosts at once. Half of the slots are left to
/// the entry host that it is assigned to, and the others share the rest.
pub(crate) fn unreported_load(slots: u32, is_filled_by_us: bool, peers: u32) -> u32 {
    let shared = slots / 2;
    if is_filled_by_us {
        shared
    } else {
        slots - (shared / peers.max(1)).max(1).min(slots)
    }
}

impl EngineCandidate {
    /// Returns the delay, in start intervals, by requests that other entry hosts may have sent
    /// since the last load report.
    ///
    /// The more entry hosts rely on the same reports, the more of them meet at an engine that had
    /// free slots. At its assigned engines an entry host knows nearly all requests.
    fn unreported_intervals(&self) -> f64 {
        UNREPORTED_DELAY * f64::from(self.peers.clamp(1, PEERS_MAX))
    }

    /// Returns whether this entry host may fill the engine, including its queue.
    ///
    /// At other engines it does not know the latest requests. If each entry host filled the queue
    /// by a report, their requests together would be several times what the engine can queue.
    pub(crate) const fn is_filled_by_us(&self) -> bool {
        self.is_near && self.is_own
    }

    /// Returns the part of requests, from 0 to 1, for which the engine is considered.
    ///
    /// Under a shortage of slots, reports show a few engines as free, and all entry hosts have
    /// requests for them until the next reports. Each therefore considers the engine for its share
    /// of the free slots only. With many free slots nearly all requests consider it.
    pub(crate) fn considered_part(&self) -> f64 {
        let room = f64::from(self.slots.saturating_sub(self.load));
        let part = match (self.is_near, self.is_own) {
            (true, true) => 1.0,
            (true, false) => NEAR_ROOM_PART * room / (f64::from(self.peers) + 1.0),
            (false, true) => REMOTE_ROOM_PART * room,
            (false, false) => REMOTE_ROOM_PART * room / (f64::from(self.others) + 1.0),
        };
        part.min(1.0)
    }

    /// Returns how much later the first event comes than from an idle engine of this data centre.
    pub(crate) fn delay(&self, speed: &EngineSpeed) -> Duration {
        let start_interval = speed.start_interval_s(self.slots);
        let waiting = self.load.saturating_add(1).saturating_sub(self.slots);
        let mut intervals = RUNNING_REQUEST_DELAY * f64::from(self.load) + f64::from(waiting);
        intervals += match (self.is_near, self.is_own) {
            (true, true) => 0.0,
            // An engine elsewhere is preferred by an entry host of its own data centre, too.
            (true, false) | (false, true) => self.unreported_intervals(),
            (false, false) => self.unreported_intervals() + REMOTE_UNASSIGNED_DELAY,
        };
        let mut delay = speed.prompt_read_s(self.unread_tokens.into()) + start_interval * intervals;
        // A slow engine takes longer for its current requests and for the new one.
        delay += (delay + start_interval) * (self.pace - usual_pace()).max(0.0);
        if !self.is_near {
            delay += start_interval * REMOTE_DELAY;
        }
        Duration::try_from_secs_f64(delay.min(DELAY_MAX_S)).unwrap_or_default()
    }
}
