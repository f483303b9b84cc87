//! Medians and spreads over repeats.

use serde::{Deserialize, Serialize};

/// One figure over several repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The figure of each repeat, in the order in which they ran.
    pub values: Vec<f64>,
    /// The median.
    pub median: f64,
    /// The smallest.
    pub smallest: f64,
    /// The largest.
    pub largest: f64,
}

impl Spread {
    /// The spread of these values; `None` if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Self> {
        let values: Vec<f64> = values.into_iter().collect();
        let mut sorted = values.clone();
        sorted.sort_by(f64::total_cmp);
        let (smallest, largest) = (*sorted.first()?, *sorted.last()?);
        let middle = sorted.len() / 2;
        let median = match sorted.len().is_multiple_of(2) {
            true => (sorted[middle - 1] + sorted[middle]) / 2.0,
            false => sorted[middle],
        };
        Some(Self {
            values,
            median,
            smallest,
            largest,
        })
    }

    /// The ratios of paired repeats, candidate over baseline; pairs whose baseline is 0 are left out.
    pub fn of_ratios(candidate: &Self, baseline: &Self) -> Option<Self> {
        let pairs = candidate.values.iter().zip(&baseline.values);
        let ratios = pairs.filter(|(_, baseline)| **baseline != 0.0);
        Self::of(ratios.map(|(candidate, baseline)| candidate / baseline))
    }
}

/// The median; 0 of nothing.
pub fn median(values: &[f64]) -> f64 {
    Spread::of(values.iter().copied()).map_or(0.0, |spread| spread.median)
}

/// The value below which the given share of values lies, which are ascending; `None` if there are
/// none.
pub fn quantile(ascending: &[f64], share: f64) -> Option<f64> {
    let last = ascending.len().checked_sub(1)?;
    let position = (last as f64 * share).round() as usize;
    ascending.get(position).copied()
}
