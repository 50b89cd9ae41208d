//! A table that answers at once, late or not at all, as the driver of the guard decides.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use macro_rules_attribute::apply;

use crate::derives::key;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::stores::{ObjectStore, RowRevision, TableRow, TableStore, WriteResult};

/// What becomes of one operation.
#[apply(key!)]
pub(crate) enum OperationFate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect; the answer is lost.
    AnswerLost,
    /// It takes effect some time later; there is no answer.
    Late,
    /// Nothing happens.
    Away,
}

/// The table.
#[derive(Default)]
pub(crate) struct FateTable {
    state: Mutex<TableState>,
}

#[derive(Default)]
struct TableState {
    rows: Vec<TableRow>,
    revision: u64,
    fates: VecDeque<OperationFate>,
    late: VecDeque<LateChange>,
}

struct LateChange {
    key: String,
    expected: RowRevision,
    value: Option<Bytes>,
}

impl FateTable {
    /// What becomes of the next operations; later ones are answered.
    pub(crate) fn set_fates(&self, fates: &[OperationFate]) {
        self.lock().fates = fates.iter().copied().collect();
    }

    /// The oldest late change takes effect.
    pub(crate) fn land_late(&self) {
        let mut state = self.lock();
        if let Some(change) = state.late.pop_front() {
            state.apply(&change.key, change.expected, change.value);
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(
        &self,
        key: &str,
        expected: RowRevision,
        value: Option<Bytes>,
    ) -> SwitchResult<WriteResult> {
        let mut state = self.lock();
        match state.next_fate() {
            OperationFate::Answered => Ok(state.apply(key, expected, value)),
            OperationFate::AnswerLost => {
                state.apply(key, expected, value);
                Err(away())
            }
            OperationFate::Late => {
                let key = key.to_owned();
                state.late.push_back(LateChange {
                    key,
                    expected,
                    value,
                });
                Err(away())
            }
            OperationFate::Away => Err(away()),
        }
    }
}

impl TableState {
    fn next_fate(&mut self) -> OperationFate {
        self.fates.pop_front().unwrap_or(OperationFate::Answered)
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    fn apply(&mut self, key: &str, expected: RowRevision, value: Option<Bytes>) -> WriteResult {
        let found = self.find(key);
        let standing = found.map_or(RowRevision::ABSENT, |at| self.rows[at].revision);
        if standing != expected {
            return WriteResult::Conflict(found.ok().map(|at| self.rows[at].clone()));
        }
        self.revision += 1;
        let revision = RowRevision(self.revision);
        let (Ok(at) | Err(at)) = found;
        if found.is_ok() {
            self.rows.remove(at);
        }
        if let Some(value) = value {
            let key = key.to_owned();
            self.rows.insert(
                at,
                TableRow {
                    key,
                    revision,
                    value,
                },
            );
        }
        WriteResult::Written(revision)
    }
}

fn away() -> SwitchError {
    SwitchError::new(ErrorKind::TableUnavailable, "away")
}

impl TableStore for FateTable {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, SwitchResult<Option<TableRow>>> {
        async move {
            let mut state = self.lock();
            match state.next_fate() {
                OperationFate::Answered => {
                    Ok(state.find(key).ok().map(|at| state.rows[at].clone()))
                }
                _ => Err(away()),
            }
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, SwitchResult<Vec<TableRow>>> {
        async move {
            let mut state = self.lock();
            if state.next_fate() != OperationFate::Answered {
                return Err(away());
            }
            let rows = state.rows.iter();
            Ok(rows
                .filter(|row| row.key.starts_with(prefix))
                .cloned()
                .collect())
        }
        .boxed()
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: RowRevision,
        value: Bytes,
    ) -> BoxFuture<'a, SwitchResult<WriteResult>> {
        async move { self.change(key, expected, Some(value)) }.boxed()
    }

    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: RowRevision,
    ) -> BoxFuture<'a, SwitchResult<WriteResult>> {
        async move { self.change(key, expected, None) }.boxed()
    }
}

/// An object store that is not needed: the driver's answers are small.
pub(crate) struct NoObjects;

impl ObjectStore for NoObjects {
    fn get<'a>(&'a self, _name: &'a str) -> BoxFuture<'a, SwitchResult<Option<Bytes>>> {
        async { Ok(None) }.boxed()
    }

    fn put<'a>(&'a self, _name: &'a str, _object: Bytes) -> BoxFuture<'a, SwitchResult<()>> {
        async { Err(SwitchError::new(ErrorKind::StoreUnavailable, "away")) }.boxed()
    }
}
