//! The simulated replicas, gateways and the messages between them.

use std::time::Duration;

use sablehaven_quota::{QuotaPart, TokenCache};
use sablehaven_types::{
    LoanRequest, QuotaTolerance, RequestQuota, TenantName, TokenLoan, TokenRequest, TokenVerdict,
};

use super::{
    ms,
    plan::{Phase, Plan},
    random::Random,
    windows::{QuotaInterval, Served},
};

const STEP: Duration = Duration::from_millis(10);
/// The maximum latency of a message that is not delayed.
const MAX_LATENCY_MS: u64 = 25;
/// The maximum latency of a delayed message.
const MAX_DELAYED_LATENCY_MS: u64 = 2_500;

/// The safeguard that is disabled, to check that the tests detect its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisabledSafeguard {
    /// All safeguards are active.
    Nothing,
    /// Cached tokens expire.
    TokenExpiry,
    /// A restarted replica starts with an empty part.
    EmptyStart,
    /// A lowered limit takes effect immediately.
    LowerLimit,
    /// A lender gives up the tokens that it lends.
    LoanDeduction,
}

pub struct Replica {
    pub part: QuotaPart,
    pub quota: RequestQuota,
    pub in_force_since: Duration,
    /// The next quota and when the replica applies it.
    pub next_quota: Option<(Duration, RequestQuota)>,
    /// Whether the replica receives no messages.
    pub is_partitioned: bool,
    /// Whether the replica was replaced and does not know it yet.
    pub is_stale: bool,
}

pub struct Gateway {
    pub cache: TokenCache,
    pub suspended_until: Duration,
    /// Replies that arrived while the gateway was suspended.
    pub inbox: Vec<(Duration, TokenVerdict)>,
    /// Numbers of the token requests that were answered, to drop duplicate replies.
    pub answered: Vec<u64>,
    /// Changes when the gateway is killed, so that replies to its predecessor are dropped.
    pub incarnation: u64,
}

pub enum Message {
    RequestTokens {
        gateway: usize,
        incarnation: u64,
        replica: usize,
        number: u64,
        requested_at: Duration,
        wanted: u32,
    },
    Reply {
        gateway: usize,
        incarnation: u64,
        number: u64,
        requested_at: Duration,
        verdict: TokenVerdict,
    },
    RequestLoan {
        from: usize,
        to: usize,
        request: LoanRequest,
    },
    Loan {
        to: usize,
        loan: TokenLoan,
    },
}

pub struct World {
    pub now: Duration,
    /// Requests that reached a server.
    pub served: Vec<Served>,
    /// The intervals for which quotas were in force at replicas.
    pub quotas: Vec<QuotaInterval>,
    pub tolerance: QuotaTolerance,
    /// The number of parts of the quota: one per member and a spare.
    pub parts: u32,
    pub tenant: TenantName,
    pub disabled_safeguard: DisabledSafeguard,
    pub random: Random,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<Gateway>,
    /// Messages in transit with their times of arrival.
    pub messages: Vec<(Duration, Message)>,
    pub next_number: u64,
    pub quota: RequestQuota,
}

impl World {
    pub fn new(plan: &Plan, disabled_safeguard: DisabledSafeguard) -> Self {
        let mut world = Self {
            now: ms(100_000),
            served: Vec::new(),
            quotas: Vec::new(),
            tolerance: plan.tolerance,
            parts: plan.members as u32 + 1,
            tenant: TenantName::from("tenant"),
            disabled_safeguard,
            random: Random(plan.seed),
            replicas: Vec::new(),
            gateways: Vec::new(),
            messages: Vec::new(),
            next_number: 0,
            quota: plan.quota,
        };
        for _ in 0..plan.members {
            let replica = world.new_replica(world.now);
            world.replicas.push(replica);
        }
        for _ in 0..plan.gateways {
            let gateway = world.new_gateway(0);
            world.gateways.push(gateway);
        }
        world
    }

    /// Applies a phase's event, then simulates the phase.
    pub fn run(&mut self, phase: &Phase) {
        self.apply_event(&phase.event);
        let end = self.now + ms(phase.length_ms);
        let target = self.random.below(1_000) as usize;
        while self.now < end {
            self.step(phase, target);
        }
        for replica in &mut self.replicas {
            replica.is_partitioned = false;
        }
    }

    /// Ends the intervals of the quotas that are still in force.
    pub fn finish(&mut self) {
        for index in 0..self.replicas.len() {
            self.close_quota_interval(index);
        }
    }

    fn step(&mut self, phase: &Phase, target: usize) {
        self.now += STEP;
        self.apply_due_updates();
        self.deliver(phase);
        self.request_loans(phase);
        for gateway in 0..self.gateways.len() {
            let mut demand = phase.demand;
            while demand > 0.0 && self.random.chance(demand.min(1.0)) {
                self.request(phase, gateway, target);
                demand -= 1.0;
            }
        }
    }

