//! Plain text tables.

use std::fmt;

/// A table whose first column is words and whose others are figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these columns.
    pub fn new<Cell: ToString>(header: impl IntoIterator<Item = Cell>) -> Self {
        Self {
            header: header.into_iter().map(|cell| cell.to_string()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row<Cell: ToString>(&mut self, cells: impl IntoIterator<Item = Cell>) {
        self.rows
            .push(cells.into_iter().map(|cell| cell.to_string()).collect());
    }

    /// The table as Markdown, for a page.
    pub fn markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let rule = vec!["---".to_owned(); self.header.len()];
        let rows: String = self.rows.iter().map(|row| line(row)).collect();
        line(&self.header) + &line(&rule) + &rows
    }

    fn widths(&self) -> Vec<usize> {
        let lines = || std::iter::once(&self.header).chain(&self.rows);
        let columns = lines().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = lines().filter_map(move |line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for line in std::iter::once(&self.header).chain(&self.rows) {
            let mut text = String::new();
            for (column, (cell, width)) in line.iter().zip(&widths).enumerate() {
                match column {
                    0 => text.push_str(&format!("{cell:<width$}")),
                    _ => text.push_str(&format!("  {cell:>width$}")),
                }
            }
            writeln!(formatter, "{}", text.trim_end())?;
        }
        Ok(())
    }
}
