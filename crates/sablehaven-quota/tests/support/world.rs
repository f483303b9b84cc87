//! Replicas, gateways and the messages between them.

use std::time::Duration;

use sablehaven_quota::{QuotaPart, TokenStock};
use sablehaven_types::{
    LoanRequest, QuotaTolerance, RequestQuota, TenantName, TokenLoan, TokenRequest, TokenVerdict,
};

use super::{
    ms,
    plan::{Phase, Plan},
    random::Lottery,
    windows::{InForce, Served},
};

const STEP: Duration = Duration::from_millis(10);
/// Time for which a message that is not late is on its way, at the most.
const USUAL_WAY_MS: u64 = 25;
const LATE_WAY_MS: u64 = 2_500;

/// A protection that a broken variant goes without.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Without {
    Nothing,
    TokenLife,
    EmptyStart,
    LowerLimit,
    LoanDeduction,
}

pub struct Replica {
    pub part: QuotaPart,
    pub quota: RequestQuota,
    pub in_force_since: Duration,
    pub next_quota: Option<(Duration, RequestQuota)>,
    pub is_cut: bool,
    pub is_stale: bool,
}

pub struct Gateway {
    pub stock: TokenStock,
    pub suspended_until: Duration,
    /// Replies that came while it was suspended.
    pub inbox: Vec<(Duration, TokenVerdict)>,
    pub answered: Vec<u64>,
    pub incarnation: u64,
}

