//! This replica's part of the quotas, shared by the connections of gateways and of other replicas.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use sablehaven_consensus::ReplicaId;
use sablehaven_quota::{QuotaPart, TenantUsage};
use sablehaven_types::{
    LoanRequest, QuotaTolerance, RequestQuota, RouteDocument, TenantName, TokenLoan, TokenReply,
    TokenRequest, TokenVerdict,
};
use sablehaven_wire::{AgeClock, SuspensionClock};
use tokio::sync::{Notify, watch};

use super::{
    grants::PartGrants,
    lease::{MemberContact, PartLease, ProbeNumber},
    parts::parts,
    waiting::{ReplySender, WaitingRequests},
};
use crate::{
    driver::{Published, SharedHandle, read},
    metrics::Metrics,
};

/// This replica's part of the quotas.
pub(crate) struct ReplicaQuotas {
    published: watch::Receiver<Published>,
    state: SharedHandle,
    metrics: Metrics,
    /// Times are counted from here.
    started_at: Instant,
    hold_clock: SuspensionClock,
    hold: Mutex<PartLease>,
    grants: Arc<Mutex<PartGrants>>,
    held: Mutex<HeldPart>,
    /// Told when gateways ask while there are tenants.
    asked: Notify,
    /// Whether there is any replica that may lend tokens.
    has_lenders: AtomicBool,
}

/// The part, and the version of the routes whose tenants it knows.
struct HeldPart {
    part: QuotaPart,
    routes_version: u64,
    has_tenants: bool,
    waiting: WaitingRequests,
}

impl ReplicaQuotas {
    /// Quotas that follow what the driver publishes.
    pub(crate) fn new(
        tolerance: QuotaTolerance,
        hold: PartLease,
        grants: Arc<Mutex<PartGrants>>,
        published: watch::Receiver<Published>,
        state: SharedHandle,
        metrics: Metrics,
    ) -> Self {
        Self {
            published,
            state,
            metrics,
            started_at: Instant::now(),
            hold_clock: SuspensionClock::default(),
            hold: Mutex::new(hold),
            grants,
            held: Mutex::new(HeldPart {
                part: QuotaPart::new(tolerance),
                routes_version: 0,
                has_tenants: false,
                waiting: WaitingRequests::default(),
            }),
            asked: Notify::new(),
            has_lenders: AtomicBool::new(false),
        }
    }

    /// Answers the requests for tokens that can be decided on now. The answers to the others follow through `replying`,
    /// within the time in which other replicas lend.
    pub(crate) fn take(
        &self,
        requests: &[TokenRequest],
        replying: &ReplySender,
    ) -> Vec<TokenReply> {
        let now = self.now();
        let may_wait = self.has_lenders.load(Ordering::Relaxed);
        let mut held = self.current(now);
        let HeldPart { part, waiting, .. } = &mut *held;
        let replies = requests.iter().filter_map(|request| {
            if may_wait {
                return waiting.take(part, now, request, replying);
            }
            let verdict = part.take(now, request, rand::random());
            let number = request.number;
            Some(TokenReply { number, verdict })
        });
        let replies: Vec<TokenReply> = replies.collect();
        let has_tenants = held.has_tenants;
        drop(held);
        for reply in &replies {
            self.count(reply.verdict);
        }
        if has_tenants {
            self.asked.notify_one();
        }
        replies
    }

    /// Answers the requests that wait for loans, as far as they can be decided on now.
    pub(super) fn settle(&self) {
        let now = self.now();
        let mut held = self.current(now);
        let HeldPart { part, waiting, .. } = &mut *held;
        let settled = waiting.settle(part, now);
        let is_settled = waiting.is_empty();
        drop(held);
        for (reply, replying) in settled {
            self.count(reply.verdict);
            if replying.try_send(vec![reply]).is_err() {
                self.metrics.token_replies_dropped.inc();
            }
        }
        if !is_settled {
            self.asked.notify_one();
        }
    }

    /// Notes whether any replica may lend tokens; without one, no request waits for a loan.
    pub(super) fn note_lenders(&self, has_lenders: bool) {
        self.has_lenders.store(has_lenders, Ordering::Relaxed);
    }

    /// Waits until gateways ask for tokens.
    pub(super) async fn asked(&self) {
        self.asked.notified().await;
    }

