//! A caller of requests that may not be repeated: it sends them again through other agents, at once
//! or much later.

use sablehaven_types::{CallerId, LedgerKey, Outcome, RequestId};

use crate::{
    network::NodeId,
    packet::{CallSend, Packet},
    process::{Context, Input, Role},
};

const PATIENCE_MS: u64 = 2_500;
const MOST_SENDS: u64 = 5;

struct Request {
    call: CallSend,
    sent_ms: u64,
    is_open: bool,
}

/// A caller process.
pub struct Caller {
    index: usize,
    requests: Vec<Request>,
}

impl Caller {
    /// A caller.
    pub fn start(index: usize) -> Self {
        Self {
            index,
            requests: Vec::new(),
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        let now_ms = context.local_ms;
        let overdue = self.requests.iter().position(|request| {
            request.is_open && now_ms >= request.sent_ms + context.scaled(PATIENCE_MS)
        });
        if let Some(position) = overdue {
            self.send_again(context, position);
            return;
        }
        if self.requests.iter().any(|request| request.is_open) {
            return;
        }
        if !self.requests.is_empty() && context.random.chance(100) {
            // Perhaps long after its answer, so that the ledger may have forgotten it.
            let position = context.random.index(self.requests.len());
            self.send_again(context, position);
        } else if context.random.chance(400) {
            self.send_new(context);
        }
    }

    fn send_new(&mut self, context: &mut Context<'_>) {
        let number = self.requests.len();
        let key = LedgerKey {
            caller: CallerId(format!("caller-{}", self.index)),
            request: RequestId(format!("request-{number}")),
            issued_at_ms: context.unix_ms,
        };
        self.requests.push(Request {
            call: CallSend { key, send: 0 },
            sent_ms: 0,
            is_open: false,
        });
        self.send_again(context, number);
    }

    fn send_again(&mut self, context: &mut Context<'_>, position: usize) {
        let agent = context.random.index(context.settings.agents);
        let Some(request) = self.requests.get_mut(position) else {
            return;
        };
        if request.call.send >= MOST_SENDS {
            request.is_open = false;
            return;
        }
        request.call.send += 1;
        request.sent_ms = context.local_ms;
        request.is_open = true;
        let packet = Packet::Call(request.call.clone());
        context.send(NodeId::Agent(agent), packet);
    }

    fn answered(&mut self, context: &mut Context<'_>, call: &CallSend, outcome: Outcome) {
        context.checks.told(context.now, call, outcome);
        let position = self
            .requests
            .iter()
            .position(|request| request.call == *call);
        let Some(position) = position else {
            return;
        };
        self.requests[position].is_open = false;
        let wants_more = outcome != Outcome::Done && context.random.chance(500);
        if wants_more {
            self.send_again(context, position);
        }
    }
}

impl Role for Caller {
    fn handle(&mut self, context: &mut Context<'_>, input: Input) {
        match input {
            Input::Tick => self.tick(context),
            Input::Packet {
                packet: Packet::CallAnswer { key, send, outcome },
                ..
            } => self.answered(context, &CallSend { key, send }, outcome),
            Input::Packet { .. } | Input::Synced(_) => {}
        }
    }
}
