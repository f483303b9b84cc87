//! Steady demand of one tenant, in which every request takes one token and no loan is lost.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{
    LoanRequest, QuotaTolerance, RequestQuota, TenantName, TokenLoan, TokenRequest, TokenVerdict,
};

use super::{ms, random::Random};

const STEP: Duration = Duration::from_millis(1);

/// The parameters of a run.
pub struct SteadyDemand {
    pub tolerance: QuotaTolerance,
    pub quota: RequestQuota,
    pub replicas: usize,
    /// The demand as a fraction of the quota.
    pub load: f64,
    /// Whether all requests go to one replica instead of being spread evenly.
    pub at_one_replica: bool,
    /// Round trip time between replicas.
    pub round_trip: Duration,
    pub warm_up: Duration,
    pub seconds: u64,
    pub seed: u64,
}

/// The outcomes after the warm-up. Loan requests are also counted during the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyServed {
    pub requests: u64,
    pub refused: u64,
    pub loan_requests: u64,
}

/// Messages between replicas, addressed by index.
enum Message {
    /// The sender, the receiver and the request.
    RequestLoan(usize, usize, LoanRequest),
    /// The receiver and the loan.
    Loan(usize, TokenLoan),
}

impl SteadyDemand {
    pub fn run(&self) -> SteadyServed {
        let tenant = TenantName::from("tenant");
        let start = ms(10_000);
        let mut random = Random(self.seed);
        let mut parts: Vec<_> = (0..self.replicas)
            .map(|_| self.part(start, &tenant))
            .collect();
        let mut messages: Vec<(Duration, Message)> = Vec::new();
        let mut served = SteadyServed::default();
        let mut due = random.uniform();
        let mut next_replica = 0;
        let mut now = start;
        while now < start + self.warm_up + Duration::from_secs(self.seconds) {
            now += STEP;
            due += self.quota.per_second * self.load * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                next_replica += 1;
                let index = if self.at_one_replica {
                    0
                } else {
                    next_replica % self.replicas
                };
                let is_refused = Self::is_refused(&mut parts[index], now, &tenant, &mut random);
                if now >= start + self.warm_up {
                    served.requests += 1;
                    served.refused += u64::from(is_refused);
                }
            }
            let (arrived, waiting): (Vec<_>, Vec<_>) =
                messages.into_iter().partition(|(at, _)| *at <= now);
            messages = waiting;
            for (_, message) in arrived {
                match message {
                    Message::RequestLoan(from, to, request) => {
                        let loan = parts[to].lend(now, &request);
                        let loan = loan.map(|loan| Message::Loan(from, loan));
                        messages.extend(loan.map(|loan| (now + self.round_trip / 2, loan)));
                    }
                    Message::Loan(to, loan) => parts[to].receive_loan(now, &loan),
                }
            }
            for (from, part) in parts.iter_mut().enumerate() {
                for request in part.loan_requests(now) {
                    served.loan_requests += 1;
                    let offset = 1 + request.number as usize % (self.replicas - 1);
                    let to = (from + offset) % self.replicas;
                    let message = Message::RequestLoan(from, to, request);
                    messages.push((now + self.round_trip / 2, message));
                }
            }
        }
        served
    }

    fn part(&self, now: Duration, tenant: &TenantName) -> QuotaPart {
        let mut part = QuotaPart::new(self.tolerance);
        part.set_part_count(now, Some(self.replicas as u32 + 1));
        part.set_tenants(now, [(tenant, Some(self.quota))].into_iter());
        part
    }

    fn is_refused(
        part: &mut QuotaPart,
        now: Duration,
        tenant: &TenantName,
        random: &mut Random,
    ) -> bool {
        let request = TokenRequest {
            number: 0,
            tenant: tenant.clone(),
            wanted: 1,
            shed_permille: 0,
            patience_ms: 0,
            is_resend: false,
        };
        part.take(now, &request, random.uniform()) != TokenVerdict::Granted(1)
    }
}
