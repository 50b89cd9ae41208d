//! The state machine that writes a document change to the table.
//!
//! If the response to a write is lost, the machine reads the row back and, if necessary, repeats
//! the identical write with the same expected revision, so that the change takes effect only once.

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

/// Time limit for writing a change. After it, the change is reported as not accepted or, if a write
/// was sent, as having an unknown outcome.
pub(crate) const ACCEPT_WITHIN: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The next step of an [`AcceptanceMachine`].
#[apply(plain!)]
pub(crate) enum AcceptanceStep {
    /// Read the row `key`.
    Read {
        /// The row's key.
        key: String,
    },
    /// Write the row `key` if its current revision is `expected`.
    Write {
        /// The row's key.
        key: String,
        /// The revision that the row must have.
        expected: RowRevision,
        /// The row's new content.
        value: Bytes,
    },
    /// Call [`AcceptanceMachine::next_step`] again at this time.
    WaitUntil(ClockTime),
    /// The change was accepted or refused.
    Done(Box<AcceptanceOutcome>),
}

/// The table's response to a step.
#[apply(plain!)]
pub(crate) enum TableResponse {
    /// The row was read; `None` if it does not exist.
    Row(Option<TableRow>),
    /// The write took effect.
    Written(RowRevision),
    /// The row has another revision than expected; this is its current content.
    Conflict(Option<TableRow>),
    /// The table did not respond; a write may have taken effect.
    Unavailable,
}

/// The outcome of a change.
#[apply(plain!)]
pub(crate) enum AcceptanceOutcome {
    /// The change was accepted.
    Accepted {
        /// The version that the change created.
        version: u64,
        /// The row to put in force: the one that the change wrote or a newer one.
        row: Option<Bytes>,
    },
    /// The change was refused, or its outcome is unknown (`DocumentInDoubt`).
    Refused {
        /// The reason.
        error: SwitchError,
        /// The current record, if the change conflicts with it.
        current: Option<Box<DocumentRecord>>,
    },
}

#[apply(key!)]
enum Stage {
    /// The document's row is read.
    ReadCurrent,
    /// The hint row is read.
    ReadHint,
    /// The hint row is written.
    WriteHint,
    /// The current version is copied to its history row.
    Archive,
    /// The document's row is written.
    WriteDocument,
    /// The document's row is read after a conflict or a lost response.
    ReadBack,
    /// The outcome is known.
    Ended,
}

/// Writes one change to the table, step by step. It does no I/O itself: the caller executes each
/// [`AcceptanceStep`] and passes the response back.
#[derive(Debug)]
pub(crate) struct AcceptanceMachine {
    request: ChangeRequest,
    wall: WallTime,
    ends: ClockTime,
    stage: Stage,
    not_before: ClockTime,
    /// The revision and record of the row that the change replaces.
    current: Option<(RowRevision, DocumentRecord)>,
    current_row: Bytes,
    /// The revision and content of the hint row as last read; `None` if it does not exist.
    hint: Option<(RowRevision, Bytes)>,
    /// Whether a write of this attempt or of an earlier one may have taken effect, or may still.
    write_sent: bool,
    outcome: Option<AcceptanceOutcome>,
}

impl AcceptanceMachine {
    /// Starts the change `request` at `now`; `wall` is the time to record in the new version.
    pub(crate) fn new(request: ChangeRequest, now: ClockTime, wall: WallTime) -> Self {
        Self {
            write_sent: !request.is_first_attempt,
            request,
            wall,
            ends: now + ACCEPT_WITHIN,
            stage: Stage::ReadCurrent,
            not_before: now,
            current: None,
            current_row: Bytes::new(),
            hint: None,
            outcome: None,
        }
    }

