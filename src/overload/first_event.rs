//! How long a stream's first event takes at a model engine, as far as it depends on where it is sent.
//!
//! Load pattern: engines are nearly full, and two or three prompts that reach one engine together are
//! read one behind the other, which delays each of them and all that the engine writes.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;

/// A request under way delays a new one's first event by this part of the time between two beginnings:
/// the passes of a fuller batch are longer, mostly since more prompts are read between them.
const REQUEST_PART: f64 = 0.05;
/// What each other entry host may have sent since the last report counts for this part of the time
/// between two beginnings: reports come five times a second, in which an engine begins two requests.
const UNSEEN_PART: f64 = 0.5;
/// Other entry hosts that count at most. An engine whose own entry host keeps it full is not left alone
/// by all others.
const PEERS_MAX: u32 = 8;
/// An engine elsewhere is taken when it is faster by this part of the time between two beginnings. An
/// answer's way between regions is 2 ms and its bytes cost a fiftieth of what it is worth; one that comes
/// late loses three quarters.
const FAR_PART: f64 = 1.0;
/// An engine elsewhere that another entry host of this data centre goes to first counts for this much
/// more: where the engines here are full, all entry hosts look elsewhere, and reports from there are
/// older.
const FAR_SHARED_PART: f64 = 1.0;
/// No delay counts for more than this, in seconds: longer than any client waits for a first event, and
/// figures that somebody wrote wrongly stay in the range of a span of time.
const DELAY_MAX_S: f64 = 60.0;

/// The pace of an engine that is as fast as published, or does not tell.
pub(crate) const fn usual_pace() -> f64 {
    1.0
}

/// How fast a service's engines are, as the document publishes it.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineSpeed {
    /// Seconds of one token step of a batch of one.
    pub(crate) step_s: f64,
    /// Seconds that each further request of the batch adds to a step.
    pub(crate) request_step_s: f64,
    /// Prompt tokens that are read in a second.
    pub(crate) read_per_s: f64,
    /// Tokens of a usual prompt.
    pub(crate) typical_prompt_tokens: f64,
    /// Tokens of a usual answer.
    pub(crate) typical_answer_tokens: f64,
}

impl EngineSpeed {
    /// Seconds in which `tokens` of a prompt are read.
    fn reading_s(&self, tokens: f64) -> f64 {
        if self.read_per_s > 0.0 {
            tokens / self.read_per_s
        } else {
            0.0
        }
    }

    /// Seconds between two beginnings at an engine whose `slots` places are all taken.
    fn turnover_s(&self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let step = self.step_s + self.request_step_s * slots;
        step * self.typical_answer_tokens / slots + self.reading_s(self.typical_prompt_tokens)
    }
}

/// An engine as an entry host sees it.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineCandidate {
    /// How many requests it works on at once.
    pub(crate) slots: u32,
    /// The requests that it has, as far as is known.
    pub(crate) load: u32,
    /// Tokens of the prompts that this entry host has sent there and that have not begun.
    pub(crate) unread_tokens: u32,
    /// How many times slower than published it is.
    pub(crate) pace: f64,
    /// Whether it is in this data centre.
    pub(crate) is_near: bool,
    /// Whether the other entry hosts of this data centre leave it to this one first.
    pub(crate) is_own: bool,
    /// How many other entry hosts this data centre has.
    pub(crate) peers: u32,
}

impl EngineCandidate {
    /// What others may have sent there unseen, in times between two beginnings.
    ///
    /// The more entry hosts go by the same reports, the more of them meet at an engine that was free in
    /// these, while at its own ones each knows nearly all.
    fn unseen_turns(&self) -> f64 {
        UNSEEN_PART * f64::from(self.peers.clamp(1, PEERS_MAX))
    }

    /// How much later than at an idle engine of this data centre a request's first event comes.
    pub(crate) fn delay(&self, speed: &EngineSpeed) -> Duration {
        let turnover = speed.turnover_s(self.slots);
        let waiting = (self.load + 1).saturating_sub(self.slots);
        let mut turns = REQUEST_PART * f64::from(self.load) + f64::from(waiting);
        turns += match (self.is_near, self.is_own) {
            (true, true) => 0.0,
            // An engine elsewhere is first of all an entry host's of its own data centre.
            (true, false) | (false, true) => self.unseen_turns(),
            (false, false) => self.unseen_turns() + FAR_SHARED_PART,
        };
        let mut delay = speed.reading_s(self.unread_tokens.into()) + turnover * turns;
        // A slow engine takes longer for what it has, and for the request itself.
        delay += (delay + turnover) * (self.pace - usual_pace()).max(0.0);
        if !self.is_near {
            delay += turnover * FAR_PART;
        }
        Duration::try_from_secs_f64(delay.min(DELAY_MAX_S)).unwrap_or_default()
    }
}
