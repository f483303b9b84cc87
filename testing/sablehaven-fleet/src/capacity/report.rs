//! Slopes, their tables and their files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use super::{Part, figure::Figure, load_average, subsets::SubsetRow};
use crate::{
    measure::{
        fit::{Line, Point, fit},
        plot::{Labels, Series, draw},
        table::Table,
    },
    world::FleetError,
};

/// The file of a report in its folder.
const FILE: &str = "capacity.json";

/// One measured figure over one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The part that measured it.
    pub part: Part,
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
    /// The greatest load average of the machine at any of the points.
    pub load_average: f64,
}

/// The slopes of one part, over one size.
#[derive(Clone, Debug, PartialEq)]
pub struct SlopeSet {
    part: Part,
    size: String,
    slopes: Vec<Slope>,
}

impl SlopeSet {
    /// No slopes yet.
    pub fn new(part: Part, size: &str) -> Self {
        Self {
            part,
            size: size.to_owned(),
            slopes: Vec::new(),
        }
    }

    /// Adds a point.
    pub fn add(&mut self, figure: Figure, x: f64, y: f64) {
        let size = self.size.clone();
        self.add_over(&size, figure, x, y);
    }

    /// Adds a point over another size than the set's.
    pub fn add_over(&mut self, size: &str, figure: Figure, x: f64, y: f64) {
        let load_average = load_average::read();
        let slope = self.slope_mut(size, figure);
        slope.points.push(Point { x, y });
        slope.line = fit(&slope.points);
        slope.load_average = slope.load_average.max(load_average);
    }

    fn slope_mut(&mut self, size: &str, figure: Figure) -> &mut Slope {
        let known = |slope: &Slope| slope.what == figure.what && slope.size == size;
        let position = self.slopes.iter().position(known);
        let position = position.unwrap_or_else(|| {
            self.slopes.push(Slope {
                part: self.part,
                what: figure.what.to_owned(),
                unit: figure.unit.to_owned(),
                size: size.to_owned(),
                points: Vec::new(),
                line: None,
                load_average: 0.0,
            });
            self.slopes.len() - 1
        });
        &mut self.slopes[position]
    }
}

/// Every slope.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The slopes.
    pub slopes: Vec<Slope>,
    /// Connections under subsetting, computed.
    pub subsets: Vec<SubsetRow>,
}

impl CapacityReport {
    /// Reads the report of a folder; an empty one if there is none.
    pub fn read(folder: &Path) -> Result<Self, FleetError> {
        let path = folder.join(FILE);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(error) => return Err(FleetError::step(&format!("read {}", path.display()), error)),
        };
        let report = serde_json::from_str(&text);
        report.map_err(|error| FleetError::step(&format!("decode {}", path.display()), error))
    }

    /// Takes a part's slopes in place of those that it had.
    pub fn replace(&mut self, set: SlopeSet) {
        self.slopes.retain(|slope| slope.part != set.part);
        self.slopes.extend(set.slopes);
        self.slopes.sort_by_key(|slope| slope.part);
    }

    /// A part's slope of a figure.
    pub fn slope(&self, part: Part, figure: Figure) -> Option<&Slope> {
        let mut slopes = self.slopes.iter();
        slopes.find(|slope| slope.part == part && slope.what == figure.what)
    }

    /// Every slope with its points, its fit and its fit's error.
    pub fn slope_table(&self) -> Table {
        let mut table = Table::new([
            "part",
            "what",
            "unit",
            "points (size: figure)",
            "at 0",
            "for each 1000",
            "error",
            "explained",
            "load",
        ]);
        for slope in &self.slopes {
            let points: Vec<_> = slope.points.iter().map(describe).collect();
            let mut cells = vec![
                slope.part.name().to_owned(),
                slope.what.clone(),
                slope.unit.clone(),
                format!("{}: {}", slope.size, points.join(" ")),
            ];
            cells.extend(match slope.line {
                Some(line) => [
                    format!("{:.3}", line.intercept),
                    format!("{:.3}", line.slope * 1_000.0),
                    format!("{:.3}", line.slope_error * 1_000.0),
                    format!("{:.3}", line.explained),
                ],
                None => ["", "", "", ""].map(str::to_owned),
            });
            cells.push(format!("{:.0}", slope.load_average));
            table.row(cells);
        }
        table
    }

    /// Writes the report and one plot a slope into a folder; gives the files.
    pub fn write(&self, folder: &Path) -> Result<Vec<PathBuf>, FleetError> {
        let write_error = |path: &Path, source| FleetError::Write {
            path: path.to_owned(),
            source,
        };
        fs::create_dir_all(folder).map_err(|source| write_error(folder, source))?;
        let json = folder.join(FILE);
        let text = serde_json::to_string_pretty(self);
        let text = text.map_err(|error| FleetError::step("encode report", error))?;
        fs::write(&json, text).map_err(|source| write_error(&json, source))?;
        let mut files = vec![json];
        for (slope, number) in self.slopes.iter().zip(1..) {
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
}

fn describe(point: &Point) -> String {
    format!("{:.4}", point.x)
        .trim_end_matches('0')
        .trim_end_matches('.')
        .to_owned()
        + &format!(" → {:.2}", point.y)
}
