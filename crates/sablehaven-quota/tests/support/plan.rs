//! What happens to a world, as drawn by proptest.

use proptest::prelude::*;
use sablehaven_types::{QuotaTolerance, RequestQuota};

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub tolerance: QuotaTolerance,
    pub members: usize,
    pub gateways: usize,
    pub quota: RequestQuota,
    pub phases: Vec<Phase>,
}

#[derive(Clone, Debug)]
pub struct Phase {
    pub length_ms: u64,
    pub event: Event,
    /// Requests of each gateway in a step of 10 ms.
    pub demand: f64,
    /// Gateways take tokens and keep them.
    pub is_hoarding: bool,
    /// Whether all gateways ask the same replica.
    pub uses_one_replica: bool,
    pub loss: f64,
    pub duplicated: f64,
    pub delayed: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    Nothing,
    RestartReplica(usize),
    RestartAllReplicas,
    SpendAllTokens,
    ReplaceReplica(usize),
    KillGateway(usize),
    SuspendGateway(usize, u64),
    SuspendAllGateways(u64),
    PartitionReplica(usize),
    SetQuota(RequestQuota),
}

pub fn plan() -> impl Strategy<Value = Plan> {
    let phases = prop::collection::vec(phase(), 1..5);
    let phases = (phases, stress_phases())
        .prop_map(|(before, stress_phases)| [before, stress_phases].concat());
    (
        any::<u64>(),
        tolerance(),
        2..6usize,
        2..8usize,
        quota(),
        phases,
    )
        .prop_map(|(seed, tolerance, members, gateways, quota, phases)| Plan {
            seed,
            tolerance,
            members,
            gateways,
            quota,
            phases,
        })
}

fn tolerance() -> impl Strategy<Value = QuotaTolerance> {
    (prop::sample::select(vec![400, 1_000]), 0..400u32, 0..30u32).prop_map(
        |(window_ms, excess_permille, slack)| QuotaTolerance {
            window_ms,
            excess_permille,
            slack,
        },
    )
}

fn quota() -> impl Strategy<Value = RequestQuota> {
    let rates = prop_oneof![0.5..5.0f64, 5.0..50.0f64];
    let bursts = prop_oneof![1 => Just(0.0), 3 => 0.0..100.0f64];
    (rates, bursts).prop_map(|(per_second, burst)| RequestQuota { per_second, burst })
}

fn phase() -> impl Strategy<Value = Phase> {
    let demand = prop_oneof![1 => Just(0.0), 1 => 0.01..1.0f64, 2 => 1.0..4.0f64];
    let length = prop_oneof![2 => 30..400u64, 1 => 400..1_500u64, 1 => 2_000..5_000u64];
    let chance = || prop_oneof![5 => Just(0.0), 1 => 0.0..0.5f64];
    let is_rare = || prop::bool::weighted(0.25);
    let behavior = (demand, is_rare(), is_rare());
    (length, event(), behavior, chance(), chance(), chance()).prop_map(
        |(length_ms, event, (demand, is_hoarding, uses_one_replica), loss, duplicated, delayed)| {
            Phase {
                length_ms,
                event,
                demand,
                is_hoarding,
                uses_one_replica,
                loss,
                duplicated,
                delayed,
            }
        },
    )
}

/// A rest in which parts fill, a rush, what happens then, another rush, and all that is held is spent.
fn stress_phases() -> impl Strategy<Value = Vec<Phase>> {
    let burst_phase = |event: Event, length_ms: u64, is_hoarding: bool| Phase {
        length_ms,
        event,
        demand: 3.0,
        is_hoarding,
        uses_one_replica: false,
        loss: 0.0,
        duplicated: 0.0,
        delayed: 0.0,
    };
    let idle_phase = move |length_ms: u64| Phase {
        demand: 0.0,
        ..burst_phase(Event::Nothing, length_ms, false)
    };
    let fill = prop_oneof![500..4_000u64, 20_000..40_000u64];
    let lengths = (fill, 30..300u64, 0..1_500u64, 30..500u64);
    let events = (event(), event(), any::<bool>());
    (lengths, events).prop_map(
        move |((fill, first, pause, second), (event, other, is_hoarding))| {
            vec![
                idle_phase(fill),
                burst_phase(event, first, is_hoarding),
                idle_phase(if is_hoarding { pause } else { 0 }),
                burst_phase(other, second, is_hoarding),
                burst_phase(Event::SpendAllTokens, 20, false),
            ]
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Nothing),
        2 => any::<usize>().prop_map(Event::RestartReplica),
        2 => Just(Event::RestartAllReplicas),
        2 => Just(Event::SpendAllTokens),
        2 => any::<usize>().prop_map(Event::ReplaceReplica),
        1 => any::<usize>().prop_map(Event::KillGateway),
        1 => (any::<usize>(), 20..2_000u64).prop_map(|(gateway, time)| Event::SuspendGateway(gateway, time)),
        1 => (20..2_000u64).prop_map(Event::SuspendAllGateways),
        1 => any::<usize>().prop_map(Event::PartitionReplica),
        3 => quota().prop_map(Event::SetQuota),
    ]
}
