//! The tokens of this gateway, and its requests for more that have no answer yet.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_quota::TokenStock;
use sablehaven_types::{
    Distance, QuotaTolerance, TenantName, TokenReply, TokenRequest, TokenRequestNumber,
    TokenVerdict,
};
use sablehaven_wire::AgeClock;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout_at,
};

use super::replicas::TokenReplicas;

/// The longest time for which a request waits for a token, whatever its route: a token that comes later may be of a
/// window that is over.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Time after which an answer is not expected any more. The connection has ended by then if it is a replica's fault.
const PENDING_TTL: Duration = Duration::from_secs(10);

/// Where requests for tokens are sent.
pub(crate) trait TokenRequester {
    /// The connected control replicas; of equally near ones, the one first that is to be asked first.
    fn connected(&self) -> Vec<(SocketAddr, Distance)>;

    /// Sends a request; whether a connection took it.
    fn send(&self, replica: SocketAddr, request: TokenRequest) -> bool;
}

/// What a request that needs a token asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcquireOptions<'a> {
    pub(crate) tenant: &'a TenantName,
    /// Part of such requests that this gateway refuses lately, in thousandths. Above 0 it asks for this request alone.
    pub(crate) shed_permille: u16,
    /// How long a replica may keep it waiting for tokens of others.
    pub(crate) replica_wait: Duration,
    /// Whether its caller was refused before.
    pub(crate) is_resend: bool,
    /// How long it may wait in all.
    pub(crate) timeout: Duration,
}

/// What a request for a token came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// A token is spent on it.
    Granted,
    /// The tenant's quota is used up for this time.
    OverQuota(Duration),
    /// The tenant has had its fair share of too little room.
    OverFairShare,
    /// No replica decided in time.
    Undecided,
}

/// The tokens of this gateway, and its requests for more.
pub(crate) struct TokenClient<Clock> {
    clock: Clock,
    state: RefCell<ClientState>,
}

struct ClientState {
    stock: TokenStock,
    replicas: TokenReplicas,
    pending: BTreeMap<TokenRequestNumber, PendingRequest>,
    last_number: TokenRequestNumber,
}

/// A request for tokens without an answer.
struct PendingRequest {
    replica: SocketAddr,
    tenant: TenantName,
    /// By the clock that counts suspension.
    requested_at: Duration,
    decision_sender: UnboundedSender<Decision>,
}

/// A replica's word, and when it was asked for it by the clock that counts suspension.
#[derive(Clone, Copy, Debug)]
struct Decision {
    replica: SocketAddr,
    requested_at: Duration,
    verdict: TokenVerdict,
}

impl<Clock: AgeClock> TokenClient<Clock> {
    /// A client without tokens.
    pub(crate) fn new(clock: Clock, tolerance: &QuotaTolerance) -> Self {
        let state = ClientState {
            stock: TokenStock::new(tolerance),
            replicas: TokenReplicas::default(),
            pending: BTreeMap::new(),
            last_number: 0,
        };
        Self {
            clock,
            state: RefCell::new(state),
        }
    }

    /// Spends a token that is there.
    pub(crate) fn spend(&self, tenant: &TenantName) -> bool {
        let now = self.clock.now();
        self.state.borrow_mut().stock.spend(now, tenant)
    }

    /// Asks for a token, one replica after the other. Where all have said lately that they have no part, only the first
    /// is asked again. When the future is dropped, what is granted later goes into the stock.
    pub(crate) async fn acquire<Requester: TokenRequester>(
        &self,
        requester: &Requester,
        options: AcquireOptions<'_>,
    ) -> TokenOutcome {
        let timeout = options.timeout.min(MAX_WAIT);
        let started = Instant::now();
        let (decision_sender, decisions) = unbounded_channel();
        let mut waiting = WaitingRequest {
            client: self,
            tenant: options.tenant,
            decisions,
        };
        let connected = requester.connected();
        let order = {
            let state = self.state.borrow();
            state.replicas.ordered(self.clock.now(), &connected)
        };
        for (position, (replica, distance)) in order.iter().enumerate() {
            let time_left = timeout.saturating_sub(started.elapsed());
            if time_left.is_zero() {
                break;
            }
            let request = self.create_request(*replica, &options, &decision_sender);
            let number = request.number;
            if !requester.send(*replica, request) {
                self.state.borrow_mut().pending.remove(&number);
                continue;
            }
            let is_last = position + 1 == order.len();
            let wait = self.state.borrow().replicas.max_wait(*replica, *distance);
            let wait = if is_last {
                time_left
            } else {
                wait.min(time_left)
            };
            match waiting.wait_for_decision(*replica, timeout, wait).await {
                WaitResult::Decided(outcome) => return outcome,
                WaitResult::NoPart => {}
                WaitResult::TimedOut if wait < time_left => {
                    self.state.borrow_mut().replicas.record_timeout(*replica);
                }
                // It had less than its time.
                WaitResult::TimedOut => {}
            }
        }
        TokenOutcome::Undecided
    }

    /// Takes a replica's answers. What is granted beyond the requests that wait goes into the stock.
    pub(crate) fn handle_replies(&self, replica: SocketAddr, replies: &[TokenReply]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        for reply in replies {
            state.handle_reply(now, replica, *reply);
        }
    }

