//! Requests for tokens that wait while other replicas may lend some.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{TokenReply, TokenRequest};
use tokio::sync::mpsc;

/// Takes the answers to one gateway's requests.
pub(crate) type ReplySender = mpsc::Sender<Vec<TokenReply>>;

/// The requests that wait, in the order in which they came.
#[derive(Default)]
pub(super) struct WaitingRequests {
    requests: Vec<WaitingRequest>,
}

struct WaitingRequest {
    request: TokenRequest,
    asked_at: Duration,
    draw: f64,
    replying: ReplySender,
}

impl WaitingRequests {
    /// Whether none waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Decides on a request that has just come; `None` where it waits from now on.
    pub(super) fn take(
        &mut self,
        part: &mut QuotaPart,
        now: Duration,
        request: &TokenRequest,
        replying: &ReplySender,
    ) -> Option<TokenReply> {
        let draw = rand::random();
        let verdict = part.take_or_hold(now, request, draw, Duration::ZERO);
        if verdict.is_none() {
            self.requests.push(WaitingRequest {
                request: request.clone(),
                asked_at: now,
                draw,
                replying: replying.clone(),
            });
        }
        let number = request.number;
        verdict.map(|verdict| TokenReply { number, verdict })
    }

    /// Decides on those that wait; what is decided goes to their gateways. One whose gateway has gone takes no token.
    pub(super) fn settle(
        &mut self,
        part: &mut QuotaPart,
        now: Duration,
    ) -> Vec<(TokenReply, ReplySender)> {
        let mut settled = Vec::new();
        self.requests.retain(|waiting| {
            if waiting.replying.is_closed() {
                return false;
            }
            // A time of 0 would count it once more.
            let held = now.saturating_sub(waiting.asked_at);
            let held = held.max(Duration::from_nanos(1));
            let verdict = part.take_or_hold(now, &waiting.request, waiting.draw, held);
            let Some(verdict) = verdict else {
                return true;
            };
            let number = waiting.request.number;
            settled.push((TokenReply { number, verdict }, waiting.replying.clone()));
            false
        });
        settled
    }
}
