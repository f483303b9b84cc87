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
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Time after which an answer is not expected any more. The connection has ended by then if it is a replica's fault.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Where requests for tokens are sent.
pub(crate) trait TokenRequester {
    /// The connected control replicas; of equally near ones, the one first that is to be asked first.
    fn connected(&self) -> Vec<(SocketAddr, Distance)>;

    /// Sends a request; whether a connection took it.
    fn send(&self, replica: SocketAddr, request: TokenRequest) -> bool;
}

/// What a request that needs a token asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenAsk<'a> {
    pub(crate) tenant: &'a TenantName,
    /// Part of such requests that this gateway refuses lately, in thousandths. Above 0 it asks for this request alone.
    pub(crate) shed_permille: u16,
    /// How long a replica may keep it waiting for tokens of others.
    pub(crate) patience: Duration,
    /// Whether its caller was refused before.
    pub(crate) is_resend: bool,
    /// How long it may wait in all.
    pub(crate) limit: Duration,
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
    held: RefCell<HeldTokens>,
}

struct HeldTokens {
    stock: TokenStock,
    replicas: TokenReplicas,
    asked: BTreeMap<TokenRequestNumber, AskedToken>,
    last_number: TokenRequestNumber,
}

/// A request for tokens without an answer.
struct AskedToken {
    replica: SocketAddr,
    tenant: TenantName,
    /// By the clock that counts suspension.
    asked_at: Duration,
    waiter: UnboundedSender<Decision>,
}

/// A replica's word, and when it was asked for it by the clock that counts suspension.
#[derive(Clone, Copy, Debug)]
struct Decision {
    replica: SocketAddr,
    asked_at: Duration,
    verdict: TokenVerdict,
}

impl<Clock: AgeClock> TokenClient<Clock> {
    /// A client without tokens.
    pub(crate) fn new(clock: Clock, tolerance: &QuotaTolerance) -> Self {
        let held = HeldTokens {
            stock: TokenStock::new(tolerance),
            replicas: TokenReplicas::default(),
            asked: BTreeMap::new(),
            last_number: 0,
        };
        Self {
            clock,
            held: RefCell::new(held),
        }
    }

    /// Spends a token that is there.
    pub(crate) fn spend(&self, tenant: &TenantName) -> bool {
        let now = self.clock.now();
        self.held.borrow_mut().stock.spend(now, tenant)
    }

    /// Asks for a token, one replica after the other. Where all have said lately that they have no part, only the first
    /// is asked again. When the future is dropped, what is granted later goes into the stock.
    pub(crate) async fn ask<Requester: TokenRequester>(
        &self,
        requester: &Requester,
        ask: TokenAsk<'_>,
    ) -> TokenOutcome {
        let limit = ask.limit.min(LONGEST_WAIT);
        let started = Instant::now();
        let (waiter, decisions) = unbounded_channel();
        let mut waiting = WaitingRequest {
            client: self,
            tenant: ask.tenant,
            decisions,
        };
        let connected = requester.connected();
        let order = {
            let held = self.held.borrow();
            held.replicas.in_order(self.clock.now(), &connected)
        };
        for (position, (replica, distance)) in order.iter().enumerate() {
            let left = limit.saturating_sub(started.elapsed());
            if left.is_zero() {
                break;
            }
            let request = self.open(*replica, &ask, &waiter);
            let number = request.number;
            if !requester.send(*replica, request) {
                self.held.borrow_mut().asked.remove(&number);
                continue;
            }
            let is_last = position + 1 == order.len();
            let patience = self.held.borrow().replicas.patience(*replica, *distance);
            let patience = if is_last { left } else { patience.min(left) };
            match waiting.decided(*replica, limit, patience).await {
                Answered::Decided(waited) => return waited,
                Answered::NoPart => {}
                Answered::Nothing if patience < left => {
                    self.held.borrow_mut().replicas.fell_silent(*replica);
                }
                // It had less than its time.
                Answered::Nothing => {}
            }
        }
        TokenOutcome::Undecided
    }

    /// Takes a replica's answers. What is granted beyond the requests that wait goes into the stock.
    pub(crate) fn take(&self, replica: SocketAddr, replies: &[TokenReply]) {
        let now = self.clock.now();
        let mut held = self.held.borrow_mut();
        for reply in replies {
            held.take(now, replica, *reply);
        }
    }

    /// The connection to a replica has ended; it answers nothing more.
    pub(crate) fn close(&self, replica: SocketAddr) {
        let mut held = self.held.borrow_mut();
        held.replicas.forget(replica);
        held.asked.retain(|_, asked| {
            let is_lost = asked.replica == replica;
            if is_lost {
                // Whoever waited may have left.
                let _ = asked.waiter.send(Decision {
                    replica,
                    asked_at: asked.asked_at,
                    verdict: TokenVerdict::NoPart,
                });
            }
            !is_lost
        });
    }

