//! Proposals that wait for their entry to be applied.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use sablehaven_consensus::Position;
use sablehaven_types::LedgerReply;

use super::{
    input::{LedgerReplies, ProposeError, SharedResponder},
    machine::Applied,
};

/// When a caller may come back after an unanswered ledger call, in milliseconds.
pub(crate) const LEDGER_RETRY_AFTER_MS: u64 = 200;

/// One ledger call that waits, in the order of the requests of its batch.
pub(crate) struct LedgerCall {
    pub(crate) call: u64,
    pub(crate) replies: LedgerReplies,
}

/// Who waits for an entry.
pub(crate) enum Responder {
    Shared(SharedResponder),
    Ledger(Vec<LedgerCall>),
    /// The driver's own proposals; nobody waits.
    None,
}

struct Proposal {
    position: Position,
    responder: Responder,
}

/// The proposals of one group, in log order.
#[derive(Default)]
pub(crate) struct PendingProposals {
    proposals: VecDeque<Proposal>,
    calls: usize,
    /// When this replica stopped leading with proposals still open.
    lost_at: Option<Instant>,
}

impl PendingProposals {
    pub(crate) fn push(&mut self, position: Position, responder: Responder) {
        self.calls += responder.calls();
        let proposal = Proposal {
            position,
            responder,
        };
        self.proposals.push_back(proposal);
    }

    /// Ledger calls that wait.
    pub(crate) fn ledger_calls(&self) -> usize {
        self.calls
    }

    /// Whether nobody waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.proposals.is_empty()
    }

    /// The proposer of the entry that is applied now; proposals that another entry took the place
    /// of are told so.
    pub(crate) fn take(&mut self, applied: Position) -> Option<Responder> {
        while let Some(first) = self.proposals.front() {
            if first.position.index > applied.index {
                return None;
            }
            let proposal = self.proposals.pop_front()?;
            self.calls -= proposal.responder.calls();
            if proposal.position == applied {
                return Some(proposal.responder);
            }
            proposal.responder.fail();
        }
        None
    }

    /// Fails what is left a while after this replica has stopped leading. Until then an entry may
    /// still be committed by the next leader and answered in full, as at a planned stop.
    pub(crate) fn expire(&mut self, is_leader: bool, now: Instant, grace: Duration) {
        if is_leader || self.proposals.is_empty() {
            self.lost_at = None;
            return;
        }
        let lost_at = *self.lost_at.get_or_insert(now);
        if now.duration_since(lost_at) >= grace {
            self.fail_all();
        }
    }

    /// Fails everything: what becomes of it is not known here.
    pub(crate) fn fail_all(&mut self) {
        self.calls = 0;
        self.lost_at = None;
        for proposal in self.proposals.drain(..) {
            proposal.responder.fail();
        }
    }
}

impl Responder {
    fn calls(&self) -> usize {
        match self {
            Self::Ledger(calls) => calls.len(),
            Self::Shared(_) | Self::None => 0,
        }
    }

    /// Whether the entry is committed is not known. An asker that has gone is not told.
    pub(crate) fn fail(self) {
        match self {
            Self::Shared(respond) => {
                let _ = respond.send(Err(ProposeError::Unknown));
            }
            Self::Ledger(calls) => refuse_calls(calls),
            Self::None => {}
        }
    }

    /// Answers with what became of the command.
    pub(crate) fn answer(self, applied: Applied) {
        match (self, applied) {
            (Self::Shared(respond), Applied::Shared(outcome)) => {
                let _ = respond.send(Ok(outcome));
            }
            (Self::Ledger(calls), Applied::Ledger(replies)) => answer_calls(calls, replies),
            (responder, _) => responder.fail(),
        }
    }
}

/// Answers that no leader took the calls on, with when to come back.
pub(crate) fn refuse_calls(calls: Vec<LedgerCall>) {
    let unavailable = LedgerReply::Unavailable {
        retry_after_ms: LEDGER_RETRY_AFTER_MS,
    };
    let replies = vec![unavailable; calls.len()];
    answer_calls(calls, replies);
}

/// Sends the replies, those of neighbouring calls of one relay together.
fn answer_calls(calls: Vec<LedgerCall>, replies: Vec<LedgerReply>) {
    let mut answered: Option<(LedgerReplies, Vec<(u64, LedgerReply)>)> = None;
    for (call, reply) in calls.into_iter().zip(replies) {
        match &mut answered {
            Some((sink, batch)) if sink.same_channel(&call.replies) => {
                batch.push((call.call, reply));
            }
            _ => {
                send(answered.take());
                answered = Some((call.replies, vec![(call.call, reply)]));
            }
        }
    }
    send(answered);
}

/// A relay that has gone gets no answer; its agents ask again through another one.
fn send(answered: Option<(LedgerReplies, Vec<(u64, LedgerReply)>)>) {
    if let Some((sink, batch)) = answered {
        let _ = sink.send(batch);
    }
}
