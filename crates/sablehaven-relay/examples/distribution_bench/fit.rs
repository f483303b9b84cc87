//! Prints lines through measured points.

use sablehaven_measurements::fit::fit_pairs;

/// Prints a fit, in the unit of y for each unit of x.
pub fn print(what: &str, unit: &str, points: &[(f64, f64)]) {
    let Some(line) = fit_pairs(points).filter(|_| points.len() >= 3) else {
        return;
    };
    println!(
        "fit {what}: {:.4} {unit} + ({:.6} ± {:.6}) {unit} per agent, {} points",
        line.intercept,
        line.slope,
        line.slope_error,
        points.len()
    );
}
