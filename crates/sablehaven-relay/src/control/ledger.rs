//! Ledger calls of all agents, gathered into batches for control.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sablehaven_types::{LedgerReply, LedgerRequest};

use crate::agent::directory::SessionId;

/// Numbers the relay's connections to control.
pub(crate) type LinkId = u64;

/// Bounds of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Time that a call waits for others to share its message.
    pub batch_delay: Duration,
    /// Calls in one message.
    pub batch: usize,
    /// Calls waiting or in flight.
    pub total: usize,
    /// Calls of one agent waiting or in flight.
    pub per_agent: usize,
    /// Time after which a call is given up.
    pub timeout: Duration,
}

/// A call that was refused because too many wait or are in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

/// A reply on its way to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentReply {
    /// The agent's connection.
    pub session: SessionId,
    /// The agent's number of the call.
    pub call: u64,
    /// The reply; `None` when the call was given up or its connection to control broke, so that
    /// whether it took effect is not known.
    pub reply: Option<LedgerReply>,
}

/// The calls that wait for a connection to control or for an answer.
///
/// A call is sent at most once. When the connection that it was sent on ends, it is answered as
/// unavailable: only its agent may ask again.
#[derive(Debug)]
pub struct LedgerRouter {
    limits: LedgerLimits,
    last_call: u64,
    waiting: VecDeque<u64>,
    calls: HashMap<u64, Call>,
    per_session: HashMap<SessionId, usize>,
}

#[derive(Debug)]
struct Call {
    session: SessionId,
    agent_call: u64,
    request: Option<LedgerRequest>,
    arrived_at: Duration,
    sent_on: Option<LinkId>,
}

impl LedgerRouter {
    /// A router without calls.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            last_call: 0,
            waiting: VecDeque::new(),
            calls: HashMap::new(),
            per_session: HashMap::new(),
        }
    }

    /// Takes a call of an agent.
    pub fn add(
        &mut self,
        session: SessionId,
        agent_call: u64,
        request: LedgerRequest,
        now: Duration,
    ) -> Result<(), Refused> {
        let of_session = self.per_session.entry(session).or_default();
        if self.calls.len() >= self.limits.total || *of_session >= self.limits.per_agent {
            return Err(Refused);
        }
        *of_session += 1;
        self.last_call += 1;
        let call = Call {
            session,
            agent_call,
            request: Some(request),
            arrived_at: now,
            sent_on: None,
        };
        self.calls.insert(self.last_call, call);
        self.waiting.push_back(self.last_call);
        Ok(())
    }

    /// When the next batch is due; `None` while no call waits.
    pub fn due_at(&self) -> Option<Duration> {
        let first = self.waiting.front()?;
        let call = self.calls.get(first)?;
        if self.waiting.len() >= self.limits.batch {
            return Some(call.arrived_at);
        }
        Some(call.arrived_at + self.limits.batch_delay)
    }

    /// The next batch, to be sent on the given connection to control.
    pub fn take_batch(&mut self, link: LinkId) -> Vec<(u64, LedgerRequest)> {
        let mut batch = Vec::new();
        while batch.len() < self.limits.batch {
            let Some(number) = self.waiting.pop_front() else {
                break;
            };
            let Some(call) = self.calls.get_mut(&number) else {
                continue;
            };
            if let Some(request) = call.request.take() {
                call.sent_on = Some(link);
                batch.push((number, request));
            }
        }
        batch
    }

    /// Control answered a call; `None` if nobody waits for it any more.
    pub fn answered(&mut self, number: u64, reply: LedgerReply) -> Option<AgentReply> {
        self.finish(number, Some(reply))
    }

    /// A connection to control ended: the calls that were sent on it get no answer.
    pub fn link_ended(&mut self, link: LinkId) -> Vec<AgentReply> {
        self.give_up(|call| call.sent_on == Some(link))
    }

    /// Gives up the calls that have waited too long.
    pub fn expire(&mut self, now: Duration) -> Vec<AgentReply> {
        let timeout = self.limits.timeout;
        self.give_up(|call| now >= call.arrived_at + timeout)
    }

    /// An agent's connection ended: its calls that wait are not sent, and nobody hears the answers
    /// to the others.
    pub fn session_ended(&mut self, session: SessionId) {
        self.give_up(|call| call.session == session);
    }

    /// The number of calls that wait or are in flight.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// The number of calls in flight on a connection to control.
    pub fn in_flight(&self, link: LinkId) -> usize {
        let calls = self.calls.values();
        calls.filter(|call| call.sent_on == Some(link)).count()
    }

    fn give_up(&mut self, which: impl Fn(&Call) -> bool) -> Vec<AgentReply> {
        let calls = self.calls.iter();
        let mut numbers: Vec<u64> = calls
            .filter(|(_, call)| which(call))
            .map(|(number, _)| *number)
            .collect();
        numbers.sort_unstable();
        let replies = numbers.into_iter();
        let replies: Vec<AgentReply> = replies
            .filter_map(|number| self.finish(number, None))
            .collect();
        self.waiting
            .retain(|number| self.calls.contains_key(number));
        replies
    }

    fn finish(&mut self, number: u64, reply: Option<LedgerReply>) -> Option<AgentReply> {
        let call = self.calls.remove(&number)?;
        if let Some(of_session) = self.per_session.get_mut(&call.session) {
            *of_session -= 1;
            if *of_session == 0 {
                self.per_session.remove(&call.session);
            }
        }
        Some(AgentReply {
            session: call.session,
            call: call.agent_call,
            reply,
        })
    }
}