    /// The next step at `now`.
    pub(crate) fn next_step(&mut self, now: ClockTime) -> AcceptanceStep {
        if self.outcome.is_none() && now >= self.ends {
            self.abandon();
        }
        if let Some(outcome) = self.outcome.clone() {
            return AcceptanceStep::Done(Box::new(outcome));
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
            Stage::ReadCurrent | Stage::ReadBack => AcceptanceStep::Read {
                key: document_key(&self.request.service),
            },
            Stage::ReadHint | Stage::Ended => AcceptanceStep::Read {
                key: HINT_KEY.to_owned(),
            },
            Stage::WriteHint => self.hint_write()?,
            Stage::Archive => AcceptanceStep::Write {
                key: history_key(&self.request.service, self.request.replaces),
                expected: RowRevision::ABSENT,
                value: self.current_row.clone(),
            },
            Stage::WriteDocument => {
                self.write_sent = true;
                AcceptanceStep::Write {
                    key: document_key(&self.request.service),
                    expected: self.expected(),
                    value: self.new_row()?,
                }
            }
        };
        Ok(step)
    }

    /// Handles the table's response to the last step, received at `now`.
    pub(crate) fn on_response(&mut self, response: TableResponse, now: ClockTime) {
        if response == TableResponse::Unavailable {
            self.on_unavailable(now);
            return;
        }
        if let Err(error) = self.handle_response(response) {
            self.refuse(error, None);
        }
    }

