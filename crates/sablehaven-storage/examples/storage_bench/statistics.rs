//! Medians and straight lines.

/// A straight line through points by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The standard error of the residuals.
    pub residual_error: f64,
}

/// The median; 0 of nothing.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        length if length % 2 == 1 => values[length / 2],
        length => (values[length / 2 - 1] + values[length / 2]) / 2.0,
    }
}

/// Fits a line to at least three points.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let deviations = points.iter().map(|(x, y)| (x - mean_x, y - mean_y));
    let (mut xx, mut xy) = (0.0, 0.0);
    for (x, y) in deviations {
        xx += x * x;
        xy += x * y;
    }
    let slope = xy / xx;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|(x, y)| y - intercept - slope * x);
    let squares: f64 = residuals.map(|residual| residual * residual).sum();
    let residual_error = (squares / (count - 2.0)).sqrt();
    Line {
        intercept,
        slope,
        slope_error: residual_error / xx.sqrt(),
        residual_error,
    }
}
