//! Tests which requests are admitted when servers can handle only some of them.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{QuotaTolerance, RequestQuota, TenantName, TokenRequest, TokenVerdict};

const TENANTS: usize = 75;
const TOTAL_PER_SECOND: f64 = 120.0;
/// Each tenant's quota, as a multiple of its base rate.
const QUOTA_FACTOR: f64 = 1.6;
/// The hot tenant's demand, as a multiple of its base rate.
const HOT_FACTOR: f64 = 9.0;
const WARM_UP: Duration = Duration::from_secs(10);
const SECONDS: f64 = 60.0;
const STEP: Duration = Duration::from_millis(5);

/// A seeded random number generator.
struct Random(u64);

impl Random {
    fn uniform(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(0x1405_7b7e_f767_814f);
        let mixed = (self.0 ^ (self.0 >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requests: f64,
    granted: f64,
    over_fair_share: f64,
    over_quota: f64,
}

impl Served {
    fn count(&mut self, verdict: TokenVerdict) {
        self.requests += 1.0;
        match verdict {
            TokenVerdict::Granted(_) => self.granted += 1.0,
            TokenVerdict::OverFairShare => self.over_fair_share += 1.0,
            TokenVerdict::OverQuota { .. } => self.over_quota += 1.0,
            TokenVerdict::NoPart => panic!("the replica has its part"),
        }
    }

    /// Returns the fraction of requests that were refused as above the fair share.
    fn refused_fraction(&self) -> f64 {
        self.over_fair_share / self.requests
    }
}

/// Returns the tenants' base rates, which decrease with their rank as `1 / rank^1.2`.
fn zipf_rates() -> Vec<f64> {
    let weights: Vec<_> = (1..=TENANTS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    weights
        .iter()
        .map(|weight| weight / sum * TOTAL_PER_SECOND)
        .collect()
}

/// Runs the demand and returns the outcomes per tenant.
fn run(rates: &[f64], base_rates: &[f64], capacity_per_second: f64, seed: u64) -> Vec<Served> {
    let mut served = vec![Served::default(); rates.len()];
    for outcome in outcomes(rates, base_rates, capacity_per_second, seed) {
        served[outcome.rank].count(outcome.verdict);
    }
    served
}

struct Outcome {
    at: Duration,
    rank: usize,
    verdict: TokenVerdict,
}

/// Sends requests at random times while a gateway adapts the fraction it sheds to the capacity.
fn outcomes(
    rates: &[f64],
    base_rates: &[f64],
    capacity_per_second: f64,
    seed: u64,
) -> Vec<Outcome> {
    let tolerance = QuotaTolerance {
        window_ms: 5_000,
        excess_permille: 100,
        slack: 20,
    };
    let names: Vec<_> = (0..rates.len())
        .map(|rank| TenantName(format!("tenant-{rank}")))
        .collect();
    let quotas: Vec<_> = base_rates
        .iter()
        .map(|rate| RequestQuota {
            per_second: rate * QUOTA_FACTOR,
            burst: rate * QUOTA_FACTOR,
        })
        .collect();
    let mut part = QuotaPart::new(tolerance);
    let start = Duration::from_secs(100);
    part.set_part_count(start, Some(1));
    part.set_tenants(
        start,
        names.iter().zip(quotas.iter().map(|quota| Some(*quota))),
    );
    let mut random = Random(seed);
    let mut outcomes = Vec::new();
    let mut shed: f64 = 0.0;
    let mut decayed_granted = 0.0;
    let mut now = start;
    let end = start + WARM_UP + Duration::from_secs_f64(SECONDS);
    while now < end {
        now += STEP;
        // The shed fraction grows while the rate of the last second is above the capacity, and shrinks while it is
        // below.
        decayed_granted *= 1.0 - STEP.as_secs_f64();
        let excess = decayed_granted / capacity_per_second - 1.0;
        shed = (shed + excess * 0.2 * STEP.as_secs_f64()).clamp(0.0, 0.9);
        for (rank, rate) in rates.iter().enumerate() {
            if random.uniform() >= rate * STEP.as_secs_f64() {
                continue;
            }
            let request = TokenRequest {
                number: 0,
                tenant: names[rank].clone(),
                wanted: 1,
                shed_permille: (shed * 1_000.0) as u16,
                patience_ms: 0,
                is_resend: false,
            };
            let verdict = part.take(now, &request, random.uniform());
            let is_granted = verdict == TokenVerdict::Granted(1);
            decayed_granted += f64::from(u8::from(is_granted));
            if now >= start + WARM_UP {
                outcomes.push(Outcome {
                    at: now - start - WARM_UP,
                    rank,
                    verdict,
                });
            }
        }
    }
    outcomes
}

fn sum(served: &[Served]) -> Served {
    served.iter().fold(Served::default(), |sum, tenant| Served {
        requests: sum.requests + tenant.requests,
        granted: sum.granted + tenant.granted,
        over_fair_share: sum.over_fair_share + tenant.over_fair_share,
        over_quota: sum.over_quota + tenant.over_quota,
    })
}

/// Guards against a hot tenant that takes capacity from the others after half of the capacity was lost. The capacity
/// was twice the usual demand before, and equals it now, so that one tenant's excess alone causes an overload.
#[test]
fn tenants_at_their_base_rate_are_not_refused_because_of_a_hot_tenant() {
    let base_rates = zipf_rates();
    for (hot, seed) in [(0, 1), (0, 2), (3, 3), (10, 4)] {
        let mut rates = base_rates.clone();
        rates[hot] *= HOT_FACTOR;
        let served = run(&rates, &base_rates, TOTAL_PER_SECOND, seed);
        let (before, after) = (sum(&served[..hot]), sum(&served[hot + 1..]));
        let others = sum(&[before, after]);
        println!(
            "hot {hot}: {:?} others {others:?} {:.4}",
            served[hot],
            others.refused_fraction()
        );
        assert!(others.refused_fraction() < 0.01, "{others:?}");
        let hot_granted = served[hot].granted / SECONDS;
        assert!(
            hot_granted < base_rates[hot] * QUOTA_FACTOR * 1.1,
            "{hot_granted}"
        );
        assert!(hot_granted > base_rates[hot] * 0.7, "{hot_granted}");
    }
}

#[test]
fn tenants_at_their_base_rates_are_refused_equally() {
    let base_rates = zipf_rates();
    let served = run(&base_rates, &base_rates, TOTAL_PER_SECOND / 2.0, 5);
    let all = sum(&served);
    let groups = [0..1, 1..3, 3..10, 10..30, 30..75];
    println!("all {:.3}", all.refused_fraction());
    for group in groups {
        let refused_fraction = sum(&served[group.clone()]).refused_fraction();
        println!("{group:?} {refused_fraction:.3}");
        assert!(
            (refused_fraction - all.refused_fraction()).abs() < 0.1,
            "{group:?} refused {refused_fraction} of {all:?}"
        );
    }
}

/// Checked for every five seconds. Tenants with too few requests in that time to be assessed one by one are assessed in
/// groups of similar size.
#[test]
fn every_tenant_gets_a_quarter_of_the_mean_admitted_share() {
    let base_rates = zipf_rates();
    let mut rates = base_rates.clone();
    rates[0] *= HOT_FACTOR;
    let mut intervals = vec![vec![Served::default(); TENANTS]; (SECONDS / 5.0) as usize + 1];
    for outcome in outcomes(&rates, &base_rates, TOTAL_PER_SECOND / 2.0, 6) {
        let interval = outcome.at.as_secs() as usize / 5;
        intervals[interval][outcome.rank].count(outcome.verdict);
    }
    let share = |tenants: &[Served]| sum(tenants).granted / sum(tenants).requests;
    for interval in &intervals[..intervals.len() - 1] {
        let mean_share = share(&interval[1..]);
        for group in [1..2, 2..3, 3..5, 5..9, 9..20, 20..40, 40..75] {
            let group_share = share(&interval[group.clone()]);
            assert!(
                group_share >= mean_share / 4.0,
                "{group:?} admitted {group_share}, mean {mean_share}"
            );
        }
    }
}

/// Two gateways ask the same replica: one that sheds nothing, and one that sheds three in five requests.
#[test]
fn a_gateway_that_sheds_nothing_is_not_affected_by_one_that_does() {
    let names: Vec<_> = (0..10)
        .map(|rank| TenantName(format!("tenant-{rank}")))
        .collect();
    let quota = RequestQuota {
        per_second: 100.0,
        burst: 100.0,
    };
    let mut part = QuotaPart::new(QuotaTolerance {
        window_ms: 5_000,
        excess_permille: 100,
        slack: 20,
    });
    part.set_part_count(Duration::ZERO, Some(1));
    part.set_tenants(Duration::ZERO, names.iter().map(|name| (name, Some(quota))));
    let mut random = Random(9);
    let mut refused = [0.0; 2];
    let requests = 10_000;
    for index in 0..2 * requests {
        let request = TokenRequest {
            number: 0,
            tenant: names[index / 2 % names.len()].clone(),
            wanted: 1,
            shed_permille: if index % 2 == 0 { 0 } else { 600 },
            patience_ms: 0,
            is_resend: false,
        };
        let now = Duration::from_secs(60) + Duration::from_millis(2 * index as u64);
        let verdict = part.take(now, &request, random.uniform());
        refused[index % 2] += f64::from(u8::from(verdict == TokenVerdict::OverFairShare));
    }
    let refused_fraction = refused.map(|count| count / requests as f64);
    assert_eq!(refused_fraction[0], 0.0);
    assert!(
        (0.4..0.7).contains(&refused_fraction[1]),
        "{refused_fraction:?}"
    );
}

#[test]
fn a_refused_request_takes_no_token() {
    let tenant = TenantName::from("tenant");
    let quota = RequestQuota {
        per_second: 10.0,
        burst: 10.0,
    };
    let tolerance = QuotaTolerance {
        window_ms: 5_000,
        excess_permille: 100,
        slack: 20,
    };
    let mut part = QuotaPart::new(tolerance);
    part.set_part_count(Duration::ZERO, Some(4));
    part.set_tenants(Duration::ZERO, [(&tenant, Some(quota))].into_iter());
    let now = Duration::from_secs(60);
    let before = part.usage(now)[0].tokens;
    let request = TokenRequest {
        number: 0,
        tenant,
        wanted: 3,
        shed_permille: 500,
        patience_ms: 0,
        is_resend: false,
    };
    assert_eq!(part.take(now, &request, 0.999), TokenVerdict::OverFairShare);
    assert_eq!(part.usage(now)[0].tokens, before);
    assert_eq!(part.usage(now)[0].refused, 0);
}