    fn handle_response(&mut self, response: TableResponse) -> SwitchResult<()> {
        match (self.stage, response) {
            (Stage::ReadCurrent, TableResponse::Row(row)) => self.on_current_row(row),
            (Stage::ReadHint, TableResponse::Row(row)) => {
                self.hint = row.map(|row| (row.revision, row.value));
                self.stage = Stage::WriteHint;
                Ok(())
            }
            (Stage::WriteHint, TableResponse::Written(_)) => {
                let first = self.current.is_none();
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
            // An existing history row was written by an earlier attempt to replace the same
            // version, so it has the same content.
            (Stage::Archive, TableResponse::Written(_) | TableResponse::Conflict(_)) => {
                self.stage = Stage::WriteDocument;
                Ok(())
            }
            (Stage::WriteDocument, TableResponse::Written(_)) => {
                let row = self.new_row()?;
                self.accept(self.request.replaces + 1, Some(row));
                Ok(())
            }
            (Stage::WriteDocument, TableResponse::Conflict(row))
            | (Stage::ReadBack, TableResponse::Row(row)) => self.on_read_back(row),
            (stage, response) => Err(SwitchError::new(
                ErrorKind::Internal,
                format!("unexpected response {response:?} in stage {stage:?}"),
            )),
        }
    }

    fn on_unavailable(&mut self, now: ClockTime) {
        self.not_before = now + RETRY_PAUSE;
        match self.stage {
            // The write may have taken effect, or may take effect later.
            Stage::WriteDocument => self.stage = Stage::ReadBack,
            Stage::WriteHint => self.stage = Stage::ReadHint,
            _ => {}
        }
    }

    fn on_current_row(&mut self, row: Option<TableRow>) -> SwitchResult<()> {
        let current = match &row {
            Some(row) => Some((row.revision, DocumentRecord::from_row(&row.value)?)),
            None => None,
        };
        let record = current.as_ref().map(|(_, record)| record);
        if let Some(version) = record.and_then(|record| record.version_of(&self.request.nonce)) {
            // The author repeats the request after a lost response: the change is accepted already.
            self.accept(version, row.map(|row| row.value));
            return Ok(());
        }
        self.request.check_author(record)?;
        if record.map_or(0, |record| record.version) != self.request.replaces {
            let record = record.cloned();
            self.end_overtaken(record);
            return Ok(());
        }
        self.current = current;
        self.current_row = row.map(|row| row.value).unwrap_or_default();
        self.stage = Stage::ReadHint;
        Ok(())
    }

    /// Handles the document's row as read after a conflict or a lost response.
    fn on_read_back(&mut self, row: Option<TableRow>) -> SwitchResult<()> {
        let revision = row.as_ref().map_or(RowRevision::ABSENT, |row| row.revision);
        let Some(row) = row.filter(|_| revision > self.expected()) else {
            // Either the write has not taken effect yet or the read was stale; the lost write may
            // still arrive. Since both writes expect the same revision, only the first to arrive
            // takes effect.
            self.stage = Stage::WriteDocument;
            return Ok(());
        };
        let record = DocumentRecord::from_row(&row.value)?;
        if let Some(version) = record.version_of(&self.request.nonce) {
            self.accept(version, Some(row.value));
            return Ok(());
        }
        self.end_overtaken(Some(record));
        Ok(())
    }

    /// Ends the change after another change has replaced the expected version.
    ///
    /// The change is refused if none of its writes can have taken effect, or if the row lists which
    /// change created the version that this one would have created. Otherwise the outcome is
    /// unknown.
    fn end_overtaken(&mut self, current: Option<DocumentRecord>) {
        let new_version = self.request.replaces + 1;
        let recent = current.as_ref().map(|record| &record.recent[..]);
        let lists_new_version = recent
            .unwrap_or_default()
            .iter()
            .any(|change| change.version == new_version);
        if lists_new_version || !self.write_sent {
            self.refuse_conflict(current);
        } else {
            self.abandon();
        }
    }

    fn hint_write(&self) -> SwitchResult<AcceptanceStep> {
        let (expected, mut record) = match &self.hint {
            Some((revision, row)) => (*revision, HintRecord::from_row(row)),
            None => (RowRevision::ABSENT, HintRecord::default()),
        };
        record.add_change(&self.request.service, self.request.replaces + 1);
        let value = serde_json::to_vec(&record)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        Ok(AcceptanceStep::Write {
            key: HINT_KEY.to_owned(),
            expected,
            value: value.into(),
        })
    }

    fn expected(&self) -> RowRevision {
        self.current
            .as_ref()
            .map_or(RowRevision::ABSENT, |(revision, _)| *revision)
    }

    /// The new content of the document's row; identical for every attempt of this machine, so that
    /// a repeated write changes nothing.
    fn new_row(&self) -> SwitchResult<Bytes> {
        let current = self.current.as_ref().map(|(_, record)| record);
        self.request.next_record(current, self.wall).to_row()
    }

    fn accept(&mut self, version: u64, row: Option<Bytes>) {
        assert!(
            version > 0,
            "a change was about to be accepted without a version"
        );
        self.stage = Stage::Ended;
        self.outcome = Some(AcceptanceOutcome::Accepted { version, row });
    }

    fn refuse(&mut self, error: SwitchError, current: Option<DocumentRecord>) {
        // After a write with an unknown outcome, only a conflict proves that the change was
        // refused.
        let is_uncertain = self.write_sent && error.kind != ErrorKind::DocumentConflict;
        let error = if is_uncertain {
            SwitchError::new(ErrorKind::DocumentInDoubt, error.detail)
        } else {
            error
        };
        self.stage = Stage::Ended;
        self.outcome = Some(AcceptanceOutcome::Refused {
            error,
            current: current.map(Box::new),
        });
    }

    fn refuse_conflict(&mut self, current: Option<DocumentRecord>) {
        let detail = match &current {
            Some(record) => format!(
                "the current version is {}, changed by {}; the change replaces version {}",
                record.version, record.changed_by, self.request.replaces
            ),
            None => format!(
                "there is no document; the change replaces version {}",
                self.request.replaces
            ),
        };
        let error = SwitchError::new(ErrorKind::DocumentConflict, detail);
        self.refuse(error, current);
    }

    /// Ends the change after the time limit or when it cannot be determined whether it was written.
    fn abandon(&mut self) {
        let error = if self.write_sent {
            SwitchError::new(
                ErrorKind::DocumentInDoubt,
                "it is unknown whether the change was written; send it again with the same nonce",
            )
        } else {
            SwitchError::new(
                ErrorKind::DocumentNotAccepted,
                "the table does not respond; nothing was written",
            )
        };
        self.refuse(error, None);
    }
}
