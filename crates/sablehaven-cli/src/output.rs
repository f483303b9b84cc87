//! Output of command results as text or JSON.

use serde::Serialize;

use crate::error::CommandError;

/// Prints results in the selected format.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints `value` as JSON if JSON was requested, and otherwise the text.
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

/// Formats a table whose columns are as wide as their widest cell.
pub(crate) fn table<const COLUMNS: usize>(
    header: [&str; COLUMNS],
    rows: impl IntoIterator<Item = [String; COLUMNS]>,
) -> String {
    let mut table_rows = vec![header.map(str::to_owned)];
    table_rows.extend(rows);
    let mut widths = [0; COLUMNS];
    for row in &table_rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in &table_rows {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            line.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
