//! Slopes, projections to the target, metrics pages and computed subsets.

use sablehaven_fleet::{
    capacity::{
        CapacityReport, Part, SlopeSet, figure,
        metrics::MetricsPage,
        subsets::{self, Layout},
        target::{self, Projection, Reading},
    },
    command_line,
    measure::statistics::quantile,
};

/// A set with one exact line: 5 + 2 x, measured at 10, 20, 30 and 40.
fn exact_set(part: Part) -> SlopeSet {
    let mut set = SlopeSet::new(part, "agents");
    for x in [10.0, 20.0, 30.0, 40.0] {
        set.add(figure::RELAY_REST, x, 5.0 + 2.0 * x);
    }
    set
}

fn report() -> CapacityReport {
    let mut report = CapacityReport::default();
    report.replace(exact_set(Part::Agents));
    report
}

fn projection(reading: Reading) -> Projection {
    Projection {
        role: "relay",
        line: "at rest",
        part: Part::Agents,
        figure: figure::RELAY_REST,
        reading,
        size: 100.0,
        times: 0.5,
        unit: "‰ core",
    }
}

fn is_near(one: f64, other: f64) -> bool {
    (one - other).abs() < 1e-6
}

#[test]
fn a_projection_reads_the_line_or_its_growth() {
    let report = report();
    let slope = report
        .slope(Part::Agents, figure::RELAY_REST)
        .expect("slope");
    let at = projection(Reading::At).of(slope).expect("a line");
    let growth = projection(Reading::Growth).of(slope).expect("a line");
    assert!(is_near(at.figure, 0.5 * 205.0), "{at:?}");
    assert!(is_near(growth.figure, 0.5 * 200.0), "{growth:?}");
    assert!(is_near(at.beyond, 2.5) && is_near(at.error, 0.0), "{at:?}");
}

#[test]
fn the_error_of_a_projection_grows_with_its_distance() {
    let mut set = SlopeSet::new(Part::Agents, "agents");
    let points = [(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)];
    for (x, y) in points {
        set.add(figure::RELAY_REST, x, y);
    }
    let mut report = CapacityReport::default();
    report.replace(set);
    let slope = report
        .slope(Part::Agents, figure::RELAY_REST)
        .expect("slope");
    let projected = projection(Reading::At).of(slope).expect("a line");
    // The textbook example's error of the slope is sqrt(0.08); the mean of x is 3.
    assert!(is_near(projected.error, 0.08_f64.sqrt() * 97.0 * 0.5));
}

#[test]
fn a_part_measured_again_replaces_only_its_own_slopes() {
    let mut report = report();
    report.replace(exact_set(Part::Relays));
    let mut again = SlopeSet::new(Part::Agents, "agents");
    again.add(figure::LEADER_REST, 1.0, 1.0);
    report.replace(again);
    assert!(report.slope(Part::Agents, figure::RELAY_REST).is_none());
    assert!(report.slope(Part::Agents, figure::LEADER_REST).is_some());
    assert!(report.slope(Part::Relays, figure::RELAY_REST).is_some());
}

#[test]
fn one_part_may_have_slopes_over_several_sizes() {
    let mut set = SlopeSet::new(Part::Claims, "requests a second");
    set.add(figure::SYNCS, 1.0, 2.0);
    set.add_over("keys", figure::LEDGER_MEMORY, 1_000.0, 50.0);
    let mut report = CapacityReport::default();
    report.replace(set);
    let sizes: Vec<&str> = report
        .slopes
        .iter()
        .map(|slope| slope.size.as_str())
        .collect();
    assert_eq!(sizes, ["requests a second", "keys"]);
}

#[test]
fn a_written_report_is_read_again() {
    let folder = tempfile::tempdir().expect("folder");
    let empty = CapacityReport::read(folder.path()).expect("no file yet");
    assert_eq!(empty, CapacityReport::default());
    let files = report().write(folder.path()).expect("written");
    assert!(files.iter().all(|file| file.is_file()));
    let read = CapacityReport::read(folder.path()).expect("read");
    assert_eq!(read.slopes[0].points, report().slopes[0].points);
    std::fs::write(folder.path().join("capacity.json"), "no JSON").expect("written");
    let error = CapacityReport::read(folder.path()).expect_err("damaged");
    assert!(error.to_string().contains("capacity.json"), "{error}");
}

#[test]
fn tables_show_what_was_measured_and_what_is_extrapolated() {
    let table = target::table(&report()).to_string();
    assert!(table.contains("extrapolated ×13.7"), "{table}");
    assert!(!table.contains("ledger"), "{table}");
    let arithmetic = target::arithmetic_table().to_string();
    assert!(arithmetic.contains("16267.61"), "{arithmetic}");
    assert!(arithmetic.contains("962.50"), "{arithmetic}");
    assert!(report().slope_table().to_string().contains("10 → 25.00"));
}

#[test]
fn a_metric_is_found_by_its_whole_name() {
    let page = MetricsPage::new(
        "# HELP sent Bytes sent\nsent_total 7\nsent_total_kinds{kind=\"a\"} 3\nsent 2.5\n",
    );
    assert_eq!(page.value("sent"), Some(2.5));
    assert_eq!(page.value("sent_total"), Some(7.0));
    assert_eq!(page.value("sen"), None);
}

#[test]
fn quantiles_are_taken_from_ascending_values() {
    assert_eq!(quantile(&[1.0, 2.0, 3.0], 0.5), Some(2.0));
    assert_eq!(quantile(&[1.0, 2.0, 3.0], 1.0), Some(3.0));
    assert_eq!(quantile(&[], 0.5), None);
}

#[test]
fn subsets_stay_within_the_limit_and_change_only_where_they_must() {
    let layout = Layout {
        name: "small",
        services: 2,
        services_of_agent: 2,
        agents: 300,
        shards: 4,
        computed_shards: 2,
        replicas: 40,
        connections_per_server: 75,
    };
    let row = subsets::compute(&layout);
    assert_eq!(row.servers, 320);
    assert!(row.whole.server_most <= 75.0, "{row:?}");
    assert!(row.whole.members_mean >= 2.0, "{row:?}");
    let connections = row.whole.server_mean * 40.0;
    assert!(is_near(connections, row.whole.members_mean * 300.0));
    assert!(is_near(row.whole.agent_mean, row.whole.members_mean * 8.0));
    assert!(row.without_zone.members_mean >= 2.0, "{row:?}");
    assert!(row.opened_by_agent > 0.0, "{row:?}");
}

#[test]
fn part_names_and_the_command_line_agree() {
    for part in Part::ALL {
        assert_eq!(Part::of_name(part.name()), Some(part));
    }
    command_line::command().debug_assert();
    let wrong = command_line::command().try_get_matches_from(["fleet", "capacity", "--print"]);
    assert!(wrong.is_err(), "printing needs a folder");
}
