//! What an experiment found: medians, ratios and spreads.

use serde::{Deserialize, Serialize};

use super::figures::{Contender, Figures};
use crate::measure::{statistics::Spread, table::Table};

/// One run of one contender.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Repeat {
    /// Who ran.
    pub contender: Contender,
    /// The repeat's number, counted from 0; repeats of one number have one seed.
    pub number: u32,
    /// What was measured.
    pub figures: Figures,
}

/// One figure of both contenders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The figure's name.
    pub figure: String,
    /// The baseline's.
    pub baseline: Spread,
    /// The candidate's.
    pub candidate: Spread,
    /// Candidate over baseline, repeat by repeat; `None` where the baseline is always 0.
    pub ratio: Option<Spread>,
}

/// A scenario with its repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioReport {
    /// The scenario's name.
    pub scenario: String,
    /// Every repeat.
    pub repeats: Vec<Repeat>,
    /// Every figure.
    pub comparisons: Vec<Comparison>,
}

/// An experiment with its scenarios.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// The experiment's name.
    pub experiment: String,
    /// The scenarios.
    pub scenarios: Vec<ScenarioReport>,
}

/// Takes one figure out.
pub(super) type Figure = fn(&Figures) -> f64;

/// Each figure with its name.
const FIGURES: [(&str, Figure); 11] = [
    ("queries", |figures| figures.queries),
    ("p50 ms", |figures| figures.p50_ms),
    ("p99 ms", |figures| figures.p99_ms),
    ("coverage", |figures| figures.coverage),
    ("goodput, shards/s", |figures| figures.goodput),
    ("share of capacity", |figures| figures.share_of_capacity),
    ("longest swing s", |figures| figures.longest_swing_s),
    ("extra load", |figures| figures.extra_load),
    ("extra requests", |figures| figures.extra_requests),
    ("agent us/request", |figures| figures.agent_us_per_request),
    ("agent MB", |figures| figures.agent_megabytes),
];

/// Every figure's name and how to take it out.
pub(super) fn figure_values() -> impl Iterator<Item = (&'static str, Figure)> {
    FIGURES.into_iter()
}

impl ScenarioReport {
    /// Compares the repeats of a scenario.
    pub fn new(scenario: &str, repeats: Vec<Repeat>) -> Self {
        let values = |contender, figure: Figure| {
            let own = repeats
                .iter()
                .filter(|repeat| repeat.contender == contender);
            Spread::of(
                own.map(|repeat| figure(&repeat.figures))
                    .collect::<Vec<_>>(),
            )
        };
        let compare = |(name, figure): &(&str, Figure)| {
            let baseline = values(Contender::Baseline, *figure)?;
            let candidate = values(Contender::Candidate, *figure)?;
            Some(Comparison {
                figure: (*name).to_owned(),
                ratio: Spread::of_ratios(&candidate, &baseline),
                baseline,
                candidate,
            })
        };
        Self {
            scenario: scenario.to_owned(),
            comparisons: FIGURES.iter().filter_map(compare).collect(),
            repeats,
        }
    }

    /// One figure's comparison.
    pub fn comparison(&self, figure: &str) -> Option<&Comparison> {
        self.comparisons
            .iter()
            .find(|comparison| comparison.figure == figure)
    }

    /// The comparisons as a table.
    pub fn table(&self) -> Table {
        let name = self.scenario.as_str();
        let mut table = Table::new([
            name,
            "baseline",
            "(smallest..largest)",
            "candidate",
            "(smallest..largest)",
            "ratio",
            "(smallest..largest)",
        ]);
        for comparison in &self.comparisons {
            let mut cells = vec![comparison.figure.clone()];
            let spreads = [Some(&comparison.baseline), Some(&comparison.candidate)];
            for spread in spreads.into_iter().chain([comparison.ratio.as_ref()]) {
                cells.extend(describe(spread));
            }
            table.row(cells);
        }
        table
    }
}

fn describe(spread: Option<&Spread>) -> [String; 2] {
    match spread {
        Some(spread) => [
            format!("{:.3}", spread.median),
            format!("({:.3}..{:.3})", spread.smallest, spread.largest),
        ],
        None => ["-".to_owned(), String::new()],
    }
}