    /// The connection to a replica has ended; it answers nothing more.
    pub(crate) fn remove_replica(&self, replica: SocketAddr) {
        let mut state = self.state.borrow_mut();
        state.replicas.remove(replica);
        state.pending.retain(|_, pending| {
            let is_disconnected = pending.replica == replica;
            if is_disconnected {
                // Whoever waited may have left.
                let _ = pending.decision_sender.send(Decision {
                    replica,
                    requested_at: pending.requested_at,
                    verdict: TokenVerdict::NoPart,
                });
            }
            !is_disconnected
        });
    }

    fn create_request(
        &self,
        replica: SocketAddr,
        options: &AcquireOptions<'_>,
        decision_sender: &UnboundedSender<Decision>,
    ) -> TokenRequest {
        let tenant = options.tenant;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state
            .pending
            .retain(|_, pending| now.saturating_sub(pending.requested_at) < PENDING_TTL);
        // The others that wait have asked for what is needed beyond them.
        let has_pending = state
            .pending
            .values()
            .any(|pending| pending.tenant == *tenant);
        let wanted = if has_pending || options.shed_permille > 0 {
            1
        } else {
            state.stock.wanted(now, tenant)
        };
        state.last_number += 1;
        let number = state.last_number;
        let pending = PendingRequest {
            replica,
            tenant: tenant.clone(),
            requested_at: now,
            decision_sender: decision_sender.clone(),
        };
        state.pending.insert(number, pending);
        TokenRequest {
            number,
            tenant: tenant.clone(),
            wanted,
            shed_permille: options.shed_permille,
            patience_ms: u16::try_from(options.replica_wait.as_millis()).unwrap_or(u16::MAX),
            is_resend: options.is_resend,
        }
    }
}

impl ClientState {
    fn handle_reply(&mut self, now: Duration, replica: SocketAddr, reply: TokenReply) {
        // Numbers are the gateway's own, so one that is not known is only long forgotten; but the word of another replica
        // must not count as this one's.
        let known = self.pending.get(&reply.number);
        if known.is_none_or(|pending| pending.replica != replica) {
            return;
        }
        let Some(pending) = self.pending.remove(&reply.number) else {
            return;
        };
        let requested_at = pending.requested_at;
        self.replicas
            .record_reply(replica, now.saturating_sub(requested_at).min(MAX_WAIT));
        match reply.verdict {
            TokenVerdict::Granted(tokens) => {
                let verdict = TokenVerdict::Granted(1);
                let decision = Decision {
                    replica,
                    requested_at,
                    verdict,
                };
                let is_received = pending.decision_sender.send(decision).is_ok();
                let surplus = tokens.saturating_sub(u32::from(is_received));
                self.stock.put(requested_at, &pending.tenant, surplus);
            }
            verdict => {
                if verdict == TokenVerdict::NoPart {
                    self.replicas.record_no_part(now, replica);
                }
                // Whoever waited may have left.
                let _ = pending.decision_sender.send(Decision {
                    replica,
                    requested_at,
                    verdict,
                });
            }
        }
    }
}

/// What came while a replica's answer was waited for.
enum WaitResult {
    Decided(TokenOutcome),
    NoPart,
    TimedOut,
}

/// A request that waits for a token. When it is dropped, tokens that have come for it go into the stock.
struct WaitingRequest<'a, Clock: AgeClock> {
    client: &'a TokenClient<Clock>,
    tenant: &'a TenantName,
    decisions: UnboundedReceiver<Decision>,
}

impl<Clock: AgeClock> WaitingRequest<'_, Clock> {
    /// Waits until some replica decides, or the one that was asked last has no part. A token that is older than `oldest`
    /// by then is no good.
    async fn wait_for_decision(
        &mut self,
        replica: SocketAddr,
        max_age: Duration,
        wait: Duration,
    ) -> WaitResult {
        let wait_until = Instant::now() + wait;
        // The sender is held by whoever asks, so this ends with a decision or the patience.
        while let Ok(Some(decision)) = timeout_at(wait_until.into(), self.decisions.recv()).await {
            let age = self
                .client
                .clock
                .now()
                .saturating_sub(decision.requested_at);
            match decision.verdict {
                TokenVerdict::Granted(_) if age <= max_age => {
                    return WaitResult::Decided(TokenOutcome::Granted);
                }
                TokenVerdict::OverQuota { retry_after_ms } => {
                    let retry_after = Duration::from_millis(retry_after_ms.into());
                    return WaitResult::Decided(TokenOutcome::OverQuota(retry_after));
                }
                TokenVerdict::OverFairShare => {
                    return WaitResult::Decided(TokenOutcome::OverFairShare);
                }
                TokenVerdict::Granted(_) | TokenVerdict::NoPart if decision.replica == replica => {
                    return WaitResult::NoPart;
                }
                // Another replica than the one that is waited for now.
                TokenVerdict::Granted(_) | TokenVerdict::NoPart => {}
            }
        }
        WaitResult::TimedOut
    }
}

impl<Clock: AgeClock> Drop for WaitingRequest<'_, Clock> {
    fn drop(&mut self) {
        self.decisions.close();
        let mut state = self.client.state.borrow_mut();
        while let Ok(decision) = self.decisions.try_recv() {
            if let TokenVerdict::Granted(tokens) = decision.verdict {
                state.stock.put(decision.requested_at, self.tenant, tokens);
            }
        }
    }
}

#[cfg(test)]
mod tests;
