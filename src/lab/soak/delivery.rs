//! Drives one request's attempts against hosts that die, restart, lose answers, get orders late and
//! send foreign, doubled, lost and damaged frames. The hosts know what truly ran; what the caller is
//! told is held against it.

use arbitrary::{Result, Unstructured};
use bytestring::ByteString;

use crate::delivery::{
    AnswerCheck, AnswerDigest, AttemptId, AttemptPlan, AttemptPolicy, CheckedPart, NextStep,
    OutcomeReply, RunFrame, RunPart,
};
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::membership::{LoadReport, ServingVersion};
use crate::time::ClockTime;
use crate::weights::WeightsDigest;

const HOSTS: usize = 3;
const VERSIONS: usize = 2;
const TOKENS_MAX: u32 = 6;

/// What became of one attempt at its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It has not come, and may still come.
    OnItsWay,
    /// It will never run.
    Barred,
    /// It ran.
    Ran,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: AttemptId,
    host: usize,
    incarnation: u32,
    fate: Fate,
}

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    incarnation: u32,
    version: usize,
}

struct Case {
    plan: AttemptPlan,
    traits: AttemptPolicy,
    hosts: [Host; HOSTS],
    attempts: Vec<Attempt>,
    executions: u32,
    now: ClockTime,
    /// What the caller has.
    tokens: Vec<ByteString>,
    version: Option<usize>,
    length: u32,
}

/// How the request ended for its caller.
enum Told {
    Whole,
    Error(SwitchError),
}

/// One random case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let repeatable = u.arbitrary()?;
    let now = ClockTime::from_millis(1);
    let traits = AttemptPolicy {
        repeatable,
        attempts_max: u.int_in_range(1..=6)?,
        deadline: now + std::time::Duration::from_secs(u.int_in_range(1..=20)?),
        stream_end: now + std::time::Duration::from_mins(1),
    };
    let mut case = Case {
        plan: AttemptPlan::new(traits),
        traits,
        hosts: [Host::default(); HOSTS],
        attempts: Vec::new(),
        executions: 0,
        now,
        tokens: Vec::new(),
        version: None,
        length: u.int_in_range(0..=TOKENS_MAX)?,
    };
    let told = case.run(u)?;
    case.deliver_late(true, u)?;
    case.check(&told);
    Ok(())
}

impl Case {
    fn run(&mut self, u: &mut Unstructured<'_>) -> Result<Told> {
        let mut host = u.choose_index(HOSTS)?;
        loop {
            let incarnation = self.hosts[host].incarnation;
            self.plan.begin_attempt();
            let place = self.attempts.len();
            self.attempts.push(Attempt {
                id: AttemptId::fresh(),
                host,
                incarnation,
                fate: Fate::OnItsWay,
            });
            let Some(error) = self.attempt(place, u)? else {
                return Ok(Told::Whole);
            };
            self.disturb(u)?;
            let jitter = u.arbitrary()?;
            let mut step = self.plan.after_failure(error.clone(), self.now, jitter);
            if step == NextStep::QueryOutcome {
                let reply = self.settle(place, u)?;
                step = self
                    .plan
                    .after_outcome_reply(error, reply.as_ref(), self.now, jitter);
            }
            match step {
                NextStep::Retry { wait } => {
                    self.now = self.now + wait;
                    self.disturb(u)?;
                    host = u.choose_index(HOSTS)?;
                }
                NextStep::GiveUp(error) => return Ok(Told::Error(error)),
                NextStep::QueryOutcome => panic!("an attempt was to be settled twice"),
            }
        }
    }

