//! Rows whose JSON the store passes on although it can't be decoded, between rows of others.

use std::fmt::Write as _;

use super::*;
use crate::platform::store_rows::{RowsPage, StoreRow, read_page};
use crate::test_support::run_cases;

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 256;
/// Depths around the limit of the JSON library, which is 128, and the deepest that fits into a row of
/// 64 KiB.
const DEPTHS: [usize; 6] = [100, 127, 128, 200, 10_000, 32_768];

/// The kinds of nesting of the depth `depth`.
fn nested(depth: usize) -> [String; 3] {
    let lists = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let objects = format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth));
    let half = depth / 2;
    let mixed = format!("{}null{}", "[{\"a\":".repeat(half), "}]".repeat(half));
    [lists, objects, mixed]
}

/// Values that the JSON library can't decode, or that have no bytes.
fn odd_values() -> Vec<String> {
    let mut values: Vec<String> = DEPTHS.into_iter().flat_map(nested).collect();
    let plain = [
        "1e400",
        "-1e400",
        "18446744073709551616",
        "99999999999999999999999",
        "9223372036854775808",
        "-1",
        "1.5",
        "\"NaN\"",
        "true",
        "\"\\ud800\"",
        "\"\\udc00\\ud800\"",
        "\"%%%\"",
        "\"e30\"",
        "[1e400]",
        "{\"\\ud800\":[\"\\ud800\"]}",
    ];
    values.extend(plain.map(String::from));
    values
}

/// A page with `odd` between two rows of others.
fn page_with(odd: &[u8]) -> Vec<u8> {
    let row = |key: &str| {
        format!("{{\"table\":\"t\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"e30=\",\"ver\":4}}")
    };
    let (first, last) = (row("a"), row("z"));
    let mut page = format!("{{\"rows\":[{first},").into_bytes();
    page.extend_from_slice(odd);
    page.extend_from_slice(
        format!(",{last}],\"truncated\":false,\"ver\":9,\"now_ms\":1}}").as_bytes(),
    );
    page
}

fn read(odd: &[u8]) -> RowsPage {
    let read = read_page(&page_with(odd), 0);
    let excerpt = String::from_utf8_lossy(&odd[..odd.len().min(80)]);
    read.unwrap_or_else(|fault| panic!("{excerpt}: {fault}"))
}

/// Checks that the page with `odd` has the rows of others, and returns those between them.
fn between(odd: &[u8]) -> Vec<StoreRow> {
    let mut rows = read(odd).view.rows;
    let is_good = |row: &StoreRow, key: &str| {
        row.key == key && row.revision == 4 && row.value.as_deref() == Some(b"{}")
    };
    assert!(is_good(&rows[0], "a"));
    assert!(is_good(&rows[rows.len() - 1], "z"));
    rows.pop();
    rows.remove(0);
    rows
}

/// Guards against one row that blocks its table. The value of a row was nested too deeply, or had a
/// number too large for the JSON library, and no read and no watch of the table succeeded until the
/// row changed: `[1103] … cannot decode a response: recursion limit exceeded`.
#[test]
fn a_row_with_an_odd_value_does_not_affect_the_others() {
    for value in odd_values() {
        let odd = format!("{{\"part\":\"\",\"key\":\"m\",\"ver\":5,\"value\":{value}}}");
        let found = between(odd.as_bytes());
        assert_eq!(found.len(), 1);
        assert_eq!((&*found[0].key, found[0].revision), ("m", 5));
        let bytes = found[0].value.as_deref().expect("the row is present");
        assert!(read_backend_row("m", bytes, StoreTime::default()).is_err());
    }
}

#[test]
fn odd_content_of_other_fields_of_a_row_does_not_affect_the_others() {
    for value in odd_values() {
        let odd = format!("{{\"key\":\"m\",\"ver\":5,\"value\":\"e30=\",\"new\":{value}}}");
        let found = between(odd.as_bytes());
        assert_eq!(found[0].value.as_deref(), Some(&b"{}"[..]));
        for field in ["key", "part", "ver", "deleted"] {
            let mut fields = String::new();
            for (name, usual) in [("key", "\"m\""), ("part", "\"\""), ("deleted", "false")] {
                if name != field {
                    write!(fields, "\"{name}\":{usual},").expect("it is a string");
                }
            }
            let odd = format!("{{{fields}\"{field}\":{value},\"value\":\"e30=\"}}");
            assert!(between(odd.as_bytes()).len() <= 1, "{field}");
        }
    }
}

#[test]
fn an_odd_element_of_the_list_of_rows_does_not_affect_the_others() {
    for value in odd_values() {
        assert!(between(value.as_bytes()).is_empty());
    }
}

/// Guards against a row that can't be named in the log. Its key had a character that no text can
/// have.
#[test]
fn a_row_with_an_odd_key_is_named_and_does_not_affect_the_others() {
    let keys: [&[u8]; 4] = [b"\\ud800", b"m\\udfff/x", b"m\xff\xfe", b"\xed\xa0\x80"];
    for key in keys {
        let mut odd = b"{\"part\":\"\",\"ver\":5,\"value\":\"e30=\",\"key\":\"".to_vec();
        odd.extend_from_slice(key);
        odd.extend_from_slice(b"\"}");
        let found = between(&odd);
        assert_eq!(found.len(), 1);
        assert!(found[0].key.contains(char::REPLACEMENT_CHARACTER));
        let bytes = found[0].value.as_deref().expect("the row is present");
        assert!(read_backend_row(&found[0].key, bytes, StoreTime::default()).is_err());
    }
}

#[test]
fn a_row_with_the_same_field_twice_does_not_affect_the_others() {
    for field in [
        "\"key\":\"m\"",
        "\"value\":\"e30=\"",
        "\"ver\":5",
        "\"part\":\"\"",
    ] {
        let odd = format!("{{\"key\":\"m\",\"value\":\"e30=\",\"ver\":5,\"part\":\"\",{field}}}");
        assert!(between(odd.as_bytes()).len() <= 1, "{field}");
    }
}

#[test]
fn random_bytes_in_a_text_of_a_row_do_not_affect_the_others() {
    run_cases(CASES, CASE_BYTES, |u| {
        let field = *u.choose(&["key", "part", "value", "new"])?;
        let length = u.int_in_range(0..=20)?;
        let mut bytes = u.bytes(length)?.to_vec();
        // The text stays a JSON string.
        bytes.retain(|byte| !matches!(byte, b'"' | b'\\' | 0..=31));
        let mut odd = format!("{{\"{field}\":\"").into_bytes();
        odd.extend_from_slice(&bytes);
        odd.extend_from_slice(b"\",\"ver\":5}");
        assert!(between(&odd).len() <= 1);
        Ok(())
    });
}
