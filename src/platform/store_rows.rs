//! Rows in the store's responses.
//!
//! Each row is decoded on its own, and each of its fields. Other programs write to the store too, and
//! if one undecodable row failed the response, its table could not be read until the row changed:
//! entry hosts would get no new document, backend server or target version. They would log `[1103]`
//! although the store responds.
//!
//! The JSON library skips a value of any depth and with any number, but can't decode one that is
//! nested deeper than 128 levels, has a number out of range, or has a text that is not valid Unicode.
//! The rows and their fields are therefore skipped first, and then decoded one by one.

use std::borrow::Cow;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use macro_rules_attribute::apply;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use serde_json::value::RawValue;

use super::json_object::JsonObject;
use super::store_revision::revision_in;
use crate::derives::plain;
use crate::metrics;
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
    /// The last key, of those that are valid text; none if there is none.
    pub(super) last_key: Option<String>,
}

#[derive(Deserialize)]
struct PageText<'a> {
    #[serde(borrow, default)]
    rows: Vec<&'a RawValue>,
    #[serde(default)]
    truncated: bool,
    /// The newest revision in all tables of the store.
    ver: u64,
    /// The store's own clock, which is unrelated to the time of day.
    now_ms: u64,
}

/// A row whose fields are not decoded yet.
#[derive(Deserialize)]
struct RowText<'a> {
    #[serde(borrow)]
    key: Option<&'a RawValue>,
    #[serde(borrow)]
    part: Option<&'a RawValue>,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
    #[serde(borrow)]
    ver: Option<&'a RawValue>,
    #[serde(borrow)]
    deleted: Option<&'a RawValue>,
}

/// Decodes a response of the store in `era`.
///
/// # Errors
///
/// If the response is not JSON, or lacks the revision or the time.
pub(super) fn read_page(body: &[u8], era: u64) -> serde_json::Result<RowsPage> {
    let body = String::from_utf8_lossy(body);
    let text: PageText<'_> = serde_json::from_str(&body)?;
    // Where invalid bytes were replaced, the key is not exact.
    let is_replaced = matches!(body, Cow::Owned(_));
    let mut last_key = None;
    let mut rows: Vec<StoreRow> = Vec::with_capacity(text.rows.len());
    for row in &text.rows {
        let Some((mut row, is_exact)) = read_row(row, era) else {
            continue;
        };
        if is_exact && !(is_replaced && row.key.contains(char::REPLACEMENT_CHARACTER)) {
            last_key = Some(row.key.clone());
        } else {
            row.value = row.value.map(|_| UNDECODABLE);
        }
        rows.push(row);
    }
    Ok(RowsPage {
        last_key,
        view: TableView {
            rows,
            revision: revision_in(era, text.ver),
            store_time: StoreTime::from_millis(text.now_ms),
        },
        is_truncated: text.truncated,
    })
}

/// Decodes a row; returns it and whether its key is exact. Returns none if it has no key or belongs to
/// another part of the table.
///
/// A watch reports all parts of a table, and the same key in another part is a different row. If
/// such a row counted, a write to it would replace the entry of a backend server, and its removal
/// would remove the backend server.
fn read_row(row: &RawValue, era: u64) -> Option<(StoreRow, bool)> {
    let Some((text, (key, is_exact))) = read_fields(row) else {
        // A log line could not say which row it is.
        metrics::count_event("rows_without_key", 1);
        return None;
    };
    let part = text.part.map_or(Some(String::new()), decode);
    if part.as_deref() != Some("") {
        return None;
    }
    let row = StoreRow {
        key,
        revision: revision_in(era, text.ver.and_then(decode).unwrap_or(0)),
        value: read_value(&text),
    };
    Some((row, is_exact))
}

/// The fields of a row, its key, and whether that is exact.
fn read_fields(row: &RawValue) -> Option<(RowText<'_>, (String, bool))> {
    let text = serde_json::from_str::<JsonObject<RowText<'_>>>(row.get());
    let text = text.ok()?.0;
    let key = read_key(text.key?)?;
    Some((text, key))
}

/// The key of a row, and whether it is exact. Characters that no text can have are replaced, so that
/// the log can name the row.
fn read_key(key: &RawValue) -> Option<(String, bool)> {
    if let Some(text) = decode(key) {
        return Some((text, true));
    }
    // The library also decodes a list of numbers as bytes.
    let bytes: ByteBuf = key.get().starts_with('"').then(|| decode(key)).flatten()?;
    Some((String::from_utf8_lossy(&bytes).into_owned(), false))
}

/// The value of a row; none if the row was removed or has no value.
fn read_value(text: &RowText<'_>) -> Option<Bytes> {
    if text.deleted.and_then(decode) == Some(true) {
        return None;
    }
    let bytes = decode::<String>(text.value?).and_then(|text| BASE64.decode(text).ok());
    Some(bytes.map_or(UNDECODABLE, Bytes::from))
}

fn decode<T: DeserializeOwned>(field: &RawValue) -> Option<T> {
    serde_json::from_str(field.get()).ok()
}
