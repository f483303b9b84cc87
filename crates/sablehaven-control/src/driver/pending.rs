//! Proposals whose log entry has not been applied yet.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use sablehaven_consensus::Position;
use sablehaven_types::LedgerReply;

use super::{
    input::{LedgerReplies, ProposeError, SharedResponder},
    machine::CommandOutcome,
};

/// The delay after which a caller may retry a ledger call that got no answer from the ledger, in milliseconds.
pub(crate) const LEDGER_RETRY_AFTER_MS: u64 = 200;

/// A ledger call that waits for its reply. The calls of a batch are in the order of its requests.
pub(crate) struct LedgerCall {
    /// The number by which the relay matches the reply to its call.
    pub(crate) call: u64,
    pub(crate) replies: LedgerReplies,
}

/// Where the outcome of a proposed entry is sent.
pub(crate) enum Responder {
    Shared(SharedResponder),
    Ledger(Vec<LedgerCall>),
    /// Nowhere: the driver itself made the proposal.
    None,
}

/// A proposed entry that has not been applied yet.
struct Proposal {
    position: Position,
    responder: Responder,
}

/// The proposals of one group, in log order.
#[derive(Default)]
pub(crate) struct PendingProposals {
    proposals: VecDeque<Proposal>,
    /// The number of ledger calls in `proposals`.
    open_calls: usize,
    /// When this replica was first found not to lead while proposals were pending.
    leadership_lost_at: Option<Instant>,
}

impl PendingProposals {
    /// Adds the proposal of the entry at a log position, which must come after the positions of all earlier proposals.
    pub(crate) fn push(&mut self, position: Position, responder: Responder) {
        self.open_calls += responder.call_count();
        let proposal = Proposal {
            position,
            responder,
        };
        self.proposals.push_back(proposal);
    }

    /// The number of ledger calls that wait for a reply.
    pub(crate) fn ledger_calls(&self) -> usize {
        self.open_calls
    }

    /// Whether no proposal is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.proposals.is_empty()
    }

    /// Removes and returns the responder of the entry that is being applied. Fails the proposals up to its index that a
    /// different entry has replaced.
    pub(crate) fn take(&mut self, applied: Position) -> Option<Responder> {
        while let Some(first) = self.proposals.front() {
            if first.position.index > applied.index {
                return None;
            }
            let proposal = self.proposals.pop_front()?;
            self.open_calls -= proposal.responder.call_count();
            if proposal.position == applied {
                return Some(proposal.responder);
            }
            proposal.responder.fail();
        }
        None
    }

    /// Fails all pending proposals once this replica has not led for the `grace` time. Before that, the next leader may
    /// still commit their entries, so that the callers get the outcomes, as happens at a planned stop.
    pub(crate) fn expire(&mut self, is_leader: bool, now: Instant, grace: Duration) {
        if is_leader || self.proposals.is_empty() {
            self.leadership_lost_at = None;
            return;
        }
        let leadership_lost_at = *self.leadership_lost_at.get_or_insert(now);
        if now.duration_since(leadership_lost_at) >= grace {
            self.fail_all();
        }
    }

    /// Fails all pending proposals. Whether they will be committed is unknown.
    pub(crate) fn fail_all(&mut self) {
        self.open_calls = 0;
        self.leadership_lost_at = None;
        for proposal in self.proposals.drain(..) {
            proposal.responder.fail();
        }
    }
}

impl Responder {
    /// The number of ledger calls that wait for this entry.
    fn call_count(&self) -> usize {
        match self {
            Self::Ledger(calls) => calls.len(),
            Self::Shared(_) | Self::None => 0,
        }
    }

    /// Reports that it is unknown whether the entry is or will be committed. Receivers that have been dropped are
    /// ignored.
    pub(crate) fn fail(self) {
        match self {
            Self::Shared(respond) => {
                let _ = respond.send(Err(ProposeError::Unknown));
            }
            Self::Ledger(calls) => refuse_calls(calls),
            Self::None => {}
        }
    }

    /// Reports the outcome of the applied command.
    pub(crate) fn answer(self, applied: CommandOutcome) {
        match (self, applied) {
            (Self::Shared(respond), CommandOutcome::Shared(outcome)) => {
                let _ = respond.send(Ok(outcome));
            }
            (Self::Ledger(calls), CommandOutcome::Ledger(replies)) => answer_calls(calls, replies),
            (responder, _) => responder.fail(),
        }
    }
}

/// Replies to the calls that the ledger is unavailable, with the delay before a retry.
pub(crate) fn refuse_calls(calls: Vec<LedgerCall>) {
    let unavailable = LedgerReply::Unavailable {
        retry_after_ms: LEDGER_RETRY_AFTER_MS,
    };
    let replies = vec![unavailable; calls.len()];
    answer_calls(calls, replies);
}

/// Sends the replies. Replies to consecutive calls of one relay go out as one batch.
fn answer_calls(calls: Vec<LedgerCall>, replies: Vec<LedgerReply>) {
    let mut answered: Option<(LedgerReplies, Vec<(u64, LedgerReply)>)> = None;
    for (call, reply) in calls.into_iter().zip(replies) {
        match &mut answered {
            Some((sender, batch)) if sender.same_channel(&call.replies) => {
                batch.push((call.call, reply));
            }
            _ => {
                send_replies(answered.take());
                answered = Some((call.replies, vec![(call.call, reply)]));
            }
        }
    }
    send_replies(answered);
}

/// Sends a batch of replies to a relay. If the relay has disconnected, the batch is dropped: its agents retry through
/// another relay.
fn send_replies(answered: Option<(LedgerReplies, Vec<(u64, LedgerReply)>)>) {
    if let Some((sender, batch)) = answered {
        let _ = sender.send(batch);
    }
}
