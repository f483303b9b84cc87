//! Callers: load shapes, arrivals, and open-loop calls through the baseline agent.

use std::{net::SocketAddr, time::Duration};

use crate::common::{SERVICE, SNAPSHOT, settings, source};
use sablehaven_history::{
    CallResult, Event, History, Limits, Promise, PublishedSnapshot, Recorder, check,
};
use sablehaven_standins::{
    backend::{BackendSettings, Behaviour, ServiceTime},
    baseline::BaselineSettings,
    caller::{
        AgentTarget, Arrivals, Driver, DriverSettings, LoadShape, MixEntry, RegionLoad, Surge,
        summarise,
    },
    host::{self, HostFile, RunningHost},
};
use sablehaven_types::{
    BackendRecord, Configuration, IndexSnapshot, Placement, ServiceConfiguration, ShardAssignment,
    ShardId,
};
use tokio_util::sync::CancellationToken;

const HOUR: Duration = Duration::from_secs(3_600);

fn evening_peak() -> LoadShape {
    LoadShape {
        mean_per_second: 10.0,
        daily_swing: 0.5,
        day_ms: 24 * 3_600_000,
        peak_at_ms: 20 * 3_600_000,
        surge: Some(Surge {
            from_ms: 30 * 3_600_000,
            until_ms: 40 * 3_600_000,
            factor: 3.0,
        }),
    }
}

#[test]
fn the_load_peaks_in_the_evening_and_surges_in_exam_week() {
    let shape = evening_peak();
    let near = |rate: f64, expected: f64| (rate - expected).abs() < 1e-6;
    assert!(near(shape.rate_at(20 * HOUR), 15.0));
    assert!(near(shape.rate_at(8 * HOUR), 5.0));
    assert!(near(shape.rate_at(32 * HOUR), 15.0));
    assert!(near(shape.rate_at(44 * HOUR), 15.0));
}

#[test]
fn arrivals_follow_the_rate_and_repeat_with_the_seed() {
    let arrivals = |seed| Arrivals::new(evening_peak(), 24 * HOUR, seed);
    assert!(arrivals(1).eq(arrivals(1)));
    assert!(arrivals(1).ne(arrivals(2)));
    let by_hour = |hour: u32| {
        let span = hour * HOUR..(hour + 1) * HOUR;
        arrivals(1).filter(|time| span.contains(time)).count() as f64
    };
    // Six standard deviations of a Poisson count; the seed is fixed.
    assert!((by_hour(20) - 53_900.0).abs() < 1_500.0, "{}", by_hour(20));
    assert!((by_hour(8) - 18_000.0).abs() < 1_000.0, "{}", by_hour(8));
}

