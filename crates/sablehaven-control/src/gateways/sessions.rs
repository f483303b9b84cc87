//! The sessions of gateways, and what each gateway has said last.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_types::ZoneName;
use sablehaven_wire::{GatewayLoad, GatewayStatus};

use super::{
    entry::{HeardGateway, SubsetSizes, named},
    members_view::GatewaySharers,
    subset::{NamingRank, ZoneLoad, naming_rank},
};

/// Time for which a gateway that has taken requests shares what servers bear, named or not: about as long
/// as it keeps its connections to them.
const SHARING_TIME: Duration = Duration::from_secs(10);

/// The sessions of gateways, and what each gateway has said last.
#[derive(Default)]
pub(super) struct Sessions {
    pub(super) opened: u64,
    pub(super) latest_opened: Option<Instant>,
    /// The address that each session's gateway has given.
    addresses: BTreeMap<u64, SocketAddr>,
    /// The latest report of each gateway.
    reports: BTreeMap<SocketAddr, GatewayReport>,
    pub(super) counted_at: Option<Instant>,
    pub(super) sizes: SubsetSizes,
}

/// The latest word of a gateway.
struct GatewayReport {
    session: u64,
    status: GatewayStatus,
    load: GatewayLoad,
    rank: NamingRank,
    heard_at: Instant,
    /// When it last served callers, by what it and the others of its zone said.
    served_at: Option<Instant>,
}

impl Sessions {
    /// Takes a report; one of a session that a later one of the same gateway has replaced is ignored.
    pub(super) fn take(&mut self, session: u64, status: GatewayStatus) {
        let now = Instant::now();
        let address = status.address;
        self.addresses.insert(session, address);
        let former = self.reports.get(&address);
        if former.is_some_and(|report| report.session > session) {
            return;
        }
        let served_at = former.and_then(|report| report.served_at);
        let load = former.map(|report| report.load);
        let report = GatewayReport {
            session,
            status,
            load: load.unwrap_or_default(),
            rank: naming_rank(address),
            heard_at: now,
            served_at,
        };
        self.reports.insert(address, report);
    }

    /// Takes a sign of life, with what the gateway has had to do.
    pub(super) fn take_load(&mut self, session: u64, load: GatewayLoad) {
        let address = self.addresses.get(&session);
        let report = address.and_then(|address| self.reports.get_mut(address));
        // A later session of the same gateway has replaced this one.
        let Some(report) = report.filter(|report| report.session == session) else {
            return;
        };
        report.load = load;
        report.heard_at = Instant::now();
    }

    /// Forgets a session that has ended, and its gateway unless a later session has replaced it.
    pub(super) fn remove(&mut self, session: u64) {
        let Some(address) = self.addresses.remove(&session) else {
            return;
        };
        if self.reports.get(&address).map(|report| report.session) == Some(session) {
            self.reports.remove(&address);
        }
    }

    /// Every connected gateway, by address.
    pub(super) fn heard(&self) -> Vec<HeardGateway<'_>> {
        let reports = self.reports.values();
        let heard = reports.map(|report| HeardGateway {
            status: &report.status,
            rank: report.rank,
            silent_for: report.heard_at.elapsed(),
        });
        heard.collect()
    }

    /// Sets the size of each zone's subset by what its gateways have to do, and notes which of them serve.
    pub(super) fn resize(&mut self, now: Instant) {
        let mut loads: BTreeMap<&ZoneName, ZoneLoad> = BTreeMap::new();
        for report in self.reports.values() {
            let zone = &report.status.placement.zone;
            loads.entry(zone).or_default().add(report.load);
        }
        let mut least_attempts: BTreeMap<ZoneName, u32> = BTreeMap::new();
        for (zone, load) in loads {
            let size = self.sizes.entry(zone.clone()).or_default();
            let former = size.size();
            let least = load.least_attempts(former);
            least_attempts.insert(zone.clone(), least);
            size.observe(now, load.traffic(least));
            if size.size() != former {
                log::info!(event = "gateway_subset", zone:% = zone, size = size.size(), former = former;
                    "gateways that callers are told of");
            }
        }
        for report in self.reports.values_mut() {
            let least = least_attempts.get(&report.status.placement.zone);
            if least.is_some_and(|least| report.load.attempts >= *least) {
                report.served_at = Some(now);
            }
        }
    }

    /// The gateways that share what servers bear: those that are named, and those that still take requests.
    pub(super) fn sharers(&self, now: Instant) -> GatewaySharers {
        let named = named(&self.heard(), &self.sizes);
        let named: BTreeSet<SocketAddr> = named.iter().map(|each| each.status.address).collect();
        let serves = |report: &GatewayReport| {
            let since = report.served_at.map(|at| now.saturating_duration_since(at));
            since.is_some_and(|since| since < SHARING_TIME)
        };
        let mut connected: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut sharing: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut addresses = BTreeSet::new();
        for report in self.reports.values() {
            let zone = &report.status.placement.zone;
            *connected.entry(zone).or_default() += 1;
            let shares = named.contains(&report.status.address) || serves(report);
            if shares {
                *sharing.entry(zone).or_default() += 1;
                addresses.insert(report.status.address);
            }
        }
        let count = |(zone, connected): (&ZoneName, usize)| {
            let size = self.sizes.get(zone).copied().unwrap_or_default();
            let least = size.size().min(connected);
            let sharing = sharing.get(zone).copied().unwrap_or(0);
            let count = u32::try_from(sharing.max(least)).unwrap_or(u32::MAX);
            (zone.clone(), count)
        };
        GatewaySharers {
            counts: connected.into_iter().map(count).collect(),
            addresses,
        }
    }
}
