//! Faults and changes that a test plan applies to replicas and gateways.

use std::time::Duration;

use sablehaven_quota::{QuotaPart, TokenCache};
use sablehaven_types::RequestQuota;

use super::{
    ms,
    plan::Event,
    windows::QuotaInterval,
    world::{DisabledSafeguard, Gateway, Message, Replica, World},
};

/// The time within which all replicas apply a change.
const MAX_APPLY_DELAY_MS: u64 = 400;

impl World {
    pub fn apply_event(&mut self, event: &Event) {
        let members = (self.parts - 1) as usize;
        match event {
            Event::Nothing => {}
            Event::RestartReplica(index) => self.restart(index % members),
            Event::RestartAllReplicas => (0..members).for_each(|index| self.restart(index)),
            Event::ReplaceReplica(index) => self.replace(index % members),
            Event::KillGateway(index) => {
                let index = index % self.gateways.len();
                let incarnation = self.gateways[index].incarnation + 1;
                self.gateways[index] = self.new_gateway(incarnation);
            }
            Event::SuspendGateway(index, time) => {
                let index = index % self.gateways.len();
                self.gateways[index].suspended_until = self.now + ms(*time);
            }
            Event::SuspendAllGateways(time) => {
                for gateway in &mut self.gateways {
                    gateway.suspended_until = self.now + ms(*time);
                }
            }
            Event::PartitionReplica(index) => self.replicas[index % members].is_partitioned = true,
            Event::SpendAllTokens => {
                for index in 0..self.gateways.len() {
                    while self.spend(index) {}
                }
            }
            Event::SetQuota(quota) => self.set_quota(*quota),
        }
    }

    /// Sets a new quota, which each replica applies after a random delay.
    fn set_quota(&mut self, quota: RequestQuota) {
        self.quota = quota;
        for replica in &mut self.replicas {
            let at = self.now + ms(self.random.below(MAX_APPLY_DELAY_MS));
            replica.next_quota = Some((at, quota));
        }
    }

    /// Applies quotas that are due at replicas, and the replies received by gateways that are no longer suspended.
    pub fn apply_due_updates(&mut self) {
        for index in 0..self.replicas.len() {
            let Some((at, quota)) = self.replicas[index].next_quota else {
                continue;
            };
            if at > self.now {
                continue;
            }
            self.close_quota_interval(index);
            let replica = &mut self.replicas[index];
            let is_lower = self.tolerance.bound(quota) < self.tolerance.bound(replica.quota);
            if self.disabled_safeguard != DisabledSafeguard::LowerLimit || !is_lower {
                let tenants = [(&self.tenant, Some(quota))].into_iter();
                replica.part.set_tenants(self.now, tenants);
            }
            replica.quota = quota;
            replica.next_quota = None;
        }
        let now = self.now;
        for index in 0..self.gateways.len() {
            if self.gateways[index].suspended_until <= now {
                for (requested_at, verdict) in std::mem::take(&mut self.gateways[index].inbox) {
                    self.apply_reply(index, requested_at, verdict);
                }
            }
        }
    }

    /// Records the interval for which a replica's current quota was in force.
    pub fn close_quota_interval(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        self.quotas.push(QuotaInterval {
            quota: replica.quota,
            from: replica.in_force_since,
            until: self.now,
        });
        replica.in_force_since = self.now;
    }

    fn restart(&mut self, index: usize) {
        self.close_quota_interval(index);
        let created_at = match self.disabled_safeguard {
            DisabledSafeguard::EmptyStart => self.now - ms(60_000),
            _ => self.now,
        };
        self.replicas[index] = self.new_replica(created_at);
    }

    /// Replaces a replica, while the old one keeps running for a while without knowing it. The old replica of an
    /// earlier replacement is stopped.
    fn replace(&mut self, index: usize) {
        if let Some(stale) = self.replicas.iter().position(|replica| replica.is_stale) {
            self.close_quota_interval(stale);
            self.replicas.truncate(stale);
            self.messages.retain(|(_, message)| match message {
                Message::RequestTokens { replica, .. } => *replica < stale,
                Message::RequestLoan { from, to, .. } => *from < stale && *to < stale,
                Message::Loan { to, .. } => *to < stale,
                Message::Reply { .. } => true,
            });
        }
        let replacement = self.new_replica(self.now);
        let mut stale = std::mem::replace(&mut self.replicas[index], replacement);
        stale.is_stale = true;
        self.replicas.push(stale);
    }

    /// Creates a replica whose part refills from `created_at` on.
    pub fn new_replica(&mut self, created_at: Duration) -> Replica {
        let mut part = QuotaPart::new(self.tolerance);
        part.set_part_count(created_at, Some(self.parts));
        let tenants = [(&self.tenant, Some(self.quota))].into_iter();
        part.set_tenants(created_at, tenants);
        Replica {
            part,
            quota: self.quota,
            in_force_since: self.now,
            next_quota: None,
            is_partitioned: false,
            is_stale: false,
        }
    }

    pub fn new_gateway(&self, incarnation: u64) -> Gateway {
        Gateway {
            cache: TokenCache::new(&self.tolerance),
            suspended_until: Duration::ZERO,
            inbox: Vec::new(),
            answered: Vec::new(),
            incarnation,
        }
    }
}
