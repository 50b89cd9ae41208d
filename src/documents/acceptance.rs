//! Accepting a change: the steps towards the table, and what its answers mean. A lost answer is
//! settled by reading back and by writing the very same change again under the same revision.

use std::time::Duration;

use bytes::Bytes;
use macro_rules_attribute::apply;

use super::change_request::ChangeRequest;
use super::document_record::{DocumentRecord, document_key, history_key};
use super::hint_record::{HINT_KEY, HintRecord};
use crate::derives::{key, plain};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::stores::{RowRevision, TableRow};
use crate::time::{ClockTime, WallTime};

/// How long a change is tried before its author is told that it is not accepted or in doubt.
pub(crate) const ACCEPT_WITHIN: Duration = Duration::from_secs(5);
const PAUSE_AFTER_AWAY: Duration = Duration::from_millis(200);

/// What to do next.
#[apply(plain!)]
pub(crate) enum AcceptanceStep {
    /// Read the row `key`.
    Read {
        /// The row's key.
        key: String,
    },
    /// Write the row `key` if it stands at revision `expected`.
    Write {
        /// The row's key.
        key: String,
        /// The revision that is expected.
        expected: RowRevision,
        /// The row's bytes.
        value: Bytes,
    },
    /// Ask [`AcceptanceMachine::next_step`] again at that time.
    WaitUntil(ClockTime),
    /// It is over.
    Done(Box<AcceptanceOutcome>),
}

/// What the table answered.
#[apply(plain!)]
pub(crate) enum TableResponse {
    /// The row that was read; `None` when it is absent.
    Row(Option<TableRow>),
    /// The write took effect.
    Written(RowRevision),
    /// Another write came first; this is what stands.
    Conflict(Option<TableRow>),
    /// No answer; a write may have taken effect.
    Unavailable,
}

/// How the change ended.
#[apply(plain!)]
pub(crate) enum AcceptanceOutcome {
    /// It is accepted as this version. `row` is the new row, unless it was replaced meanwhile.
    Accepted {
        /// The version that it made.
        version: u64,
        /// The row to put in force.
        row: Option<Bytes>,
    },
    /// It is not.
    Refused {
        /// Why.
        error: SwitchError,
        /// What stands instead, where that is why.
        standing: Option<Box<DocumentRecord>>,
    },
}

#[apply(key!)]
enum Stage {
    /// The document's row is read.
    ReadStanding,
    /// The hint row is read.
    ReadHint,
    /// The hint row is written.
    WriteHint,
    /// The version that stands is copied to its history row.
    Archive,
    /// The document's row is written.
    WriteDocument,
    /// The document's row is read after an answer was lost.
    ReadBack,
    /// Nothing is left to do.
    Ended,
}

/// One change on its way into the table.
#[derive(Debug)]
pub(crate) struct AcceptanceMachine {
    order: ChangeRequest,
    wall: WallTime,
    ends: ClockTime,
    stage: Stage,
    not_before: ClockTime,
    /// The revision and record of the row that the change replaces.
    standing: Option<(RowRevision, DocumentRecord)>,
    standing_row: Bytes,
    hint: Option<(RowRevision, Bytes)>,
    /// Whether this try or an earlier one may have written the document's row, or still may.
    sent: bool,
    end: Option<AcceptanceOutcome>,
}

impl AcceptanceMachine {
    /// The change `order`, asked for at `now`.
    pub(crate) fn new(order: ChangeRequest, now: ClockTime, wall: WallTime) -> Self {
        Self {
            sent: !order.is_first_attempt,
            order,
            wall,
            ends: now + ACCEPT_WITHIN,
            stage: Stage::ReadStanding,
            not_before: now,
            standing: None,
            standing_row: Bytes::new(),
            hint: None,
            end: None,
        }
    }

    /// What to do next.
    pub(crate) fn next_step(&mut self, now: ClockTime) -> AcceptanceStep {
        if self.end.is_none() && now >= self.ends {
            self.give_up();
        }
        if let Some(end) = self.end.clone() {
            return AcceptanceStep::Done(Box::new(end));
        }
        if now < self.not_before {
            return AcceptanceStep::WaitUntil(self.not_before);
        }
        match self.step() {
            Ok(step) => step,
            Err(error) => {
                self.refuse(error, None);
                self.next_step(now)
            }
        }
    }

