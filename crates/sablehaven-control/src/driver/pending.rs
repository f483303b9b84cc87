//! Proposals that wait for their entry to be applied.

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
    open_calls: usize,
    /// When this replica stopped leading with proposals still open.
    leadership_lost_at: Option<Instant>,
}

impl PendingProposals {
    pub(crate) fn push(&mut self, position: Position, responder: Responder) {
        self.open_calls += responder.call_count();
        let proposal = Proposal {
            position,
            responder,
        };
        self.proposals.push_back(proposal);
    }

    /// Ledger calls that wait.
    pub(crate) fn ledger_calls(&self) -> usize {
        self.open_calls
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
            self.open_calls -= proposal.responder.call_count();
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
            self.leadership_lost_at = None;
            return;
        }
        let leadership_lost_at = *self.leadership_lost_at.get_or_insert(now);
        if now.duration_since(leadership_lost_at) >= grace {
            self.fail_all();
        }
    }

    /// Fails everything: what becomes of it is not known here.
    pub(crate) fn fail_all(&mut self) {
        self.open_calls = 0;
        self.leadership_lost_at = None;
        for proposal in self.proposals.drain(..) {
            proposal.responder.fail();
        }
    }
}

impl Responder {
    fn call_count(&self) -> usize {
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

/// A relay that has gone gets no answer; its agents ask again through another one.
fn send_replies(answered: Option<(LedgerReplies, Vec<(u64, LedgerReply)>)>) {
    if let Some((sender, batch)) = answered {
        let _ = sender.send(batch);
    }
}