    /// One attempt: `None` when the caller has the whole answer.
    fn attempt(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<Option<SwitchError>> {
        let host = self.attempts[place].host;
        match u.int_in_range(0..=9_u8)? {
            0 => Ok(Some(self.bar(place, ErrorKind::ConnectFailed))),
            1 => Ok(Some(self.bar(place, ErrorKind::BackendBusy))),
            2 => Ok(Some(self.bar(place, ErrorKind::BackendLeaving))),
            3 => Ok(Some(self.bar(place, ErrorKind::BadRequest))),
            // It is on its way, or lost.
            4 => {
                if u.arbitrary()? {
                    self.attempts[place].fate = Fate::Barred;
                }
                Ok(Some(SwitchError::new(ErrorKind::PeerSilent, "silent")))
            }
            5 if !self.traits.repeatable => {
                if u.arbitrary()? {
                    self.execute(place);
                } else {
                    self.attempts[place].fate = Fate::Barred;
                }
                Ok(Some(SwitchError::new(ErrorKind::OutcomeUnknown, "unknown")))
            }
            _ => {
                let wanted = self.plan.resume_version();
                let version = self.hosts[host].version;
                if wanted.is_some_and(|wanted| wanted != digest_of(version)) {
                    return Ok(Some(self.bar(place, ErrorKind::VersionMismatch)));
                }
                self.execute(place);
                self.answer(place, version, u)
            }
        }
    }

    /// The host's frames, with what can happen to them on the way.
    fn answer(
        &mut self,
        place: usize,
        version: usize,
        u: &mut Unstructured<'_>,
    ) -> Result<Option<SwitchError>> {
        let from = self.plan.tokens();
        let mut check = AnswerCheck::new(self.attempts[place].id, from);
        // A damaged token shows at the end of its attempt. If the attempt is cut before that, it
        // does not show at all; such a case is left out here and named in the design note.
        let mut is_damaged = false;
        for part in honest_parts(from, self.length, version) {
            let mut frame = RunFrame {
                attempt: self.attempts[place].id,
                part,
            };
            let fault = if is_damaged {
                19
            } else {
                u.int_in_range(0..=19_u8)?
            };
            match fault {
                0 => return Ok(Some(check.truncation_error())),
                1 => return Ok(Some(SwitchError::new(ErrorKind::PeerSilent, "silent"))),
                2 => {
                    return Ok(Some(SwitchError::new(
                        ErrorKind::EngineFailed,
                        "the engine died",
                    )));
                }
                // Lost.
                3 => continue,
                4 => {
                    // A late frame of another attempt, with the very index that is due.
                    let mut foreign = frame.clone();
                    foreign.attempt = AttemptId::fresh();
                    if let RunPart::Token { text, .. } = &mut foreign.part {
                        *text = "another's".into();
                    }
                    let taken = check.take(foreign).expect("foreign frames are no fault");
                    assert_eq!(taken, CheckedPart::Foreign, "a foreign frame was taken");
                }
                5 => {
                    if let RunPart::Token { text, .. } = &mut frame.part {
                        *text = "damaged".into();
                        is_damaged = true;
                    }
                }
                6 if matches!(frame.part, RunPart::Token { .. }) => {
                    // Doubled.
                    if let Some(error) = self.take(&mut check, frame.clone(), version) {
                        return Ok(Some(error));
                    }
                }
                _ => {}
            }
            let is_last = matches!(frame.part, RunPart::End { .. });
            if let Some(error) = self.take(&mut check, frame, version) {
                return Ok(Some(error));
            }
            if is_last {
                return Ok(None);
            }
        }
        Ok(Some(check.truncation_error()))
    }

    fn take(
        &mut self,
        check: &mut AnswerCheck,
        frame: RunFrame,
        version: usize,
    ) -> Option<SwitchError> {
        match check.take(frame) {
            Ok(CheckedPart::Started(serving)) => {
                self.plan
                    .note_version(serving.map(|serving| serving.digest));
            }
            Ok(CheckedPart::Token(text)) => {
                self.plan.note_token();
                self.tokens.push(text);
                assert_eq!(*self.version.get_or_insert(version), version, "mixed");
            }
            Ok(_) => {}
            Err(error) => return Some(error),
        }
        None
    }

    fn bar(&mut self, place: usize, kind: ErrorKind) -> SwitchError {
        self.attempts[place].fate = Fate::Barred;
        SwitchError::new(kind, "refused").with_outcome(RunOutcome::NotRun)
    }

    /// The order has come to its host, which runs it.
    fn execute(&mut self, place: usize) {
        self.attempts[place].fate = Fate::Ran;
        self.executions += 1;
    }

    fn settle(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<Option<OutcomeReply>> {
        if u.ratio(1, 4)? {
            return Ok(None);
        }
        let attempt = self.attempts[place];
        if self.hosts[attempt.host].incarnation != attempt.incarnation {
            return Ok(Some(OutcomeReply::NotKnown));
        }
        Ok(Some(match attempt.fate {
            Fate::Ran if u.arbitrary()? => OutcomeReply::Running,
            Fate::Ran => OutcomeReply::Ran,
            Fate::OnItsWay | Fate::Barred => {
                self.attempts[place].fate = Fate::Barred;
                OutcomeReply::NotRun
            }
        }))
    }

    /// Hosts restart and change their version; orders that were held up arrive.
    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if u.ratio(1, 6)? {
            self.hosts[u.choose_index(HOSTS)?].incarnation += 1;
        }
        if u.ratio(1, 6)? {
            self.hosts[u.choose_index(HOSTS)?].version = u.choose_index(VERSIONS)?;
        }
        self.deliver_late(false, u)
    }

    fn deliver_late(&mut self, all: bool, u: &mut Unstructured<'_>) -> Result<()> {
        for place in 0..self.attempts.len() {
            let attempt = self.attempts[place];
            let comes = attempt.fate == Fate::OnItsWay && (all || u.ratio(1, 3)?);
            if comes && self.hosts[attempt.host].incarnation == attempt.incarnation {
                self.execute(place);
            }
        }
        Ok(())
    }

    fn check(&self, told: &Told) {
        if !self.traits.repeatable {
            assert!(self.executions <= 1, "an unrepeatable call ran twice");
        }
        match told {
            Told::Whole => {
                assert!(self.executions >= 1, "an answer came of nothing");
                let version = self.version.unwrap_or_default();
                let whole: Vec<ByteString> = (0..self.length)
                    .map(|index| token_of(version, index))
                    .collect();
                assert_eq!(self.tokens, whole, "a whole answer is not whole");
            }
            Told::Error(error) => {
                let said_not_run = error.run_outcome() == RunOutcome::NotRun;
                assert!(
                    !said_not_run || self.executions == 0,
                    "\"not run\" was said of a call that ran"
                );
            }
        }
    }
}

fn digest_of(version: usize) -> WeightsDigest {
    WeightsDigest::of(&[u8::try_from(version).expect("few versions")])
}

fn token_of(version: usize, index: u32) -> ByteString {
    format!("{version}-{index} ").into()
}

/// What an honest host sends for an answer of `length` tokens, from token `from` on.
fn honest_parts(from: u32, length: u32, version: usize) -> Vec<RunPart> {
    let serving = ServingVersion {
        version: format!("v{version}").into(),
        digest: digest_of(version),
    };
    let mut parts = vec![
        RunPart::Alive,
        RunPart::Started {
            serving: Some(serving),
        },
    ];
    let mut hasher = blake3::Hasher::new();
    for index in from..length {
        let text = token_of(version, index);
        hasher.update(text.as_bytes());
        parts.push(RunPart::Token { index, text });
    }
    parts.push(RunPart::End {
        digest: AnswerDigest::from_hasher(&hasher),
        reason: "length".into(),
        load: LoadReport::default(),
    });
    parts
}
