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
const FAR_DELAY: Duration = Duration::from_millis(300);
/// Time after which another replica is asked too. With a list that is read each second, a server that leaves is
/// still known within 3 s where three replicas in turn don't answer; one that only sends slowly costs a second copy.
const FETCH_PATIENCE: Duration = Duration::from_millis(500);

/// What is to be sent to control replicas, and when to look again.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct SourceSteps {
    pub(crate) messages: Vec<(SocketAddr, GatewayToControl)>,
    /// Any steady time.
    pub(crate) look_at: Option<Duration>,
}

/// The connected control replicas, and what is being fetched from them. Times are any steady time.
#[derive(Debug, Default)]
pub(crate) struct StateSources {
    replicas: BTreeMap<SocketAddr, ReplicaOffer>,
    preferred: Option<SocketAddr>,
    routes: StateFetch<u64>,
    listing: StateFetch<ListingNumber>,
}

/// A connected replica, and what it has.
#[derive(Clone, Copy, Debug)]
struct ReplicaOffer {
    distance: Distance,
    versions: StateVersions,
}

impl StateSources {
    /// A replica has connected.
    pub(crate) fn add(&mut self, replica: SocketAddr, distance: Distance) {
        let versions = StateVersions::default();
        let offer = ReplicaOffer { distance, versions };
        self.replicas.insert(replica, offer);
    }

    /// A connected replica has said what it has.
    pub(crate) fn offer(&mut self, replica: SocketAddr, versions: StateVersions) {
        if let Some(offer) = self.replicas.get_mut(&replica) {
            offer.versions = versions;
        }
    }

    /// The connection to a replica has ended; what it was asked for does not come.
    pub(crate) fn remove(&mut self, replica: SocketAddr) {
        self.replicas.remove(&replica);
        if self.preferred == Some(replica) {
            self.preferred = None;
        }
        self.routes.forget(replica);
        self.listing.forget(replica);
    }

    /// The replica that tells this gateway who takes part.
    pub(crate) fn preferred(&self) -> Option<SocketAddr> {
        self.preferred
    }

    /// The connected replicas, the preferred one first, of the others the nearest.
    pub(crate) fn by_distance(&self) -> Vec<(SocketAddr, Distance)> {
        let replicas = self.replicas.iter();
        let mut ordered: Vec<(SocketAddr, Distance)> = replicas
            .map(|(replica, offer)| (*replica, offer.distance))
            .collect();
        ordered.sort_by_key(|(replica, distance)| (Some(*replica) != self.preferred, *distance));
        ordered
    }

    /// What to do, where the gateway has `held`; `draw` (0 to 1) decides among equally near replicas.
    pub(crate) fn next(&mut self, now: Duration, held: StateVersions, draw: f64) -> SourceSteps {
        let mut steps = SourceSteps::default();
        self.prefer(draw, &mut steps);
        let offers = self.offers(|versions| versions.routes);
        let step = self.routes.next(now, held.routes, &offers, draw);
        steps.take(step, GatewayToControl::FetchRoutes(held.routes));
        let offers = self.offers(|versions| versions.listing);
        let step = self.listing.next(now, held.listing, &offers, draw);
        steps.take(step, GatewayToControl::FetchListing(held.listing));
        steps
    }

    fn offers<Version>(&self, version: impl Fn(&StateVersions) -> Version) -> Vec<Offer<Version>> {
        let replicas = self.replicas.iter();
        let offers = replicas.map(|(replica, offer)| Offer {
            replica: *replica,
            distance: offer.distance,
            version: version(&offer.versions),
        });
        offers.collect()
    }