    /// What is to be asked of other replicas.
    pub(super) fn loans_wanted(&self) -> Vec<LoanRequest> {
        let now = self.now();
        self.current(now).part.loans_wanted(now)
    }

    /// Lends what this part can spare.
    pub(crate) fn lend(&self, request: &LoanRequest) -> Option<TokenLoan> {
        let now = self.now();
        let loan = self.current(now).part.lend(now, request)?;
        self.metrics.tokens_lent.inc_by(loan.tokens.into());
        Some(loan)
    }

    /// Takes a loan.
    pub(crate) fn receive(&self, loan: &TokenLoan) {
        let now = self.now();
        self.current(now).part.receive(now, loan);
        self.metrics.tokens_borrowed.inc_by(loan.tokens.into());
        self.settle();
    }

    /// What each tenant has had of this replica.
    pub(crate) fn usage(&self) -> Vec<TenantUsage> {
        let now = self.now();
        self.current(now).part.usage(now)
    }

    /// Whether the tenants are known and there are any.
    pub(super) fn has_tenants(&self) -> bool {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.has_tenants
    }

    /// Whether the hold on the part lasts.
    pub(super) fn holds(&self) -> bool {
        let now = self.hold_clock.now();
        self.hold().holds(now)
    }

    /// The time since the latest question that proves the hold.
    pub(super) fn hold_age(&self) -> Option<Duration> {
        let now = self.hold_clock.now();
        self.hold().age(now)
    }

    /// Notes a question whether the part may be kept; it is sent after this call.
    pub(super) fn ask(&self) -> ProbeNumber {
        let now = self.hold_clock.now();
        self.hold().ask(now)
    }

    /// A leader has granted the part.
    pub(crate) fn record_grant(&self, number: ProbeNumber) {
        self.hold().record_grant(number);
    }

    /// A member hears no leader.
    pub(super) fn leaderless(
        &self,
        number: ProbeNumber,
        member: ReplicaId,
        membership_index: u64,
        contact: &MemberContact,
    ) {
        let now = self.hold_clock.now();
        self.hold()
            .leaderless(now, number, member, membership_index, contact);
    }

    /// What this replica as a leader knows of the parts of others.
    pub(crate) fn grants(&self) -> MutexGuard<'_, PartGrants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hold(&self) -> MutexGuard<'_, PartLease> {
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The part by the hold and the latest word of the driver, so that one that is lost or made smaller is not spent any
    /// more.
    fn current(&self, now: Duration) -> MutexGuard<'_, HeldPart> {
        let holds = self.holds();
        let (parts, routes_version) = {
            let published = self.published.borrow();
            (parts(&published, holds), published.routes_version)
        };
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.part.set_parts(now, parts);
        if held.routes_version < routes_version {
            held.take_routes(now, self.routes());
        }
        held
    }

    fn routes(&self) -> Option<Arc<RouteDocument>> {
        read(&self.state, |state| state.routes().document())
    }

    fn count(&self, verdict: TokenVerdict) {
        match verdict {
            TokenVerdict::Granted(tokens) => {
                self.metrics.tokens_granted.inc_by(tokens.into());
            }
            TokenVerdict::OverQuota { .. } => self.metrics.tokens_refused("over_quota"),
            TokenVerdict::OverFairShare => self.metrics.tokens_refused("over_fair_share"),
            TokenVerdict::NoPart => self.metrics.tokens_refused("no_part"),
        }
    }
}

impl HeldPart {
    fn take_routes(&mut self, now: Duration, document: Option<Arc<RouteDocument>>) {
        let Some(document) = document else {
            return;
        };
        let quotas = document.tenants.iter();
        let quotas = quotas
            .map(|tenant| -> (&TenantName, Option<RequestQuota>) { (&tenant.name, tenant.quota) });
        self.part.set_tenants(now, quotas);
        self.has_tenants = !document.tenants.is_empty();
        self.routes_version = document.version;
    }
}

/// Keeps the part by what the driver publishes, also while nobody asks: buckets fill from when their tenants are known.
pub(crate) async fn follow_published_state(quotas: Arc<ReplicaQuotas>) {
    let mut published = quotas.published.clone();
    loop {
        published.mark_unchanged();
        drop(quotas.current(quotas.now()));
        if published.changed().await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
