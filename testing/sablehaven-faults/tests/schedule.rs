//! Schedules are repeatable, hit targets together and twice, and never overlap on one target.

use sablehaven_faults::schedule::{FaultKind, PlannedFault, ScheduleShape, Target, draw};

fn targets() -> Vec<Target> {
    let kinds = vec![FaultKind::Kill, FaultKind::Pause, FaultKind::Freeze];
    let names = ["control-1", "control-2", "relay-1", "agent-1"];
    let target = |name: &str| Target {
        name: name.to_owned(),
        kinds: kinds.clone(),
    };
    names.map(target).to_vec()
}

fn schedules() -> impl Iterator<Item = Vec<PlannedFault>> {
    (0..200).map(|seed| draw(seed, &targets(), &ScheduleShape::default()))
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    assert!(schedules().eq(schedules()));
    let distinct: std::collections::HashSet<_> = schedules()
        .map(|schedule| format!("{schedule:?}"))
        .collect();
    assert!(distinct.len() > 190);
}

#[test]
fn one_target_is_never_hit_by_two_faults_at_once() {
    for schedule in schedules() {
        for (place, fault) in schedule.iter().enumerate() {
            let overlaps = schedule[place + 1..]
                .iter()
                .any(|other| other.target == fault.target && other.at < fault.at + fault.lasts);
            assert!(!overlaps, "{schedule:?}");
        }
    }
}

#[test]
fn some_faults_come_together_and_some_twice() {
    let together =
        |schedule: &Vec<PlannedFault>| schedule.windows(2).any(|pair| pair[0].at == pair[1].at);
    let twice = |schedule: &Vec<PlannedFault>| {
        schedule.iter().any(|first| {
            schedule.iter().any(|second| {
                second.target == first.target && second.kind == first.kind && second.at > first.at
            })
        })
    };
    assert!(schedules().filter(together).count() > 50);
    assert!(schedules().filter(twice).count() > 50);
}

#[test]
fn no_targets_give_no_faults() {
    assert!(draw(1, &[], &ScheduleShape::default()).is_empty());
}