    /// Prefers the nearest replica, and stays with it while none is nearer.
    fn prefer(&mut self, draw: f64, steps: &mut SourceSteps) {
        let nearest = self.replicas.values().map(|offer| offer.distance).min();
        let distance = |replica| self.replicas.get(&replica).map(|offer| offer.distance);
        if self.preferred.and_then(distance) == nearest {
            return;
        }
        let candidates = self.replicas.iter();
        let candidates: Vec<SocketAddr> = candidates
            .filter(|(_, offer)| Some(offer.distance) == nearest)
            .map(|(replica, _)| *replica)
            .collect();
        let Some(chosen) = pick(&candidates, draw) else {
            return;
        };
        if let Some(former) = self.preferred.replace(chosen) {
            let message = GatewayToControl::Prefer(false);
            steps.messages.push((former, message));
        }
        let message = GatewayToControl::Prefer(true);
        steps.messages.push((chosen, message));
    }
}

impl SourceSteps {
    fn take(&mut self, step: FetchStep, message: GatewayToControl) {
        match step {
            FetchStep::Nothing => {}
            FetchStep::Fetch(replica, look_at) => {
                self.messages.push((replica, message));
                self.look_by(look_at);
            }
            FetchStep::WaitUntil(at) => self.look_by(at),
        }
    }

    fn look_by(&mut self, at: Duration) {
        self.look_at = Some(self.look_at.map_or(at, |sooner| sooner.min(at)));
    }
}

/// What a connected replica has of one kind of state.
#[derive(Clone, Copy, Debug)]
struct Offer<Version> {
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
    lacking_since: Option<Duration>,
    /// Replicas that were asked for something newer than that, and when the last of them was.
    asked: Vec<SocketAddr>,
    asked_at: Option<Duration>,
}

impl<Version: Copy + Default + Ord> StateFetch<Version> {
    fn next(
        &mut self,
        now: Duration,
        held: Version,
        offers: &[Offer<Version>],
        draw: f64,
    ) -> FetchStep {
        let newer = offers.iter().filter(|offer| offer.version > held);
        let newer: Vec<&Offer<Version>> = newer.collect();
        if held != self.held || newer.is_empty() {
            *self = Self {
                held,
                ..Self::default()
            };
        }
        if newer.is_empty() {
            return FetchStep::Nothing;
        }
        let lacking_since = *self.lacking_since.get_or_insert(now);
        let patient_until = self.asked_at.map(|at| at + FETCH_PATIENCE);
        if let Some(until) = patient_until.filter(|until| now < *until) {
            return FetchStep::WaitUntil(until);
        }
        if newer
            .iter()
            .all(|offer| self.asked.contains(&offer.replica))
        {
            self.asked.clear();
        }
        let open = newer.into_iter();
        let open = open.filter(|offer| !self.asked.contains(&offer.replica));
        let Some(distance) = open.clone().map(|offer| offer.distance).min() else {
            return FetchStep::Nothing;
        };
        // Only where a nearer one is connected is there something to wait for.
        let is_nearest = offers.iter().all(|offer| offer.distance >= distance);
        let ask_at = lacking_since
            + if is_nearest {
                Duration::ZERO
            } else {
                delay(distance)
            };
        if now < ask_at {
            return FetchStep::WaitUntil(ask_at);
        }
        let nearest = open.filter(|offer| offer.distance == distance);
        let nearest: Vec<SocketAddr> = nearest.map(|offer| offer.replica).collect();
        let Some(replica) = pick(&nearest, draw) else {
            return FetchStep::Nothing;
        };
        self.asked.push(replica);
        self.asked_at = Some(now);
        FetchStep::Fetch(replica, now + FETCH_PATIENCE)
    }

    /// The connection to a replica has ended. If it was the one that is waited for, the next is asked at once.
    fn forget(&mut self, replica: SocketAddr) {
        if self.asked.last() == Some(&replica) {
            self.asked_at = None;
        }
        self.asked.retain(|asked| *asked != replica);
    }
}

fn delay(distance: Distance) -> Duration {
    match distance {
        Distance::Zone => Duration::ZERO,
        Distance::Region => REGION_DELAY,
        Distance::Remote => FAR_DELAY,
    }
}

fn pick(replicas: &[SocketAddr], draw: f64) -> Option<SocketAddr> {
    let position = (draw * replicas.len() as f64) as usize;
    let position = position.min(replicas.len().saturating_sub(1));
    replicas.get(position).copied()
}

#[cfg(test)]
mod tests;
