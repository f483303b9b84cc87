//! Tables of medians and spreads over seeds.

/// The median and the range of one figure over the seeds.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The median.
    pub median: f64,
    /// The greatest.
    pub greatest: f64,
}

impl Spread {
    /// The spread of some figures, at least one.
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = figures.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        Self {
            least: sorted[0],
            median: sorted[sorted.len() / 2],
            greatest: sorted[sorted.len() - 1],
        }
    }
}

/// A table that is printed with aligned columns.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column heads.
    pub fn new(heads: &[&str]) -> Self {
        Self {
            rows: vec![heads.iter().map(|&head| head.to_owned()).collect()],
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
                .map(|(cell, &width)| format!("{cell:>width$}"))
                .collect();
            println!("| {} |", cells.join(" | "));
            if index == 0 {
                let rules: Vec<String> = widths.iter().map(|&width| "-".repeat(width)).collect();
                println!("| {} |", rules.join(" | "));
            }
        }
    }
}

/// A cell with the median and the range.
pub fn cell(spread: Spread, decimals: usize) -> String {
    let Spread {
        least,
        median,
        greatest,
    } = spread;
    format!("{median:.decimals$} ({least:.decimals$} to {greatest:.decimals$})")
}

/// A cell of shares, in per cent.
pub fn per_cent(spread: Spread, decimals: usize) -> String {
    let scaled = Spread {
        least: spread.least * 100.0,
        median: spread.median * 100.0,
        greatest: spread.greatest * 100.0,
    };
    cell(scaled, decimals)
}

/// Whether every seed held a bound.
pub fn verdict(holds: bool) -> String {
    if holds { "holds" } else { "MISSED" }.to_owned()
}
