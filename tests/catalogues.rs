//! The catalogues of errors and events in `docs/` match the code.

use std::fs;

use savoryswitch::{ErrorKind, RetryAdvice, catalogue, error_spec};

fn page(name: &str) -> String {
    let path = format!("{}/docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).expect("the page is readable")
}

fn table_rows(page: &str, first_column: impl Fn(&str) -> bool) -> Vec<&str> {
    let is_row = |line: &&str| line.strip_prefix("| ").is_some_and(&first_column);
    page.lines().filter(is_row).collect()
}

#[test]
fn errors_page_matches_the_table() {
    let text = page("ERRORS.md");
    let shown = table_rows(&text, |row| row.starts_with('`'));
    let expected: Vec<String> = ErrorKind::ALL.iter().map(|kind| error_row(*kind)).collect();
    assert_eq!(shown, expected);
}

fn error_row(kind: ErrorKind) -> String {
    let row = error_spec(kind);
    let advice = match row.retry {
        RetryAdvice::Never => "no use".to_owned(),
        RetryAdvice::After(wait) => format!("after {} ms", wait.as_millis()),
        RetryAdvice::RepeatableAfter(wait) => {
            format!("if repeatable, after {} ms", wait.as_millis())
        }
    };
    format!(
        "| `{}` | {} | {} | {advice} | {} |",
        row.code,
        row.status,
        row.outcome.as_str(),
        row.text
    )
}

#[test]
fn error_codes_equal_the_names_of_their_kinds() {
    for kind in ErrorKind::ALL {
        let name = serde_json::to_value(kind).expect("a kind serialises to its name");
        assert_eq!(name, error_spec(kind).code);
    }
}

#[test]
fn events_page_matches_the_catalogue() {
    let text = page("EVENTS.md");
    let shown = table_rows(&text, |row| {
        row.starts_with(|first: char| first.is_ascii_digit())
    });
    let expected: Vec<String> = catalogue()
        .iter()
        .map(|event| format!("| {:04} | {} | {} |", event.number, event.level, event.text))
        .collect();
    assert_eq!(shown, expected);
}

#[test]
fn event_numbers_are_unique() {
    let events = catalogue();
    assert!(
        events
            .windows(2)
            .all(|pair| pair[0].number != pair[1].number)
    );
}
