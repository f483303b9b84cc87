//! From which control replica a gateway fetches routes and the list of servers, as a pure decision.
//!
//! Every replica says which versions it has, and the gateway fetches what it lacks from the nearest. So one copy
//! crosses the border of a zone or region for each replica there, and not one for each gateway: with 985 gateways
//! and 4,082 servers the whole list from the leader alone was 0.24 GB, two thirds of it between regions.
//! Farther replicas are asked after a moment in which a nearer one mostly has the same, and where the one that was
//! asked does not answer.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use sablehaven_types::{Distance, ListingNumber};
use sablehaven_wire::{GatewayToControl, StateVersions};

/// Time that nearer replicas have before one of the region is asked.
const REGION_DELAY: Duration = Duration::from_millis(100);
/// Time that nearer replicas have before one of another region is asked: a few ways there and back, and a small
/// part of the seconds within which a change must be in force.
const REMOTE_DELAY: Duration = Duration::from_millis(300);
/// Time after which another replica is asked too. With a list that is read each second, a server that leaves is
/// still known within 3 s where three replicas in turn don't answer; one that only sends slowly costs a second copy.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// What is to be sent to control replicas, and when to look again.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FetchPlan {
    pub(crate) messages: Vec<(SocketAddr, GatewayToControl)>,
    /// Any steady time.
    pub(crate) wake_at: Option<Duration>,
}

/// The connected control replicas, and what is being fetched from them. Times are any steady time.
#[derive(Debug, Default)]
pub(crate) struct StateSources {
    replicas: BTreeMap<SocketAddr, ReplicaState>,
    preferred: Option<SocketAddr>,
    routes: StateFetch<u64>,
    listing: StateFetch<ListingNumber>,
}

/// A connected replica, and what it has.
#[derive(Clone, Copy, Debug)]
struct ReplicaState {
    distance: Distance,
    versions: StateVersions,
}

impl StateSources {
    /// A replica has connected.
    pub(crate) fn add(&mut self, replica: SocketAddr, distance: Distance) {
        let versions = StateVersions::default();
        let state = ReplicaState { distance, versions };
        self.replicas.insert(replica, state);
    }

    /// A connected replica has said what it has.
    pub(crate) fn set_versions(&mut self, replica: SocketAddr, versions: StateVersions) {
        if let Some(state) = self.replicas.get_mut(&replica) {
            state.versions = versions;
        }
    }

    /// The connection to a replica has ended; what it was asked for does not come.
    pub(crate) fn remove(&mut self, replica: SocketAddr) {
        self.replicas.remove(&replica);
        if self.preferred == Some(replica) {
            self.preferred = None;
        }
        self.routes.remove(replica);
        self.listing.remove(replica);
    }

    /// The replica that tells this gateway who takes part.
    pub(crate) fn preferred(&self) -> Option<SocketAddr> {
        self.preferred
    }

    /// The connected replicas, the preferred one first, of the others the nearest.
    pub(crate) fn by_distance(&self) -> Vec<(SocketAddr, Distance)> {
        let replicas = self.replicas.iter();
        let mut ordered: Vec<(SocketAddr, Distance)> = replicas
            .map(|(replica, state)| (*replica, state.distance))
            .collect();
        ordered.sort_by_key(|(replica, distance)| (Some(*replica) != self.preferred, *distance));
        ordered
    }

    /// What to do, where the gateway has `held`; `draw` (0 to 1) decides among equally near replicas.
    pub(crate) fn plan(&mut self, now: Duration, held: StateVersions, random: f64) -> FetchPlan {
        let mut plan = FetchPlan::default();
        self.update_preferred(random, &mut plan);
        let versions = self.versions(|versions| versions.routes);
        let step = self.routes.next(now, held.routes, &versions, random);
        plan.add_step(step, GatewayToControl::FetchRoutes(held.routes));
        let versions = self.versions(|versions| versions.listing);
        let step = self.listing.next(now, held.listing, &versions, random);
        plan.add_step(step, GatewayToControl::FetchListing(held.listing));
        plan
    }

    fn versions<Version>(
        &self,
        version: impl Fn(&StateVersions) -> Version,
    ) -> Vec<ReplicaVersion<Version>> {
        let replicas = self.replicas.iter();
        let versions = replicas.map(|(replica, state)| ReplicaVersion {
            replica: *replica,
            distance: state.distance,
            version: version(&state.versions),
        });
        versions.collect()
    }

