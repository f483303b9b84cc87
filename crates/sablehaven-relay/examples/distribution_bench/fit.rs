//! Least-squares line through measured points.

/// `y = intercept + slope * x`, with the standard error of the slope.
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    pub slope_error: f64,
}

/// Fits a line; needs at least three points with different x for an error.
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = covariance / spread_x;
    let intercept = mean_y - slope * mean_x;
    let residual: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    let slope_error = (residual / (count - 2.0) / spread_x).sqrt();
    Line {
        intercept,
        slope,
        slope_error,
    }
}

/// Prints a fit, in the unit of y for each unit of x.
pub fn print(what: &str, unit: &str, points: &[(f64, f64)]) {
    if points.len() < 3 {
        return;
    }
    let line = line(points);
    println!(
        "fit {what}: {:.4} {unit} + ({:.6} ± {:.6}) {unit} per agent, {} points",
        line.intercept,
        line.slope,
        line.slope_error,
        points.len()
    );
}

/// The value below which the given share of the sorted values lies.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let position = (last as f64 * share).round() as usize;
    sorted.get(position).copied().unwrap_or(f64::NAN)
}
