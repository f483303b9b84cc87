//! The slopes, the tables of the capacity page and their files.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::{
    measure::{
        fit::{Line, Point, fit},
        plot::{Labels, Series, draw},
        table::Table,
    },
    world::FleetError,
};

/// One measured figure over one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What was measured.
    pub what: String,
    /// Its unit.
    pub unit: String,
    /// What the size counts.
    pub size: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The line through them.
    pub line: Option<Line>,
}

/// Gathers the points of a slope.
pub(super) struct SlopeBuilder {
    slope: Slope,
}

impl SlopeBuilder {
    pub(super) fn new(what: &str, unit: &str, size: &str) -> Self {
        let slope = Slope {
            what: what.to_owned(),
            unit: unit.to_owned(),
            size: size.to_owned(),
            points: Vec::new(),
            line: None,
        };
        Self { slope }
    }

    pub(super) fn add(&mut self, size: u32, y: f64) {
        let x = f64::from(size);
        self.slope.points.push(Point { x, y });
    }

    /// The figure at the last size; 0 before the first.
    pub(super) fn last(&self) -> f64 {
        self.slope.points.last().map_or(0.0, |point| point.y)
    }

    pub(super) fn finish(mut self) -> Slope {
        self.slope.line = fit(&self.slope.points);
        self.slope
    }
}

/// Every slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The slopes.
    pub slopes: Vec<Slope>,
}

/// A size of the target, at which slopes are extrapolated.
const TARGETS: [(&str, f64); 2] = [("agents", 7_100.0), ("back ends", 120_000.0)];

impl CapacityReport {
    /// Every slope with its points, its fit and its fit's error.
    pub fn slope_table(&self) -> Table {
        let mut table = Table::new([
            "what",
            "unit",
            "points (size: figure)",
            "at 0",
            "for each 1000",
            "error",
            "explained",
        ]);
        for slope in &self.slopes {
            let points: Vec<_> = slope.points.iter().map(describe).collect();
            let mut cells = vec![slope.what.clone(), slope.unit.clone(), points.join(" ")];
            if let Some(line) = slope.line {
                cells.push(format!("{:.2}", line.intercept));
                cells.push(format!("{:.3}", line.slope * 1_000.0));
                cells.push(format!("{:.3}", line.slope_error * 1_000.0));
                cells.push(format!("{:.3}", line.explained));
            }
            table.row(cells);
        }
        table
    }

    /// Every slope extrapolated to the target's size, as if one process carried it all.
    pub fn target_table(&self) -> Table {
        let mut table = Table::new(["extrapolated to the target", "size", "figure", "unit"]);
        for slope in &self.slopes {
            let target = TARGETS.iter().find(|(size, _)| *size == slope.size);
            let (Some((_, size)), Some(line)) = (target, slope.line) else {
                continue;
            };
            table.row([
                slope.what.clone(),
                format!("{size} {}", slope.size),
                format!("{:.1}", line.at(*size)),
                slope.unit.clone(),
            ]);
        }
        table
    }
}

fn describe(point: &Point) -> String {
    format!("{}: {:.2}", point.x, point.y)
}

/// Writes `capacity.json` and one plot a slope into a folder; gives the files.
pub fn write(report: &CapacityReport, folder: &Path) -> Result<Vec<PathBuf>, FleetError> {
    let write_error = |path: &Path, source| FleetError::Write {
        path: path.to_owned(),
        source,
    };
    std::fs::create_dir_all(folder).map_err(|source| write_error(folder, source))?;
    let json = folder.join("capacity.json");
    let text = serde_json::to_string_pretty(report);
    let text = text.map_err(|error| FleetError::step("encode report", error))?;
    std::fs::write(&json, text).map_err(|source| write_error(&json, source))?;
    let mut files = vec![json];
    for (slope, number) in report.slopes.iter().zip(1..) {
        let path = folder.join(format!("capacity-{number:02}.svg"));
        let labels = Labels {
            title: &slope.what,
            x: &slope.size,
            y: &slope.unit,
        };
        let series = Series {
            name: slope.what.clone(),
            points: slope.points.clone(),
            line: slope.line,
        };
        draw(&path, labels, &[series])?;
        files.push(path);
    }
    Ok(files)
}
