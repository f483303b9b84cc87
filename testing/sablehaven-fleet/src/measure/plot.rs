//! SVG plots.

use std::path::{Path, PathBuf};

use plotters::prelude::*;

use super::fit::{Line, Point};

const SIZE: (u32, u32) = (800, 500);

/// Room above the highest point, as a share of it.
const HEADROOM: f64 = 1.1;

/// Errors of drawing; each names the file.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlotError {
    /// draw plot {path}: {reason}
    Draw {
        /// The file.
        path: PathBuf,
        /// The cause.
        reason: String,
    },
}

/// Named points over one axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The name in the legend.
    pub name: String,
    /// The points.
    pub points: Vec<Point>,
    /// A line through them.
    pub line: Option<Line>,
}

/// The words around a plot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Labels<'a> {
    /// Above it.
    pub title: &'a str,
    /// Under the horizontal axis.
    pub x: &'a str,
    /// Beside the vertical axis.
    pub y: &'a str,
}

/// Draws series into an SVG file.
pub fn draw(path: &Path, labels: Labels<'_>, series: &[Series]) -> Result<(), PlotError> {
    try_draw(path, labels, series).map_err(|error| PlotError::Draw {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

fn try_draw(
    path: &Path,
    labels: Labels<'_>,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|series| &series.points);
    let highest = |value: fn(&Point) -> f64| points().map(value).fold(0.0, f64::max);
    let (x_end, y_end) = (highest(|point| point.x), highest(|point| point.y));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..end(x_end), 0.0..end(y_end))?;
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .draw()?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let circles = series.points.iter();
        let circles = circles.map(|point| Circle::new((point.x, point.y), 4, color.filled()));
        chart
            .draw_series(circles)?
            .label(&series.name)
            .legend(move |(x, y)| Circle::new((x + 10, y), 4, color.filled()));
        if let Some(line) = series.line {
            let ends = [0.0, x_end].map(|x| (x, line.at(x).max(0.0)));
            chart.draw_series(LineSeries::new(ends, color))?;
        }
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn end(highest: f64) -> f64 {
    match highest > 0.0 {
        true => highest * HEADROOM,
        false => 1.0,
    }
}
