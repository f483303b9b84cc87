//! Straight lines through measured points, by least squares.

use serde::{Deserialize, Serialize};

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// What was measured at it.
    pub y: f64,
}

impl From<(f64, f64)> for Point {
    fn from((x, y): (f64, f64)) -> Self {
        Self { x, y }
    }
}

/// A straight line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Growth of y for each unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// The standard error of the slope; 0 with two points, which say nothing of it.
    pub slope_error: f64,
    /// The share of y's variance that the line explains, from 0 to 1.
    pub explained: f64,
}

impl Line {
    /// The line at x; outside the measured sizes this is an extrapolation.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line to pairs of size and figure; see [`fit`].
pub fn fit_pairs(pairs: &[(f64, f64)]) -> Option<Line> {
    let points: Vec<Point> = pairs.iter().copied().map(Point::from).collect();
    fit(&points)
}

/// Fits a line; `None` with fewer than two different sizes.
pub fn fit(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let sum = |term: fn(f64, f64) -> f64| -> f64 {
        let deviations = points
            .iter()
            .map(|point| (point.x - mean_x, point.y - mean_y));
        deviations.map(|(x, y)| term(x, y)).sum()
    };
    let (xx, xy, yy) = (sum(|x, _| x * x), sum(|x, y| x * y), sum(|_, y| y * y));
    if points.len() < 2 || xx == 0.0 {
        return None;
    }
    let slope = xy / xx;
    let residual = (yy - slope * xy).max(0.0);
    let freedom = count - 2.0;
    Some(Line {
        slope,
        intercept: mean_y - slope * mean_x,
        slope_error: match freedom > 0.0 {
            true => (residual / freedom / xx).sqrt(),
            false => 0.0,
        },
        explained: if yy == 0.0 { 1.0 } else { 1.0 - residual / yy },
    })
}
