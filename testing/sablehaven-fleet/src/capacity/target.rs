//! The target and its lines, worked out from the slopes.

use super::{CapacityReport, Part, Slope, figure::Figure, lines::projections};
use crate::measure::table::Table;

/// Nodes, each with one agent.
pub const AGENTS: f64 = 7_100.0;
/// Servers.
pub const BACKENDS: f64 = 120_000.0;
/// Queries a second.
pub const QUERIES_PER_SECOND: f64 = 2_100_000.0;
/// Servers that a query goes to.
pub const SHARDS: f64 = 55.0;
/// Configuration changes a day.
pub const CHANGES_PER_DAY: f64 = 32_000.0;
/// Machines that fail a day.
pub const FAILURES_PER_DAY: f64 = 280.0;
/// Machines that are restarted or replaced a day.
pub const RESTARTS_PER_DAY: f64 = 8_300.0;
/// Zones.
pub const ZONES: f64 = 10.0;
/// Relays, of the 18 machines set aside; the others are control replicas.
pub const RELAYS: f64 = 13.0;
/// Readings of the platform's list a second, by control's default settings.
pub const READINGS_PER_SECOND: f64 = 1.0;
/// What a restart or failure changes in the shared state: leaving, gone, back.
pub const RECORDS_PER_MACHINE_EVENT: f64 = 3.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Configuration changes a second.
pub fn changes_per_second() -> f64 {
    CHANGES_PER_DAY / SECONDS_PER_DAY
}

/// Back-end records that change a second, were each machine one server.
pub fn records_per_second() -> f64 {
    (FAILURES_PER_DAY + RESTARTS_PER_DAY) * RECORDS_PER_MACHINE_EVENT / SECONDS_PER_DAY
}

/// Rates that follow from the target by arithmetic alone.
pub fn arithmetic_table() -> Table {
    let sub_requests = QUERIES_PER_SECOND * SHARDS;
    let mut table = Table::new(["by arithmetic", "figure", "unit"]);
    let rows = [
        ("sub-requests", sub_requests / 1e6, "million/s"),
        ("sub-requests of a node", sub_requests / AGENTS, "/s"),
        ("sub-requests of a server", sub_requests / BACKENDS, "/s"),
        ("queries of a node", QUERIES_PER_SECOND / AGENTS, "/s"),
        ("agents of a relay", AGENTS / RELAYS, "agents"),
        ("agents of a zone", AGENTS / ZONES, "agents"),
        ("servers of a zone", BACKENDS / ZONES, "servers"),
        ("configuration changes", changes_per_second(), "/s"),
        (
            "configuration changes in an hour",
            changes_per_second() * 3_600.0,
            "changes",
        ),
        ("back-end records changed", records_per_second(), "/s"),
    ];
    for (what, figure, unit) in rows {
        table.row([what.to_owned(), format!("{figure:.2}"), unit.to_owned()]);
    }
    table
}

/// How a slope is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The line at a size, with what there is at size 0.
    At,
    /// The slope times a size, without what there is at size 0.
    Growth,
}

/// One line of the target: a slope, read at the target's size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Projection {
    /// The role that bears it.
    pub role: &'static str,
    /// What it is.
    pub line: &'static str,
    /// The part that measured the slope.
    pub part: Part,
    /// What was measured.
    pub figure: Figure,
    /// How the slope is read.
    pub reading: Reading,
    /// The target's size.
    pub size: f64,
    /// What the reading is multiplied with, such as events a second.
    pub times: f64,
    /// The unit of the result.
    pub unit: &'static str,
}

/// A projection worked out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Projected {
    /// The figure at the target's size.
    pub figure: f64,
    /// Its standard error, from the slope's.
    pub error: f64,
    /// How many times farther the target's size is than the largest measured one; at most 1 when it
    /// lies inside.
    pub beyond: f64,
}

impl Projection {
    /// Works it out from a slope; `None` without a fitted line.
    pub fn of(&self, slope: &Slope) -> Option<Projected> {
        let line = slope.line?;
        let largest = slope.points.iter().map(|point| point.x).fold(0.0, f64::max);
        let points = slope.points.len() as f64;
        let mean = slope.points.iter().map(|point| point.x).sum::<f64>() / points;
        let (figure, distance) = match self.reading {
            Reading::At => (line.at(self.size), self.size - mean),
            Reading::Growth => (line.slope * self.size, self.size),
        };
        Some(Projected {
            figure: figure * self.times,
            error: (line.slope_error * distance * self.times).abs(),
            beyond: self.size / largest,
        })
    }
}

/// Every projection of the page as a table.
pub fn table(report: &CapacityReport) -> Table {
    let mut table = Table::new([
        "role",
        "line",
        "at",
        "figure",
        "± error",
        "unit",
        "slope of",
        "measured up to",
        "beyond",
    ]);
    for projection in projections() {
        let Some(slope) = report.slope(projection.part, projection.figure) else {
            continue;
        };
        let Some(projected) = projection.of(slope) else {
            continue;
        };
        let largest = slope.points.iter().map(|point| point.x).fold(0.0, f64::max);
        table.row([
            projection.role.to_owned(),
            projection.line.to_owned(),
            format!("{} {}", significant(projection.size), slope.size),
            significant(projected.figure),
            significant(projected.error),
            projection.unit.to_owned(),
            projection.part.name().to_owned(),
            significant(largest),
            match projected.beyond > 1.0 {
                true => format!("extrapolated ×{:.1}", projected.beyond),
                false => "inside".to_owned(),
            },
        ]);
    }
    table
}

/// A figure with about three digits.
fn significant(figure: f64) -> String {
    match figure.abs() {
        size if size >= 100.0 => format!("{figure:.0}"),
        size if size >= 10.0 => format!("{figure:.1}"),
        size if size >= 1.0 => format!("{figure:.2}"),
        size if size >= 0.1 => format!("{figure:.3}"),
        _ => format!("{figure:.4}"),
    }
}