    fn open(
        &self,
        replica: SocketAddr,
        ask: &TokenAsk<'_>,
        waiter: &UnboundedSender<Decision>,
    ) -> TokenRequest {
        let tenant = ask.tenant;
        let now = self.clock.now();
        let mut held = self.held.borrow_mut();
        let held = &mut *held;
        held.asked
            .retain(|_, asked| now.saturating_sub(asked.asked_at) < FORGET_AFTER);
        // The others that wait have asked for what is needed beyond them.
        let is_asked = held.asked.values().any(|asked| asked.tenant == *tenant);
        let wanted = if is_asked || ask.shed_permille > 0 {
            1
        } else {
            held.stock.wanted(now, tenant)
        };
        held.last_number += 1;
        let number = held.last_number;
        let asked = AskedToken {
            replica,
            tenant: tenant.clone(),
            asked_at: now,
            waiter: waiter.clone(),
        };
        held.asked.insert(number, asked);
        TokenRequest {
            number,
            tenant: tenant.clone(),
            wanted,
            shed_permille: ask.shed_permille,
            patience_ms: u16::try_from(ask.patience.as_millis()).unwrap_or(u16::MAX),
            is_resend: ask.is_resend,
        }
    }
}

impl HeldTokens {
    fn take(&mut self, now: Duration, replica: SocketAddr, reply: TokenReply) {
        // Numbers are the gateway's own, so one that is not known is only long forgotten; but the word of another replica
        // must not count as this one's.
        let known = self.asked.get(&reply.number);
        if known.is_none_or(|asked| asked.replica != replica) {
            return;
        }
        let Some(asked) = self.asked.remove(&reply.number) else {
            return;
        };
        let asked_at = asked.asked_at;
        self.replicas
            .answered(replica, now.saturating_sub(asked_at).min(LONGEST_WAIT));
        match reply.verdict {
            TokenVerdict::Granted(tokens) => {
                let verdict = TokenVerdict::Granted(1);
                let decision = Decision {
                    replica,
                    asked_at,
                    verdict,
                };
                let is_taken = asked.waiter.send(decision).is_ok();
                let surplus = tokens.saturating_sub(u32::from(is_taken));
                self.stock.put(asked_at, &asked.tenant, surplus);
            }
            verdict => {
                if verdict == TokenVerdict::NoPart {
                    self.replicas.has_no_part(now, replica);
                }
                // Whoever waited may have left.
                let _ = asked.waiter.send(Decision {
                    replica,
                    asked_at,
                    verdict,
                });
            }
        }
    }
}

/// What came while a replica's answer was waited for.
enum Answered {
    Decided(TokenOutcome),
    NoPart,
    Nothing,
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
    async fn decided(
        &mut self,
        replica: SocketAddr,
        oldest: Duration,
        patience: Duration,
    ) -> Answered {
        let until = Instant::now() + patience;
        // The sender is held by whoever asks, so this ends with a decision or the patience.
        while let Ok(Some(decision)) = timeout_at(until.into(), self.decisions.recv()).await {
            let age = self.client.clock.now().saturating_sub(decision.asked_at);
            match decision.verdict {
                TokenVerdict::Granted(_) if age <= oldest => {
                    return Answered::Decided(TokenOutcome::Granted);
                }
                TokenVerdict::OverQuota { retry_after_ms } => {
                    let left = Duration::from_millis(retry_after_ms.into());
                    return Answered::Decided(TokenOutcome::OverQuota(left));
                }
                TokenVerdict::OverFairShare => {
                    return Answered::Decided(TokenOutcome::OverFairShare);
                }
                TokenVerdict::Granted(_) | TokenVerdict::NoPart if decision.replica == replica => {
                    return Answered::NoPart;
                }
                // Another replica than the one that is waited for now.
                TokenVerdict::Granted(_) | TokenVerdict::NoPart => {}
            }
        }
        Answered::Nothing
    }
}

impl<Clock: AgeClock> Drop for WaitingRequest<'_, Clock> {
    fn drop(&mut self) {
        self.decisions.close();
        let mut held = self.client.held.borrow_mut();
        while let Ok(decision) = self.decisions.try_recv() {
            if let TokenVerdict::Granted(tokens) = decision.verdict {
                held.stock.put(decision.asked_at, self.tenant, tokens);
            }
        }
    }
}

#[cfg(test)]
mod tests;