fn baseline(backends: Vec<BackendRecord>) -> HostFile {
    let replicas: Vec<_> = backends.iter().map(|record| record.id.clone()).collect();
    let shards = [0, 1].map(|shard| ShardAssignment {
        shard: ShardId(shard),
        replicas: replicas.clone(),
    });
    let service = ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SNAPSHOT,
            shards: shards.to_vec(),
        },
        routing: Default::default(),
    };
    let configuration = Configuration {
        version: 1,
        schema: source(),
        services: [(SERVICE.into(), service)].into(),
    };
    HostFile {
        schema: source(),
        admin_listen: any_port(),
        seed: 1,
        platform: None,
        baseline: Some(BaselineSettings {
            listen: any_port(),
            configuration,
            backends,
            seed: 1,
        }),
        backends: Vec::new(),
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Two replicas of two shards behind a baseline agent.
async fn start(settings: [BackendSettings; 2]) -> (RunningHost, RunningHost) {
    let host = crate::common::start(settings.to_vec()).await;
    let agent = host::start(baseline(host.report().backends.clone())).await;
    (host, agent.expect("baseline starts"))
}

/// A back end that neither sheds nor runs out of time, however slow the machine is.
fn roomy(id: &str) -> BackendSettings {
    BackendSettings {
        slots: 1_000,
        ..settings(id)
    }
}

/// An agent that nobody can reach.
fn unreachable_agent(placement: &Placement) -> AgentTarget {
    AgentTarget {
        process: "gone".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        placement: placement.clone(),
    }
}

/// Sends both methods and gives the history with everything that the back ends ran.
async fn drive(host: &RunningHost, agent: &RunningHost, duration: Duration) -> History {
    let placement = host.report().backends[0].placement.clone();
    let target = AgentTarget {
        process: "baseline".to_owned(),
        address: agent.report().baseline.expect("baseline answers"),
        placement: placement.clone(),
    };
    let entry = |method: &str| MixEntry {
        service: SERVICE.into(),
        method: method.to_owned(),
        weight: 1,
    };
    let settings = DriverSettings {
        run: "test".to_owned(),
        seed: 5,
        duration,
        loads: vec![RegionLoad {
            region: placement.region,
            shape: LoadShape {
                mean_per_second: 200.0,
                ..LoadShape::default()
            },
        }],
        mix: vec![entry("Search"), entry("Reserve")],
        resends: 0,
        deadline: Some(Duration::from_secs(60)),
        items: 2,
    };
    let recorder = Recorder::new();
    recorder.record(Event::Snapshot(PublishedSnapshot {
        service: SERVICE.into(),
        snapshot: SNAPSHOT,
        shards: vec![ShardId(0), ShardId(1)],
    }));
    let agents = [unreachable_agent(&target.placement), target];
    let schema = crate::common::schema();
    let driver = Driver::new(settings, &schema, &agents, recorder.clone());
    driver.expect("driver").run(&CancellationToken::new()).await;
    recorder.extend(
        host.log()
            .page(0, usize::MAX)
            .into_iter()
            .map(Event::Execution),
    );
    recorder.history()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_undisturbed_run_keeps_the_promises_about_answers() {
    let (host, agent) = start([roomy("a"), roomy("b")]).await;
    let history = drive(&host, &agent, Duration::from_secs(1)).await;
    let report = check(&history, &Limits::default());
    for promise in [
        Promise::SingleSnapshot,
        Promise::TruthfulCoverage,
        Promise::OwnAnswer,
    ] {
        let result = report.result(promise).expect("checked");
        assert!(result.is_kept(), "{result:?}");
    }
    let summary = summarise(&history);
    assert!(summary.calls > 100);
    let count = |outcome: &str| summary.outcomes.get(outcome).copied().unwrap_or(0);
    let reached = count("done") + count("not_connected");
    assert_eq!(reached, summary.calls, "{summary:?}");
    assert!(count("not_connected") > 10, "{summary:?}");
    assert_eq!((summary.coverage(), summary.extra_load()), (1.0, 0.0));
}

/// A caller that waited for an answer before its next request would send a handful in this time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_answers_do_not_slow_the_callers_down() {
    let slow = |id: &str| BackendSettings {
        service_time: ServiceTime {
            median_us: 400_000,
            sigma: 0.0,
        },
        ..roomy(id)
    };
    let (host, agent) = start([slow("a"), slow("b")]).await;
    let history = drive(&host, &agent, Duration::from_secs(1)).await;
    let summary = summarise(&history);
    assert!(summary.calls > 100, "{summary:?}");
    let latency_is_counted_from_the_intent = history.events.iter().all(|event| match event {
        Event::Call(call) => call.intended_at <= call.sent_at,
        _ => true,
    });
    assert!(latency_is_counted_from_the_intent);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_baseline_reports_what_a_shedding_replica_leaves_out() {
    let shedding = BackendSettings {
        behaviour: Behaviour {
            shed_per_mille: 1_000,
            ..Behaviour::default()
        },
        ..settings("b")
    };
    let (host, agent) = start([roomy("a"), shedding]).await;
    let history = drive(&host, &agent, Duration::from_millis(500)).await;
    let summary = summarise(&history);
    assert!((0.2..0.8).contains(&summary.coverage()), "{summary:?}");
    let report = check(&history, &Limits::default());
    assert!(
        report
            .result(Promise::TruthfulCoverage)
            .is_some_and(|result| result.is_kept())
    );
    let unanswered = history.events.iter().any(|event| match event {
        Event::Call(call) => matches!(call.result, CallResult::Broken { .. }),
        _ => false,
    });
    assert!(!unanswered);
}
