//! The store's rows that do not read, so that the log tells when one begins and when it ends.

use macro_rules_attribute::apply;

use super::events;
use super::own_rows::OwnRows;
use crate::derives::plain;
use crate::errors::{SwitchError, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::platform::TableName;

/// Rows of one table that are remembered. Others may write any number of them; of those beyond this one
/// only the counter tells. Each table has its own, so that many entries of backend servers do not hide
/// that the document stopped reading.
const ROWS_MAX: usize = 256;
/// Characters of what others wrote that go into one line of the log.
const EXCERPT_MAX: usize = 200;

/// What was found in a row.
#[derive(Clone, Copy, Debug)]
pub(super) enum RowStatus<'a> {
    /// What belongs there.
    Readable,
    /// Something else.
    Unreadable(&'a SwitchError),
    /// There is no such row any more.
    Removed,
}

impl<'a> RowStatus<'a> {
    /// What came of reading it.
    pub(super) const fn of<T>(read: &'a SwitchResult<T>) -> Self {
        match read {
            Ok(_) => Self::Readable,
            Err(error) => Self::Unreadable(error),
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::Readable => "readable",
            Self::Unreadable(_) => "unreadable",
            Self::Removed => "removed",
        }
    }
}

#[apply(plain!)]
#[derive(Eq, PartialOrd, Ord)]
struct RowKey {
    table: TableName,
    key: String,
}

/// The rows that do not read.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableRows {
    /// Sorted.
    rows: Vec<RowKey>,
}

impl UnreadableRows {
    /// Takes in what was found in a row. Returns whether it has just begun not to read.
    pub(super) fn note(&mut self, table: TableName, key: &str, status: RowStatus<'_>) -> bool {
        let found = self
            .rows
            .binary_search_by(|row| (row.table, &*row.key).cmp(&(table, key)));
        match (found, status) {
            (Err(at), RowStatus::Unreadable(error)) => self.add(at, (table, key), error),
            (Ok(at), RowStatus::Readable | RowStatus::Removed) => {
                self.rows.remove(at);
                log_end(table, key, status);
                false
            }
            _ => false,
        }
    }

    fn add(&mut self, at: usize, (table, key): (TableName, &str), error: &SwitchError) -> bool {
        metrics::count_event("rows_unreadable", 1);
        let in_table = self.rows.iter().filter(|row| row.table == table);
        if in_table.count() >= ROWS_MAX {
            return false;
        }
        let row = RowKey {
            table,
            key: key.to_owned(),
        };
        self.rows.insert(at, row);
        let (table, key) = (table_label(table), excerpt(key));
        let detail = excerpt(&error.to_string());
        log_event!(events::ROW_UNREADABLE, "table={table} key={key} {detail}");
        true
    }

    /// Takes in a read of a whole table: rows that it does not list are gone.
    pub(super) fn keep_listed(&mut self, table: TableName, is_listed: impl Fn(&str) -> bool) {
        self.rows.retain(|row| {
            let stays = row.table != table || is_listed(&row.key);
            if !stays {
                log_end(table, &row.key, RowStatus::Removed);
            }
            stays
        });
    }

    /// Takes in what was found in the system's own rows.
    pub(super) fn note_own(&mut self, own: &OwnRows) {
        for (key, read) in &own.read_results {
            self.note(TableName::Own, key, RowStatus::of(read));
        }
        if own.is_complete {
            let is_listed = |key: &str| own.read_results.iter().any(|(listed, _)| listed == key);
            self.keep_listed(TableName::Own, is_listed);
        }
    }

    /// How many there are.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }
}

fn log_end(table: TableName, key: &str, status: RowStatus<'_>) {
    let (table, key) = (table_label(table), excerpt(key));
    log_event!(
        events::ROW_READABLE,
        "table={table} key={key} {}",
        status.label()
    );
}

const fn table_label(table: TableName) -> &'static str {
    match table {
        TableName::Operator => "operator",
        TableName::Backends => "backends",
        TableName::Own => "own",
        TableName::Crashes => "crashes",
    }
}

/// What others wrote, on one line and not too long for it.
fn excerpt(text: &str) -> String {
    let start = text.chars().take(EXCERPT_MAX);
    start.flat_map(char::escape_debug).collect()
}
