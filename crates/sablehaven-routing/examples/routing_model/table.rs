//! Tables of medians and ranges over seeds.

/// The median and the range of a metric over the seeds.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// The minimum.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

impl Summary {
    /// Summarizes the values, of which there is at least one.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = values.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        Self {
            min: sorted[0],
            median: sorted[sorted.len() / 2],
            max: sorted[sorted.len() - 1],
        }
    }
}

/// A table with aligned columns.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headings.
    pub fn new(headings: &[&str]) -> Self {
        Self {
            rows: vec![headings.iter().map(|&heading| heading.to_owned()).collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table as Markdown.
    pub fn print(&self, title: &str) {
        println!("\n{title}\n");
        let widths: Vec<usize> = (0..self.rows[0].len())
            .map(|column| {
                self.rows
                    .iter()
                    .map(|row| row[column].len())
                    .max()
                    .unwrap_or(0)
            })
            .collect();
        for (index, row) in self.rows.iter().enumerate() {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(text, &width)| format!("{text:>width$}"))
                .collect();
            println!("| {} |", cells.join(" | "));
            if index == 0 {
                let separators: Vec<String> =
                    widths.iter().map(|&width| "-".repeat(width)).collect();
                println!("| {} |", separators.join(" | "));
            }
        }
    }
}

/// Formats the median and the range.
pub fn format_summary(summary: Summary, decimals: usize) -> String {
    let Summary { min, median, max } = summary;
    format!("{median:.decimals$} ({min:.decimals$} to {max:.decimals$})")
}

/// Formats the median and the range of shares as percentages.
pub fn format_percentage(summary: Summary, decimals: usize) -> String {
    let scaled = Summary {
        min: summary.min * 100.0,
        median: summary.median * 100.0,
        max: summary.max * 100.0,
    };
    format_summary(scaled, decimals)
}

/// Formats whether all targets were met.
pub fn format_verdict(holds: bool) -> String {
    if holds { "holds" } else { "MISSED" }.to_owned()
}
