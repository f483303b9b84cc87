//! This replica's part of the quotas, shared by the connections to gateways and to other replicas.

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
use sablehaven_wire::{BootTimeClock, SuspendAwareClock};
use tokio::sync::{Notify, watch};

use super::{
    grants::PartGrants,
    lease::{GroupView, PartLease, ProbeNumber},
    parts::part_count,
    waiting::{ReplySender, WaitingRequests},
};
use crate::{
    driver::{PublishedState, SharedStateHandle, read},
    metrics::Metrics,
};

/// This replica's part of the quotas, its lease on it, and the requests that wait for loans.
pub(crate) struct ReplicaQuotas {
    published: watch::Receiver<PublishedState>,
    state: SharedStateHandle,
    metrics: Metrics,
    /// The origin of the times that are passed to the part.
    started_at: Instant,
    lease_clock: BootTimeClock,
    lease: Mutex<PartLease>,
    grants: Arc<Mutex<PartGrants>>,
    part: Mutex<PartState>,
    /// Notified when gateways request tokens and there are tenants, and as long as requests wait for loans.
    requested: Notify,
    /// Whether any connected replica may lend tokens.
    has_lenders: AtomicBool,
}

/// The part, the version of the routes from which its tenants were read, and the requests that wait for loans.
struct PartState {
    part: QuotaPart,
    routes_version: u64,
    has_tenants: bool,
    waiting: WaitingRequests,
}

impl ReplicaQuotas {
    /// Creates the quotas of a replica; they follow the state that the driver publishes.
    pub(crate) fn new(
        tolerance: QuotaTolerance,
        lease: PartLease,
        grants: Arc<Mutex<PartGrants>>,
        published: watch::Receiver<PublishedState>,
        state: SharedStateHandle,
        metrics: Metrics,
    ) -> Self {
        Self {
            published,
            state,
            metrics,
            started_at: Instant::now(),
            lease_clock: BootTimeClock::default(),
            lease: Mutex::new(lease),
            grants,
            part: Mutex::new(PartState {
                part: QuotaPart::new(tolerance),
                routes_version: 0,
                has_tenants: false,
                waiting: WaitingRequests::default(),
            }),
            requested: Notify::new(),
            has_lenders: AtomicBool::new(false),
        }
    }

    /// Decides on requests for tokens and returns the replies to those that can be decided now. The other requests wait for
    /// loans; their replies are sent through `reply_sender`, within the time in which other replicas may lend.
    pub(crate) fn take(
        &self,
        requests: &[TokenRequest],
        reply_sender: &ReplySender,
    ) -> Vec<TokenReply> {
        let now = self.now();
        let may_wait = self.has_lenders.load(Ordering::Relaxed);
        let mut state = self.lock_current_part(now);
        let PartState { part, waiting, .. } = &mut *state;
        let replies = requests.iter().filter_map(|request| {
            if may_wait {
                return waiting.take_or_wait(part, now, request, reply_sender);
            }
            let verdict = part.take(now, request, rand::random());
            let number = request.number;
            Some(TokenReply { number, verdict })
        });
        let replies: Vec<TokenReply> = replies.collect();
        let has_tenants = state.has_tenants;
        drop(state);
        for reply in &replies {
            self.count_verdict(reply.verdict);
        }
        if has_tenants {
            self.requested.notify_one();
        }
        replies
    }

    /// Replies to the requests that wait for loans, as far as they can be decided now.
    pub(super) fn decide_waiting(&self) {
        let now = self.now();
        let mut state = self.lock_current_part(now);
        let PartState { part, waiting, .. } = &mut *state;
        let decided = waiting.decide(part, now);
        let all_decided = waiting.is_empty();
        drop(state);
        for (reply, reply_sender) in decided {
            self.count_verdict(reply.verdict);
            if reply_sender.try_send(vec![reply]).is_err() {
                self.metrics.token_replies_dropped.inc();
            }
        }
        if !all_decided {
            self.requested.notify_one();
        }
    }

    /// Sets whether any connected replica may lend tokens. Without one, no request waits for a loan.
    pub(super) fn set_has_lenders(&self, has_lenders: bool) {
        self.has_lenders.store(has_lenders, Ordering::Relaxed);
    }

