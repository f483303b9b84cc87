//! Equal parts in the control replicas with loans: the code of this crate.

use std::{collections::VecDeque, time::Duration};

use sablehaven_quota::{QuotaPart, TokenStock};
use sablehaven_types::{LoanRequest, TokenLoan, TokenRequest, TokenVerdict};

use crate::{
    demand::{Fleet, Ledger, Messages, Request, ZONES},
    measure::token_bytes,
    random::Lottery,
};

/// One way between replicas.
const ONE_WAY: Duration = Duration::from_millis(12);

enum Message {
    Ask(usize, usize, LoanRequest),
    Loan(usize, TokenLoan),
}

/// A request that a replica holds.
struct HeldRequest {
    request: Request,
    take: TokenRequest,
    draw: f64,
}

pub struct EqualParts {
    parts: Vec<QuotaPart>,
    stocks: Vec<TokenStock>,
    on_the_way: VecDeque<(Duration, Message)>,
    held: Vec<HeldRequest>,
    messages: Messages,
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
            part.set_parts(Duration::ZERO, Some(ZONES as u32 + 1));
            part.set_tenants(Duration::ZERO, quotas());
            part
        };
        Self {
            parts: (0..ZONES).map(part).collect(),
            stocks: (0..fleet.gateways)
                .map(|_| TokenStock::new(&fleet.tolerance))
                .collect(),
            on_the_way: VecDeque::new(),
            held: Vec::new(),
            messages: Messages::default(),
        }
    }

    fn send(&mut self, now: Duration, message: Message) {
        self.messages.between_replicas += 1;
        self.on_the_way.push_back((now + ONE_WAY, message));
    }

    /// What becomes of a request that waits at its replica.
    fn decide(&mut self, now: Duration, held: &HeldRequest) -> Option<bool> {
        let request = held.request;
        let part = &mut self.parts[Fleet::zone_of(request.gateway)];
        let waited = now - request.now;
        let TokenVerdict::Granted(granted) =
            part.take_or_hold(now, &held.take, held.draw, waited)?
        else {
            return Some(false);
        };
        self.stocks[request.gateway].put(request.now, &held.take.tenant, granted - 1);
        Some(true)
    }

    fn deliver(&mut self, now: Duration) {
        while self.on_the_way.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = self.on_the_way.pop_front() else {
                break;
            };
            match message {
                Message::Ask(from, to, request) => {
                    if let Some(loan) = self.parts[to].lend(now, &request) {
                        self.send(now, Message::Loan(from, loan));
                    }
                }
                Message::Loan(to, loan) => self.parts[to].receive(now, &loan),
            }
        }
    }

    fn ask_loans(&mut self, now: Duration) {
        for from in 0..ZONES {
            for request in self.parts[from].loans_wanted(now) {
                let step = 1 + request.number as usize % (ZONES - 1);
                self.send(now, Message::Ask(from, (from + step) % ZONES, request));
            }
        }
    }
}

impl Ledger for EqualParts {
    fn passes(&mut self, fleet: &Fleet, request: Request, lottery: &mut Lottery) -> Option<bool> {
        let name = &fleet.names[request.tenant];
        let stock = &mut self.stocks[request.gateway];
        if stock.spend(request.now, name) {
            return Some(true);
        }
        let take = TokenRequest {
            number: 0,
            tenant: name.clone(),
            wanted: stock.wanted(request.now, name),
            shed_permille: 0,
            patience_ms: 200,
            is_resend: false,
        };
        self.messages.at_gateways += 2;
        self.messages.bytes += token_bytes(name);
        let held = HeldRequest {
            request,
            take,
            draw: lottery.draw(),
        };
        let outcome = self.decide(request.now, &held);
        if outcome.is_none() {
            self.held.push(held);
        }
        outcome
    }

    fn tick(&mut self, _fleet: &Fleet, now: Duration) -> Vec<(Request, bool)> {
        self.deliver(now);
        self.ask_loans(now);
        let mut decided = Vec::new();
        for held in std::mem::take(&mut self.held) {
            let is_new = held.request.now == now;
            let outcome = if is_new {
                None
            } else {
                self.decide(now, &held)
            };
            match outcome {
                Some(is_passed) => decided.push((held.request, is_passed)),
                None => self.held.push(held),
            }
        }
        decided
    }

    fn messages(&self) -> Messages {
        self.messages
    }
}
