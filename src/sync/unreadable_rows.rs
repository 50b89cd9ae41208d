//! Tracks unreadable rows of the store, so that the log shows once when a row becomes unreadable
//! and once when that ends.

use macro_rules_attribute::apply;

use super::events;
use super::own_rows::OwnRows;
use crate::derives::plain;
use crate::errors::{SwitchError, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::platform::TableName;

/// Limit of remembered rows per table, since other writers may write any number of them. Further
/// ones only increase a counter. Each table has its own limit, so that many entries of backend
/// servers don't hide an unreadable document.
const ROWS_MAX: usize = 256;
/// Limit of characters of foreign text in one log line.
const EXCERPT_MAX: usize = 200;

/// State of a row that was read.
#[derive(Clone, Copy, Debug)]
pub(super) enum RowStatus<'a> {
    /// The row could be decoded.
    Readable,
    /// The row could not be decoded.
    Unreadable(&'a SwitchError),
    /// The row no longer exists.
    Removed,
}

impl<'a> RowStatus<'a> {
    /// The state that follows from the result of decoding the row.
    pub(super) const fn of<T>(read: &'a SwitchResult<T>) -> Self {
        match read {
            Ok(_) => Self::Readable,
            Err(error) => Self::Unreadable(error),
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::Readable => "reads",
            Self::Unreadable(_) => "does not read",
            Self::Removed => "gone",
        }
    }
}

#[apply(plain!)]
#[derive(Eq, PartialOrd, Ord)]
struct RowKey {
    table: TableName,
    key: String,
}

/// The unreadable rows.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableRows {
    /// Sorted.
    rows: Vec<RowKey>,
}

impl UnreadableRows {
    /// Records the state of a row. Returns true if it is newly unreadable and logged.
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

    /// Merges a full read of a table: rows that it does not list are removed.
    pub(super) fn keep_listed(&mut self, table: TableName, is_listed: impl Fn(&str) -> bool) {
        self.rows.retain(|row| {
            let stays = row.table != table || is_listed(&row.key);
            if !stays {
                log_end(table, &row.key, RowStatus::Removed);
            }
            stays
        });
    }

    /// Records the states of the system's own rows.
    pub(super) fn note_own(&mut self, own: &OwnRows) {
        for (key, read) in &own.read_results {
            self.note(TableName::System, key, RowStatus::of(read));
        }
        if own.is_complete {
            let is_listed = |key: &str| own.read_results.iter().any(|(listed, _)| listed == key);
            self.keep_listed(TableName::System, is_listed);
        }
    }

    /// The number of unreadable rows.
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
        TableName::System => "own",
        TableName::Crashes => "crashes",
    }
}

/// An excerpt of foreign text, escaped so that it fits on one log line.
fn excerpt(text: &str) -> String {
    let start = text.chars().take(EXCERPT_MAX);
    start.flat_map(char::escape_debug).collect()
}