    fn step(&mut self) -> SwitchResult<AcceptanceStep> {
        let step = match self.stage {
            Stage::ReadStanding | Stage::ReadBack => AcceptanceStep::Read {
                key: document_key(&self.order.service),
            },
            Stage::ReadHint | Stage::Ended => AcceptanceStep::Read {
                key: HINT_KEY.to_owned(),
            },
            Stage::WriteHint => self.hint_write()?,
            Stage::Archive => AcceptanceStep::Write {
                key: history_key(&self.order.service, self.order.replaces),
                expected: RowRevision::ABSENT,
                value: self.standing_row.clone(),
            },
            Stage::WriteDocument => {
                self.sent = true;
                AcceptanceStep::Write {
                    key: document_key(&self.order.service),
                    expected: self.expected(),
                    value: self.new_row()?,
                }
            }
        };
        Ok(step)
    }

    /// Takes in what the table answered to the last step, at `now`.
    pub(crate) fn on_response(&mut self, event: TableResponse, now: ClockTime) {
        if event == TableResponse::Unavailable {
            self.on_unavailable(now);
            return;
        }
        if let Err(error) = self.take_answer(event) {
            self.refuse(error, None);
        }
    }

    fn take_answer(&mut self, event: TableResponse) -> SwitchResult<()> {
        match (self.stage, event) {
            (Stage::ReadStanding, TableResponse::Row(row)) => self.on_standing(row),
            (Stage::ReadHint, TableResponse::Row(row)) => {
                self.hint = row.map(|row| (row.revision, row.value));
                self.stage = Stage::WriteHint;
                Ok(())
            }
            (Stage::WriteHint, TableResponse::Written(_)) => {
                let first = self.standing.is_none();
                self.stage = if first {
                    Stage::WriteDocument
                } else {
                    Stage::Archive
                };
                Ok(())
            }
            (Stage::WriteHint, TableResponse::Conflict(row)) => {
                self.hint = row.map(|row| (row.revision, row.value));
                Ok(())
            }
            // A history row that exists already was written by an earlier try to replace the same
            // version, so it holds the same bytes.
            (Stage::Archive, TableResponse::Written(_) | TableResponse::Conflict(_)) => {
                self.stage = Stage::WriteDocument;
                Ok(())
            }
            (Stage::WriteDocument, TableResponse::Written(_)) => {
                let row = self.new_row()?;
                self.accept(self.order.replaces + 1, Some(row));
                Ok(())
            }
            (Stage::WriteDocument, TableResponse::Conflict(row))
            | (Stage::ReadBack, TableResponse::Row(row)) => self.on_read_back(row),
            (stage, event) => Err(SwitchError::new(
                ErrorKind::Internal,
                format!("{event:?} does not answer {stage:?}"),
            )),
        }
    }

    fn on_unavailable(&mut self, now: ClockTime) {
        self.not_before = now + PAUSE_AFTER_AWAY;
        match self.stage {
            // The write may have taken effect, and it may still be on its way.
            Stage::WriteDocument => self.stage = Stage::ReadBack,
            Stage::WriteHint => self.stage = Stage::ReadHint,
            _ => {}
        }
    }

    fn on_standing(&mut self, row: Option<TableRow>) -> SwitchResult<()> {
        let standing = match &row {
            Some(row) => Some((row.revision, DocumentRecord::from_row(&row.value)?)),
            None => None,
        };
        let record = standing.as_ref().map(|(_, record)| record);
        if let Some(version) = record.and_then(|record| record.version_of(&self.order.nonce)) {
            // The author asks again after a lost answer: the change stands already.
            self.accept(version, row.map(|row| row.value));
            return Ok(());
        }
        self.order.check_author(record)?;
        if record.map_or(0, |record| record.version) != self.order.replaces {
            let record = record.cloned();
            self.refuse_overtaken(record);
            return Ok(());
        }
        self.standing = standing;
        self.standing_row = row.map(|row| row.value).unwrap_or_default();
        self.stage = Stage::ReadHint;
        Ok(())
    }

