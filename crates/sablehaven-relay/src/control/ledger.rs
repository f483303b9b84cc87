//! Batches the ledger calls of all agents into messages to control and matches the replies.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sablehaven_types::{LedgerReply, LedgerRequest};

use crate::agent::directory::SessionId;

/// Identifies a connection of the relay to control.
pub(crate) type LinkId = u64;

/// Limits of a [`LedgerBatcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Maximum time that a call waits for other calls to share its message.
    pub batch_delay: Duration,
    /// Maximum number of calls in one message.
    pub max_batch_calls: usize,
    /// Maximum number of calls queued or in flight.
    pub max_open_calls: usize,
    /// Maximum number of calls of one agent queued or in flight.
    pub max_open_calls_per_agent: usize,
    /// Time after which an unanswered call fails.
    pub timeout: Duration,
}

/// A call was rejected because too many calls are queued or in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyCalls;

/// The result of a call, to be sent to the agent that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedCall {
    /// The connection of the agent.
    pub session: SessionId,
    /// The ID that the agent gave to the call.
    pub call: u64,
    /// The reply. `None` if the call timed out or its connection to control broke, so that it is
    /// unknown whether the call took effect.
    pub reply: Option<LedgerReply>,
}

/// Calls that are queued for a connection to control or waiting for a reply.
///
/// Each call is sent at most once. If the connection that it was sent on ends, the call is answered
/// as unavailable. Only the agent may retry it.
#[derive(Debug)]
pub struct LedgerBatcher {
    limits: LedgerLimits,
    last_call_id: u64,
    queued: VecDeque<u64>,
    calls: HashMap<u64, Call>,
    calls_per_session: HashMap<SessionId, usize>,
}

#[derive(Debug)]
struct Call {
    session: SessionId,
    agent_call_id: u64,
    /// `None` once the call has been sent.
    request: Option<LedgerRequest>,
    arrived_at: Duration,
    sent_on_link: Option<LinkId>,
}

impl LedgerBatcher {
    /// Creates a batcher without calls.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            last_call_id: 0,
            queued: VecDeque::new(),
            calls: HashMap::new(),
            calls_per_session: HashMap::new(),
        }
    }

    /// Queues a call of an agent.
    pub fn add(
        &mut self,
        session: SessionId,
        agent_call_id: u64,
        request: LedgerRequest,
        now: Duration,
    ) -> Result<(), TooManyCalls> {
        let session_calls = self.calls_per_session.entry(session).or_default();
        if self.calls.len() >= self.limits.max_open_calls
            || *session_calls >= self.limits.max_open_calls_per_agent
        {
            return Err(TooManyCalls);
        }
        *session_calls += 1;
        self.last_call_id += 1;
        let call = Call {
            session,
            agent_call_id,
            request: Some(request),
            arrived_at: now,
            sent_on_link: None,
        };
        self.calls.insert(self.last_call_id, call);
        self.queued.push_back(self.last_call_id);
        Ok(())
    }

    /// Time at which the next batch is due, or `None` if no call is queued.
    pub fn due_at(&self) -> Option<Duration> {
        let first = self.queued.front()?;
        let call = self.calls.get(first)?;
        if self.queued.len() >= self.limits.max_batch_calls {
            return Some(call.arrived_at);
        }
        Some(call.arrived_at + self.limits.batch_delay)
    }

    /// Takes the next batch, to be sent on the connection `link` to control.
    pub fn take_batch(&mut self, link: LinkId) -> Vec<(u64, LedgerRequest)> {
        let mut batch = Vec::new();
        while batch.len() < self.limits.max_batch_calls {
            let Some(call_id) = self.queued.pop_front() else {
                break;
            };
            let Some(call) = self.calls.get_mut(&call_id) else {
                continue;
            };
            if let Some(request) = call.request.take() {
                call.sent_on_link = Some(link);
                batch.push((call_id, request));
            }
        }
        batch
    }

    /// Completes a call that control has answered. Returns `None` if the call is no longer open.
    pub fn complete(&mut self, call_id: u64, reply: LedgerReply) -> Option<FinishedCall> {
        self.finish(call_id, Some(reply))
    }

    /// Fails the calls that were sent on a connection to control that has ended.
    pub fn close_link(&mut self, link: LinkId) -> Vec<FinishedCall> {
        self.fail_calls(|call| call.sent_on_link == Some(link))
    }

    /// Fails the calls whose timeout has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<FinishedCall> {
        let timeout = self.limits.timeout;
        self.fail_calls(|call| now >= call.arrived_at + timeout)
    }

    /// Drops the calls of an agent whose connection has ended. Queued calls are not sent; replies
    /// to calls in flight are discarded.
    pub fn close_session(&mut self, session: SessionId) {
        self.fail_calls(|call| call.session == session);
    }

    /// Number of calls that are queued or in flight.
    pub fn open_call_count(&self) -> usize {
        self.calls.len()
    }

    /// Number of calls in flight on the given connection to control.
    pub fn in_flight_count(&self, link: LinkId) -> usize {
        let calls = self.calls.values();
        calls.filter(|call| call.sent_on_link == Some(link)).count()
    }

    fn fail_calls(&mut self, matches: impl Fn(&Call) -> bool) -> Vec<FinishedCall> {
        let calls = self.calls.iter();
        let mut call_ids: Vec<u64> = calls
            .filter(|(_, call)| matches(call))
            .map(|(call_id, _)| *call_id)
            .collect();
        call_ids.sort_unstable();
        let replies = call_ids.into_iter();
        let replies: Vec<FinishedCall> = replies
            .filter_map(|call_id| self.finish(call_id, None))
            .collect();
        self.queued
            .retain(|call_id| self.calls.contains_key(call_id));
        replies
    }

    fn finish(&mut self, call_id: u64, reply: Option<LedgerReply>) -> Option<FinishedCall> {
        let call = self.calls.remove(&call_id)?;
        if let Some(session_calls) = self.calls_per_session.get_mut(&call.session) {
            *session_calls -= 1;
            if *session_calls == 0 {
                self.calls_per_session.remove(&call.session);
            }
        }
        Some(FinishedCall {
            session: call.session,
            call: call.agent_call_id,
            reply,
        })
    }
}
