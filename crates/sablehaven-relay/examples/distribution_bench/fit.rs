//! Prints straight lines fitted to the measured points.

use sablehaven_measurements::fit::fit_pairs;

/// Prints the line fitted to at least three points: the intercept in `unit`, and the slope with its
/// standard error in `unit` per agent.
pub fn print(quantity: &str, unit: &str, points: &[(f64, f64)]) {
    let Some(line) = fit_pairs(points).filter(|_| points.len() >= 3) else {
        return;
    };
    println!(
        "fit {quantity}: {:.4} {unit} + ({:.6} ± {:.6}) {unit} per agent, {} points",
        line.intercept,
        line.slope,
        line.slope_error,
        points.len()
    );
}
