//! Requests for tokens that wait for loans from other replicas.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{TokenReply, TokenRequest};
use tokio::sync::mpsc;

/// Sends replies to one gateway.
pub(crate) type ReplySender = mpsc::Sender<Vec<TokenReply>>;

/// The waiting requests, in order of arrival.
#[derive(Default)]
pub(super) struct WaitingRequests {
    requests: Vec<WaitingRequest>,
}

struct WaitingRequest {
    request: TokenRequest,
    received_at: Duration,
    draw: f64,
    reply_sender: ReplySender,
}

impl WaitingRequests {
    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Decides on a new request. Returns `None` if the request has to wait.
    pub(super) fn take_or_wait(
        &mut self,
        part: &mut QuotaPart,
        now: Duration,
        request: &TokenRequest,
        reply_sender: &ReplySender,
    ) -> Option<TokenReply> {
        let draw = rand::random();
        let verdict = part.take_or_hold(now, request, draw, Duration::ZERO);
        if verdict.is_none() {
            self.requests.push(WaitingRequest {
                request: request.clone(),
                received_at: now,
                draw,
                reply_sender: reply_sender.clone(),
            });
        }
        let number = request.number;
        verdict.map(|verdict| TokenReply { number, verdict })
    }

    /// Decides on the waiting requests and returns the replies to send. A request whose gateway has disconnected is
    /// dropped and takes no token.
    pub(super) fn decide(
        &mut self,
        part: &mut QuotaPart,
        now: Duration,
    ) -> Vec<(TokenReply, ReplySender)> {
        let mut decided = Vec::new();
        self.requests.retain(|waiting| {
            if waiting.reply_sender.is_closed() {
                return false;
            }
            // A waiting time of 0 marks a new request, so the part would count this one twice.
            let waited = now.saturating_sub(waiting.received_at);
            let waited = waited.max(Duration::from_nanos(1));
            let verdict = part.take_or_hold(now, &waiting.request, waiting.draw, waited);
            let Some(verdict) = verdict else {
                return true;
            };
            let number = waiting.request.number;
            decided.push((TokenReply { number, verdict }, waiting.reply_sender.clone()));
            false
        });
        decided
    }
}