    /// Prefers the nearest replica, and stays with it while none is nearer.
    fn update_preferred(&mut self, random: f64, plan: &mut FetchPlan) {
        let nearest = self.replicas.values().map(|state| state.distance).min();
        let distance = |replica| self.replicas.get(&replica).map(|state| state.distance);
        if self.preferred.and_then(distance) == nearest {
            return;
        }
        let candidates = self.replicas.iter();
        let candidates: Vec<SocketAddr> = candidates
            .filter(|(_, state)| Some(state.distance) == nearest)
            .map(|(replica, _)| *replica)
            .collect();
        let Some(chosen) = pick(&candidates, random) else {
            return;
        };
        if let Some(previous) = self.preferred.replace(chosen) {
            let message = GatewayToControl::Prefer(false);
            plan.messages.push((previous, message));
        }
        let message = GatewayToControl::Prefer(true);
        plan.messages.push((chosen, message));
    }
}

impl FetchPlan {
    fn add_step(&mut self, step: FetchStep, message: GatewayToControl) {
        match step {
            FetchStep::Nothing => {}
            FetchStep::Fetch(replica, wake_at) => {
                self.messages.push((replica, message));
                self.wake_by(wake_at);
            }
            FetchStep::WaitUntil(wake_at) => self.wake_by(wake_at),
        }
    }

    fn wake_by(&mut self, wake_at: Duration) {
        self.wake_at = Some(self.wake_at.map_or(wake_at, |earlier| earlier.min(wake_at)));
    }
}

/// What a connected replica has of one kind of state.
#[derive(Clone, Copy, Debug)]
struct ReplicaVersion<Version> {
    replica: SocketAddr,
    distance: Distance,
    version: Version,
}

/// What to do about one kind of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchStep {
    /// Nobody has anything newer.
    Nothing,
    /// Ask this replica, and look again then.
    Fetch(SocketAddr, Duration),
    /// Look again then.
    WaitUntil(Duration),
}

/// The fetching of one kind of state.
#[derive(Debug, Default)]
struct StateFetch<Version> {
    /// The version that the gateway had when it was last looked at.
    held: Version,
    /// Since when something newer than that has been offered.
    outdated_since: Option<Duration>,
    /// Replicas that were asked for something newer than that, and when the last of them was.
    requested_from: Vec<SocketAddr>,
    requested_at: Option<Duration>,
}

impl<Version: Copy + Default + Ord> StateFetch<Version> {
    fn next(
        &mut self,
        now: Duration,
        held: Version,
        versions: &[ReplicaVersion<Version>],
        random: f64,
    ) -> FetchStep {
        let newer = versions.iter().filter(|offered| offered.version > held);
        let newer: Vec<&ReplicaVersion<Version>> = newer.collect();
        if held != self.held || newer.is_empty() {
            *self = Self {
                held,
                ..Self::default()
            };
        }
        if newer.is_empty() {
            return FetchStep::Nothing;
        }
        let outdated_since = *self.outdated_since.get_or_insert(now);
        let retry_at = self.requested_at.map(|at| at + FETCH_TIMEOUT);
        if let Some(until) = retry_at.filter(|until| now < *until) {
            return FetchStep::WaitUntil(until);
        }
        if newer
            .iter()
            .all(|offered| self.requested_from.contains(&offered.replica))
        {
            self.requested_from.clear();
        }
        let candidates = newer.into_iter();
        let candidates =
            candidates.filter(|offered| !self.requested_from.contains(&offered.replica));
        let Some(distance) = candidates.clone().map(|offered| offered.distance).min() else {
            return FetchStep::Nothing;
        };
        // Only where a nearer one is connected is there something to wait for.
        let is_nearest = versions.iter().all(|offered| offered.distance >= distance);
        let request_at = outdated_since
            + if is_nearest {
                Duration::ZERO
            } else {
                fetch_delay(distance)
            };
        if now < request_at {
            return FetchStep::WaitUntil(request_at);
        }
        let nearest = candidates.filter(|offered| offered.distance == distance);
        let nearest: Vec<SocketAddr> = nearest.map(|offered| offered.replica).collect();
        let Some(replica) = pick(&nearest, random) else {
            return FetchStep::Nothing;
        };
        self.requested_from.push(replica);
        self.requested_at = Some(now);
        FetchStep::Fetch(replica, now + FETCH_TIMEOUT)
    }

    /// The connection to a replica has ended. If it was the one that is waited for, the next is asked at once.
    fn remove(&mut self, replica: SocketAddr) {
        if self.requested_from.last() == Some(&replica) {
            self.requested_at = None;
        }
        self.requested_from
            .retain(|requested| *requested != replica);
    }
}

fn fetch_delay(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_DELAY,
        Distance::Remote => REMOTE_DELAY,
    }
}

fn pick(replicas: &[SocketAddr], random: f64) -> Option<SocketAddr> {
    let position = (random * replicas.len() as f64) as usize;
    let position = position.min(replicas.len().saturating_sub(1));
    replicas.get(position).copied()
}

#[cfg(test)]
mod tests;
