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
const SHOWN_MAX: usize = 200;

/// What was found in a row.
#[derive(Clone, Copy, Debug)]
pub(super) enum RowReading<'a> {
    /// What belongs there.
    Reads,
    /// Something else.
    Unreadable(&'a SwitchError),
    /// There is no such row any more.
    Gone,
}

impl<'a> RowReading<'a> {
    /// What came of reading it.
    pub(super) const fn of<T>(read: &'a SwitchResult<T>) -> Self {
        match read {
            Ok(_) => Self::Reads,
            Err(error) => Self::Unreadable(error),
        }
    }

    const fn word(self) -> &'static str {
        match self {
            Self::Reads => "reads",
            Self::Unreadable(_) => "does not read",
            Self::Gone => "gone",
        }
    }
}

#[apply(plain!)]
#[derive(Eq, PartialOrd, Ord)]
struct RowName {
    table: TableName,
    key: String,
}

/// The rows that do not read.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableRows {
    /// Sorted.
    rows: Vec<RowName>,
}

impl UnreadableRows {
    /// Takes in what was found in a row. Returns whether it has just begun not to read.
    pub(super) fn note(&mut self, table: TableName, key: &str, reading: RowReading<'_>) -> bool {
        let found = self
            .rows
            .binary_search_by(|row| (row.table, &*row.key).cmp(&(table, key)));
        match (found, reading) {
            (Err(at), RowReading::Unreadable(error)) => self.begin(at, (table, key), error),
            (Ok(at), RowReading::Reads | RowReading::Gone) => {
                self.rows.remove(at);
                tell_end(table, key, reading);
                false
            }
            _ => false,
        }
    }

    fn begin(&mut self, at: usize, (table, key): (TableName, &str), error: &SwitchError) -> bool {
        metrics::count_event("rows_unreadable", 1);
        let in_table = self.rows.iter().filter(|row| row.table == table);
        if in_table.count() >= ROWS_MAX {
            return false;
        }
        let row = RowName {
            table,
            key: key.to_owned(),
        };
        self.rows.insert(at, row);
        let (table, key) = (table_word(table), shown(key));
        let detail = shown(&error.to_string());
        log_event!(events::ROW_UNREADABLE, "table={table} key={key} {detail}");
        true
    }

    /// Takes in a read of a whole table: rows that it does not list are gone.
    pub(super) fn keep_listed(&mut self, table: TableName, is_listed: impl Fn(&str) -> bool) {
        self.rows.retain(|row| {
            let stays = row.table != table || is_listed(&row.key);
            if !stays {
                tell_end(table, &row.key, RowReading::Gone);
            }
            stays
        });
    }

    /// Takes in what was found in the system's own rows.
    pub(super) fn note_own(&mut self, own: &OwnRows) {
        for (key, read) in &own.readings {
            self.note(TableName::System, key, RowReading::of(read));
        }
        if own.is_whole {
            let is_listed = |key: &str| own.readings.iter().any(|(listed, _)| listed == key);
            self.keep_listed(TableName::System, is_listed);
        }
    }

    /// How many there are.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }
}

fn tell_end(table: TableName, key: &str, reading: RowReading<'_>) {
    let (table, key) = (table_word(table), shown(key));
    log_event!(
        events::ROW_READABLE,
        "table={table} key={key} {}",
        reading.word()
    );
}

const fn table_word(table: TableName) -> &'static str {
    match table {
        TableName::Operator => "operator",
        TableName::Backends => "backends",
        TableName::System => "own",
        TableName::Crashes => "crashes",
    }
}

/// What others wrote, on one line and not too long for it.
fn shown(text: &str) -> String {
    let start = text.chars().take(SHOWN_MAX);
    start.flat_map(char::escape_debug).collect()
}