    fn request(&mut self, phase: &Phase, index: usize, target: usize) {
        let now = self.now;
        let cache_time = self.cache_time();
        let gateway = &mut self.gateways[index];
        if gateway.suspended_until > now {
            return;
        }
        if !phase.is_hoarding && self.spend(index) {
            return;
        }
        let gateway = &mut self.gateways[index];
        let wanted = gateway.cache.tokens_to_request(cache_time, &self.tenant);
        let hoarded_tokens = if phase.is_hoarding {
            self.random.below(12)
        } else {
            0
        };
        let wanted = wanted.max(hoarded_tokens as u32);
        let replica = match phase.uses_one_replica {
            true => target % self.replicas.len(),
            false => self.random.below(self.replicas.len() as u64) as usize,
        };
        self.next_number += 1;
        let message = Message::RequestTokens {
            gateway: index,
            incarnation: self.gateways[index].incarnation,
            replica,
            number: self.next_number,
            requested_at: now,
            wanted,
        };
        self.send(phase, message);
    }

    /// Returns the time that is passed to the gateways' token caches.
    fn cache_time(&self) -> Duration {
        match self.disabled_safeguard {
            // The time stands still, like a clock that does not advance during suspension.
            DisabledSafeguard::TokenExpiry => Duration::ZERO,
            _ => self.now,
        }
    }

    pub fn spend(&mut self, index: usize) -> bool {
        let now = self.now;
        let spent_at = self.cache_time();
        let gateway = &mut self.gateways[index];
        let is_awake = gateway.suspended_until <= now;
        let is_spent = is_awake && gateway.cache.spend(spent_at, &self.tenant);
        if is_spent {
            self.served.push(Served {
                sent: now,
                arrived: now,
            });
        }
        is_spent
    }

    fn send(&mut self, phase: &Phase, message: Message) {
        if self.random.chance(phase.loss_probability) {
            return;
        }
        let is_delayed = self.random.chance(phase.delay_probability);
        let max_latency_ms = if is_delayed {
            MAX_DELAYED_LATENCY_MS
        } else {
            MAX_LATENCY_MS
        };
        let arrival = self.now + ms(self.random.below(max_latency_ms));
        self.messages.push((arrival, message));
    }

    fn deliver(&mut self, phase: &Phase) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = waiting;
        for (_, message) in due {
            let is_duplicated = self.random.chance(phase.duplication_probability);
            let repeats = if is_duplicated { 2 } else { 1 };
            for _ in 0..repeats {
                self.receive(phase, &message);
            }
        }
    }

    fn receive(&mut self, phase: &Phase, message: &Message) {
        let now = self.now;
        match message {
            Message::RequestTokens {
                gateway,
                incarnation,
                replica,
                number,
                requested_at,
                wanted,
            } => {
                let draw = self.random.uniform();
                let replica = &mut self.replicas[*replica];
                if replica.is_partitioned {
                    return;
                }
                let request = TokenRequest {
                    number: *number,
                    tenant: self.tenant.clone(),
                    wanted: *wanted,
                    shed_permille: 0,
                    patience_ms: 0,
                    is_resend: false,
                };
                let verdict = replica.part.take(now, &request, draw);
                let reply = Message::Reply {
                    gateway: *gateway,
                    incarnation: *incarnation,
                    number: *number,
                    requested_at: *requested_at,
                    verdict,
                };
                self.send(phase, reply);
            }
            Message::Reply {
                gateway,
                incarnation,
                number,
                requested_at,
                verdict,
            } => {
                self.receive_reply((*gateway, *incarnation), *number, *requested_at, *verdict);
            }
            Message::RequestLoan { from, to, request } => self.lend(phase, *from, *to, request),
            Message::Loan { to, loan } => {
                let replica = &mut self.replicas[*to];
                if !replica.is_partitioned {
                    replica.part.receive_loan(now, loan);
                }
            }
        }
    }

    fn receive_reply(
        &mut self,
        (index, incarnation): (usize, u64),
        number: u64,
        requested_at: Duration,
        verdict: TokenVerdict,
    ) {
        let gateway = &mut self.gateways[index];
        if gateway.incarnation != incarnation || gateway.answered.contains(&number) {
            return;
        }
        gateway.answered.push(number);
        if gateway.suspended_until > self.now {
            gateway.inbox.push((requested_at, verdict));
        } else {
            self.apply_reply(index, requested_at, verdict);
        }
    }

    pub fn apply_reply(&mut self, index: usize, requested_at: Duration, verdict: TokenVerdict) {
        let TokenVerdict::Granted(tokens) = verdict else {
            return;
        };
        let gateway = &mut self.gateways[index];
        gateway.cache.add(requested_at, &self.tenant, tokens - 1);
        if self.random.chance(0.1) {
            // The waiting request did not reach a server.
            gateway
                .cache
                .return_token(self.now, requested_at, &self.tenant);
            return;
        }
        self.served.push(Served {
            sent: requested_at,
            arrived: self.now,
        });
    }

    fn request_loans(&mut self, phase: &Phase) {
        for from in 0..self.replicas.len() {
            for request in self.replicas[from].part.loan_requests(self.now) {
                let others = self.replicas.len() as u64 - 1;
                let offset = 1 + request.number % others;
                let to = (from + offset as usize) % self.replicas.len();
                self.send(phase, Message::RequestLoan { from, to, request });
            }
        }
    }

    fn lend(&mut self, phase: &Phase, from: usize, to: usize, request: &LoanRequest) {
        let replica = &mut self.replicas[to];
        if replica.is_partitioned {
            return;
        }
        let before = replica.part.clone();
        let loan = replica.part.lend(self.now, request);
        if self.disabled_safeguard == DisabledSafeguard::LoanDeduction {
            replica.part = before;
        }
        if let Some(loan) = loan {
            self.send(phase, Message::Loan { to: from, loan });
        }
    }
}
