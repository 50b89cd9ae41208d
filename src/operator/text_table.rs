//! Plain-text tables on standard output.

/// Prints `rows` below the column headings `headings`. Each column is as wide as its widest cell.
pub(super) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = headings
        .iter()
        .map(|heading| heading.chars().count())
        .collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headings: Vec<String> = headings.iter().map(ToString::to_string).collect();
    print_row(&headings, &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row(cells: &[String], widths: &[usize]) {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    println!("{}", padded.join("  ").trim_end());
}

/// The text of an optional cell; `-` if it is empty.
pub(super) fn cell<T: ToString>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}