    /// The row as it stands after a conflict or a lost answer.
    fn on_read_back(&mut self, row: Option<TableRow>) -> SwitchResult<()> {
        let revision = row.as_ref().map_or(RowRevision::ABSENT, |row| row.revision);
        let Some(row) = row.filter(|_| revision > self.expected()) else {
            // Not written so far, or a stale read; the lost write may still arrive. The same change
            // under the same revision takes effect once, whichever of the two comes first.
            self.stage = Stage::WriteDocument;
            return Ok(());
        };
        let record = DocumentRecord::from_row(&row.value)?;
        if let Some(version) = record.version_of(&self.order.nonce) {
            self.accept(version, Some(row.value));
            return Ok(());
        }
        self.refuse_overtaken(Some(record));
        Ok(())
    }

    /// Another version stands than the change was to replace. That is a refusal if no write of the
    /// change can have taken effect, or if the row remembers whose change made the version that
    /// this one would have made; else it is in doubt.
    fn refuse_overtaken(&mut self, standing: Option<DocumentRecord>) {
        let wanted = self.order.replaces + 1;
        let recent = standing.as_ref().map(|record| &record.recent[..]);
        let remembers = recent
            .unwrap_or_default()
            .iter()
            .any(|mark| mark.version == wanted);
        if remembers || !self.sent {
            self.refuse_conflict(standing);
        } else {
            self.give_up();
        }
    }

    fn hint_write(&self) -> SwitchResult<AcceptanceStep> {
        let (expected, mut record) = match &self.hint {
            Some((revision, row)) => (*revision, HintRecord::from_row(row)),
            None => (RowRevision::ABSENT, HintRecord::default()),
        };
        record.expect(&self.order.service, self.order.replaces + 1);
        let value = serde_json::to_vec(&record)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        Ok(AcceptanceStep::Write {
            key: HINT_KEY.to_owned(),
            expected,
            value: value.into(),
        })
    }

    fn expected(&self) -> RowRevision {
        self.standing
            .as_ref()
            .map_or(RowRevision::ABSENT, |(revision, _)| *revision)
    }

    /// The same bytes at each try, so that a second write of them changes nothing.
    fn new_row(&self) -> SwitchResult<Bytes> {
        let standing = self.standing.as_ref().map(|(_, record)| record);
        self.order.next_record(standing, self.wall).to_row()
    }

    fn accept(&mut self, version: u64, row: Option<Bytes>) {
        assert!(
            version > 0,
            "a change was about to be accepted as no version"
        );
        self.stage = Stage::Ended;
        self.end = Some(AcceptanceOutcome::Accepted { version, row });
    }

    fn refuse(&mut self, error: SwitchError, standing: Option<DocumentRecord>) {
        // After a write whose outcome is open, only a conflict is a refusal; the rest is doubt.
        let is_open = self.sent && error.kind != ErrorKind::DocumentConflict;
        let error = if is_open {
            SwitchError::new(ErrorKind::DocumentInDoubt, error.detail)
        } else {
            error
        };
        self.stage = Stage::Ended;
        self.end = Some(AcceptanceOutcome::Refused {
            error,
            standing: standing.map(Box::new),
        });
    }

    fn refuse_conflict(&mut self, standing: Option<DocumentRecord>) {
        let detail = match &standing {
            Some(record) => format!(
                "version {} stands, changed by {}; the change was to replace version {}",
                record.version, record.changed_by, self.order.replaces
            ),
            None => format!(
                "there is no document; the change was to replace version {}",
                self.order.replaces
            ),
        };
        let error = SwitchError::new(ErrorKind::DocumentConflict, detail);
        self.refuse(error, standing);
    }

    fn give_up(&mut self) {
        let error = if self.sent {
            SwitchError::new(
                ErrorKind::DocumentInDoubt,
                "it cannot be told whether the change was written; put it again with the same nonce",
            )
        } else {
            SwitchError::new(
                ErrorKind::DocumentNotAccepted,
                "the table does not answer; nothing was written",
            )
        };
        self.refuse(error, None);
    }
}
