//! Rows in the store's responses.
//!
//! Each row is decoded on its own. Other programs write to the store too, and if one undecodable
//! row failed the response, its table could not be read until the row changed: entry hosts would
//! get no new document, backend server or target version. They would log `[1103]` although the
//! store responds.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use macro_rules_attribute::apply;
use serde::Deserialize;
use serde_json::Value;

use super::store_revision::revision_in;
use crate::derives::plain;
use crate::time::StoreTime;

/// The value of a row whose bytes do not decode. No kind of row is valid with an empty value.
const UNDECODABLE: Bytes = Bytes::new();

/// A row as the store reported it.
#[apply(plain!)]
pub(crate) struct StoreRow {
    /// The key, unique in the table.
    pub(crate) key: String,
    /// The store's revision of the last write or removal, in the era of the response.
    pub(crate) revision: u64,
    /// The value; empty if its bytes do not decode, none if the row was removed.
    pub(crate) value: Option<Bytes>,
}

/// Rows of a table as of one revision of the store.
#[apply(plain!)]
pub(crate) struct TableView {
    /// The rows: of a table sorted by key, of a watch in the order of the changes.
    pub(crate) rows: Vec<StoreRow>,
    /// The store's revision when it read the rows.
    pub(crate) revision: u64,
    /// The time of the store's clock at its response.
    pub(crate) store_time: StoreTime,
}

/// The rows of one response.
#[apply(plain!)]
pub(super) struct RowsPage {
    /// The rows that have a key and belong to the part of the table that this system uses.
    pub(super) view: TableView,
    /// Whether the table has more rows after the last one.
    pub(super) is_truncated: bool,
}

#[derive(Deserialize)]
struct PageText {
    #[serde(default)]
    rows: Vec<Value>,
    #[serde(default)]
    truncated: bool,
    /// The newest revision in all tables of the store.
    ver: u64,
    /// The store's own clock, which is unrelated to the time of day.
    now_ms: u64,
}

/// Decodes a response of the store in `era`.
///
/// # Errors
///
/// If the response is not JSON, or lacks the revision or the time.
pub(super) fn read_page(body: &[u8], era: u64) -> serde_json::Result<RowsPage> {
    let text: PageText = serde_json::from_slice(body)?;
    Ok(RowsPage {
        view: TableView {
            rows: text
                .rows
                .iter()
                .filter_map(|row| read_row(row, era))
                .collect(),
            revision: revision_in(era, text.ver),
            store_time: StoreTime::from_millis(text.now_ms),
        },
        is_truncated: text.truncated,
    })
}

/// Decodes a row. Returns none if it has no key or belongs to another part of the table.
///
/// A watch reports all parts of a table, and the same key in another part is a different row. If
/// such a row counted, a write to it would replace the entry of a backend server, and its removal
/// would remove the backend server.
fn read_row(row: &Value, era: u64) -> Option<StoreRow> {
    let key = row.get("key")?.as_str()?;
    let part = row.get("part").map_or(Some(""), Value::as_str);
    (part == Some("")).then(|| StoreRow {
        key: key.to_owned(),
        revision: revision_in(era, row.get("ver").and_then(Value::as_u64).unwrap_or(0)),
        value: read_value(row),
    })
}

/// The value of a row; none if the row was removed or has no value.
fn read_value(row: &Value) -> Option<Bytes> {
    if row.get("deleted").and_then(Value::as_bool) == Some(true) {
        return None;
    }
    match row.get("value") {
        None | Some(Value::Null) => None,
        Some(value) => {
            let bytes = value.as_str().and_then(|text| BASE64.decode(text).ok());
            Some(bytes.map_or(UNDECODABLE, Bytes::from))
        }
    }
}