    /// Waits until gateways request tokens and there are tenants. Returns at once if requests still wait for loans.
    pub(super) async fn wait_for_requests(&self) {
        self.requested.notified().await;
    }

    /// The loans to request from other replicas.
    pub(super) fn loans_wanted(&self) -> Vec<LoanRequest> {
        let now = self.now();
        self.lock_current_part(now).part.loan_requests(now)
    }

    /// Lends the tokens that this part can spare; `None` if it can spare none.
    pub(crate) fn lend(&self, request: &LoanRequest) -> Option<TokenLoan> {
        let now = self.now();
        let loan = self.lock_current_part(now).part.lend(now, request)?;
        self.metrics.tokens_lent.inc_by(loan.tokens.into());
        Some(loan)
    }

    /// Adds borrowed tokens to the part and replies to requests that waited for them.
    pub(crate) fn receive(&self, loan: &TokenLoan) {
        let now = self.now();
        self.lock_current_part(now).part.receive_loan(now, loan);
        self.metrics.tokens_borrowed.inc_by(loan.tokens.into());
        self.decide_waiting();
    }

    /// The usage of each tenant at this replica.
    pub(crate) fn usage(&self) -> Vec<TenantUsage> {
        let now = self.now();
        self.lock_current_part(now).part.usage(now)
    }

    /// Whether routes with at least one tenant are known.
    pub(super) fn has_tenants(&self) -> bool {
        let state = self.part.lock().unwrap_or_else(PoisonError::into_inner);
        state.has_tenants
    }

    /// Whether this replica has a valid lease on its part.
    pub(super) fn has_lease(&self) -> bool {
        let now = self.lease_clock.now();
        self.lease().is_valid(now)
    }

    /// The time since the latest probe that renewed the lease.
    pub(super) fn lease_age(&self) -> Option<Duration> {
        let now = self.lease_clock.now();
        self.lease().age(now)
    }

    /// Registers a new probe for the lease. The caller must send it after this call.
    pub(super) fn start_probe(&self) -> ProbeNumber {
        let now = self.lease_clock.now();
        self.lease().start_probe(now)
    }

    /// Records that a leader has granted the lease.
    pub(crate) fn record_grant(&self, number: ProbeNumber) {
        self.lease().record_grant(number);
    }

    /// Records a member's answer that it hears no leader.
    pub(super) fn record_leaderless(
        &self,
        number: ProbeNumber,
        member: ReplicaId,
        membership_index: u64,
        own_view: &GroupView,
    ) {
        let now = self.lease_clock.now();
        self.lease()
            .record_leaderless(now, number, member, membership_index, own_view);
    }

    /// The record of the leases that other members may have; used while this replica leads.
    pub(crate) fn grants(&self) -> MutexGuard<'_, PartGrants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lease(&self) -> MutexGuard<'_, PartLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Locks the part after updating it from the lease and the latest published state, so that a replica never spends a
    /// part that it has lost or that has become smaller.
    fn lock_current_part(&self, now: Duration) -> MutexGuard<'_, PartState> {
        let has_lease = self.has_lease();
        let (parts, routes_version) = {
            let published = self.published.borrow();
            (part_count(&published, has_lease), published.routes_version)
        };
        let mut state = self.part.lock().unwrap_or_else(PoisonError::into_inner);
        state.part.set_part_count(now, parts);
        if state.routes_version < routes_version {
            state.apply_routes(now, self.routes());
        }
        state
    }

    fn routes(&self) -> Option<Arc<RouteDocument>> {
        read(&self.state, |state| state.routes().document())
    }

    fn count_verdict(&self, verdict: TokenVerdict) {
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

impl PartState {
    fn apply_routes(&mut self, now: Duration, document: Option<Arc<RouteDocument>>) {
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

/// Updates the part on each change that the driver publishes, also while no gateway requests tokens: a tenant's bucket
/// starts to fill only when the part learns of the tenant.
pub(crate) async fn follow_published_state(quotas: Arc<ReplicaQuotas>) {
    let mut published = quotas.published.clone();
    loop {
        published.mark_unchanged();
        drop(quotas.lock_current_part(quotas.now()));
        if published.changed().await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
