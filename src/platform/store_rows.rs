//! Rows in the store's answers.
//!
//! Each row is read by itself. Others write to the store as well, and one row with bytes that do not
//! decode would else stop its whole table for as long as it stands there: no document, no backend
//! server and no version would be told any more. One would notice `[1103]` while the store answers.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use macro_rules_attribute::apply;
use serde::Deserialize;
use serde_json::Value;

use crate::derives::plain;
use crate::time::StoreTime;

/// What stands for bytes that do not decode: nothing that is kept in a row reads from no bytes.
const UNREADABLE: Bytes = Bytes::new();

/// A row as the store told it.
#[apply(plain!)]
pub(crate) struct StoreRow {
    /// Its key.
    pub(crate) key: String,
    /// The store's revision at which it was last written or removed.
    pub(crate) revision: u64,
    /// Its bytes, empty when they do not decode; none when the row was removed.
    pub(crate) value: Option<Bytes>,
}

/// A table as of one moment.
#[apply(plain!)]
pub(crate) struct TableView {
    /// Its rows, sorted by key.
    pub(crate) rows: Vec<StoreRow>,
    /// The store's revision as of which they were read.
    pub(crate) revision: u64,
    /// What the store's clock showed as it answered.
    pub(crate) told_at: StoreTime,
}

/// Rows in one answer.
#[apply(plain!)]
pub(super) struct RowsPage {
    /// The rows that read as rows.
    pub(super) view: TableView,
    /// Whether more rows follow the last one.
    pub(super) is_truncated: bool,
}

#[derive(Deserialize)]
struct PageText {
    #[serde(default)]
    rows: Vec<Value>,
    #[serde(default)]
    truncated: bool,
    /// The newest revision in the whole store.
    ver: u64,
    /// The store's own clock, which has nothing to do with the time of day.
    now_ms: u64,
}

/// Reads an answer.
///
/// # Errors
///
/// When it is no answer about rows.
pub(super) fn read_page(body: &[u8]) -> serde_json::Result<RowsPage> {
    let text: PageText = serde_json::from_slice(body)?;
    Ok(RowsPage {
        view: TableView {
            rows: text.rows.iter().filter_map(read_row).collect(),
            revision: text.ver,
            told_at: StoreTime::from_millis(text.now_ms),
        },
        is_truncated: text.truncated,
    })
}

/// A row; none for what has no key, so that nobody knows what it would be about, and for one of another
/// part of the table. A watch tells of all parts, and a row of another part is not the one with its key
/// in ours: written there, it would replace a backend server's entry, and removed, end it.
fn read_row(row: &Value) -> Option<StoreRow> {
    let key = row.get("key")?.as_str()?;
    let part = row.get("part").map_or(Some(""), Value::as_str);
    (part == Some("")).then(|| StoreRow {
        key: key.to_owned(),
        revision: row.get("ver").and_then(Value::as_u64).unwrap_or(0),
        value: read_value(row),
    })
}

fn read_value(row: &Value) -> Option<Bytes> {
    if row.get("deleted").and_then(Value::as_bool) == Some(true) {
        return None;
    }
    match row.get("value") {
        None | Some(Value::Null) => None,
        Some(value) => {
            let bytes = value.as_str().and_then(|text| BASE64.decode(text).ok());
            Some(bytes.map_or(UNREADABLE, Bytes::from))
        }
    }
}
