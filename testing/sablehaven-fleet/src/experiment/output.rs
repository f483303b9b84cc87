//! Writes an experiment's report: JSON and one SVG plot a figure.

use std::path::{Path, PathBuf};

use super::{ExperimentReport, Repeat, figures::Contender, report::figure_values};
use crate::{
    measure::{
        fit::Point,
        plot::{Labels, Series, draw},
    },
    world::FleetError,
};

/// Writes `<experiment>.json` and `<experiment>-<figure>.svg` into a folder; gives the files.
pub fn write(report: &ExperimentReport, folder: &Path) -> Result<Vec<PathBuf>, FleetError> {
    let write_error = |path: &Path, source| FleetError::Write {
        path: path.to_owned(),
        source,
    };
    std::fs::create_dir_all(folder).map_err(|source| write_error(folder, source))?;
    let json = folder.join(format!("{}.json", report.experiment));
    let text = serde_json::to_string_pretty(report);
    let text = text.map_err(|error| FleetError::step("encode report", error))?;
    std::fs::write(&json, text).map_err(|source| write_error(&json, source))?;
    let mut files = vec![json];
    for (figure, value) in figure_values() {
        let path = folder.join(format!("{}-{}.svg", report.experiment, file_name(figure)));
        let labels = Labels {
            title: figure,
            x: "scenario, counted from 1",
            y: figure,
        };
        let series = [Contender::Baseline, Contender::Candidate].map(|contender| Series {
            name: format!("{contender:?}").to_lowercase(),
            points: points(report, contender, value),
            line: None,
        });
        draw(&path, labels, &series)?;
        files.push(path);
    }
    Ok(files)
}

fn points(
    report: &ExperimentReport,
    contender: Contender,
    value: fn(&super::Figures) -> f64,
) -> Vec<Point> {
    let scenarios = report.scenarios.iter().zip(1..);
    let repeats = scenarios.flat_map(|(scenario, number)| {
        let own = move |repeat: &&Repeat| repeat.contender == contender;
        let repeats = scenario.repeats.iter().filter(own);
        repeats.map(move |repeat| Point {
            x: f64::from(number),
            y: value(&repeat.figures),
        })
    });
    repeats.collect()
}

fn file_name(figure: &str) -> String {
    let kept = figure
        .chars()
        .map(|letter| match letter.is_ascii_alphanumeric() {
            true => letter,
            false => '-',
        });
    kept.collect()
}
