//! A straight line through measured points, by least squares.

/// The line and how well it is known.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
}

/// Fits a line through at least three points.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum = |term: &dyn Fn(f64, f64) -> f64| {
        let terms = points.iter().map(|(x, y)| term(x - mean_x, y - mean_y));
        terms.sum::<f64>()
    };
    let xx = sum(&|x, _| x * x);
    let slope = sum(&|x, y| x * y) / xx;
    let residual = sum(&|x, y| (y - slope * x).powi(2));
    Line {
        slope,
        intercept: mean_y - slope * mean_x,
        slope_error: (residual / (count - 2.0) / xx).sqrt(),
        r_squared: 1.0 - residual / sum(&|_, y| y * y),
    }
}