pub enum Message {
    Take {
        gateway: usize,
        incarnation: u64,
        replica: usize,
        number: u64,
        asked_at: Duration,
        wanted: u32,
    },
    Reply {
        gateway: usize,
        incarnation: u64,
        number: u64,
        asked_at: Duration,
        verdict: TokenVerdict,
    },
    Ask {
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
    pub served: Vec<Served>,
    pub quotas: Vec<InForce>,
    pub tolerance: QuotaTolerance,
    pub parts: u32,
    pub tenant: TenantName,
    pub without: Without,
    pub lottery: Lottery,
    pub replicas: Vec<Replica>,
    pub gateways: Vec<Gateway>,
    pub messages: Vec<(Duration, Message)>,
    pub next_number: u64,
    pub quota: RequestQuota,
}

impl World {
    pub fn new(plan: &Plan, without: Without) -> Self {
        let mut world = Self {
            now: ms(100_000),
            served: Vec::new(),
            quotas: Vec::new(),
            tolerance: plan.tolerance,
            parts: plan.members as u32 + 1,
            tenant: TenantName::from("tenant"),
            without,
            lottery: Lottery(plan.seed),
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

    /// Plays a phase after its event.
    pub fn play(&mut self, phase: &Phase) {
        self.apply_event(&phase.event);
        let end = self.now + ms(phase.length_ms);
        let target = self.lottery.below(1_000) as usize;
        while self.now < end {
            self.step(phase, target);
        }
        for replica in &mut self.replicas {
            replica.is_cut = false;
        }
    }

    /// Ends the times of the quotas that are in force.
    pub fn finish(&mut self) {
        for index in 0..self.replicas.len() {
            self.end_quota(index);
        }
    }

    fn step(&mut self, phase: &Phase, target: usize) {
        self.now += STEP;
        self.apply_quotas();
        self.deliver(phase);
        self.ask_loans(phase);
        for gateway in 0..self.gateways.len() {
            let mut demand = phase.demand;
            while demand > 0.0 && self.lottery.hits(demand.min(1.0)) {
                self.request(phase, gateway, target);
                demand -= 1.0;
            }
        }
    }

    fn request(&mut self, phase: &Phase, index: usize, target: usize) {
        let now = self.now;
        let stock_time = self.stock_time();
        let gateway = &mut self.gateways[index];
        if gateway.suspended_until > now {
            return;
        }
        if !phase.is_hoarding && self.spend(index) {
            return;
        }
        let gateway = &mut self.gateways[index];
        let wanted = gateway.stock.wanted(stock_time, &self.tenant);
        let hoarded = if phase.is_hoarding {
            self.lottery.below(12)
        } else {
            0
        };
        let wanted = wanted.max(hoarded as u32);
        let replica = match phase.is_at_one {
            true => target % self.replicas.len(),
            false => self.lottery.below(self.replicas.len() as u64) as usize,
        };
        self.next_number += 1;
        let message = Message::Take {
            gateway: index,
            incarnation: self.gateways[index].incarnation,
            replica,
            number: self.next_number,
            asked_at: now,
            wanted,
        };
        self.send(phase, message);
    }

    /// The time that the gateways' stocks are told.
    fn stock_time(&self) -> Duration {
        match self.without {
            // It stands still, as a clock does that does not count suspension.
            Without::TokenLife => Duration::ZERO,
            _ => self.now,
        }
    }

    pub fn spend(&mut self, index: usize) -> bool {
        let now = self.now;
        let spent_at = self.stock_time();
        let gateway = &mut self.gateways[index];
        let is_awake = gateway.suspended_until <= now;
        let is_spent = is_awake && gateway.stock.spend(spent_at, &self.tenant);
        if is_spent {
            self.served.push(Served {
                sent: now,
                arrived: now,
            });
        }
        is_spent
    }

    fn send(&mut self, phase: &Phase, message: Message) {
        if self.lottery.hits(phase.lost) {
            return;
        }
        let is_late = self.lottery.hits(phase.late);
        let longest = if is_late { LATE_WAY_MS } else { USUAL_WAY_MS };
        let arrival = self.now + ms(self.lottery.below(longest));
        self.messages.push((arrival, message));
    }

    fn deliver(&mut self, phase: &Phase) {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = waiting;
        for (_, message) in due {
            let is_doubled = self.lottery.hits(phase.doubled);
            let repeats = if is_doubled { 2 } else { 1 };
            for _ in 0..repeats {
                self.receive(phase, &message);
            }
        }
    }

    fn receive(&mut self, phase: &Phase, message: &Message) {
        let now = self.now;
        match message {
            Message::Take {
                gateway,
                incarnation,
                replica,
                number,
                asked_at,
                wanted,
            } => {
                let draw = self.lottery.draw();
                let replica = &mut self.replicas[*replica];
                if replica.is_cut {
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
                    asked_at: *asked_at,
                    verdict,
                };
                self.send(phase, reply);
            }
            Message::Reply {
                gateway,
                incarnation,
                number,
                asked_at,
                verdict,
            } => {
                self.receive_reply((*gateway, *incarnation), *number, *asked_at, *verdict);
            }
            Message::Ask { from, to, request } => self.lend(phase, *from, *to, request),
            Message::Loan { to, loan } => {
                let replica = &mut self.replicas[*to];
                if !replica.is_cut {
                    replica.part.receive(now, loan);
                }
            }
        }
    }

    fn receive_reply(
        &mut self,
        (index, incarnation): (usize, u64),
        number: u64,
        asked_at: Duration,
        verdict: TokenVerdict,
    ) {
        let gateway = &mut self.gateways[index];
        if gateway.incarnation != incarnation || gateway.answered.contains(&number) {
            return;
        }
        gateway.answered.push(number);
        if gateway.suspended_until > self.now {
            gateway.inbox.push((asked_at, verdict));
        } else {
            self.use_reply(index, asked_at, verdict);
        }
    }

    pub fn use_reply(&mut self, index: usize, asked_at: Duration, verdict: TokenVerdict) {
        let TokenVerdict::Granted(tokens) = verdict else {
            return;
        };
        let gateway = &mut self.gateways[index];
        gateway.stock.put(asked_at, &self.tenant, tokens - 1);
        if self.lottery.hits(0.1) {
            // The request that waited reached no server.
            gateway.stock.put_back(self.now, asked_at, &self.tenant);
            return;
        }
        self.served.push(Served {
            sent: asked_at,
            arrived: self.now,
        });
    }

    fn ask_loans(&mut self, phase: &Phase) {
        for from in 0..self.replicas.len() {
            for request in self.replicas[from].part.loans_wanted(self.now) {
                let others = self.replicas.len() as u64 - 1;
                let step = 1 + request.number % others;
                let to = (from + step as usize) % self.replicas.len();
                self.send(phase, Message::Ask { from, to, request });
            }
        }
    }

    fn lend(&mut self, phase: &Phase, from: usize, to: usize, request: &LoanRequest) {
        let replica = &mut self.replicas[to];
        if replica.is_cut {
            return;
        }
        let before = replica.part.clone();
        let loan = replica.part.lend(self.now, request);
        if self.without == Without::LoanDeduction {
            replica.part = before;
        }
        if let Some(loan) = loan {
            self.send(phase, Message::Loan { to: from, loan });
        }
    }
}
