//! Medians, fits, tables, plots and readings of a process.

use std::time::Duration;

use sablehaven_fleet::measure::{
    fit::{Point, fit},
    plot::{Labels, Series, draw},
    process,
    statistics::Spread,
    table::Table,
};

fn points(pairs: &[(f64, f64)]) -> Vec<Point> {
    pairs.iter().map(|&(x, y)| Point { x, y }).collect()
}

#[test]
fn medians_and_spreads_do_not_depend_on_order() {
    let spread = Spread::of([5.0, 1.0, 3.0]).expect("values");
    assert_eq!(
        (spread.median, spread.smallest, spread.largest),
        (3.0, 1.0, 5.0)
    );
    assert_eq!(
        Spread::of([4.0, 1.0, 3.0, 2.0]).expect("values").median,
        2.5
    );
    assert_eq!(Spread::of([]), None);
}

#[test]
fn ratios_pair_repeats_and_skip_a_baseline_of_zero() {
    let candidate = Spread::of([2.0, 3.0, 4.0]).expect("values");
    let baseline = Spread::of([4.0, 0.0, 2.0]).expect("values");
    let ratios = Spread::of_ratios(&candidate, &baseline).expect("ratios");
    assert_eq!(ratios.values, vec![0.5, 2.0]);
}

#[test]
fn a_line_is_found_exactly_and_its_error_grows_with_the_scatter() {
    let exact = fit(&points(&[
        (5.0, 13.0),
        (15.0, 33.0),
        (30.0, 63.0),
        (55.0, 113.0),
    ]));
    let exact = exact.expect("a line");
    assert!((exact.slope - 2.0).abs() < 1e-9 && (exact.intercept - 3.0).abs() < 1e-9);
    assert!(exact.slope_error < 1e-6 && exact.explained > 0.999_999);
    assert!((exact.at(100.0) - 203.0).abs() < 1e-9);
    // Textbook example: slope 0.6, residual sum of squares 2.4, so the error is sqrt(0.8 / 10).
    let scattered = fit(&points(&[
        (1.0, 2.0),
        (2.0, 4.0),
        (3.0, 5.0),
        (4.0, 4.0),
        (5.0, 5.0),
    ]));
    let scattered = scattered.expect("a line");
    assert!((scattered.slope - 0.6).abs() < 1e-9);
    assert!((scattered.slope_error - 0.08_f64.sqrt()).abs() < 1e-9);
    assert_eq!(fit(&points(&[(1.0, 2.0), (1.0, 3.0)])), None);
}

#[test]
fn a_table_aligns_figures_to_the_right() {
    let mut table = Table::new(["name", "value"]);
    table.row(["long name", "1"]);
    table.row(["é", "22"]);
    assert_eq!(
        table.to_string(),
        "name       value\nlong name      1\né             22\n"
    );
    assert_eq!(
        table.markdown(),
        "| name | value |\n| --- | --- |\n| long name | 1 |\n| é | 22 |\n"
    );
}

#[test]
fn a_plot_shows_its_series_and_labels() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("plot.svg");
    let points = points(&[(1.0, 2.0), (2.0, 3.0)]);
    let series = Series {
        name: "relay processor time".to_owned(),
        line: fit(&points),
        points,
    };
    let labels = Labels {
        title: "slope",
        x: "agents",
        y: "percent of a core",
    };
    draw(&path, labels, &[series]).expect("drawn");
    let text = std::fs::read_to_string(&path).expect("text");
    for word in ["<svg", "slope", "agents", "relay processor time"] {
        assert!(text.contains(word), "{word} is missing");
    }
}

#[test]
fn a_process_s_use_is_read_from_the_system() {
    let before = process::read(std::process::id()).expect("read");
    assert!(before.resident_bytes > 100_000);
    let mut sum = 0_u64;
    while process::read(std::process::id()).expect("read").processor <= before.processor {
        sum = (0..100_000_u64).fold(sum, |sum, number| sum.wrapping_mul(31) ^ number);
    }
    let after = process::read(std::process::id()).expect("read").processor;
    assert!(
        after - before.processor >= Duration::from_millis(10),
        "{sum}"
    );
    assert!(process::read(u32::MAX).is_err());
}
