//! How results are printed.

use serde::Serialize;

use crate::error::CommandError;

/// Prints results as text or as JSON.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints the value as JSON if that was asked for, else the text.
    pub(crate) fn print(
        self,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> Result<(), CommandError> {
        if self.json {
            let json = serde_json::to_string_pretty(value).map_err(CommandError::Encode)?;
            println!("{json}");
        } else {
            println!("{}", text().trim_end());
        }
        Ok(())
    }
}

/// Lines of columns, each as wide as its widest cell.
pub(crate) fn table<const COLUMNS: usize>(
    head: [&str; COLUMNS],
    rows: impl IntoIterator<Item = [String; COLUMNS]>,
) -> String {
    let mut lines = vec![head.map(str::to_owned)];
    lines.extend(rows);
    let mut widths = [0; COLUMNS];
    for line in &lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for line in &lines {
        let mut row = String::new();
        for (width, cell) in widths.iter().zip(line) {
            row.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(row.trim_end());
        text.push('\n');
    }
    text
}
