//! The quota tokens that this gateway holds, and its token requests that have no reply yet.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_quota::TokenCache;
use sablehaven_types::{
    Distance, QuotaTolerance, TenantName, TokenReply, TokenRequest, TokenRequestNumber,
    TokenVerdict,
};
use sablehaven_wire::SuspendAwareClock;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::timeout_at,
};

use super::replicas::TokenReplicas;

/// Maximum time for which a request waits for a token, whatever its route. A token that arrives later may belong
/// to a window that is over.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Time after which no reply is expected any more. If the replica failed to reply, its connection has been
/// closed by then.
const PENDING_TTL: Duration = Duration::from_secs(10);

/// Sends token requests to control replicas.
pub(crate) trait TokenRequester {
    /// The connected control replicas. Among equally distant ones, the one to ask first comes first.
    fn connected(&self) -> Vec<(SocketAddr, Distance)>;

    /// Sends a request to a replica. Returns whether there was a connection to send it on.
    fn send(&self, replica: SocketAddr, request: TokenRequest) -> bool;
}

/// Options of one [`TokenClient::acquire`] call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcquireOptions<'a> {
    pub(crate) tenant: &'a TenantName,
    /// Fraction of the requests of this class that this gateway currently sheds, in thousandths. If it is above
    /// 0, a token is requested for this request only.
    pub(crate) shed_permille: u16,
    /// How long a replica may hold the token request while it obtains tokens from other replicas.
    pub(crate) replica_wait: Duration,
    /// Whether the caller resends a request that was refused before.
    pub(crate) is_resend: bool,
    /// Maximum time for the whole call.
    pub(crate) timeout: Duration,
}

/// The result of a [`TokenClient::acquire`] call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// A token was acquired and spent.
    Granted,
    /// The tenant's quota is exhausted. A token will be available after this time.
    OverQuota(Duration),
    /// Servers are overloaded, and the tenant has had its fair share of their capacity.
    OverFairShare,
    /// No replica decided in time.
    Undecided,
}

/// Holds the quota tokens of this gateway and requests more from control replicas.
pub(crate) struct TokenClient<Clock> {
    clock: Clock,
    state: RefCell<ClientState>,
}

struct ClientState {
    cache: TokenCache,
    replicas: TokenReplicas,
    pending: BTreeMap<TokenRequestNumber, PendingRequest>,
    last_number: TokenRequestNumber,
}

/// A token request that has no reply yet.
struct PendingRequest {
    replica: SocketAddr,
    tenant: TenantName,
    /// Measured by the clock that includes time in which the system was suspended.
    requested_at: Duration,
    decision_sender: UnboundedSender<Decision>,
}

/// A replica's decision on a token request, and when the token was requested. The time is measured by the clock
/// that includes time in which the system was suspended.
#[derive(Clone, Copy, Debug)]
struct Decision {
    replica: SocketAddr,
    requested_at: Duration,
    verdict: TokenVerdict,
}

impl<Clock: SuspendAwareClock> TokenClient<Clock> {
    /// Creates a client that holds no tokens.
    pub(crate) fn new(clock: Clock, tolerance: &QuotaTolerance) -> Self {
        let state = ClientState {
            cache: TokenCache::new(tolerance),
            replicas: TokenReplicas::default(),
            pending: BTreeMap::new(),
            last_number: 0,
        };
        Self {
            clock,
            state: RefCell::new(state),
        }
    }

    /// Spends a token from the cache. Returns `false` if there is none.
    pub(crate) fn spend(&self, tenant: &TenantName) -> bool {
        let now = self.clock.now();
        self.state.borrow_mut().cache.spend(now, tenant)
    }

    /// Requests a token from one replica after the other. If all replicas have recently replied that they hold
    /// no part of the quotas, only the first is asked again. If the future is dropped, tokens that are granted
    /// later go into the cache.
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
                // The replica was given less than its usual time, so this does not count as a timeout.
                WaitResult::TimedOut => {}
            }
        }
        TokenOutcome::Undecided
    }

    /// Handles replies of a replica. Tokens that are granted beyond those for waiting requests go into the
    /// cache.
    pub(crate) fn handle_replies(&self, replica: SocketAddr, replies: &[TokenReply]) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        for reply in replies {
            state.handle_reply(now, replica, *reply);
        }
    }

    /// Handles the end of the connection to a replica: it will not reply to the pending requests any more.
    pub(crate) fn remove_replica(&self, replica: SocketAddr) {
        let mut state = self.state.borrow_mut();
        state.replicas.remove(replica);
        state.pending.retain(|_, pending| {
            let is_disconnected = pending.replica == replica;
            if is_disconnected {
                // The receiver is gone if the request no longer waits.
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
        // The pending requests have already asked for the tokens that the tenant will need beyond its waiting
        // requests.
        let has_pending = state
            .pending
            .values()
            .any(|pending| pending.tenant == *tenant);
        let wanted = if has_pending || options.shed_permille > 0 {
            1
        } else {
            state.cache.tokens_to_request(now, tenant)
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
        // The gateway assigns the numbers itself, so an unknown number is one whose request has expired. A reply
        // from a replica that was not asked must not count as a reply of the one that was.
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
                self.cache.add(requested_at, &pending.tenant, surplus);
            }
            verdict => {
                if verdict == TokenVerdict::NoPart {
                    self.replicas.record_no_part(now, replica);
                }
                // The receiver is gone if the request no longer waits.
                let _ = pending.decision_sender.send(Decision {
                    replica,
                    requested_at,
                    verdict,
                });
            }
        }
    }
}

/// The result of waiting for a replica's reply.
enum WaitResult {
    Decided(TokenOutcome),
    NoPart,
    TimedOut,
}

/// A request that waits for a token. When it is dropped, tokens that have arrived for it go into the cache.
struct WaitingRequest<'a, Clock: SuspendAwareClock> {
    client: &'a TokenClient<Clock>,
    tenant: &'a TenantName,
    decisions: UnboundedReceiver<Decision>,
}

impl<Clock: SuspendAwareClock> WaitingRequest<'_, Clock> {
    /// Waits until any replica decides, or `replica`, which was asked last, replies that it holds no part of the
    /// quotas. A token that was requested longer than `max_age` ago is not used.
    async fn wait_for_decision(
        &mut self,
        replica: SocketAddr,
        max_age: Duration,
        wait: Duration,
    ) -> WaitResult {
        let wait_until = Instant::now() + wait;
        // The caller holds a sender, so the channel stays open and the loop ends with a decision or the timeout.
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
                // This is a reply of an earlier replica, not of the one that is being waited for.
                TokenVerdict::Granted(_) | TokenVerdict::NoPart => {}
            }
        }
        WaitResult::TimedOut
    }
}

impl<Clock: SuspendAwareClock> Drop for WaitingRequest<'_, Clock> {
    fn drop(&mut self) {
        self.decisions.close();
        let mut state = self.client.state.borrow_mut();
        while let Ok(decision) = self.decisions.try_recv() {
            if let TokenVerdict::Granted(tokens) = decision.verdict {
                state.cache.add(decision.requested_at, self.tenant, tokens);
            }
        }
    }
}

#[cfg(test)]
mod tests;
