//! Equal parts at the control replicas, with loans between them: the scheme that this crate implements.

use std::{collections::VecDeque, time::Duration};

use sablehaven_quota::{QuotaPart, TokenCache};
use sablehaven_types::{LoanRequest, TokenLoan, TokenRequest, TokenVerdict};

use crate::{
    demand::{Fleet, MessageCounts, QuotaScheme, Request, ZONES},
    measure::token_bytes,
    random::Random,
};

/// Network latency between replicas, in one direction.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(12);

/// Messages between replicas, addressed by index.
enum Message {
    /// The sender, the receiver and the request.
    RequestLoan(usize, usize, LoanRequest),
    /// The receiver and the loan.
    Loan(usize, TokenLoan),
}

/// A request that is held by a replica.
struct HeldRequest {
    request: Request,
    token_request: TokenRequest,
    draw: f64,
}

/// A control replica per zone with one part of each quota, and a token cache at each gateway.
pub struct EqualParts {
    parts: Vec<QuotaPart>,
    caches: Vec<TokenCache>,
    /// Sent messages with their times of arrival.
    in_flight: VecDeque<(Duration, Message)>,
    held: Vec<HeldRequest>,
    messages: MessageCounts,
}

impl EqualParts {
    pub fn new(fleet: &Fleet) -> Self {
        let quotas = || {
            fleet
                .names
                .iter()
                .zip(fleet.quotas.iter().map(|quota| Some(*quota)))
        };
        let part = |_| {
            let mut part = QuotaPart::new(fleet.tolerance);
            part.set_part_count(Duration::ZERO, Some(ZONES as u32 + 1));
            part.set_tenants(Duration::ZERO, quotas());
            part
        };
        Self {
            parts: (0..ZONES).map(part).collect(),
            caches: (0..fleet.gateways)
                .map(|_| TokenCache::new(&fleet.tolerance))
                .collect(),
            in_flight: VecDeque::new(),
            held: Vec::new(),
            messages: MessageCounts::default(),
        }
    }

    fn send(&mut self, now: Duration, message: Message) {
        self.messages.between_replicas += 1;
        self.in_flight.push_back((now + ONE_WAY_LATENCY, message));
    }

    /// Decides on a request at the replica of its zone; `None` if it is held.
    fn decide(&mut self, now: Duration, held: &HeldRequest) -> Option<bool> {
        let request = held.request;
        let part = &mut self.parts[Fleet::zone_of(request.gateway)];
        let waited = now - request.now;
        let TokenVerdict::Granted(granted) =
            part.take_or_hold(now, &held.token_request, held.draw, waited)?
        else {
            return Some(false);
        };
        self.caches[request.gateway].add(request.now, &held.token_request.tenant, granted - 1);
        Some(true)
    }

    fn deliver(&mut self, now: Duration) {
        while self.in_flight.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = self.in_flight.pop_front() else {
                break;
            };
            match message {
                Message::RequestLoan(from, to, request) => {
                    if let Some(loan) = self.parts[to].lend(now, &request) {
                        self.send(now, Message::Loan(from, loan));
                    }
                }
                Message::Loan(to, loan) => self.parts[to].receive_loan(now, &loan),
            }
        }
    }

    fn request_loans(&mut self, now: Duration) {
        for from in 0..ZONES {
            for request in self.parts[from].loan_requests(now) {
                let offset = 1 + request.number as usize % (ZONES - 1);
                self.send(
                    now,
                    Message::RequestLoan(from, (from + offset) % ZONES, request),
                );
            }
        }
    }
}

impl QuotaScheme for EqualParts {
    fn admit(&mut self, fleet: &Fleet, request: Request, random: &mut Random) -> Option<bool> {
        let name = &fleet.names[request.tenant];
        let cache = &mut self.caches[request.gateway];
        if cache.spend(request.now, name) {
            return Some(true);
        }
        let token_request = TokenRequest {
            number: 0,
            tenant: name.clone(),
            wanted: cache.tokens_to_request(request.now, name),
            shed_permille: 0,
            patience_ms: 200,
            is_resend: false,
        };
        self.messages.at_gateways += 2;
        self.messages.bytes += token_bytes(name);
        let held = HeldRequest {
            request,
            token_request,
            draw: random.uniform(),
        };
        let outcome = self.decide(request.now, &held);
        if outcome.is_none() {
            self.held.push(held);
        }
        outcome
    }

    fn tick(&mut self, _fleet: &Fleet, now: Duration) -> Vec<(Request, bool)> {
        self.deliver(now);
        self.request_loans(now);
        let mut decided = Vec::new();
        for held in std::mem::take(&mut self.held) {
            let is_new = held.request.now == now;
            let outcome = if is_new {
                None
            } else {
                self.decide(now, &held)
            };
            match outcome {
                Some(is_admitted) => decided.push((held.request, is_admitted)),
                None => self.held.push(held),
            }
        }
        decided
    }

    fn messages(&self) -> MessageCounts {
        self.messages
    }
}
